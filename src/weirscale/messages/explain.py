"""What a node remembers of a request's routing, and the call that asks a node for it."""

import msgspec

from weirscale.domain.choice.policy import CandidateEstimate
from weirscale.domain.identifiers import (
    EngineName,
    Incarnation,
    ModelName,
    NodeName,
    RequestId,
    TenantName,
    WeightVersion,
)


class AttemptResult(msgspec.Struct, frozen=True):
    """What became of an attempt.

    Attributes:
        failure: Kind of the failure, None for a complete answer.
        detail: The failure's detail.
        num_prompt_tokens: As the engine counted.
        num_cached_tokens: Prompt tokens that the engine took from its cache.
        ttft_s: Time to the first chunk, None without one.
        duration_s: Time to the end.
    """

    failure: str | None
    detail: str
    num_prompt_tokens: int
    num_cached_tokens: int
    ttft_s: float | None
    duration_s: float


class AttemptRecord(msgspec.Struct, frozen=True):
    """One decision and its outcome.

    Attributes:
        attempt: Its number.
        decided_at_s: When, on the node's clock.
        engine: The engine chosen, None when the attempt was refused.
        address: Where it was called.
        incarnation: The run chosen.
        weight_version: The version that had to serve.
        num_candidates: Engines that were weighed.
        num_held_out: Engines of the model that were not: down, leaving, full or unfit.
        estimates: The terms of the best candidates, best first.
        num_predicted_cached_tokens: Prompt tokens that were counted on to be cached.
        estimated_ttft_s: Expected time to first token.
        refusal: Code of the refusal, None when an engine was chosen.
        result: What became of it, None while it runs.
    """

    attempt: int
    decided_at_s: float
    engine: EngineName | None
    address: str
    incarnation: Incarnation | None
    weight_version: WeightVersion | None
    num_candidates: int
    num_held_out: int
    estimates: tuple[CandidateEstimate, ...]
    num_predicted_cached_tokens: int
    estimated_ttft_s: float
    refusal: str | None = None
    result: AttemptResult | None = None


class DecisionRecord(msgspec.Struct, frozen=True):
    """All decisions of one request on one node.

    Attributes:
        request_id: The request.
        node: The node that served it.
        tenant: Its tenant.
        model: The model asked for.
        attempts: Decisions in order.
    """

    request_id: RequestId
    node: NodeName
    tenant: TenantName
    model: ModelName
    attempts: tuple[AttemptRecord, ...]


class ExplainRequest(msgspec.Struct, frozen=True, tag="explain_request"):
    """Asks a node what it remembers of a request."""

    request_id: RequestId


class ExplainReply(msgspec.Struct, frozen=True, tag="explain_reply"):
    """What the node remembers, None if nothing."""

    record: DecisionRecord | None
