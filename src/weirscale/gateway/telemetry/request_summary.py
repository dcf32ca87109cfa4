"""What is logged and counted of a request when it ends: its outcome, causes and figures."""

import enum

import msgspec

from weirscale.domain.identifiers import ServiceName, TenantName
from weirscale.gateway.limits.quota import QuotaDecision
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint
from weirscale.gateway.routing.candidate import Choice


class RequestCause(enum.StrEnum):
    """Why a request was refused, given up or timed out; listed in the log field `causes`.

    The same field lists failed attempts, each as INSTANCE:REASON (`requests/attempt_verdict.py`).
    """

    NO_CONFIGURATION = "no_configuration"
    """The node has not read a configuration yet."""
    CONFIGURATION_UNPROVED = "configuration_unproved"
    """The route needs a key, and the configuration is not proved to be current."""
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    """The tenant's quota has no room now."""
    NEVER_IN_QUOTA = "never_in_quota"
    """The request alone costs more than the tenant's quota ever holds."""
    QUARANTINED = "quarantined"
    """Back ends crashed under the request."""
    NO_BACK_END = "no_back_end"
    """No back end takes work."""
    RESTING = "resting"
    """All back ends that might take it have asked for a rest."""
    LIMITED = "limited"
    """All back ends that might take it get as much as they state, or rest."""
    OVERLOADED = "overloaded"
    """The queues are too long."""
    NO_TIME = "no_time"
    """Too little of the caller's time is left for another attempt."""
    MAX_ATTEMPTS = "max_attempts"
    RETRY_BUDGET = "retry_budget"
    """The shared retry budget is spent."""
    TIME_OUT = "time_out"


class RequestOutcome(enum.Enum):
    """How a request ended, for logs and metrics."""

    ANSWERED = "answered"
    """A back end's answer was passed on whole."""
    REFUSED = "refused"
    """No attempt may have run; the status promises that."""
    FAILED = "failed"
    """An attempt failed or may have run, and none may follow."""
    BROKEN = "broken"
    """A stream had begun and could not be completed."""
    TIMED_OUT = "timed_out"
    LEFT = "left"
    """The caller closed its connection."""


class RequestSummary(msgspec.Struct, frozen=True):
    """A request that has ended.

    Attributes:
        request: The request.
        route: Its route, if one was found.
        service: Service that it was for, if it was admitted so far.
        outcome: How it ended.
        status: HTTP status that the caller got; 0 for none.
        choice: The last choice of a back end.
        num_attempts: Attempts begun.
        causes: What kept it from being answered, in order.
        first_byte_s: Time from its arrival to the first byte of the answer.
        longest_pause_s: Longest time between two passed-on pieces of a stream.
        duration_s: Time from its arrival to its end.
        tenant: Its tenant, on routes with keys.
        quota: The decision that refused it, if its tenant's quota did.
        fingerprint: What tells that tries belong to one request; None where nothing asked for it.
    """

    request: CallerRequest
    route: Route | None
    service: ServiceName | None
    outcome: RequestOutcome
    status: int
    choice: Choice | None
    num_attempts: int
    causes: tuple[str, ...]
    first_byte_s: float | None
    longest_pause_s: float
    duration_s: float
    tenant: TenantName | None = None
    quota: QuotaDecision | None = None
    fingerprint: RequestFingerprint | None = None

    def is_late(self) -> bool:
        """Whether it was answered later, or with a longer pause, than its route aims at."""
        if self.route is None or self.first_byte_s is None:
            return False
        longest_s = self.route.max_pause_s
        pauses_too_long = longest_s is not None and self.longest_pause_s > longest_s
        return pauses_too_long or self.first_byte_s > self.route.objective_s

    def is_overload_refusal(self) -> bool:
        """Whether it was refused because of the queues."""
        return self.outcome is RequestOutcome.REFUSED and RequestCause.OVERLOADED in self.causes

    def is_quota_refusal(self) -> bool:
        """Whether it was refused for its tenant's quota."""
        return self.outcome is RequestOutcome.REFUSED and self.quota is not None

    def is_quarantine_refusal(self) -> bool:
        """Whether it was not sent on, or no more, for the crashes under it."""
        return RequestCause.QUARANTINED in self.causes

    def deadline_passed_after_sending(self) -> bool:
        """Whether it was sent to a back end and timed out."""
        return self.outcome is RequestOutcome.TIMED_OUT and self.num_attempts > 0
