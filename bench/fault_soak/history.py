"""What callers, back ends, the operator and the process table saw, as records in order of time."""

import enum
from collections.abc import Iterable
from pathlib import Path
from typing import NewType

import msgspec

RequestId = NewType("RequestId", str)
NodeName = NewType("NodeName", str)
InstanceName = NewType("InstanceName", str)
"""One incarnation of a back end."""
ServiceName = NewType("ServiceName", str)
ConfigurationVersion = NewType("ConfigurationVersion", int)
WeightsVersion = NewType("WeightsVersion", int)


class RequestKind(enum.Enum):
    """What may be done with a request."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    """Answers with numbered events; runs at most once."""
    RESUMABLE_STREAM = "resumable_stream"
    """A second run may go on where the first one ended."""


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    """Status and a body with a proper end."""
    BROKEN = "broken"
    """The connection ended before the answer did."""
    NOT_CONNECTED = "not_connected"
    TIMED_OUT = "timed_out"
    """The caller gave up."""
    LEFT = "left"
    """The caller closed its connection early, as planned."""


class Disturbance(enum.Enum):
    """What else was disturbed for a time."""

    STORE = "store"
    CONNECTIONS = "connections"
    """Connections of nodes to the store were reset; the store itself went on."""
    BACK_END = "back_end"
    HARNESS = "harness"
    """The soak itself was late: its times of this stretch prove nothing."""


class SignalName(enum.Enum):
    """A signal that a node was sent."""

    TERMINATE = "SIGTERM"
    KILL = "SIGKILL"
    PAUSE = "SIGSTOP"
    CONTINUE = "SIGCONT"
    RELOAD = "SIGHUP"


class Record(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Something that was seen at a time of the soak's monotonic clock, in seconds."""

    at_s: float


class RequestSent(Record, frozen=True, kw_only=True):
    """A caller began to send a request; `path` and `body` are what must reach the back end."""

    request: RequestId
    node: NodeName
    kind: RequestKind
    path: str
    body: str
    key: str | None = None
    deadline_s: float
    """What the caller and the route leave the request, the shorter of both."""


class RequestEnded(Record, frozen=True, kw_only=True):
    """A request ended for its caller, with what of the answer arrived.

    Attributes:
        signature: The signature of a back end, as it arrived.
        named: The request that the answer says it belongs to.
        event_numbers: Numbers of the events that arrived whole, in order.
        event_origins: Request and back end that each of these events names, as `REQUEST INSTANCE`.
    """

    request: RequestId
    outcome: Outcome
    status: int = 0
    signature: str | None = None
    named: str | None = None
    body: str = ""
    event_numbers: tuple[int, ...] = ()
    event_origins: tuple[str, ...] = ()


class RunBegan(Record, frozen=True, kw_only=True):
    """A back end began to work on a request."""

    request: RequestId
    instance: InstanceName
    service: ServiceName
    path: str
    body: str
    weights: WeightsVersion | None = None
    tenant: str | None = None
    has_key: bool = False
    """Whether the caller's key was handed on."""


class RunBroken(Record, frozen=True, kw_only=True):
    """A back end broke an answer off, by a fault of its own."""

    request: RequestId
    instance: InstanceName


class LeavingSaid(Record, frozen=True, kw_only=True):
    """A back end said in its answer to a request that it leaves."""

    request: RequestId
    instance: InstanceName


class RestAsked(Record, frozen=True, kw_only=True):
    """A back end turned a request away and wants nothing from its node for `rest_s` seconds."""

    request: RequestId
    instance: InstanceName
    rest_s: float


class LimitStated(Record, frozen=True, kw_only=True):
    """A back end stated its request limit in its answer to a request."""

    request: RequestId
    instance: InstanceName


class LimitChanged(Record, frozen=True, kw_only=True):
    """A back end states another request limit from now on, or none.

    Attributes:
        limit_per_s: Requests a second from all nodes together; None for no limit.
    """

    instance: InstanceName
    limit_per_s: float | None


class NodeStarted(Record, frozen=True, kw_only=True):
    """A process of a node was started."""

    node: NodeName


class NodeListens(Record, frozen=True, kw_only=True):
    """A process that was started took a first connection: the program had begun to run."""

    node: NodeName


class NodeSignalled(Record, frozen=True, kw_only=True):
    """A node was sent a signal.

    Attributes:
        ends_stop: SIGKILL at the end of the time that a planned stop may take.
    """

    node: NodeName
    signal: SignalName
    ends_stop: bool = False


class NodeEnded(Record, frozen=True, kw_only=True):
    """A process of a node ended; the code is negative for a signal."""

    node: NodeName
    exit_code: int


class NodeSlow(Record, frozen=True, kw_only=True):
    """A running node took long to answer a question, from `at_s` until `until_s`.

    Whatever held it up: times of this stretch prove nothing about it.
    """

    node: NodeName
    until_s: float


class NodeErrors(Record, frozen=True, kw_only=True):
    """A node's log shows an error that its program did not expect."""

    node: NodeName
    error: str


class ConfigurationAcknowledged(Record, frozen=True, kw_only=True):
    """The store took a configuration; `marker` is a path that no other version serves."""

    version: ConfigurationVersion
    marker: str
    keys: tuple[str, ...] = ()


class WeightsNamed(Record, frozen=True, kw_only=True):
    """The store took the naming of newer weights."""

    version: WeightsVersion


class OrderTaken(Record, frozen=True, kw_only=True):
    """A back end took an order to load weights."""

    instance: InstanceName
    holder: str
    fencing_token: int


class Disturbed(Record, frozen=True, kw_only=True):
    """Something but a node was disturbed from `at_s` until `until_s`."""

    what: Disturbance
    until_s: float


class FaultsEnded(Record, frozen=True, kw_only=True):
    """The last fault is over: from here on everything works."""


AnyRecord = (
    RequestSent
    | RequestEnded
    | RunBegan
    | RunBroken
    | LeavingSaid
    | RestAsked
    | LimitStated
    | LimitChanged
    | NodeStarted
    | NodeListens
    | NodeSignalled
    | NodeEnded
    | NodeSlow
    | NodeErrors
    | ConfigurationAcknowledged
    | WeightsNamed
    | OrderTaken
    | Disturbed
    | FaultsEnded
)

_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


def write_history(path: Path, records: Iterable[AnyRecord]) -> None:
    """Write one record a line."""
    path.write_bytes(b"".join(msgspec.json.encode(record) + b"\n" for record in records))


def read_history(path: Path) -> list[AnyRecord]:
    """Read what `write_history` wrote."""
    return [_decoder.decode(line) for line in path.read_bytes().splitlines()]
