"""Which callers are refused under overload, and when they should come back: pure rules.

A request that waits in a long queue is late and makes others late; one that is refused at once and
returns later finds the queue shorter. The queue that callers may join is limited to a share of the
objective. A returning caller may join a longer one than a caller that asks for the first time.

Where prompts are read without end, engines generate one token for each piece that they read, so
that every stream pauses although no queue is long. So the limit follows what engines do: each
second in which streams of an engine are silent for longer than their route allows lowers it, each
second in which engines have no prompt to read raises it. A stretch of reading that passes is borne
by a reserve that idle engines fill; reading that never ends uses it up and lowers the limit.

Ways weighed and figures: `docs/design/0015-overload.md`.
"""

import msgspec

from weirscale.gateway.model.configuration import Route
from weirscale.gateway.routing.candidate import Choice

OBJECTIVE_SHARE = 0.8
"""A first event estimated later than this multiple of the route's objective is not waited for."""

RETURNING_FACTOR = 3.0
"""A returning caller may wait for this many times as long, because a second refusal loses it."""

IDLE_WAIT_S = 0.05
"""Seconds. A wait that others cause is no reason for a refusal up to this: the back end is idle."""

FIRST_TRY_SHARE = 0.99
"""A caller that states this share of its route's time-out, and no more than all of it, asks for
the first time. One that states more may have asked before."""

MIN_RETRY_AFTER_SHARE = 0.02
"""Smallest share of its time that a caller is sent away for. It must exceed 1 - FIRST_TRY_SHARE, so
that the caller is known to return."""

MAX_RETRY_AFTER_SHARE = 0.3
"""Largest share of its time that a caller is sent away for. Callers honour up to a third of the
time that they have left (published protocol of the platform)."""

STALL_COST_PER_S = 1.0
"""What a second in which all engines stall takes from the limit and its reserve."""

IDLE_GAIN_PER_S = 0.3
"""What a second in which all engines are idle gives back. Its ratio to the cost above sets how the
time of busy engines is divided: three seconds of stalls to ten without any reading."""

MAX_IDLE_S = 4.0
"""What is found idle counts for no longer than this: enough to fill a limit that was used up."""

STALL_RESERVE = 1.0
"""What idle engines fill beyond the whole limit: with the cost above, stalls of one second. About
what it takes engines that keep nothing yet to read what their first callers share."""

MIN_LIMIT_SHARE = 0.05
"""The share never falls below this, so that some streams go on showing how things are."""


class QueueLimit(msgspec.Struct):
    """How much of the limit on queues is in force for a service.

    Attributes:
        level: The share of the limit in force and, beyond 1, the reserve that stalls use up first.
        idle_updated_at_s: When it was last known how many engines were idle.
    """

    level: float = 1.0 + STALL_RESERVE
    idle_updated_at_s: float | None = None

    @property
    def share(self) -> float:
        """The share of the limit that is in force, from `MIN_LIMIT_SHARE` to 1."""
        return min(1.0, self.level)

    def record_stall(self, stalled_s: float) -> None:
        """Take in for how many seconds a service's engines stalled, on average."""
        self.level = max(MIN_LIMIT_SHARE, self.level - STALL_COST_PER_S * stalled_s)

    def record_idle_share(self, idle_share: float, now_s: float) -> None:
        """Take in the share of a service's engines that have no prompt to read now.

        It counts for the time since it was last known. Requests come at random times, so what
        they find is what there is on average.
        """
        if self.idle_updated_at_s is not None:
            idle_s = idle_share * min(MAX_IDLE_S, now_s - self.idle_updated_at_s)
            self.level = min(1.0 + STALL_RESERVE, self.level + IDLE_GAIN_PER_S * idle_s)
        self.idle_updated_at_s = now_s


def should_refuse(choice: Choice, route: Route, timeout_s: float | None, limit: QueueLimit) -> bool:
    """Return whether a request should be refused rather than join the queue here.

    Args:
        choice: The best back end and what is expected of it.
        route: The request's route.
        timeout_s: How long the caller waits, or None if it did not say.
        limit: The limit in force.
    """
    if choice.scope is None or timeout_s is None:
        return False
    is_first_try = FIRST_TRY_SHARE <= timeout_s / route.timeout_s <= 1.0
    others_s = choice.estimate_s - choice.idle_s
    objective_s = OBJECTIVE_SHARE * route.objective_s
    limit_s = limit.share * objective_s * (1.0 if is_first_try else RETURNING_FACTOR)
    # A prompt that alone takes longer than the objective is late anyway: only the queue counts.
    own_s = choice.idle_s if choice.idle_s <= objective_s else 0.0
    return others_s > max(IDLE_WAIT_S, limit_s - own_s)


def retry_after_s(choice: Choice, timeout_s: float | None, min_s: float) -> float:
    """Return after how many seconds a refused caller should come back.

    Args:
        choice: The best back end and what is expected of it.
        timeout_s: How long the caller waits, or None if it did not say.
        min_s: Least time.
    """
    wait_s = max(min_s, choice.estimate_s / 2.0)
    if timeout_s is None:
        return wait_s
    return min(MAX_RETRY_AFTER_SHARE * timeout_s, max(MIN_RETRY_AFTER_SHARE * timeout_s, wait_s))
