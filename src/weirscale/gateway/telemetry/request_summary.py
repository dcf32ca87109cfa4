"""What is told of a request when it ends."""

import enum

import msgspec

from weirscale.domain.identifiers import ServiceName, TenantName
from weirscale.gateway.limits.quota import QuotaDecision
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint
from weirscale.gateway.routing.candidate import Choice

OVERLOADED = "overloaded"
"""Cause of a refusal because of the queues."""


OVER_QUOTA = "over_quota"
"""Cause of a refusal because of the tenant's quota."""

NEVER_IN_QUOTA = "never_in_quota"
"""Cause of a refusal of a request that alone costs more than the quota ever holds."""


QUARANTINED = "quarantined"
"""Cause of a refusal because back ends crashed under the request."""


class Stage(enum.Enum):
    """How a request ended, for logs and metrics."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    LEFT = "left"


class ExchangeSummary(msgspec.Struct, frozen=True):
    """What is logged of a request when it ends."""

    request: CallerRequest
    route: Route | None
    service: ServiceName | None
    stage: Stage
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
    """What tells that tries belong to one request; None where nothing asked for it."""

    def is_late(self) -> bool:
        """Whether it was answered later, or with a longer pause, than its route aims at."""
        if self.route is None or self.first_byte_s is None:
            return False
        longest_s = self.route.max_pause_s
        pauses_too_long = longest_s is not None and self.longest_pause_s > longest_s
        return pauses_too_long or self.first_byte_s > self.route.objective_s

    def is_overload_refusal(self) -> bool:
        """Whether its caller was told to come back because of the queues."""
        return self.stage is Stage.REFUSED and OVERLOADED in self.causes

    def is_quota_refusal(self) -> bool:
        """Whether it was refused for its tenant's quota."""
        return self.stage is Stage.REFUSED and self.quota is not None

    def is_quarantine_refusal(self) -> bool:
        """Whether it was not sent on, or no more, for the crashes under it."""
        return QUARANTINED in self.causes

    def deadline_passed_after_sending(self) -> bool:
        """Whether an engine worked on it, or let it wait, until its time was over."""
        return self.stage is Stage.TIMED_OUT and self.num_attempts > 0
