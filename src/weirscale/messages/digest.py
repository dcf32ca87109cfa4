"""Digests of engines' caches and loads, which a home node sends to the nodes of its zone.

A digest carries sampled block keys instead of hashes. A key is the upper KEY_BYTES bytes of a hash,
and only keys with `sample_bits` zero low bits are sent. The sampling depends only on the hash, so
it is the same on all nodes and a prompt's chain can be matched against any digest.
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
"""Size of a block key on the wire: among 10 million keys, the probability of a false match is below
1 in 10^5."""

KEY_SHIFT = 64 - 8 * KEY_BYTES
"""Bits by which a block's hash is shifted right to give its key."""


def pack_keys(keys: list[int]) -> bytes:
    """Encode block keys, KEY_BYTES each."""
    return b"".join(key.to_bytes(KEY_BYTES, "big") for key in keys)


def unpack_keys(packed: bytes) -> list[int]:
    """Decode block keys; an incomplete key at the end is ignored."""
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
        """Return the load report from which the summary was made."""
        fields = {name: getattr(self, name) for name in REPORTED_FIELDS}
        return LoadReport(engine, incarnation, model, weight_version, **fields)


REPORTED_FIELDS = tuple(name for name in LoadSummary.__struct_fields__ if name != "age_s")
"""Fields that a summary and a load report have in common."""


class LoadDigest(msgspec.Struct, frozen=True, array_like=True, tag="load_digest"):
    """An engine's load without its cache; sent while the home node has no cache state."""

    engine: EngineName
    incarnation: Incarnation
    model: ModelName | None
    weight_version: WeightVersion | None
    load: LoadSummary


class CacheDigest(msgspec.Struct, frozen=True, array_like=True, tag="cache_digest"):
    """Changes of one engine's cache since the previous digest.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run to which the keys belong.
        stream: Identifies the publisher's stream; streams of later publishers are higher.
        sequence: Number of the digest; starts at 1 in each stream and grows by 1.
        sample_bits: Every key with this many zero low bits is included; others may be missing.
        is_reset: Whether all earlier digests of the engine are void.
        added: Packed keys of the blocks added to the cache.
        removed: Packed keys of the blocks removed from the cache.
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
    """Request to a home node for the digests after a sequence number.

    Attributes:
        engine: The engine.
        stream: The last stream that the requester received; 0 for none.
        after_sequence: The last sequence number that the requester applied.
    """

    engine: EngineName
    stream: int
    after_sequence: int


class DigestReply(msgspec.Struct, frozen=True, array_like=True, tag="digest_reply"):
    """The digests that the requester has missed.

    Attributes:
        is_home: Whether the answering node is the engine's home and has the state of its cache.
        digests: The digests after the requested sequence number, if they are still available.
        full: The full digest, if they are not.
    """

    is_home: bool
    digests: tuple[CacheDigest, ...] = ()
    full: FullDigest | None = None


class SendNote(msgspec.Struct, frozen=True, array_like=True, tag="send_note"):
    """Notice to other nodes about a sent prompt that makes an engine compute.

    Attributes:
        engine: The engine to which the prompt was sent.
        num_missing_tokens: Prompt tokens that the engine has to compute.
        keys: Packed keys of the prompt's blocks at `ladder_depths`.
    """

    engine: EngineName
    num_missing_tokens: int
    keys: bytes
