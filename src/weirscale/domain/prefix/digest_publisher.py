"""Publishes the changes of one engine's index as digests within a byte budget.

The publisher holds a backlog of keys whose state changed and sends it in sequence. When the
backlog would take too long, it samples the keys more coarsely. When budget is left, it refines the
sample step by step. Receivers can therefore always rely on the declared sample bits.
"""

import math
from collections import deque
from itertools import islice

from weirscale.domain.prefix.engine_index import EngineIndex
from weirscale.domain.prefix.sampling import MAX_SAMPLE_BITS, block_key, is_sampled
from weirscale.messages.digest import (
    KEY_BYTES,
    CacheDigest,
    DigestReply,
    DigestRequest,
    FullDigest,
    pack_keys,
)

MAX_KEYS_PER_DIGEST = 180
"""Keeps an encoded digest below 1000 bytes, so that it fits into one cast with its signature."""

MIN_KEYS_PER_DIGEST = 8
"""With fewer keys the overhead would outweigh them. For this minimum the allowance may become
negative for a while."""

HEARTBEAT_S = 3.0
"""Maximum time without a digest; a third of the time after which receivers drop the engine."""

DIGEST_OVERHEAD_BYTES = 90
"""Encoded size of a digest without keys, with its signature."""

MAX_BACKLOG_S = 1.0
"""Maximum time that a change waits to be sent; beyond it the sample becomes coarser."""

BURST_S = 2.0
"""Unused budget is kept for this long; covers a refinement and a new run's first digests."""

REFINE_SHARE = 0.5
"""The sample is refined only if changes would then need at most this share of the budget."""

MAX_REFINING_S = 60.0
"""A refinement that would take longer than this is not started."""

DEFAULT_MAX_KEYS = 8192
"""Maximum keys of one engine in a receiver's table, about 118 bytes each."""

RATE_SMOOTHING_S = 5.0
"""Time constant of the change rate."""

NUM_KEPT_DIGESTS = 32
"""Digests kept for receivers that missed some, because a full digest is many times larger."""


class DigestPublisher:
    """Publishes one engine's cache.

    Args:
        index: The engine's exact index.
        stream: Number of the stream; higher than that of any earlier publisher of the engine.
        bytes_per_s: Budget for this engine, over all receivers together.
        max_keys: Maximum number of this engine's keys that receivers store.
    """

    def __init__(
        self,
        index: EngineIndex,
        stream: int,
        bytes_per_s: float,
        max_keys: int = DEFAULT_MAX_KEYS,
    ) -> None:
        self._index = index
        self._stream = stream
        self._bytes_per_s = bytes_per_s
        self._max_keys = max_keys
        self._sequence = 0
        self._sample_bits = 0
        self._sending_bits = 0
        self._backlog: dict[int, bool] = {}
        self._refining: dict[int, bool] = {}
        self._is_reset_due = True
        self._is_coarsening_due = False
        self._allowance_bytes = 0.0
        self._changes_per_s = 0.0
        self._published_at_s: float | None = None
        self._sent_at_s = -math.inf
        self._recent_digests: deque[CacheDigest] = deque(maxlen=NUM_KEPT_DIGESTS)

    @property
    def sample_bits(self) -> int:
        """The declared sampling level."""
        return self._sample_bits

    @property
    def num_waiting_keys(self) -> int:
        """Number of changes that are not yet sent."""
        return len(self._backlog) + len(self._refining)

    def set_budget(self, bytes_per_s: float) -> None:
        """Change the budget, as the publisher's node becomes home of more or fewer engines."""
        self._bytes_per_s = bytes_per_s

    def publish(self, num_receivers: int, now_s: float) -> list[CacheDigest]:
        """Return the digests to send now to every receiver.

        Args:
            num_receivers: Number of nodes that get a copy; the budget is divided among them.
            now_s: Current time.
        """
        rate = self._bytes_per_s / max(num_receivers, 1)
        elapsed_s = self._advance_clock(now_s)
        self._allowance_bytes = min(self._allowance_bytes + rate * elapsed_s, rate * BURST_S)
        num_changes = self._collect_changes()
        self._update_change_rate(num_changes, elapsed_s)
        self._coarsen(rate)
        if not self._refining and not self._is_coarsening_due:
            self._finish_or_start_refining(rate)
        return self._send(rate, now_s)

    def answer(self, request: DigestRequest) -> DigestReply:
        """Answer a receiver that missed digests."""
        if self._index.needs_dump or self._sequence == 0:
            return DigestReply(is_home=False)
        missed = [
            digest for digest in self._recent_digests if digest.sequence > request.after_sequence
        ]
        is_complete = bool(missed) and missed[0].sequence == request.after_sequence + 1
        if request.stream == self._stream and is_complete:
            return DigestReply(is_home=True, digests=tuple(missed))
        return DigestReply(is_home=True, full=self._full())

    def _full(self) -> FullDigest:
        """Return a digest of all sampled keys, including those of a running refinement.

        Later digests may repeat some of the keys, which has no effect.
        """
        bits = self._sending_bits
        keys = [block_key(block_hash) for block_hash in self._index.blocks]
        return FullDigest(
            engine=self._index.engine,
            incarnation=self._index.incarnation,
            stream=self._stream,
            sequence=self._sequence,
            sample_bits=self._sample_bits,
            held=pack_keys([key for key in keys if is_sampled(key, bits)]),
        )

    def _advance_clock(self, now_s: float) -> float:
        previous_s = self._published_at_s
        self._published_at_s = now_s
        return BURST_S if previous_s is None else max(now_s - previous_s, 0.0)

    def _update_change_rate(self, num_changes: int, elapsed_s: float) -> None:
        if elapsed_s <= 0:
            return
        share = 1.0 - math.exp(-elapsed_s / RATE_SMOOTHING_S)
        self._changes_per_s += share * (num_changes / elapsed_s - self._changes_per_s)

    def _collect_changes(self) -> int:
        """Move the index's changes to the backlog; return their number before sampling."""
        was_reset, added, removed = self._index.take_changes()
        if was_reset:
            self._is_reset_due = True
            self._backlog.clear()
            self._refining.clear()
            self._sending_bits = self._sample_bits
        for block_hashes, is_held in ((added, True), (removed, False)):
            for block_hash in block_hashes:
                key = block_key(block_hash)
                if is_sampled(key, self._sending_bits):
                    self._refining.pop(key, None)
                    self._backlog.pop(key, None)
                    self._backlog[key] = is_held
        return 0 if was_reset else len(added) + len(removed)

    def _coarsen(self, rate: float) -> None:
        """Sample more coarsely until the backlog can be sent in time."""
        max_keys = max(int(rate * MAX_BACKLOG_S / KEY_BYTES), 1)
        # After an abandoned refinement, receivers must not keep keys that are no longer updated.
        # So the declared level rises by at least one, and receivers drop every key outside of it.
        while self._is_too_fine(max_keys) and self._sample_bits < MAX_SAMPLE_BITS:
            self._sample_bits += 1
            self._sending_bits = self._sample_bits
            self._is_coarsening_due = True
            self._refining.clear()
            self._backlog = {
                key: is_held
                for key, is_held in self._backlog.items()
                if is_sampled(key, self._sample_bits)
            }

    def _is_too_fine(self, max_waiting_keys: int) -> bool:
        num_held_keys = len(self._index.blocks) >> self._sample_bits
        return len(self._backlog) > max_waiting_keys or num_held_keys > self._max_keys

    def _finish_or_start_refining(self, rate: float) -> None:
        """Declare a completed refinement, or start the next one if the budget allows it."""
        if self._sending_bits < self._sample_bits:
            self._sample_bits = self._sending_bits
            return
        if self._sample_bits == 0 or self._is_reset_due:
            return
        finer_bits = self._sample_bits - 1
        changes_bytes_per_s = self._changes_per_s * KEY_BYTES / (1 << finer_bits)
        num_extra_keys = len(self._index.blocks) >> self._sample_bits
        refining_s = num_extra_keys * KEY_BYTES / (REFINE_SHARE * rate)
        num_finer_keys = len(self._index.blocks) >> finer_bits
        if changes_bytes_per_s > REFINE_SHARE * rate or refining_s > MAX_REFINING_S:
            return
        if num_finer_keys > REFINE_SHARE * self._max_keys:
            return
        self._sending_bits = finer_bits
        for block_hash in self._index.blocks:
            key = block_key(block_hash)
            if is_sampled(key, finer_bits) and not is_sampled(key, self._sample_bits):
                self._refining[key] = True

    def _send(self, rate: float, now_s: float) -> list[CacheDigest]:
        """Return digests of the waiting keys as far as the allowance permits, or a heartbeat."""
        digests: list[CacheDigest] = []
        while self.num_waiting_keys and self._allowance_bytes > 0:
            num_affordable = int(self._allowance_bytes / KEY_BYTES)
            num_keys = min(max(num_affordable, MIN_KEYS_PER_DIGEST), MAX_KEYS_PER_DIGEST)
            keys = _pop_oldest(self._backlog, num_keys)
            keys += _pop_oldest(self._refining, num_keys - len(keys))
            digests.append(self._digest(keys))
            self._allowance_bytes -= DIGEST_OVERHEAD_BYTES + KEY_BYTES * len(keys)
        if not digests and (self._is_reset_due or now_s - self._sent_at_s >= HEARTBEAT_S):
            digests.append(self._digest([]))
            self._allowance_bytes -= DIGEST_OVERHEAD_BYTES
        if digests:
            self._sent_at_s = now_s
        self._allowance_bytes = max(self._allowance_bytes, -rate * BURST_S)
        return digests

    def _digest(self, keys: list[tuple[int, bool]]) -> CacheDigest:
        self._sequence += 1
        digest = CacheDigest(
            engine=self._index.engine,
            incarnation=self._index.incarnation,
            stream=self._stream,
            sequence=self._sequence,
            sample_bits=self._sample_bits,
            is_reset=self._is_reset_due,
            added=pack_keys([key for key, is_held in keys if is_held]),
            removed=pack_keys([key for key, is_held in keys if not is_held]),
        )
        self._is_reset_due = False
        self._is_coarsening_due = False
        self._recent_digests.append(digest)
        return digest


def _pop_oldest(waiting: dict[int, bool], max_entries: int) -> list[tuple[int, bool]]:
    """Remove and return up to `max_entries` entries that have waited longest."""
    taken = list(islice(waiting.items(), max_entries))
    for key, _ in taken:
        del waiting[key]
    return taken
