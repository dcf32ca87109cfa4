"""Record of a request's routing decisions at a node, and the call that reads it."""

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
    """Result of an attempt.

    Attributes:
        failure: Kind of the failure; None for a complete answer.
        detail: Detail of the failure.
        num_prompt_tokens: Prompt tokens according to the engine.
        num_cached_tokens: Prompt tokens that the engine found in its cache.
        ttft_s: Time to the first chunk; None without a chunk.
        duration_s: Duration of the attempt.
    """

    failure: str | None
    detail: str
    num_prompt_tokens: int
    num_cached_tokens: int
    ttft_s: float | None
    duration_s: float


class AttemptRecord(msgspec.Struct, frozen=True):
    """One routing decision and its result.

    Attributes:
        attempt: Number of the attempt.
        decided_at_s: Time of the decision on the node's clock.
        engine: The chosen engine; None if the attempt was refused.
        address: Address of the engine.
        incarnation: The chosen engine's run.
        weight_version: The required weight version.
        num_candidates: Engines among which the policy chose.
        num_held_out: Other engines of the model, which were down, leaving, full or unsuitable.
        estimates: Cost estimates of the best candidates, best first.
        num_predicted_cached_tokens: Prompt tokens that were expected to be cached.
        estimated_ttft_s: Expected time to first token.
        refusal: Code of the refusal; None if an engine was chosen.
        result: Result of the attempt; None while it runs.
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
    """All routing decisions for one request at one node.

    Attributes:
        request_id: Id of the request.
        node: The node that served the request.
        tenant: The request's tenant.
        model: The requested model.
        attempts: The decisions in order.
    """

    request_id: RequestId
    node: NodeName
    tenant: TenantName
    model: ModelName
    attempts: tuple[AttemptRecord, ...]


class ExplainRequest(msgspec.Struct, frozen=True, tag="explain_request"):
    """Request to a node for its record of a request."""

    request_id: RequestId


class ExplainReply(msgspec.Struct, frozen=True, tag="explain_reply"):
    """The node's record of the request, or None."""

    record: DecisionRecord | None
