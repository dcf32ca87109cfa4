"""Items of a workload plan: what a caller sends, when, and how it behaves."""

import msgspec

from weirscale.domain.identifiers import (
    ModelName,
    RequestId,
    ServiceName,
    TenantName,
    ZoneName,
)


class CallerBehaviour(msgspec.Struct, frozen=True):
    """How the caller of one item behaves.

    Attributes:
        leaves_after_s: The caller closes its connection after this time; None: it stays.
        read_delay_s: Pause after each chunk that it reads; 0 for a fast reader.
    """

    leaves_after_s: float | None = None
    read_delay_s: float = 0.0


class PromptParts(msgspec.Struct, frozen=True):
    """A prompt by reference, so that a plan of thousands of prompts stays small.

    Attributes:
        sections: Names and sizes in bytes of the shared sections, outermost first.
        question: The caller's own text after them.
    """

    sections: tuple[tuple[str, int], ...]
    question: str


class GenerationItem(msgspec.Struct, frozen=True, tag="generation"):
    """One request for generated text.

    Attributes:
        request_id: Unique in the plan.
        send_at_s: Intended send time, from the start of the run.
        tenant: Who sends it.
        zone: The zone that the caller is near.
        node_index: Which node of the zone it is sent through, modulo their number.
        model: The model asked for.
        parts: The prompt.
        max_tokens: Most tokens to generate.
        deadline_s: Time after `send_at_s` at which the caller gives up.
        behaviour: How the caller behaves.
    """

    request_id: RequestId
    send_at_s: float
    tenant: TenantName
    zone: ZoneName
    node_index: int
    model: ModelName
    parts: PromptParts
    max_tokens: int
    deadline_s: float
    behaviour: CallerBehaviour = CallerBehaviour()


class ServiceItem(msgspec.Struct, frozen=True, tag="service"):
    """One request to a named service.

    Attributes:
        request_id: Unique in the plan.
        send_at_s: Intended send time, from the start of the run.
        tenant: Who sends it.
        zone: The zone that the caller is near.
        node_index: Which node of the zone it is sent through, modulo their number.
        service: The service.
        method: HTTP method.
        path: Path below the service's root.
        body: The whole body; it carries the request's marker, so answers can be told apart.
        deadline_s: Time after `send_at_s` at which the caller gives up.
        repeatable: Whether it may run more than once.
        idempotency_key: The caller's key, or None.
        repeats: The item that this one sends again, impatiently, with the same key; else None.
    """

    request_id: RequestId
    send_at_s: float
    tenant: TenantName
    zone: ZoneName
    node_index: int
    service: ServiceName
    method: str
    path: str
    body: bytes
    deadline_s: float
    repeatable: bool
    idempotency_key: str | None
    repeats: RequestId | None = None


PlanItem = GenerationItem | ServiceItem
