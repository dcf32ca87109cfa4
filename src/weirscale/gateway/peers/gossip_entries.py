"""The entries of gossip: cbor2 arrays, whose order of fields is part of the protocol."""

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.prompt import PromptBlock


class LoadGossip(msgspec.Struct, frozen=True, array_like=True):
    """The sender's own load on one back end."""

    instance: InstanceId
    num_requests: int
    waiting_tokens: int
    held_tokens: int


class SendGossip(msgspec.Struct, frozen=True, array_like=True):
    """A prompt was sent to an engine or, if `is_ready`, has been prefilled there."""

    instance: InstanceId
    scope: str
    is_ready: bool
    blocks: tuple[PromptBlock, ...]


class LoadingGossip(msgspec.Struct, frozen=True, array_like=True):
    """An engine is about to load weights or, if `is_done`, has loaded them."""

    instance: InstanceId
    model: str
    version: int
    is_done: bool


class TargetVersionGossip(msgspec.Struct, frozen=True, array_like=True):
    """The sender's upper bound on the age of a target version."""

    model: str
    version: int
    age_ms: int


class SuspectGossip(msgspec.Struct, frozen=True, array_like=True):
    """The sender could not reach a back end."""

    instance: InstanceId


class LeavingGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end announced in an answer that it is leaving.

    Attributes:
        run: The back end's run.
    """

    run: str


class EndedGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end has ended: another run answered at its address.

    Attributes:
        run: The back end's run.
    """

    run: str


class LimitGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end has just changed or dropped its request limit in an answer.

    Attributes:
        run: The back end's run.
        limit_per_s: Requests per second that it accepts from all nodes together; None for no limit.
    """

    run: str
    limit_per_s: float | None


class BrittleGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end has stated that it is brittle, or has refused a request since.

    Attributes:
        run: The back end's run.
        max_refusals: Refusals a second that it bears.
        places: Requests that it had room for when it refused one; None if it has not.
        is_refusal: Whether it has just refused a request.
    """

    run: str
    max_refusals: float
    places: int | None = None
    is_refusal: bool = False


class UsageGossip(msgspec.Struct, frozen=True, array_like=True):
    """Usage and demand of a tenant with a quota, in the quota's units per second.

    Attributes:
        tenant: The tenant.
        spent_per_s: Units sent to back ends, except requests that were provably not run.
        asked_per_s: Units requested by callers, including refused requests, by priority.
    """

    tenant: str
    spent_per_s: int
    asked_per_s: tuple[int, int, int]


class CanaryGossip(msgspec.Struct, frozen=True, array_like=True):
    """Absolute counts of a service's requests by outcome since a rollout was ordered.

    Attributes:
        service: The service.
        epoch: The rollout order.
        route: Name of the route.
        instance: An engine of the target version, or empty for all engines of older versions.
        num: Number of requests that ended there.
        num_failed: Number of requests without a complete and valid answer.
        num_slow: Number of requests that were several times slower than usual.
    """

    service: str
    epoch: int
    route: str
    instance: InstanceId
    num: int
    num_failed: int
    num_slow: int


class MovedGossip(msgspec.Struct, frozen=True, array_like=True):
    """Number of nodes that have moved a service's traffic and have no requests at older versions.

    Attributes:
        service: The service.
        epoch: The rollout order.
        num_nodes: Number of nodes, including the sender.
    """

    service: str
    epoch: int
    num_nodes: int


class CrashGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end crashed while serving a request.

    Attributes:
        request: The request's fingerprint.
        run: The back end's run.
        was_sent_after_crash: Whether the request was sent there after a known earlier crash.
    """

    request: str
    run: str
    was_sent_after_crash: bool


class AnsweredGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end answered a request during which other back ends had crashed.

    Attributes:
        request: The request's fingerprint.
    """

    request: str


class BlocksCrashGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end crashed while it began to answer a request.

    Attributes:
        run: The back end's run.
        request: The request's fingerprint.
        blocks: Keys of the prompt's shared blocks.
        was_sent_after_crash: Whether a crash with one of them was known when the request was sent.
    """

    run: str
    request: str
    blocks: tuple[str, ...]
    was_sent_after_crash: bool


class AnsweredBlockGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end answered a request with a block with which other back ends had crashed.

    Attributes:
        block: The block's key.
        was_before: Whether it was answered only before the sender heard of these crashes.
    """

    block: str
    was_before: bool = False
