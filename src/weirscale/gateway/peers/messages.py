"""Messages between nodes: cbor2 arrays, whose order of fields is part of the protocol.

`Gossip` improves the choice of back ends; a lost datagram causes no more than a worse choice. Loads
are absolute values, so a later message makes up for a lost one. `StateQuery` and `StateReply`
distribute the platform's state from the nodes that read the store to the others
(`replication.subscription`). `AgesQuery` and `AgesReply` carry bounds on ages
(`replication.age_exchange`). `StreamBegan`, `OriginQuery` and `OriginReply` find the service
version that began a stream (`streams.origin_exchange`).
"""

from collections.abc import Awaitable, Callable, Iterable

import cbor2
import msgspec

from weirscale.gateway.peers.gossip_entries import (
    AnsweredBlockGossip,
    AnsweredGossip,
    BlocksCrashGossip,
    BrittleGossip,
    CanaryGossip,
    CrashGossip,
    EndedGossip,
    LeavingGossip,
    LimitGossip,
    LoadGossip,
    LoadingGossip,
    MovedGossip,
    SendGossip,
    SuspectGossip,
    TargetVersionGossip,
    UsageGossip,
)
from weirscale.gateway.ports.state_feed import VersionedChange
from weirscale.gateway.settings import ListenAddress

MAX_REPLY_BYTES = 24_000
"""Larger replies are not sent, because datagrams with many fragments are lost too often."""


REST_OF_FLEET = "*"
"""Value of `Gossip.group` for all groups except the receiver's own."""


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Information that improves the choice of back ends.

    Attributes:
        sender: The sending node.
        loads: Loads on back ends.
        sends: Prompts sent to engines.
        loading: Engines that are loading or have loaded weights.
        target_versions: Always empty (see `AgesReply`); reserves the position of an earlier field.
        suspects: Unreachable back ends.
        group: Empty if the loads and counts are the sender's own. Otherwise they are the sums over
            this group's members or, with `REST_OF_FLEET`, over all groups except the receiver's.
        usage: Usage of tenants with a quota, at the same nodes as the loads.
        num_nodes: Number of nodes that the loads and counts cover.
        canary_counts: Request counts by outcome during rollouts, at the same nodes.
        moved_nodes: Number of these nodes that have moved to the target of a rollout.
        sender_run: Random number of the sender's process; counts start at 0 in each process.
        crashes: Crashes of back ends and the requests being processed at the time.
        answered: Requests that were answered, so they did not cause the crashes.
        leaving: Back ends that announced their leaving. Releases without this field ignore it.
        ended: Back ends at whose address another run answered. Ignored like `leaving`.
        limits: Request limits stated by back ends. Ignored like `leaving`.
        brittle: Brittle back ends. Ignored like `leaving`.
        blocks_crashes: Crashes and the prompt blocks of the requests that they interrupted.
            Ignored like `leaving`.
        answered_blocks: Prompt blocks of requests that were answered. Ignored like `leaving`.
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
    brittle: tuple[BrittleGossip, ...] = ()
    blocks_crashes: tuple[BlocksCrashGossip, ...] = ()
    answered_blocks: tuple[AnsweredBlockGossip, ...] = ()


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag="query"):
    """Asks a reader of the store for missing changes, and for proof that they are complete.

    Attributes:
        sender: The querying node.
        number: Query number, returned in the reply; the sender stores the send time for it.
        after_revision: Revision up to which the sender has the complete state.
    """

    sender: str
    number: int
    after_revision: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """The changes after a revision, or the notice that they must be read from the store.

    Attributes:
        sender: The reader of the store.
        number: Number of the query; 0 for changes that were sent without a query.
        after_revision: The changes are complete after this revision.
        revision: The changes are complete up to this revision.
        proof_age_ms: Everything that the store acknowledged longer ago than this is included.
        are_changes_omitted: Whether the changes are too old or too large to be sent.
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
    """Asks another node for ages that the sender cannot determine alone.

    Attributes:
        sender: The querying node.
        number: Query number, returned in the reply; the sender stores the send time for it.
    """

    sender: str
    number: int


class AgesReply(msgspec.Struct, frozen=True, array_like=True, tag="ages"):
    """Ages at the time of the reply, rounded up.

    Attributes:
        sender: The replying node.
        number: Number of the query.
        span_age_ms: Age of the beginning of the span of store answers without a long pause.
        proof_age_ms: Age of the store's last answer.
        silent_age_ms: Age of the last answer before that span, if the sender was awake during the
            silence in between; None otherwise.
        target_versions: Upper bounds on the age of target versions.
    """

    sender: str
    number: int
    span_age_ms: int
    proof_age_ms: int
    silent_age_ms: int | None = None
    target_versions: tuple[TargetVersionGossip, ...] = ()


class PermitQuery(msgspec.Struct, frozen=True, array_like=True, tag="permits?"):
    """Asks for permits to send requests to a back end that states a request limit.

    Attributes:
        sender: The querying node.
        number: Query number, returned in the reply; the sender stores the send time for it.
        run: The back end's run.
        num_requested: Number of permits that the sender can use before they expire.
        limit_per_s: The latest limit received by the sender.
        age_ms: Age of the back end's statement of this limit.
    """

    sender: str
    number: int
    run: str
    num_requested: int
    limit_per_s: float
    age_ms: int


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag="permits"):
    """Grants permits, or states how long to wait before the next query.

    Attributes:
        sender: The replying node.
        number: Number of the query.
        run: The back end's run.
        num_permits: Number of requests that may be sent to the back end.
        wait_ms: If `num_permits` is 0, time until the next query is useful.
        limit_per_s: The latest limit received by the sender; None if the back end has dropped it.
        age_ms: Age of the back end's statement of this limit.
    """

    sender: str
    number: int
    run: str
    num_permits: int
    wait_ms: int
    limit_per_s: float | None
    age_ms: int


class StreamBegan(msgspec.Struct, frozen=True, array_like=True, tag="began"):
    """States which service version made the first event of a stream.

    Attributes:
        key: Key of the stream, by `requests.stream_resumption.stream_key`.
        service: The service.
        version: Its service version.
    """

    key: int
    service: str
    version: str


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="origin?"):
    """Asks what another node has been told about a stream.

    Attributes:
        sender: The querying node.
        key: As in `StreamBegan`.
    """

    sender: str
    key: int


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag="origin"):
    """States what a node has been told about a stream.

    Attributes:
        sender: The replying node.
        key: As in `StreamBegan`.
        service: The service; empty if the node knows nothing, or in a conflict.
        version: Its service version.
        is_conflict: Whether streams of several versions began under the key.
    """

    sender: str
    key: int
    service: str = ""
    version: str = ""
    is_conflict: bool = False


PeerMessage = (
    Gossip
    | StateQuery
    | StateReply
    | AgesQuery
    | AgesReply
    | PermitQuery
    | PermitReply
    | StreamBegan
    | OriginQuery
    | OriginReply
)

SendMessage = Callable[[PeerMessage, Iterable[ListenAddress]], Awaitable[None]]
"""Sends a message to several nodes; any of them may miss it."""


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    encoded: bytes = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    return encoded


def decode_message(datagram: bytes) -> PeerMessage | None:
    """Decode a message; return None for an invalid one."""
    try:
        message: PeerMessage = msgspec.convert(
            cbor2.loads(datagram), PeerMessage, builtin_types=(bytes,)
        )
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        # The datagram is damaged or not from a node of this fleet; treat it as lost.
        return None
    return message
