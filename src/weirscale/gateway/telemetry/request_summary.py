"""The summary of a request that has ended, for logs and metrics."""

import enum

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion, TenantName
from weirscale.gateway.limits.quota import QuotaDecision
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.ports.back_end import BodyEnd, BodyFraming
from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint
from weirscale.gateway.routing.candidate import Choice

MAX_LOGGED_ID_CHARS = 64
"""Maximum number of characters of a caller's ids in a log line."""


class RequestCause(enum.StrEnum):
    """Why a request was refused, given up or timed out; listed in the log field `causes`.

    The field also lists unsuccessful attempts, each as INSTANCE:REASON
    (`requests/attempt_verdict.py`).
    """

    NO_CONFIGURATION = "no_configuration"
    """The node has not read a configuration yet."""
    CONFIGURATION_UNPROVED = "configuration_unproved"
    """The route requires a key, and the configuration is not proved to be current."""
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    """The tenant's quota has no room for the request now."""
    EXCEEDS_QUOTA = "never_in_quota"
    """The request alone costs more than the tenant's quota can ever hold."""
    QUARANTINED = "quarantined"
    """Back ends crashed while serving the request."""
    BLOCKS_QUARANTINED = "blocks_quarantined"
    """Back ends crashed on blocks that the request's prompt shares with others."""
    NO_BACK_END = "no_back_end"
    """No back end accepts requests."""
    STREAM_UNKNOWN = "stream_unknown"
    """The service version that began the stream which the caller takes up is not known."""
    VERSION_GONE = "version_gone"
    """No back end of the service version that began the stream accepts requests."""
    RESTING = "resting"
    """All back ends that could run the request have asked for a rest."""
    LIMITED = "limited"
    """All back ends that could run the request have reached their request limits or are resting."""
    FULL = "full"
    """All back ends that could run the request are brittle and have no place for this node."""
    UNSENDABLE = "unsendable"
    """The request cannot be encoded for any back end, by the caller's or the operators' words."""
    STOPPING = "stopping"
    """The node is being stopped, and the request might not end before it."""
    OVERLOADED = "overloaded"
    """The queues are too long."""
    NO_TIME = "no_time"
    """Too little time is left until the deadline for another attempt."""
    NO_EVENT_ID = "no_event_id"
    """The stream's events have no ids, so no other attempt can go on with it."""
    MAX_ATTEMPTS = "max_attempts"
    RETRY_BUDGET = "retry_budget"
    """The shared retry budget is used up."""
    TIME_OUT = "time_out"
    INTERNAL_ERROR = "internal_error"
    """The gateway itself failed; the log field adds the type of the error."""


class RequestOutcome(enum.Enum):
    """How a request ended, for logs and metrics."""

    ANSWERED = "answered"
    """A complete answer of a back end was relayed."""
    REFUSED = "refused"
    """The request did not run, and the status promises that."""
    FAILED = "failed"
    """An attempt failed or may have run, and no other may follow."""
    BROKEN = "broken"
    """A response had begun and could not be completed."""
    TIMED_OUT = "timed_out"
    ERROR = "error"
    """The gateway itself failed."""
    DISCONNECTED = "left"
    """The caller closed its connection."""


class AnswerBody(msgspec.Struct):
    """The body of one attempt's answer.

    Attributes:
        framing: What marks its end.
        end: How it ended.
        proof_s: Time from its end to the proof that it is whole, or to the lack of one; None if
            no proof was needed.
    """

    framing: BodyFraming
    end: BodyEnd = BodyEnd.ABANDONED
    proof_s: float | None = None


class RequestSummary(msgspec.Struct, frozen=True):
    """A request that has ended.

    Attributes:
        request: The request.
        route: Route that matches the request, if any.
        service: Service that was selected, if admission reached that point.
        outcome: How the request ended.
        status: HTTP status sent to the caller; 0 for none.
        choice: The last back end that was chosen, with its estimates; None before the first.
        num_attempts: Number of attempts started.
        causes: Why the request was not answered, in order.
        bodies: Bodies of the answers that were read, in order.
        first_byte_s: Time from the request's arrival to the first byte of the response.
        longest_pause_s: Longest time between two relayed parts of a stream.
        duration_s: Time from the request's arrival to its end.
        tenant: Tenant of the request, on routes that require keys.
        quota: Quota decision, if the quota refused the request.
        fingerprint: Fingerprint, the same each time that a caller sends this request; None if it
            was not computed.
        stream_version: Service version that made the stream's first event; None for no stream.
        quarantined_blocks: The blocks of the prompt for which it was refused, if it was.
    """

    request: CallerRequest
    route: Route | None
    service: ServiceName | None
    outcome: RequestOutcome
    status: int
    choice: Choice | None
    num_attempts: int
    causes: tuple[str, ...]
    bodies: tuple[AnswerBody, ...]
    first_byte_s: float | None
    longest_pause_s: float
    duration_s: float
    tenant: TenantName | None = None
    quota: QuotaDecision | None = None
    fingerprint: RequestFingerprint | None = None
    stream_version: SoftwareVersion | None = None
    quarantined_blocks: str = ""

    def is_late(self) -> bool:
        """Return whether the answer missed the route's objective for delay or pauses."""
        if self.route is None or self.first_byte_s is None:
            return False
        max_pause_s = self.route.max_pause_s
        is_pause_too_long = max_pause_s is not None and self.longest_pause_s > max_pause_s
        return is_pause_too_long or self.first_byte_s > self.route.objective_s

    def is_overload_refusal(self) -> bool:
        """Return whether the request was refused because of the queues."""
        return self.outcome is RequestOutcome.REFUSED and RequestCause.OVERLOADED in self.causes

    def is_quota_refusal(self) -> bool:
        """Return whether the request was refused because of its tenant's quota."""
        return self.outcome is RequestOutcome.REFUSED and self.quota is not None

    def is_quarantine_refusal(self) -> bool:
        """Return whether quarantine stopped the request, before or after its first attempt."""
        return RequestCause.QUARANTINED in self.causes or bool(self.quarantined_blocks)

    def deadline_passed_after_sending(self) -> bool:
        """Return whether the request timed out after at least one attempt."""
        return self.outcome is RequestOutcome.TIMED_OUT and self.num_attempts > 0
