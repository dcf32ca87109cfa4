"""A node's view of the engine caches in its zone, built from the digests of their home nodes."""

import enum
from collections.abc import Mapping, Sequence

from weirscale.domain.choice.prefix_match import PrefixMatch
from weirscale.domain.identifiers import BlockHash, EngineName, Incarnation
from weirscale.domain.prefix.engine_masks import EngineMasks
from weirscale.domain.prefix.sampling import is_sampled
from weirscale.messages.digest import KEY_SHIFT, CacheDigest, FullDigest, unpack_keys

MAX_GAP_S = 3.0
"""Maximum time that an engine's keys are kept while one of its digests is missing."""

MAX_SILENCE_S = 10.0
"""Maximum time without any digest; a home publishes at least every few seconds."""

STREAM_TAKEOVER_S = 5.0
"""A lower stream is accepted only after this long without a digest of the higher stream."""


class ViewOutcome(enum.Enum):
    """Result of processing a digest."""

    APPLIED = "applied"
    DUPLICATE = "duplicate"
    VOID = "void"
    """It comes from an earlier run of the engine or from a former home."""
    GAP = "gap"
    """An earlier digest is missing: request the digests after `position` from the home."""


class _EngineView:
    """The view of one engine's cache."""

    __slots__ = (
        "bit",
        "gap_since_s",
        "incarnation",
        "received_at_s",
        "sample_bits",
        "sequence",
        "stream",
        "updated_at_s",
    )

    def __init__(self, bit: int, incarnation: Incarnation, now_s: float) -> None:
        self.bit = bit
        self.incarnation = incarnation
        self.stream = 0
        self.sequence = 0
        self.sample_bits = 0
        self.gap_since_s: float | None = None
        self.received_at_s = now_s
        self.updated_at_s = now_s


class CacheView:
    """Presumably cached blocks of the engines in a zone; hints without a guarantee."""

    def __init__(self) -> None:
        self._masks = EngineMasks()
        self._views: dict[EngineName, _EngineView] = {}
        self._groups: dict[int, int] | None = None
        self._engines_by_bit: dict[int, EngineName] = {}

    def __len__(self) -> int:
        return len(self._masks)

    def position(self, engine: EngineName) -> tuple[int, int]:
        """Return stream and sequence of the last applied digest; zeros for an unknown engine."""
        view = self._views.get(engine)
        return (view.stream, view.sequence) if view else (0, 0)

    def keys(self, engine: EngineName) -> set[int]:
        """Return the keys presumably held that the declared sample covers; for checks."""
        view = self._views.get(engine)
        if view is None:
            return set()
        held = self._masks.keys_of(view.bit)
        return {key for key in held if is_sampled(key, view.sample_bits)}

    def receive(self, digest: CacheDigest, now_s: float) -> ViewOutcome:
        """Apply a digest."""
        view = self._view_for(digest.engine, digest.incarnation, now_s)
        if view is None:
            return ViewOutcome.VOID
        if digest.stream != view.stream:
            if not self._is_accepted(view, digest.stream, now_s):
                return ViewOutcome.VOID
            view.stream = digest.stream
            view.sequence = 0
        view.received_at_s = now_s
        if digest.sequence <= view.sequence:
            return ViewOutcome.DUPLICATE
        is_next = digest.sequence == view.sequence + 1
        if not (is_next or digest.is_reset):
            if view.gap_since_s is None:
                view.gap_since_s = now_s
            return ViewOutcome.GAP
        self._apply(view, digest)
        view.updated_at_s = now_s
        view.gap_since_s = None
        return ViewOutcome.APPLIED

    def receive_full(self, full: FullDigest, now_s: float) -> ViewOutcome:
        """Replace the view of an engine by a full digest."""
        view = self._view_for(full.engine, full.incarnation, now_s)
        if view is None or not self._is_accepted(view, full.stream, now_s):
            return ViewOutcome.VOID
        if full.stream == view.stream and full.sequence < view.sequence:
            return ViewOutcome.VOID
        self._clear(view)
        view.stream = full.stream
        view.sequence = full.sequence
        view.sample_bits = full.sample_bits
        self._groups = None
        view.received_at_s = now_s
        view.updated_at_s = now_s
        view.gap_since_s = None
        for key in unpack_keys(full.held):
            self._masks.add(key, view.bit)
        return ViewOutcome.APPLIED

    def record_run(self, engine: EngineName, incarnation: Incarnation, now_s: float) -> None:
        """Record the engine's incarnation from another source; keys of earlier runs are dropped."""
        view = self._views.get(engine)
        if view is not None and incarnation > view.incarnation:
            self._view_for(engine, incarnation, now_s)

    def drop(self, engine: EngineName) -> None:
        """Remove an engine."""
        view = self._views.pop(engine, None)
        if view is not None:
            self._masks.retire_bit(view.bit)
            self._groups = None

    def expire(self, now_s: float) -> None:
        """Remove engines without digests for too long; empty those with an old gap."""
        for engine, view in list(self._views.items()):
            is_silent = now_s - view.received_at_s > MAX_SILENCE_S
            gap_since_s = view.gap_since_s
            has_old_gap = gap_since_s is not None and now_s - gap_since_s > MAX_GAP_S
            if is_silent:
                self.drop(engine)
            elif has_old_gap:
                self._clear(view)

    def match(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Mapping[EngineName, PrefixMatch]:
        """Return the engines that presumably hold a prefix of the chain, with length and age."""
        if self._groups is None:
            self._group_by_sample()
        engines_by_bit = self._engines_by_bit
        matches: dict[EngineName, PrefixMatch] = {}
        for sample_bits, engine_bits in (self._groups or {}).items():
            depths = self._masks.leading_depths(block_hashes, KEY_SHIFT, sample_bits, engine_bits)
            for mask, num_blocks in depths:
                remaining = mask
                while remaining:
                    bit = remaining & -remaining
                    remaining ^= bit
                    engine = engines_by_bit[bit]
                    age_s = now_s - self._views[engine].updated_at_s
                    matches[engine] = PrefixMatch(num_blocks=num_blocks, age_s=age_s)
        return matches

    def _group_by_sample(self) -> None:
        """Group the engines by sampling level; each group is matched together."""
        groups: dict[int, int] = {}
        for view in self._views.values():
            groups[view.sample_bits] = groups.get(view.sample_bits, 0) | view.bit
        self._groups = groups
        self._engines_by_bit = {view.bit: engine for engine, view in self._views.items()}

    def _view_for(
        self, engine: EngineName, incarnation: Incarnation, now_s: float
    ) -> _EngineView | None:
        """Return the engine's view, emptied for a new run; return None for an earlier run."""
        view = self._views.get(engine)
        if view is None:
            view = _EngineView(self._masks.new_bit(), incarnation, now_s)
            self._views[engine] = view
            self._groups = None
        if incarnation < view.incarnation:
            return None
        if incarnation > view.incarnation:
            self._clear(view)
            view.incarnation = incarnation
            view.gap_since_s = now_s
        return view

    def _is_accepted(self, view: _EngineView, stream: int, now_s: float) -> bool:
        """Return whether digests of a publisher's stream are accepted."""
        if stream >= view.stream:
            return True
        return now_s - view.received_at_s > STREAM_TAKEOVER_S

    def _clear(self, view: _EngineView) -> None:
        self._masks.retire_bit(view.bit)
        view.bit = self._masks.new_bit()
        self._groups = None

    def _apply(self, view: _EngineView, digest: CacheDigest) -> None:
        if digest.is_reset:
            self._clear(view)
        elif digest.sample_bits > view.sample_bits:
            bits = digest.sample_bits
            self._masks.remove_where(view.bit, lambda key: not is_sampled(key, bits))
        if view.sample_bits != digest.sample_bits:
            self._groups = None
        view.sample_bits = digest.sample_bits
        view.sequence = digest.sequence
        for key in unpack_keys(digest.removed):
            self._masks.remove(key, view.bit)
        for key in unpack_keys(digest.added):
            self._masks.add(key, view.bit)
