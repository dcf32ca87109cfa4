"""Decides after an attempt whether a request is retried or given up.

A request that cannot be encoded is given up at once.

An attempt that never reached a back end costs nothing. It is followed by another one while time is
left and there is a back end that was not found unreachable.

Any other attempt is followed by another one only if

- time is left,
- the request cannot have run, or its route allows it to run twice,
- nothing was relayed, or the last relayed event has an id from which a stream can go on,
- the route's maximum number of attempts is not reached, and
- the shared retry budget has a retry left.

Once an answer has begun, the request can no longer be refused, and giving up cuts the answer short.
In that case up to `MAX_FREE_REFUSALS` refusals that prove "not run" do not count as attempts of the
route.

An attempt at a silent back end is abandoned under the same conditions, which are checked
beforehand, and only if another back end could take over.
"""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.ports.callers import Headers
from weirscale.gateway.requests.attempt_verdict import UNSENDABLE, AttemptEnd, Verdict
from weirscale.gateway.telemetry.request_summary import AnswerBody, RequestCause

MIN_ATTEMPT_S = 0.02
"""Minimum time in seconds that must be left to start another attempt."""

MAX_FREE_REFUSALS = 3
"""Maximum number of refusals that do not count as attempts once an answer has begun; with more, all
of them count. The shared retry budget bounds them for all requests together. This limit keeps a
single request from spending that budget when all back ends are full."""


class FailedAnswer(msgspec.Struct, frozen=True):
    """Answer of a back end that ran the request and failed.

    Attributes:
        status: HTTP status.
        headers: End-to-end header fields.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes


class AttemptHistory(msgspec.Struct):
    """Combined results of all attempts at one request.

    Attributes:
        num_attempts: Number of attempts started.
        tried: Back ends of all attempts; the next attempt prefers others.
        reached: Back ends in `tried` to which a connection was made.
        refused: Back ends in `reached` that have only refused the request, with proof that it did
            not run.
        num_refusals: Number of all refusals with proof that the request did not run.
        unreachable: Back ends in `tried` that could not be reached when they were last tried.
        is_unsendable: Whether the request cannot be encoded, so that each attempt would fail.
        may_have_run: Whether any attempt may have run the request.
        holds_retry: Whether a retry of the shared budget was already taken for the next attempt.
        failed_answer: Last answer of a back end that ran the request and failed.
        stream_version: Service version that made the first event of the stream; None before.
        bodies: Bodies of the answers that were read.
        causes: Why the request was not answered, for the log.
    """

    num_attempts: int = 0
    tried: set[InstanceId] = msgspec.field(default_factory=set)
    reached: set[InstanceId] = msgspec.field(default_factory=set)
    refused: set[InstanceId] = msgspec.field(default_factory=set)
    num_refusals: int = 0
    unreachable: set[InstanceId] = msgspec.field(default_factory=set)
    is_unsendable: bool = False
    may_have_run: bool = False
    holds_retry: bool = False
    failed_answer: FailedAnswer | None = None
    stream_version: SoftwareVersion | None = None
    bodies: list[AnswerBody] = msgspec.field(default_factory=list)
    causes: list[str] = msgspec.field(default_factory=list)

    def add_verdict(self, instance: InstanceId, verdict: Verdict) -> None:
        """Add the verdict on an attempt at a back end."""
        if verdict.reason == UNSENDABLE:
            self.is_unsendable = True
        elif verdict.end is AttemptEnd.NEVER_SENT:
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
        """Return how many attempts count towards the route's maximum.

        Args:
            has_begun: Whether the caller has received the beginning of an answer.
        """
        if has_begun and self.num_refusals <= MAX_FREE_REFUSALS:
            return len(self.reached) - len(self.refused)
        return len(self.reached)


class RelayState(Protocol):
    """What has been relayed to the caller."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has received the beginning of an answer."""
        ...

    @property
    def can_continue(self) -> bool:
        """Whether another attempt can go on where the answer ends now."""
        ...


class GiveUpReason(enum.Enum):
    """Why no further attempt may follow; the value is the cause for the log, or None."""

    UNSENDABLE = RequestCause.UNSENDABLE
    NO_TIME = RequestCause.NO_TIME
    MAY_HAVE_RUN = None
    """The request may have run, and its route does not allow it to run twice. The log has only the
    attempt's own reason."""
    NO_EVENT_ID = RequestCause.NO_EVENT_ID
    MAX_ATTEMPTS = RequestCause.MAX_ATTEMPTS
    RETRY_BUDGET = RequestCause.RETRY_BUDGET


def reason_to_give_up(
    last_end: AttemptEnd,
    history: AttemptHistory,
    route: Route,
    time_left_s: float,
    relay: RelayState,
    take_retry: Callable[[], bool],
) -> GiveUpReason | None:
    """Return why an unanswered request is given up, or None if it is retried.

    Args:
        last_end: How the last attempt ended.
        history: Results of all attempts. If it holds a retry, a decision to retry uses that up.
        route: The request's route.
        time_left_s: Time until the request's deadline.
        relay: What has been relayed to the caller.
        take_retry: Takes a retry from the shared budget; returns False if none is left.
    """
    if history.is_unsendable:
        return GiveUpReason.UNSENDABLE
    if time_left_s < MIN_ATTEMPT_S:
        return GiveUpReason.NO_TIME
    if last_end is AttemptEnd.NEVER_SENT:
        return None
    if history.may_have_run and not route.is_retryable:
        return GiveUpReason.MAY_HAVE_RUN
    if not relay.can_continue:
        return GiveUpReason.NO_EVENT_ID
    if history.num_used_attempts(relay.has_begun) >= route.max_attempts:
        return GiveUpReason.MAX_ATTEMPTS
    if not (history.holds_retry or take_retry()):
        return GiveUpReason.RETRY_BUDGET
    history.holds_retry = False
    return None


def may_abandon_when_silent(history: AttemptHistory, route: Route, num_candidates: int) -> bool:
    """Return whether a silent attempt may be abandoned for another back end, given a retry.

    Args:
        history: Results of the earlier attempts.
        route: The request's route.
        num_candidates: Number of back ends that the current one was chosen from.
    """
    has_attempts = len(history.reached) + 1 < route.max_attempts
    return route.is_retryable and has_attempts and num_candidates > 1


class NodeRetryBudget:
    """This node's part of the retry budget that all nodes share.

    Args:
        budget: The shared budget.
        peers: Directory of the other nodes that may be running.
        clock: Returns the current time in monotonic seconds.
    """

    def __init__(
        self, budget: SharedRetryBudget, peers: PeerDirectory, clock: Callable[[], float]
    ) -> None:
        self._budget = budget
        self._peers = peers
        self._clock = clock

    def try_take(self, service: ServiceName) -> bool:
        """Take one retry; return False if none is left."""
        return self._budget.try_take(service, self._peers.num_nodes(), self._clock())
