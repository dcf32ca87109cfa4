"""Items of a workload plan: the request, its send time and the behaviour of its caller."""

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
        leaves_after_s: Time after which the caller closes its connection; None: it does not.
        read_delay_s: Delay after each chunk that the caller reads; 0 for a fast reader.
    """

    leaves_after_s: float | None = None
    read_delay_s: float = 0.0


class PromptParts(msgspec.Struct, frozen=True):
    """A prompt by reference to its sections, so that a plan of thousands of prompts stays small.

    Attributes:
        sections: Names and sizes in bytes of the shared sections, outermost first.
        question: The caller's own text after the sections.
    """

    sections: tuple[tuple[str, int], ...]
    question: str


class GenerationItem(msgspec.Struct, frozen=True, tag="generation"):
    """One request for generated text.

    Attributes:
        request_id: Id of the request, unique in the plan.
        send_at_s: Planned send time, from the start of the run.
        tenant: Tenant of the caller.
        zone: Zone of the caller.
        node_index: Index of the node in the zone, modulo the number of its nodes.
        model: Requested model.
        parts: The prompt.
        max_tokens: Maximum number of tokens to generate.
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
        request_id: Id of the request, unique in the plan.
        send_at_s: Planned send time, from the start of the run.
        tenant: Tenant of the caller.
        zone: Zone of the caller.
        node_index: Index of the node in the zone, modulo the number of its nodes.
        service: Requested service.
        method: HTTP method.
        path: Path relative to the root of the service.
        body: Whole body; it contains the marker of the request, so that answers are
            distinguishable.
        deadline_s: Time after `send_at_s` at which the caller gives up.
        repeatable: Whether the request may run more than once.
        idempotency_key: The caller's idempotency key, or None.
        repeats: Item that an impatient caller sends again with this one, with the same key; None if
            this is a first send.
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
