"""What may follow an attempt: whether a request is sent again or given up, in one place.

An attempt that never reached a back end costs nothing, so another one follows while time is left
and a back end is left that was not found gone.
Any other one is followed only if

- time is left,
- the request cannot have run, or its route says that it may run twice,
- the route's attempts are not used up, and
- the shared retry budget has a retry.

An answer that has begun cannot be refused any more, only broken off. For it a refusal that proves
that nothing ran does not use up an attempt of the route, a few times.

A back end that is silent is left under the same conditions, checked beforehand, and only where
another back end could take over.
"""

import enum
from collections.abc import Callable

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.ports.callers import Headers
from weirscale.gateway.requests.attempt_verdict import AttemptEnd, Verdict
from weirscale.gateway.telemetry.request_summary import RequestCause

MIN_ATTEMPT_S = 0.02
"""With less time left, in seconds, an attempt is not worth beginning. Not measured."""

MAX_FREE_REFUSALS = 3
"""Refusals after the beginning of an answer that use up no attempt. The shared retry budget bounds
them for all requests; this keeps one request from spending it on back ends that are all full."""


class FailedAnswer(msgspec.Struct, frozen=True):
    """A back end's answer that it ran the request and failed.

    Attributes:
        status: HTTP status.
        headers: End-to-end header fields.
        body: Its whole body.
    """

    status: int
    headers: Headers
    body: bytes


class AttemptHistory(msgspec.Struct):
    """What the attempts at one request have left behind.

    Attributes:
        num_attempts: Attempts begun.
        tried: Back ends of all attempts; another attempt prefers others.
        reached: Those of them that a connection was made to.
        refused: Those of the reached ones that have only refused it, and proved that nothing ran.
        num_refusals: How often that was.
        unreachable: Those of them that could not be reached when they were last asked.
        may_have_run: Whether any attempt may have run the request.
        holds_retry: Whether a retry of the shared budget was taken for the next attempt.
        failed_answer: The last answer that the request failed at a back end.
        causes: What kept it from being answered, for the log.
    """

    num_attempts: int = 0
    tried: set[InstanceId] = msgspec.field(default_factory=set)
    reached: set[InstanceId] = msgspec.field(default_factory=set)
    refused: set[InstanceId] = msgspec.field(default_factory=set)
    num_refusals: int = 0
    unreachable: set[InstanceId] = msgspec.field(default_factory=set)
    may_have_run: bool = False
    holds_retry: bool = False
    failed_answer: FailedAnswer | None = None
    causes: list[str] = msgspec.field(default_factory=list)

    def add_verdict(self, instance: InstanceId, verdict: Verdict) -> None:
        """Take in how an attempt at a back end ended."""
        if verdict.end is AttemptEnd.NEVER_SENT:
            self.unreachable.add(instance)
        else:
            self._add_reached(instance, verdict)
        if verdict.end in (AttemptEnd.UNCERTAIN, AttemptEnd.FAILED):
            self.may_have_run = True
        if verdict.end is not AttemptEnd.ANSWERED:
            self.causes.append(f"{instance}:{verdict.reason}")

    def _add_reached(self, instance: InstanceId, verdict: Verdict) -> None:
        self.unreachable.discard(instance)
        if verdict.end is not AttemptEnd.NOT_RUN:
            self.refused.discard(instance)
        elif instance not in self.reached or instance in self.refused:
            self.refused.add(instance)
        self.num_refusals += verdict.end is AttemptEnd.NOT_RUN
        self.reached.add(instance)

    def num_used_attempts(self, has_begun: bool) -> int:
        """Return how many attempts of the route are used up.

        Args:
            has_begun: Whether the caller has the beginning of an answer.
        """
        if has_begun and self.num_refusals <= MAX_FREE_REFUSALS:
            return len(self.reached) - len(self.refused)
        return len(self.reached)


class GiveUpReason(enum.Enum):
    """Why no attempt may follow; the value is its cause for the log, if it has one."""

    NO_TIME = RequestCause.NO_TIME
    MAY_HAVE_RUN = None
    """The route does not allow it to run twice; the attempt's own reason is logged."""
    MAX_ATTEMPTS = RequestCause.MAX_ATTEMPTS
    RETRY_BUDGET = RequestCause.RETRY_BUDGET


def reason_to_give_up(
    last_end: AttemptEnd,
    history: AttemptHistory,
    route: Route,
    time_left_s: float,
    has_begun: bool,
    take_retry: Callable[[], bool],
) -> GiveUpReason | None:
    """Return why a request that is not answered is given up, or None if it is sent again.

    Args:
        last_end: How the last attempt ended.
        history: What all attempts have left behind; a retry that it holds is used up.
        route: The request's route.
        time_left_s: Time until the request's deadline.
        has_begun: Whether the caller has the beginning of an answer.
        take_retry: Takes a retry of the shared budget; False if none is left.
    """
    if time_left_s < MIN_ATTEMPT_S:
        return GiveUpReason.NO_TIME
    if last_end is AttemptEnd.NEVER_SENT:
        return None
    if history.may_have_run and not route.is_retryable:
        return GiveUpReason.MAY_HAVE_RUN
    if history.num_used_attempts(has_begun) >= route.max_attempts:
        return GiveUpReason.MAX_ATTEMPTS
    if not (history.holds_retry or take_retry()):
        return GiveUpReason.RETRY_BUDGET
    history.holds_retry = False
    return None


def may_leave_when_silent(history: AttemptHistory, route: Route, num_candidates: int) -> bool:
    """Whether a silent back end may be left for another one, given a retry to spend.

    Args:
        history: What the attempts before this one have left behind.
        route: The request's route.
        num_candidates: How many back ends this one was chosen from.
    """
    has_attempts = len(history.reached) + 1 < route.max_attempts
    return route.is_retryable and has_attempts and num_candidates > 1


class NodeRetryBudget:
    """This node's part of the retry budget that all nodes share.

    Args:
        budget: The shared budget.
        peers: Other nodes that may run.
        clock: Monotonic seconds.
    """

    def __init__(
        self, budget: SharedRetryBudget, peers: PeerDirectory, clock: Callable[[], float]
    ) -> None:
        self._budget = budget
        self._peers = peers
        self._clock = clock

    def try_take(self, service: ServiceName) -> bool:
        """Spend one retry; False if none is left."""
        return self._budget.try_take(service, self._peers.num_nodes(), self._clock())
