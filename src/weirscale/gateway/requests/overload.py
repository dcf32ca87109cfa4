"""Pure rules for load shedding: which requests are refused under overload, and for how long.

A request that waits in a long queue is late and makes others late. A request that is refused at
once and retried later finds a shorter queue. The queue that a request may join is therefore limited
to a share of the route's objective. A caller's retry may join a longer queue than its first try.

While an engine prefills prompts without interruption, it generates one token for each chunk of
prefill. All of its streams then pause, although no queue is long. The limit therefore adapts to the
engines: each second in which an engine's streams pause for longer than their route allows lowers
it, and each second in which engines have no prompt to prefill raises it. Idle engines also fill a
reserve. A temporary phase of prefill only uses up the reserve; permanent prefill exhausts the
reserve and then lowers the limit.

Alternatives and measurements: `docs/design/0015-overload.md`.
"""

import msgspec

from weirscale.gateway.model.configuration import Route
from weirscale.gateway.routing.candidate import Choice

OBJECTIVE_SHARE = 0.8
"""Maximum estimated time to the first event, as a multiple of the route's objective, at which a
request may join the queue."""

CALLER_RETRY_FACTOR = 3.0
"""A caller's retry may wait this many times as long as a first try, because the caller gives up
after a second refusal."""

IDLE_WAIT_S = 0.05
"""Seconds. A back end counts as idle if other requests cause a wait of at most this; the request is
then not refused."""

FIRST_TRY_SHARE = 0.99
"""A request counts as a first try if its timeout is at least this share of the route's timeout and
not longer than the route's timeout. A request with a longer timeout may be a retry."""

MIN_RETRY_AFTER_SHARE = 0.02
"""Minimum Retry-After as a share of the request's timeout. It must exceed 1 - FIRST_TRY_SHARE, so
that the retry is recognized as one."""

MAX_RETRY_AFTER_SHARE = 0.3
"""Maximum Retry-After as a share of the request's timeout. Callers honor a Retry-After of up to a
third of their remaining time (published protocol of the platform)."""

STALL_COST_PER_S = 1.0
"""Decrease of the level for each second in which all engines stall."""

IDLE_GAIN_PER_S = 0.3
"""Increase of the level for each second in which all engines are idle. The ratio to
`STALL_COST_PER_S` determines how the time of busy engines is divided: three seconds of stalls to
ten seconds without any prefill."""

MAX_IDLE_S = 4.0
"""Maximum time in seconds for which one observation of idle engines counts. It is long enough to
restore a limit that was used up."""

STALL_RESERVE = 1.0
"""Reserve above the full limit that idle engines fill; with `STALL_COST_PER_S` it covers stalls of
one second. That is about the time in which engines with empty caches prefill the prompt parts that
their first callers share."""

MIN_LIMIT_SHARE = 0.05
"""Minimum share of the limit in force. It admits some streams even under overload, so that the
state of the engines can still be observed."""


class QueueLimit(msgspec.Struct):
    """Adaptive share of the queue limit that is in force for a service.

    Attributes:
        level: Share of the limit in force; the part above 1 is the reserve that stalls use up
            first.
        idle_updated_at_s: Time of the last observation of idle engines; None before the first.
    """

    level: float = 1.0 + STALL_RESERVE
    idle_updated_at_s: float | None = None

    @property
    def share(self) -> float:
        """Share of the limit in force, from `MIN_LIMIT_SHARE` to 1."""
        return min(1.0, self.level)

    def record_stall(self, stalled_s: float) -> None:
        """Lower the level for a stall.

        Args:
            stalled_s: Duration of the stall, averaged over the service's engines.
        """
        self.level = max(MIN_LIMIT_SHARE, self.level - STALL_COST_PER_S * stalled_s)

    def record_idle_share(self, idle_share: float, now_s: float) -> None:
        """Raise the level for idle engines.

        The share counts for the time since the last observation, up to `MAX_IDLE_S`. Requests
        arrive at random times, so the shares observed at their arrivals are right on average.

        Args:
            idle_share: Share of the service's engines that have no prompt to prefill now.
            now_s: The current time.
        """
        if self.idle_updated_at_s is not None:
            idle_s = idle_share * min(MAX_IDLE_S, now_s - self.idle_updated_at_s)
            self.level = min(1.0 + STALL_RESERVE, self.level + IDLE_GAIN_PER_S * idle_s)
        self.idle_updated_at_s = now_s


def should_refuse(choice: Choice, route: Route, timeout_s: float | None, limit: QueueLimit) -> bool:
    """Return whether a request should be refused instead of joining the queue of a back end.

    Args:
        choice: The best back end and its estimates.
        route: The request's route.
        timeout_s: Timeout of the request; None if the caller did not state one.
        limit: Queue limit in force.
    """
    if choice.scope is None or timeout_s is None:
        return False
    is_first_try = FIRST_TRY_SHARE <= timeout_s / route.timeout_s <= 1.0
    queue_wait_s = choice.estimate_s - choice.idle_s
    objective_s = OBJECTIVE_SHARE * route.objective_s
    limit_s = limit.share * objective_s * (1.0 if is_first_try else CALLER_RETRY_FACTOR)
    # A prompt that takes longer than the objective on an idle engine is late in any case, so only
    # the wait caused by other requests is compared.
    own_prompt_s = choice.idle_s if choice.idle_s <= objective_s else 0.0
    return queue_wait_s > max(IDLE_WAIT_S, limit_s - own_prompt_s)


def retry_after_s(choice: Choice, timeout_s: float | None, min_s: float) -> float:
    """Return after how many seconds a refused caller should retry.

    Args:
        choice: The best back end and its estimates.
        timeout_s: Timeout of the request; None if the caller did not state one.
        min_s: Minimum Retry-After; `MAX_RETRY_AFTER_SHARE` of the timeout takes precedence.
    """
    wait_s = max(min_s, choice.estimate_s / 2.0)
    if timeout_s is None:
        return wait_s
    return min(MAX_RETRY_AFTER_SHARE * timeout_s, max(MIN_RETRY_AFTER_SHARE * timeout_s, wait_s))
