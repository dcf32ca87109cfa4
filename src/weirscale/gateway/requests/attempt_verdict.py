"""What the end of one attempt proves about the request and its back end: pure rules.

What may follow an attempt is decided in `retry_decision.py`.
"""

import enum
from http import HTTPStatus

import msgspec

from weirscale.gateway.model.identifiers import InstanceId, RequestId
from weirscale.gateway.ports.back_end import Answer, SendFailure, SendFailureKind


class AttemptEnd(enum.Enum):
    """What an attempt proves about the request."""

    NEVER_SENT = "never_sent"
    """No connection was made: it did not run and the back end may be gone."""
    NOT_RUN = "unrun"
    """The back end says that it did not and will not run it."""
    ANSWERED = "answered"
    """Answered; the answer goes to the caller."""
    FAILED = "failed"
    """The back end ran it and failed; the answer may go to the caller."""
    UNCERTAIN = "uncertain"
    """It may have run; there is no answer that may be passed on."""


class Verdict(msgspec.Struct, frozen=True):
    """What the head of an answer, or its lack, proves.

    Attributes:
        end: What is proved about the request.
        reason: Short cause for logs.
    """

    end: AttemptEnd
    reason: str


WHOLE_SUCCESS = Verdict(AttemptEnd.ANSWERED, "ok")
"""A success; the body may still break off."""

NOT_CONNECTED = "connect"
"""Reason: no connection was made."""

NO_ANSWER = "no_answer"
"""Reason: the connection ended before the head of an answer."""

BODY_BROKEN = "body_broken"
"""Reason: the connection ended within the body, or a whole answer was too large."""

NO_SIGNATURE = "no_seal"
"""Reason: a success without the back end's signature."""

OTHER_ANSWER = "other_answer"
"""Reason: the answer belongs to another request."""

OTHER_INSTANCE = "other_instance"
"""Reason: another instance answered."""

TOO_SLOW = "too_slow"
"""Reason: the back end was silent for longer than the attempt's timeout."""

CANCELLED = "cancelled"
"""Reason: the gateway ended the attempt because its caller left or the request timed out."""

CONNECTION_LOST = frozenset({NO_ANSWER, BODY_BROKEN})
"""Reasons of attempts whose connection ended before their answer did: the back end may be gone."""

BACK_END_FAULTS = frozenset({NO_ANSWER, OTHER_ANSWER, BODY_BROKEN, TOO_SLOW, NO_SIGNATURE})
"""Reasons of uncertain attempts that count as failures of the back end."""

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that promise a caller that its request did not run and never will."""

WEIGHTS_REFUSAL = f"refused_{HTTPStatus.MISDIRECTED_REQUEST.value}"
"""Reason: the back end is another one, or has other weights, than the request names."""


def judge_failure(failure: SendFailure) -> Verdict:
    """Judge an attempt without an answer."""
    if failure.kind is SendFailureKind.NEVER_SENT:
        return Verdict(AttemptEnd.NEVER_SENT, NOT_CONNECTED)
    return Verdict(AttemptEnd.UNCERTAIN, NO_ANSWER)


def judge_answer(answer: Answer, request_id: RequestId, instance: InstanceId) -> Verdict:
    """Judge the head of an answer.

    A success must carry the back end's signature and belong to this request. A status that
    promises "not run" without proof of it is not passed on.
    """
    if answer.is_proved_unrun:
        return Verdict(AttemptEnd.NOT_RUN, f"refused_{answer.status}")
    if answer.request_id != request_id:
        return Verdict(AttemptEnd.UNCERTAIN, OTHER_ANSWER)
    if answer.instance is not None and answer.instance != instance:
        return Verdict(AttemptEnd.UNCERTAIN, OTHER_INSTANCE)
    if HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES:
        if answer.is_signed:
            return WHOLE_SUCCESS
        return Verdict(AttemptEnd.UNCERTAIN, NO_SIGNATURE)
    if promises_not_run(answer.status):
        return Verdict(AttemptEnd.UNCERTAIN, f"unproved_{answer.status}")
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Verdict(AttemptEnd.FAILED, f"status_{answer.status}")
    return Verdict(AttemptEnd.ANSWERED, f"status_{answer.status}")


def is_about_weights(verdict: Verdict) -> bool:
    """Whether a back end refused for being another one, or having other weights, than expected."""
    return verdict.end is AttemptEnd.NOT_RUN and verdict.reason == WEIGHTS_REFUSAL


def promises_not_run(status: int) -> bool:
    """Whether a status promises that the request did not run."""
    return status in NOT_RUN_STATUSES
