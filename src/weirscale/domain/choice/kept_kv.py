"""Decision whether to import a prefix from a kept-KV store instead of computing it.

Engines export the KV cache blocks that they compute, so a prompt that an engine has served is
likely to be in the stores for a while. The keys are chained from tenant, model, weight version and
adapter, so a prefix of another tenant or of other weights is never imported. The cached tokens in
an engine's answer show whether the import succeeded, and give the reliability of the store. A slow
or unavailable store is therefore soon avoided, and an import waits for `max_import_wait_s` at most.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from weirscale.domain.choice.policy import ChoiceRequest, EngineCandidate
from weirscale.domain.choice.recent_sends import keys_at, ladder_depths
from weirscale.domain.configuration.model import KeptKvStore, RoutingObjective
from weirscale.domain.identifiers import BlockHash, EngineName, RequestId

MAX_EXPORTED_KEYS = 20_000
"""Keys of served prompts kept, about 3 MB; the least recently served are dropped."""

MAX_OPEN_IMPORTS = 4096
"""Imports kept until their outcome is available; the oldest are dropped first."""

LEARNING_RATE = 0.2
"""Weight of the latest import in a store's reliability: an unavailable store is avoided after a few
imports."""

MIN_RELIABILITY = 0.3
"""Below this reliability a store is used only once in TRIAL_INTERVAL_S."""

TRIAL_INTERVAL_S = 30.0
"""Time after which an unreliable store is tried again."""


class ImportPlan(msgspec.Struct, frozen=True):
    """An import that is expected to be faster than computing the blocks.

    Attributes:
        store: Address of the store.
        block_hash: Hash of the deepest block to import.
        num_blocks: Leading blocks that the engine has after the import.
        num_imported_blocks: Those of them that the engine does not have yet.
        import_s: Expected duration of the import.
        gain_s: Expected time saved, with the probability of failure taken into account.
    """

    store: str
    block_hash: BlockHash
    num_blocks: int
    num_imported_blocks: int
    import_s: float
    gain_s: float


class _StoreState:
    """State of one store.

    Attributes:
        declared: The store's entry in the configuration.
        reliability: Moving average, from 0 to 1, of the share of imported tokens that arrived.
        tried_at_s: Time of the last planned import.
    """

    def __init__(self, declared: KeptKvStore) -> None:
        self.declared = declared
        self.reliability = 1.0
        self.tried_at_s = 0.0


class _OpenImport(msgspec.Struct, frozen=True):
    store: str
    num_held_tokens: float
    num_imported_tokens: float


class ImportPlanner:
    """Plans imports from the blocks that the stores presumably have and the stores' reliability."""

    def __init__(self, stores: Sequence[KeptKvStore] = ()) -> None:
        self._stores: dict[str, _StoreState] = {}
        self._exported_keys: OrderedDict[int, None] = OrderedDict()
        self._open_imports: OrderedDict[tuple[RequestId, EngineName], _OpenImport] = OrderedDict()
        self.set_stores(stores)

    def set_stores(self, stores: Sequence[KeptKvStore]) -> None:
        """Replace the declared stores; the reliability of unchanged stores is kept."""
        previous = self._stores
        self._stores = {}
        for declared in stores:
            store = previous.get(declared.address)
            is_same = store is not None and store.declared == declared
            self._stores[declared.address] = store if store and is_same else _StoreState(declared)

    def record_served_prompt(self, block_hashes: Sequence[BlockHash]) -> None:
        """Record that an engine has served a prompt and so has exported its blocks."""
        if not self._stores:
            return
        for key in keys_at(block_hashes, ladder_depths(len(block_hashes))):
            self._exported_keys[key] = None
            self._exported_keys.move_to_end(key)
        while len(self._exported_keys) > MAX_EXPORTED_KEYS:
            self._exported_keys.popitem(last=False)

    def kept_depth(self, block_hashes: Sequence[BlockHash]) -> int:
        """Return how many leading blocks the stores presumably have."""
        if not self._stores:
            return 0
        depths = ladder_depths(len(block_hashes))
        keys = keys_at(block_hashes, depths)
        return next(
            (
                depth
                for depth, key in zip(reversed(depths), reversed(keys), strict=True)
                if key in self._exported_keys
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
        """Return the import that saves a candidate the most time, or None if none saves any.

        Args:
            request: The request.
            candidate: The engine that would import.
            num_matched_blocks: Leading blocks that the engine already has.
            num_kept_blocks: Leading blocks that the stores presumably have, from `kept_depth`.
            objective: Gives the longest wait for an import.
            now_s: Current time.
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
            if store.reliability >= MIN_RELIABILITY or now_s - store.tried_at_s >= TRIAL_INTERVAL_S
        ]
        best = max(plans, key=lambda plan: plan.gain_s, default=None)
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
        """Record a planned import until its outcome is available."""
        self._stores[plan.store].tried_at_s = now_s
        tokens_per_block = request.tokens_per_block
        self._open_imports[(request.request_id, engine)] = _OpenImport(
            plan.store,
            num_matched_blocks * tokens_per_block,
            plan.num_imported_blocks * tokens_per_block,
        )
        while len(self._open_imports) > MAX_OPEN_IMPORTS:
            self._open_imports.popitem(last=False)

    def record_completion(
        self, request_id: RequestId, engine: EngineName, num_cached_tokens: int
    ) -> bool:
        """Update a store's reliability from an answer.

        Returns:
            Whether the request had a planned import.
        """
        open_import = self._open_imports.pop((request_id, engine), None)
        if open_import is None:
            return False
        store = self._stores.get(open_import.store)
        if store is not None:
            num_gained = num_cached_tokens - open_import.num_held_tokens
            share = min(max(num_gained / open_import.num_imported_tokens, 0.0), 1.0)
            store.reliability += LEARNING_RATE * (share - store.reliability)
        return True


def _gain_s(
    store: _StoreState, num_tokens: float, candidate: EngineCandidate, objective: RoutingObjective
) -> float:
    """Return the expected time saved; a failed import costs its wait in addition to computing."""
    import_s = num_tokens / store.declared.bandwidth_tokens_per_s
    compute_s = num_tokens / candidate.prefill_tokens_per_s
    reliability = max(store.reliability, MIN_RELIABILITY)
    wait_s = min(import_s, objective.max_import_wait_s)
    return reliability * (compute_s - import_s) - (1.0 - reliability) * wait_s
