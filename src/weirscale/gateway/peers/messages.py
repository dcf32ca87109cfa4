"""Messages between nodes: typed, cbor2 on the wire, as arrays whose order of fields is the wire's.

`Gossip` improves choices, and a lost datagram costs no more than a worse choice. Loads are absolute
values, so a later message makes good an earlier loss. `StateQuery` and `StateReply` spread the
platform's state from the nodes that read the store to the others (`replication.subscription`);
`AgesQuery` and `AgesReply` carry bounds on ages (`replication.age_exchange`).
"""

from collections.abc import Awaitable, Callable, Iterable

import cbor2
import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.prompt import PromptBlock
from weirscale.gateway.ports.state_feed import VersionedChange
from weirscale.gateway.settings import ListenAddress

MAX_REPLY_BYTES = 24_000
"""Larger replies are not sent: datagrams of many fragments are lost too often. Not measured."""


class LoadGossip(msgspec.Struct, frozen=True, array_like=True):
    """The sender's own load on one back end."""

    instance: InstanceId
    num_requests: int
    waiting_tokens: int
    held_tokens: int


class SendGossip(msgspec.Struct, frozen=True, array_like=True):
    """A prompt was sent to an engine, or (`is_ready`) has been read there."""

    instance: InstanceId
    scope: str
    is_ready: bool
    blocks: tuple[PromptBlock, ...]


class LoadingGossip(msgspec.Struct, frozen=True, array_like=True):
    """An engine is about to load weights, or has them (`is_done`)."""

    instance: InstanceId
    model: str
    version: int
    is_done: bool


class TargetVersionGossip(msgspec.Struct, frozen=True, array_like=True):
    """For how long a version has been the target at most, as far as the sender knows."""

    model: str
    version: int
    age_ms: int


class SuspectGossip(msgspec.Struct, frozen=True, array_like=True):
    """The sender could not reach a back end."""

    instance: InstanceId


class LeavingGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end has said in an answer that it leaves.

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
    """A back end has just stated another request limit in an answer, or none any more.

    Attributes:
        run: The back end's run.
        limit_per_s: Requests a second that it takes from all nodes together; None for any.
    """

    run: str
    limit_per_s: float | None


class UsageGossip(msgspec.Struct, frozen=True, array_like=True):
    """What a tenant with a quota spends and asks for, in its quota's units a second.

    Attributes:
        tenant: The tenant.
        spent_per_s: What was sent to back ends and not proved unrun.
        asked_per_s: What callers asked for, refused or not, by priority.
    """

    tenant: str
    spent_per_s: int
    asked_per_s: tuple[int, int, int]


class CanaryGossip(msgspec.Struct, frozen=True, array_like=True):
    """How requests of a service ended since a rollout was ordered; absolute counts.

    Attributes:
        service: The service.
        epoch: The order.
        route: Name of the route.
        instance: An engine of the target, or empty for all engines of older versions.
        num: Requests that ended there.
        num_failed: Those without a whole sound answer.
        num_slow: Those that were several times slower than usual.
    """

    service: str
    epoch: int
    route: str
    instance: InstanceId
    num: int
    num_failed: int
    num_slow: int


class MovedGossip(msgspec.Struct, frozen=True, array_like=True):
    """How many nodes know that a service's traffic moves and have nothing at older versions.

    Attributes:
        service: The service.
        epoch: The order.
        num_nodes: The nodes, the sender included.
    """

    service: str
    epoch: int
    num_nodes: int


class CrashGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end crashed under a request.

    Attributes:
        request: The request's fingerprint.
        run: The back end's run.
        was_sent_after_crash: Whether an earlier crash under it was known when it was sent there.
    """

    request: str
    run: str
    was_sent_after_crash: bool


class AnsweredGossip(msgspec.Struct, frozen=True, array_like=True):
    """A back end answered a request under which others had crashed.

    Attributes:
        request: The request's fingerprint.
    """

    request: str


REST_OF_FLEET = "*"
"""Names all groups but the receiver's own in `Gossip.group`."""


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """What improves choices.

    Attributes:
        sender: The node that sends it.
        loads: Loads on back ends.
        sends: Prompts at engines.
        loading: Engines that load weights.
        target_versions: Always empty (`AgesReply` carries them): keeps the place of a field of
            earlier releases.
        suspects: Unreachable back ends.
        group: Empty for the sender's own loads and counts; else they are the sum of this group's
            members, or with `REST_OF_FLEET` of all groups but the receiver's.
        usage: What tenants with a quota spend, of the same nodes as the loads.
        num_nodes: How many nodes that is.
        canary_counts: How requests under rollouts ended, at the same nodes.
        moved_nodes: How many of these nodes have moved to the target of a rollout.
        sender_run: Drawn at random when the sender's process starts; counts begin at 0 in each run.
        crashes: Crashes of back ends and what they were at work on.
        answered: Requests that crash nothing after all.
        leaving: Back ends that said that they leave. Releases without this field ignore it.
        ended: Back ends at whose address another run answered. As `leaving`.
        limits: Request limits that back ends stated. As `leaving`.
    """

    sender: str
    loads: tuple[LoadGossip, ...] = ()
    sends: tuple[SendGossip, ...] = ()
    loading: tuple[LoadingGossip, ...] = ()
    target_versions: tuple[TargetVersionGossip, ...] = ()
    suspects: tuple[SuspectGossip, ...] = ()
    group: str = ""
    usage: tuple[UsageGossip, ...] = ()
    num_nodes: int = 1
    canary_counts: tuple[CanaryGossip, ...] = ()
    moved_nodes: tuple[MovedGossip, ...] = ()
    sender_run: int = 0
    crashes: tuple[CrashGossip, ...] = ()
    answered: tuple[AnsweredGossip, ...] = ()
    leaving: tuple[LeavingGossip, ...] = ()
    ended: tuple[EndedGossip, ...] = ()
    limits: tuple[LimitGossip, ...] = ()


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag="query"):
    """A node asks a reader of the store for what it lacks, and for proof that this is all.

    Attributes:
        sender: The node that asks.
        number: Returned in the reply; the sender knows when it asked.
        after_revision: Revision up to which the sender knows everything.
    """

    sender: str
    number: int
    after_revision: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """The changes after a revision, or the word that they must be read from the store.

    Attributes:
        sender: The reader.
        number: Number of the query, 0 for changes that nobody asked for.
        after_revision: The changes are complete after this revision.
        revision: The changes are complete up to this revision.
        proof_age_ms: Everything acknowledged longer ago than this is in it.
        are_changes_omitted: The changes are too old or too large to be sent.
        changes: The latest change of each key.
    """

    sender: str
    number: int
    after_revision: int
    revision: int
    proof_age_ms: int
    are_changes_omitted: bool = False
    changes: tuple[VersionedChange, ...] = ()


class AgesQuery(msgspec.Struct, frozen=True, array_like=True, tag="ages?"):
    """A node asks another one for ages that it cannot know alone.

    Attributes:
        sender: The node that asks.
        number: Returned in the reply; the sender knows when it asked.
    """

    sender: str
    number: int


class AgesReply(msgspec.Struct, frozen=True, array_like=True, tag="ages"):
    """Ages at the time of the answer, rounded up.

    Attributes:
        sender: The node that answers.
        number: Number of the query.
        span_age_ms: How long ago the time began in which the store answers without a long pause.
        proof_age_ms: How long ago the store last answered.
        silent_age_ms: Age of the answer before that time, where the sender was awake and got
            nothing for long in between; None otherwise.
        target_versions: Upper bounds on the age of target versions.
    """

    sender: str
    number: int
    span_age_ms: int
    proof_age_ms: int
    silent_age_ms: int | None = None
    target_versions: tuple[TargetVersionGossip, ...] = ()


class PermitQuery(msgspec.Struct, frozen=True, array_like=True, tag="permits?"):
    """A node asks for permits to send requests to a back end that states a limit.

    Attributes:
        sender: The node that asks.
        number: Returned in the reply; the sender knows when it asked.
        run: The back end's run.
        num_requested: Permits that it can use within their life.
        limit_per_s: The limit that it knows of.
        age_ms: How long ago the back end stated it.
    """

    sender: str
    number: int
    run: str
    num_requested: int
    limit_per_s: float
    age_ms: int


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag="permits"):
    """Permits, or how long to wait before asking again.

    Attributes:
        sender: The node that answers.
        number: Number of the query.
        run: The back end's run.
        num_permits: Requests that may be sent to it.
        wait_ms: Where that is 0: time until asking again makes sense.
        limit_per_s: The limit that the sender knows of; None if it has ended.
        age_ms: How long ago the back end stated it.
    """

    sender: str
    number: int
    run: str
    num_permits: int
    wait_ms: int
    limit_per_s: float | None
    age_ms: int


PeerMessage = Gossip | StateQuery | StateReply | AgesQuery | AgesReply | PermitQuery | PermitReply

SendMessage = Callable[[PeerMessage, Iterable[ListenAddress]], Awaitable[None]]
"""Sends a message to several nodes; any of them may miss it."""


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    encoded: bytes = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    return encoded


def decode_message(datagram: bytes) -> PeerMessage | None:
    """Decode a message; None for anything else than a valid one."""
    try:
        message: PeerMessage = msgspec.convert(
            cbor2.loads(datagram), PeerMessage, builtin_types=(bytes,)
        )
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        # Not from a node of this fleet, or damaged: dropped like a datagram that was lost.
        return None
    return message
