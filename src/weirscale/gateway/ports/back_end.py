"""Interface to one back end: requests, orders, reports, and their possible outcomes."""

import enum
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec
from result import Result

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.model.back_ends import BackEnd, ServedModel
from weirscale.gateway.model.identifiers import Address, InstanceId, RequestId
from weirscale.gateway.ports.callers import CallerRequest, Headers
from weirscale.gateway.ports.connections import BackEndDialer


class OutboundRequest(msgspec.Struct, frozen=True):
    """One attempt of a request at one back end.

    Attributes:
        request: The caller's request.
        body: The request's body.
        instance: The intended instance; any other refuses the request without running it.
        timeout_s: Remaining time for the request.
        tenant: The tenant, if the route requires a key, or None.
        priority: 0 (most urgent) to 9, or None.
        cache_scope: Text of the scope within which cached blocks may be reused, or None.
        weight_version: Version of the weights that the engine must have, or None.
        fetch_from: IP:PORT of an engine or store with blocks that this engine lacks, or None.
        save_to: IP:PORT of the store that the engine saves the blocks to, or None.
        resume_after: Id of the last event that the caller has received, or None.
    """

    request: CallerRequest
    body: bytes
    instance: InstanceId
    timeout_s: float
    tenant: TenantName | None = None
    priority: int | None = None
    cache_scope: str | None = None
    weight_version: int | None = None
    fetch_from: Address | None = None
    save_to: Address | None = None
    resume_after: str | None = None


class BodyFraming(enum.StrEnum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    """The body has a stated length, or the answer can have no body."""
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """Nothing but the end of the connection."""


class BodyEnd(enum.StrEnum):
    """How the body of an answer ended."""

    WHOLE = "whole"
    RESET = "reset"
    """The connection broke."""
    SHORT = "short"
    """The connection ended before the stated end of the body, or its framing is invalid."""
    INSIDE_EVENT = "inside_event"
    """The connection, which alone marks the body's end, ended inside an event."""
    BEFORE_EVENT = "before_event"
    """The connection, which alone marks the body's end, ended before the first event."""
    UNPROVED = "unproved"
    """The connection, which alone marks the body's end, ended, perhaps because the back end did."""
    TOO_LARGE = "too_large"
    """The body exceeds the maximum size of a buffered answer."""
    ABANDONED = "abandoned"
    """The gateway stopped reading: the caller disconnected, or the attempt was given up."""


class Answer(msgspec.Struct, frozen=True):
    """The head of a back end's answer, and a stream of its body.

    Attributes:
        status: HTTP status.
        headers: End-to-end header fields.
        request_id: Id of the request that the answer belongs to, or None if not stated.
        instance: Instance that answered, or None if not stated.
        is_proved_unrun: Whether the back end states that it did not and will not run the request.
        is_signed: Whether the answer carries the back end's signature.
        weight_version: Version of the weights, or None.
        body: Chunks in order; raises `BodyBrokenError` if the body ends early.
        framing: What marks the end of the body. If only the end of the connection does, a back end
            that crashed may look as if it had ended its answer.
    """

    status: int
    headers: Headers
    request_id: RequestId | None
    instance: InstanceId | None
    is_proved_unrun: bool
    is_signed: bool
    weight_version: int | None
    body: AsyncIterator[bytes]
    framing: BodyFraming = BodyFraming.LENGTH


class AnswerNotice(msgspec.Struct, frozen=True):
    """Information about the back end itself in the head of an answer, whatever its status.

    Attributes:
        is_other_run: Whether a run other than the intended one answered at the address. The other
            attributes then do not apply to the intended run.
        is_leaving: Whether the back end is shutting down and should get no new requests.
        rest_s: Seconds from this answer for which this node must send it no requests; 0 for none.
        unreadable_rest: The raw value of a rest time that could not be parsed; empty for none.
        limit_per_s: Requests per second that it accepts from all nodes together; None if not
            stated.
        unreadable_limit: The raw value of a limit that could not be parsed; empty for none.
        unlimited_for_s: If the answer is successful and states no limit, the seconds since its
            request was sent; None for any other answer.
        max_refusals_per_s: Refusals per second that it bears before it ends; None if not stated.
        unreadable_refusals: The raw value of such a number that could not be parsed; empty for
            none.
        sound_for_s: As `unlimited_for_s`, for an answer that states no number of refusals.
        unknown_names: Names of back-end headers that this release does not support.
    """

    is_other_run: bool = False
    is_leaving: bool = False
    rest_s: float = 0.0
    unreadable_rest: str = ""
    limit_per_s: float | None = None
    unreadable_limit: str = ""
    unlimited_for_s: float | None = None
    max_refusals_per_s: float | None = None
    unreadable_refusals: str = ""
    sound_for_s: float | None = None
    unknown_names: tuple[str, ...] = ()


NoticeHandler = Callable[[BackEnd, AnswerNotice], None]
"""Called with a back end and its notice as soon as the head of an answer is received."""


class BodyBrokenError(Exception):
    """The body of an answer ended before it was complete.

    Attributes:
        end: How it ended.
    """

    def __init__(self, end: BodyEnd) -> None:
        super().__init__(f"the body of the answer is not complete: {end}")
        self.end = end


class SendFailureKind(enum.Enum):
    """How far a request without an answer got."""

    NEVER_SENT = "never_sent"
    """No connection was established."""
    UNSENDABLE = "unsendable"
    """The request cannot be encoded, for this back end or any other; nothing was sent."""
    CLOSED = "closed"
    """The request was sent, but the connection closed or no valid answer arrived."""


class SendFailure(msgspec.Struct, frozen=True):
    """A request failed without an answer."""

    kind: SendFailureKind
    detail: str


class OrderOutcome(enum.Enum):
    """An engine's response to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    WRONG_INSTANCE = "wrong_instance"
    UNKNOWN = "unknown"


class LoadMode(enum.Enum):
    """How an engine treats running requests while it loads new weights."""

    AFTER_RUNS = "after_runs"
    """Running requests end first; new requests are refused until then, for some seconds."""
    DURING_RUNS = "during_runs"
    """Running requests continue, with the new weights once these are loaded. Only the load itself
    takes time."""


class WeightOrder(msgspec.Struct, frozen=True):
    """An order to an engine to load new weights.

    Attributes:
        model: Model whose weights change.
        version: Version to load.
        holder: Name of the lease holder that gives the order.
        fencing_token: Fencing token of the holder's lease.
        expected_sequence: Number of orders that the engine has accepted so far; the engine refuses
            the order if the number differs.
        instance: The intended instance.
        mode: How running requests are treated.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    expected_sequence: int
    instance: InstanceId
    mode: LoadMode = LoadMode.DURING_RUNS


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its state, which may be some hundred milliseconds old.

    Attributes:
        models: Models and versions.
        has_pending_order: Whether an order is in progress.
        sequence: Number of orders accepted since the engine started.
    """

    models: tuple[ServedModel, ...]
    has_pending_order: bool
    sequence: int


class RunState(enum.Enum):
    """State of the intended run of a back end."""

    RUNNING = "lives"
    """The run answered."""
    ENDED = "ended"
    """Nothing listens at its address, or another run answered."""
    UNKNOWN = "unknown"
    """There was no answer, or it does not state its instance."""


class BackEndPort(Protocol):
    """Calls to one instance of a back end."""

    def send(
        self, outbound: OutboundRequest
    ) -> AbstractAsyncContextManager[Result[Answer, SendFailure]]:
        """Send a request; exiting the context before the end of the body cancels it.

        Only connecting has its own timeout; the caller must limit the remaining time.
        """
        ...

    async def order(self, order: WeightOrder, timeout_s: float) -> OrderOutcome:
        """Send an order."""
        ...

    async def report(self, timeout_s: float) -> EngineReport | None:
        """Request the engine's report; return None if there is no answer."""
        ...

    async def is_healthy(self, path: str, timeout_s: float) -> bool:
        """Return whether the intended instance answers its health check as healthy."""
        ...

    async def run_state(self, path: str, timeout_s: float) -> RunState:
        """Determine by a health check, whatever its result, whether the intended run is alive."""
        ...

    async def check_run(self, path: str, timeout_s: float) -> RunState:
        """Determine the same over a connection that `check_run_without_slot` can use later."""
        ...

    async def check_run_without_slot(self, timeout_s: float) -> RunState:
        """Determine the same by a call that needs no slot.

        Returns `UNKNOWN` if the back end has no such call, or there is no connection which is known
        to lead to the intended run.
        """
        ...

    async def close(self) -> None:
        """Close idle connections."""
        ...


class BackEndConnector(Protocol):
    """Creates the port of a back end."""

    def __call__(
        self,
        back_end: BackEnd,
        max_connections: int,
        on_notice: NoticeHandler,
        dialer: BackEndDialer,
    ) -> BackEndPort:
        """Return a port, without opening a connection yet.

        Args:
            back_end: The intended run.
            max_connections: Maximum number of connections to the back end.
            on_notice: Called with the notice in each answer and the back end that gave it.
            dialer: Opens the connections.
        """
        ...
