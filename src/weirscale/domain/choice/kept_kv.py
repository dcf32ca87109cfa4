"""Whether to import a prefix from a store of kept KV cache instead of computing it.

A prompt that an engine has served is likely to be in the store for a while, since engines export
what they compute. The keys are chained from tenant, model, weight version and adapter, so a prefix
of another tenant or of other weights is never asked for. Whether the store really had it shows in
the cached tokens of the answer, from which the trust in a store is learned: a store that is slow or
dead is soon not asked any more, and one waits no longer than `max_import_wait_s` for it.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from weirscale.domain.choice.policy import ChoiceRequest, EngineCandidate
from weirscale.domain.choice.recent_sends import keys_at, ladder_depths
from weirscale.domain.configuration.model import KeptKvStore, RoutingObjective
from weirscale.domain.identifiers import BlockHash, EngineName, RequestId

MAX_KEPT_KEYS = 20_000
"""Keys of served prompts remembered, some 3 MB; the least recently served are dropped."""

MAX_OPEN_IMPORTS = 4096
"""Imports whose outcome is awaited; oldest dropped first."""

LEARNING_RATE = 0.2
"""Weight of the latest import in the trust in a store: a dead one is avoided after a few."""

MIN_TRUST = 0.3
"""Below this trust a store is asked only once in TRIAL_INTERVAL_S."""

TRIAL_INTERVAL_S = 30.0
"""A store that failed is tried again after this time."""


class ImportPlan(msgspec.Struct, frozen=True):
    """An import that beats computing.

    Attributes:
        store: Address of the store.
        block_hash: Deepest block to import.
        num_blocks: Leading blocks that the engine then holds.
        num_imported_blocks: Blocks that it does not hold yet.
        import_s: Expected time of the import.
        gain_s: Expected time saved, the chance of failure counted.
    """

    store: str
    block_hash: BlockHash
    num_blocks: int
    num_imported_blocks: int
    import_s: float
    gain_s: float


class _Store:
    """What is known of one store."""

    def __init__(self, declared: KeptKvStore) -> None:
        self.declared = declared
        self.trust = 1.0
        self.tried_at_s = 0.0


class _OpenImport(msgspec.Struct, frozen=True):
    store: str
    num_held_tokens: float
    num_imported_tokens: float


class ImportPlanner:
    """What the stores are believed to keep, and how far they can be relied on."""

    def __init__(self, stores: Sequence[KeptKvStore] = ()) -> None:
        self._stores: dict[str, _Store] = {}
        self._kept: OrderedDict[int, None] = OrderedDict()
        self._open: OrderedDict[tuple[RequestId, EngineName], _OpenImport] = OrderedDict()
        self.set_stores(stores)

    def set_stores(self, stores: Sequence[KeptKvStore]) -> None:
        """Take over the declared stores; what was learned of unchanged ones is kept."""
        known = self._stores
        self._stores = {}
        for declared in stores:
            store = known.get(declared.address)
            is_same = store is not None and store.declared == declared
            self._stores[declared.address] = store if store and is_same else _Store(declared)

    def record_served_prompt(self, block_hashes: Sequence[BlockHash]) -> None:
        """Learn that an engine has served a prompt, and so exported it."""
        if not self._stores:
            return
        for key in keys_at(block_hashes, ladder_depths(len(block_hashes))):
            self._kept[key] = None
            self._kept.move_to_end(key)
        while len(self._kept) > MAX_KEPT_KEYS:
            self._kept.popitem(last=False)

    def kept_depth(self, block_hashes: Sequence[BlockHash]) -> int:
        """Return how many leading blocks are believed to be kept."""
        if not self._stores:
            return 0
        depths = ladder_depths(len(block_hashes))
        keys = keys_at(block_hashes, depths)
        return next(
            (
                depth
                for depth, key in zip(reversed(depths), reversed(keys), strict=True)
                if key in self._kept
            ),
            0,
        )

    def plan(
        self,
        request: ChoiceRequest,
        candidate: EngineCandidate,
        num_matched_blocks: int,
        num_kept_blocks: int,
        objective: RoutingObjective,
        now_s: float,
    ) -> ImportPlan | None:
        """Return the import that saves most time for a candidate, or None if computing is better.

        Args:
            request: The request.
            candidate: The engine that would import.
            num_matched_blocks: Leading blocks that it holds.
            num_kept_blocks: Leading blocks believed to be kept, from `kept_depth`.
            objective: Holds the longest wait.
            now_s: Time.
        """
        num_blocks = num_kept_blocks - num_matched_blocks
        if num_blocks <= 0:
            return None
        num_tokens = num_blocks * request.tokens_per_block
        plans = [
            ImportPlan(
                store=address,
                block_hash=request.block_hashes[num_kept_blocks - 1],
                num_blocks=num_kept_blocks,
                num_imported_blocks=num_blocks,
                import_s=num_tokens / store.declared.bandwidth_tokens_per_s,
                gain_s=_gain_s(store, num_tokens, candidate, objective),
            )
            for address, store in self._stores.items()
            if store.trust >= MIN_TRUST or now_s - store.tried_at_s >= TRIAL_INTERVAL_S
        ]
        best = max(plans, key=lambda each: each.gain_s, default=None)
        if best is None or best.gain_s <= 0.0 or best.import_s > objective.max_import_wait_s:
            return None
        return best

    def record_planned_import(
        self,
        request: ChoiceRequest,
        engine: EngineName,
        plan: ImportPlan,
        num_matched_blocks: int,
        now_s: float,
    ) -> None:
        """Remember an import whose outcome is to be learned."""
        self._stores[plan.store].tried_at_s = now_s
        tokens_per_block = request.tokens_per_block
        self._open[(request.request_id, engine)] = _OpenImport(
            plan.store,
            num_matched_blocks * tokens_per_block,
            plan.num_imported_blocks * tokens_per_block,
        )
        while len(self._open) > MAX_OPEN_IMPORTS:
            self._open.popitem(last=False)

    def record_completion(
        self, request_id: RequestId, engine: EngineName, num_cached_tokens: int
    ) -> bool:
        """Learn from an answer; True if the request was to import."""
        planned = self._open.pop((request_id, engine), None)
        if planned is None:
            return False
        store = self._stores.get(planned.store)
        if store is not None:
            num_gained = num_cached_tokens - planned.num_held_tokens
            share = min(max(num_gained / planned.num_imported_tokens, 0.0), 1.0)
            store.trust += LEARNING_RATE * (share - store.trust)
        return True


def _gain_s(
    store: _Store, num_tokens: float, candidate: EngineCandidate, objective: RoutingObjective
) -> float:
    """Return the expected saving: a failed import costs its wait on top of computing."""
    import_s = num_tokens / store.declared.bandwidth_tokens_per_s
    compute_s = num_tokens / candidate.prefill_tokens_per_s
    trust = max(store.trust, MIN_TRUST)
    wait_s = min(import_s, objective.max_import_wait_s)
    return trust * (compute_s - import_s) - (1.0 - trust) * wait_s
