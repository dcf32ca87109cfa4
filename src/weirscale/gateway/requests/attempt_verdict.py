"""Pure rules for what the end of an attempt proves about the request and its back end.

Whether another attempt follows is decided in `retry_decision.py`.
"""

import enum
from http import HTTPStatus

import msgspec

from weirscale.gateway.model.identifiers import InstanceId, RequestId
from weirscale.gateway.ports.back_end import Answer, SendFailure, SendFailureKind


class AttemptEnd(enum.Enum):
    """What the end of an attempt proves about the request."""

    NEVER_SENT = "never_sent"
    """Nothing was sent: the request did not run, and the back end may be down."""
    NOT_RUN = "unrun"
    """The back end proved that it did not run the request and never will."""
    ANSWERED = "answered"
    """The back end answered; the answer may be relayed to the caller."""
    FAILED = "failed"
    """The back end ran the request and failed; its answer may be relayed to the caller."""
    UNCERTAIN = "uncertain"
    """The request may have run, and there is no answer that may be relayed."""


class Verdict(msgspec.Struct, frozen=True):
    """What an attempt proves, judged by the head of its answer or by the lack of an answer.

    Attributes:
        end: What is proved about the request.
        reason: Short reason for logs.
    """

    end: AttemptEnd
    reason: str


SUCCESS = Verdict(AttemptEnd.ANSWERED, "ok")
"""The head of a successful answer; the body may still be cut short."""

NOT_CONNECTED = "connect"
"""Reason: no connection was made."""

UNSENDABLE = "unsendable"
"""Reason: the request cannot be encoded, whichever back end is chosen."""

NO_ANSWER = "no_answer"
"""Reason: the connection ended before the head of an answer arrived."""

BODY_BROKEN = "body_broken"
"""Reason: the connection ended within the body, or the body exceeded the size limit."""

NO_SIGNATURE = "no_seal"
"""Reason: a successful answer without the back end's signature."""

OTHER_ANSWER = "other_answer"
"""Reason: the answer belongs to another request."""

OTHER_INSTANCE = "other_instance"
"""Reason: another instance answered."""

TOO_SLOW = "too_slow"
"""Reason: the back end was silent for longer than the attempt's timeout."""

CANCELLED = "cancelled"
"""Reason: the gateway ended the attempt; the caller disconnected or the request timed out."""

CONNECTION_LOST = frozenset({NO_ANSWER, BODY_BROKEN})
"""Reasons of attempts whose connection ended before the end of the answer; the back end may have
crashed."""

BACK_END_FAULTS = frozenset({NO_ANSWER, OTHER_ANSWER, BODY_BROKEN, TOO_SLOW, NO_SIGNATURE})
"""Reasons of `UNCERTAIN` attempts that count as failures of the back end."""

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that promise a caller that the request did not run and never will."""

TARGET_MISMATCH = f"refused_{HTTPStatus.MISDIRECTED_REQUEST.value}"
"""Reason: the request named another instance, or other weights, than the back end has."""


def judge_failure(failure: SendFailure) -> Verdict:
    """Return the verdict on an attempt without an answer."""
    if failure.kind is SendFailureKind.NEVER_SENT:
        return Verdict(AttemptEnd.NEVER_SENT, NOT_CONNECTED)
    if failure.kind is SendFailureKind.UNSENDABLE:
        return Verdict(AttemptEnd.NEVER_SENT, UNSENDABLE)
    return Verdict(AttemptEnd.UNCERTAIN, NO_ANSWER)


def judge_answer(answer: Answer, request_id: RequestId, instance: InstanceId) -> Verdict:
    """Return the verdict on the head of an answer.

    Any answer must belong to this request, a refusal too: one to another call may arrive late, in
    the place of this answer. A successful answer must carry the back end's signature. An answer
    whose status promises "not run" is not relayed unless it carries a proof of that.
    """
    if not _belongs_to(answer, request_id):
        return Verdict(AttemptEnd.UNCERTAIN, OTHER_ANSWER)
    if answer.is_proved_unrun:
        return Verdict(AttemptEnd.NOT_RUN, f"refused_{answer.status}")
    if answer.instance is not None and answer.instance != instance:
        return Verdict(AttemptEnd.UNCERTAIN, OTHER_INSTANCE)
    if HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES:
        if answer.is_signed:
            return SUCCESS
        return Verdict(AttemptEnd.UNCERTAIN, NO_SIGNATURE)
    if promises_not_run(answer.status):
        return Verdict(AttemptEnd.UNCERTAIN, f"unproved_{answer.status}")
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Verdict(AttemptEnd.FAILED, f"status_{answer.status}")
    return Verdict(AttemptEnd.ANSWERED, f"status_{answer.status}")


def _belongs_to(answer: Answer, request_id: RequestId) -> bool:
    """Return whether an answer names its request; one to a request without an id names none."""
    return answer.request_id == (request_id or None)


def proves_run(answer: Answer, request_id: RequestId, instance: InstanceId) -> bool:
    """Return whether an answer proves that the instance was running when its request was sent.

    Any other instance at the address answers 421, and a late answer to an earlier request in the
    place of this one names that request.
    """
    is_own = answer.request_id == request_id and answer.instance in (None, instance)
    return is_own and answer.status != HTTPStatus.MISDIRECTED_REQUEST


def is_target_mismatch(verdict: Verdict) -> bool:
    """Return whether a back end refused because its instance or weights are not the expected."""
    return verdict.end is AttemptEnd.NOT_RUN and verdict.reason == TARGET_MISMATCH


def promises_not_run(status: int) -> bool:
    """Return whether a status promises that the request did not run."""
    return status in NOT_RUN_STATUSES
