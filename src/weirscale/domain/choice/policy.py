"""What a policy that chooses an engine is told, and what it answers."""

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
    """An engine that may take the request, with what the node believes of it.

    Attributes:
        engine: Its name.
        zone: Where it stands.
        role: Which phase it serves.
        incarnation: The run last seen.
        weight_version: The version last seen.
        link_delay_s: One-way delay from this node.
        num_outstanding: Requests on it: last report corrected by what this node sent since.
        num_waiting_prefill_tokens: Prompt tokens to compute before a new request's, corrected.
        prefill_tokens_per_s: Prefill speed, measured or declared.
        max_concurrent_requests: Declared concurrency.
        num_total_blocks: Blocks that its cache holds.
        num_cached_blocks: Blocks held, as last reported.
        report_age_s: Age of the load report.
        admission_weight: 1 when healthy; below 1 while it returns slowly after failures.
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
    """What a policy may know of a request.

    Attributes:
        request_id: The request.
        tenant: Its tenant.
        block_hashes: Chained hashes of its full prompt blocks.
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
    """The terms that a policy weighed for one candidate, for `explain`; seconds and tokens.

    Attributes:
        engine: The candidate.
        cost: What was minimised.
        num_matched_blocks: Prompt blocks believed to be cached there.
        queue_s: Wait behind others.
        prefill_s: Computing the missing part.
        link_s: Network delay.
        import_s: Importing from the kept-KV store, 0 when not imported.
        waste_s: Weighted recomputation and eviction caused.
        belief_age_s: Age of the cache belief used.
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
        engine: The engine chosen.
        estimates: What was weighed, best first; may be cut to the best few.
        num_matched_blocks: Blocks that the policy counts on.
        estimated_ttft_s: Expected time to first token.
        import_from: Address of a kept-KV store to import from, or None.
        import_block_hash: Deepest block to import, or None.
    """

    engine: EngineName
    estimates: tuple[CandidateEstimate, ...]
    num_matched_blocks: int = 0
    estimated_ttft_s: float = 0.0
    import_from: str | None = None
    import_block_hash: BlockHash | None = None
