"""Inputs and results of a policy that chooses an engine."""

from collections.abc import Sequence

import msgspec

from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.identifiers import (
    BlockHash,
    EngineName,
    Incarnation,
    RequestId,
    TenantName,
    WeightVersion,
    ZoneName,
)


class EngineCandidate(msgspec.Struct, frozen=True):
    """An engine that may serve the request, with its state as estimated by this node.

    Attributes:
        engine: The engine's name.
        zone: Zone in which the engine runs.
        role: Phases of a request that the engine serves.
        incarnation: The last reported run.
        weight_version: The last reported weight version.
        link_delay_s: One-way network delay from this node.
        num_outstanding: Requests at the engine: the last report plus what this node sent since.
        num_waiting_prefill_tokens: Prompt tokens to compute before those of a new request,
            likewise corrected.
        prefill_tokens_per_s: Prefill speed, measured or declared.
        max_concurrent_requests: Declared limit on concurrent requests.
        num_total_blocks: Capacity of the engine's cache in blocks.
        num_cached_blocks: Blocks in the cache according to the last report.
        report_age_s: Age of the load report.
        admission_weight: 1 for a healthy engine; below 1 while load ramps up after failures.
    """

    engine: EngineName
    zone: ZoneName
    role: EngineRole
    incarnation: Incarnation
    weight_version: WeightVersion
    link_delay_s: float
    num_outstanding: int
    num_waiting_prefill_tokens: int
    prefill_tokens_per_s: float
    max_concurrent_requests: int
    num_total_blocks: int
    num_cached_blocks: int
    report_age_s: float
    admission_weight: float = 1.0


class ChoiceRequest(msgspec.Struct, frozen=True):
    """The properties of a request that a policy uses.

    Attributes:
        request_id: Id of the request.
        tenant: The request's tenant.
        block_hashes: Chained hashes of the prompt's full blocks.
        num_prompt_tokens: Estimated prompt tokens.
        tokens_per_block: Estimated tokens in a block.
        excluded: Engines that have failed this request.
    """

    request_id: RequestId
    tenant: TenantName
    block_hashes: Sequence[BlockHash]
    num_prompt_tokens: int
    tokens_per_block: float
    excluded: frozenset[EngineName] = frozenset()


class CandidateEstimate(msgspec.Struct, frozen=True):
    """The terms of the cost of one candidate, shown by `explain`.

    Attributes:
        engine: The candidate.
        cost: The total cost in seconds, which the policy minimises.
        num_matched_blocks: Leading prompt blocks that are presumably cached at the engine.
        queue_s: Wait behind other requests.
        prefill_s: Time to compute the missing part of the prompt.
        link_s: Network delay, there and back.
        import_s: Duration of an import from a kept-KV store; 0 without an import.
        waste_s: Weighted time of recomputation and evictions.
        belief_age_s: Age of the information on the cached blocks.
    """

    engine: EngineName
    cost: float
    num_matched_blocks: int = 0
    queue_s: float = 0.0
    prefill_s: float = 0.0
    link_s: float = 0.0
    import_s: float = 0.0
    waste_s: float = 0.0
    belief_age_s: float = 0.0


class Choice(msgspec.Struct, frozen=True):
    """A policy's decision.

    Attributes:
        engine: The chosen engine.
        estimates: The estimates of the candidates, best first; possibly only the best few.
        num_matched_blocks: Leading prompt blocks that are presumably cached at the engine.
        estimated_ttft_s: Expected time to first token.
        import_from: Address of the kept-KV store to import from, or None.
        import_block_hash: Hash of the deepest block to import, or None.
    """

    engine: EngineName
    estimates: tuple[CandidateEstimate, ...]
    num_matched_blocks: int = 0
    estimated_ttft_s: float = 0.0
    import_from: str | None = None
    import_block_hash: BlockHash | None = None
