"""Digests of engines' caches and loads: what a home node tells the nodes of its zone.

A digest carries sampled block keys, not hashes: the upper KEY_BITS of a hash, of which only keys
with `sample_bits` zero low bits travel. All nodes sample alike because the hash itself decides, so
a prompt's chain can be matched against any digest.
"""

import msgspec

from weirscale.domain.identifiers import (
    AdapterName,
    EngineName,
    Incarnation,
    ModelName,
    WeightVersion,
)
from weirscale.messages.cache import LoadReport

KEY_BYTES = 5
"""Bytes of a block key on the wire: among 10 million keys a false match is rarer than 1 in 10^5."""

KEY_SHIFT = 64 - 8 * KEY_BYTES
"""A block's key is its hash shifted right by this."""


def pack_keys(keys: list[int]) -> bytes:
    """Encode block keys, KEY_BYTES each."""
    return b"".join(key.to_bytes(KEY_BYTES, "big") for key in keys)


def unpack_keys(packed: bytes) -> list[int]:
    """Decode block keys; a broken tail is ignored."""
    last = len(packed) - KEY_BYTES
    return [
        int.from_bytes(packed[start : start + KEY_BYTES], "big")
        for start in range(0, last + 1, KEY_BYTES)
    ]


class LoadSummary(msgspec.Struct, frozen=True, array_like=True):
    """The fields of a load report that a digest does not carry itself."""

    adapters: tuple[AdapterName, ...]
    num_running: int
    num_waiting: int
    num_waiting_prefill_tokens: int
    num_cached_blocks: int
    num_total_blocks: int
    is_leaving: bool
    order_token: int
    age_s: float
    role: str | None = None
    loading_token: int = 0
    failed_load_token: int = 0

    @staticmethod
    def of(report: LoadReport, age_s: float) -> "LoadSummary":
        """Summarise a report that was read `age_s` ago."""
        fields = {name: getattr(report, name) for name in REPORTED_FIELDS}
        return LoadSummary(age_s=round(age_s, 2), **fields)

    def report(
        self,
        engine: EngineName,
        incarnation: Incarnation,
        model: ModelName | None,
        weight_version: WeightVersion | None,
    ) -> LoadReport:
        """Return the whole report again."""
        fields = {name: getattr(self, name) for name in REPORTED_FIELDS}
        return LoadReport(engine, incarnation, model, weight_version, **fields)


REPORTED_FIELDS = tuple(name for name in LoadSummary.__struct_fields__ if name != "age_s")
"""What a summary and the report have in common."""


class LoadDigest(msgspec.Struct, frozen=True, array_like=True, tag="load_digest"):
    """An engine's load alone; sent while nothing is known of its cache."""

    engine: EngineName
    incarnation: Incarnation
    model: ModelName | None
    weight_version: WeightVersion | None
    load: LoadSummary


class CacheDigest(msgspec.Struct, frozen=True, array_like=True, tag="cache_digest"):
    """Changes of one engine's cache since the digest before.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run that the keys belong to.
        stream: Names the publisher's stream; a later publisher's is higher.
        sequence: One more than that of the digest before; 1 in a new stream.
        sample_bits: Every key with that many zero low bits travels; others may be missing.
        is_reset: Whether everything told before is void.
        added: Packed keys of blocks now held.
        removed: Packed keys of blocks no longer held.
    """

    engine: EngineName
    incarnation: Incarnation
    stream: int
    sequence: int
    sample_bits: int
    is_reset: bool
    added: bytes
    removed: bytes


class FullDigest(msgspec.Struct, frozen=True, array_like=True, tag="full_digest"):
    """All sampled keys of one engine as of a digest's sequence."""

    engine: EngineName
    incarnation: Incarnation
    stream: int
    sequence: int
    sample_bits: int
    held: bytes


class DigestRequest(msgspec.Struct, frozen=True, array_like=True, tag="digest_request"):
    """Asks a home for the digests after a sequence.

    Attributes:
        engine: The engine.
        stream: The stream known to the asker, 0 for none.
        after_sequence: Last sequence taken in.
    """

    engine: EngineName
    stream: int
    after_sequence: int


class DigestReply(msgspec.Struct, frozen=True, array_like=True, tag="digest_reply"):
    """What the asker has missed.

    Attributes:
        is_home: Whether the answering node is home of the engine and knows its cache.
        digests: The digests after the sequence asked for, when they are still at hand.
        full: Everything, when they are not.
    """

    is_home: bool
    digests: tuple[CacheDigest, ...] = ()
    full: FullDigest | None = None


class SendNote(msgspec.Struct, frozen=True, array_like=True, tag="send_note"):
    """Tells other nodes of a prompt that makes an engine compute.

    Attributes:
        engine: Where it was sent.
        num_missing_tokens: Prompt tokens that the engine has to compute.
        keys: Packed keys of the prompt's blocks at the ladder of depths.
    """

    engine: EngineName
    num_missing_tokens: int
    keys: bytes
