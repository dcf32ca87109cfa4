"""What nodes tell one another: one typed message, cbor2 on the wire.

Everything in it improves choices and nothing depends on it: a lost datagram costs a less good
choice. Loads are absolute values, so a later message repairs an earlier loss.
"""

import cbor2
import msgspec

MAX_DATAGRAM_BYTES = 60_000
"""Largest message sent; below what one datagram holds."""


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """The sender's own load on one back end."""

    instance: str
    num_requests: int
    waiting_tokens: int
    held_tokens: int


class PartNews(msgspec.Struct, frozen=True, array_like=True):
    """A prompt part."""

    part_id: str
    num_tokens: int


class SendNews(msgspec.Struct, frozen=True, array_like=True):
    """A prompt was sent to a runner, or (`is_ready`) has been read there."""

    instance: str
    scope: str
    is_ready: bool
    parts: tuple[PartNews, ...]


class LoadingNews(msgspec.Struct, frozen=True, array_like=True):
    """A runner is about to load weights, or has them (`is_done`)."""

    instance: str
    model: str
    version: int
    is_done: bool


class NamedNews(msgspec.Struct, frozen=True, array_like=True):
    """For how long a version has been named, as far as the sender knows."""

    model: str
    version: int
    age_ms: int


class SuspectNews(msgspec.Struct, frozen=True, array_like=True):
    """The sender could not reach a back end."""

    instance: str


class PeerNews(msgspec.Struct, frozen=True, array_like=True):
    """One datagram."""

    sender: str
    loads: tuple[LoadNews, ...] = ()
    sends: tuple[SendNews, ...] = ()
    loading: tuple[LoadingNews, ...] = ()
    named: tuple[NamedNews, ...] = ()
    suspects: tuple[SuspectNews, ...] = ()


def encode_news(news: PeerNews) -> bytes:
    """Encode a message."""
    encoded: bytes = cbor2.dumps(msgspec.to_builtins(news))
    return encoded


def decode_news(datagram: bytes) -> PeerNews | None:
    """Decode a message; None for anything else than a valid one."""
    try:
        return msgspec.convert(cbor2.loads(datagram), PeerNews)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
