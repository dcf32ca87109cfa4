"""How an attempt ended and what may follow: pure rules of repeating and refusing."""

import enum

import msgspec

from weirscale.gateway.model.identifiers import InstanceId, RequestId
from weirscale.gateway.ports.back_end import Answer, SendFailure, SendFailureKind

HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300
HTTP_INTERNAL_ERROR = 500


class AttemptEnd(enum.Enum):
    """What an attempt proves about the request."""

    NEVER_SENT = "never_sent"
    """No connection was made: it did not run and the back end may be gone."""
    UNRUN = "unrun"
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
        end: How the attempt stands.
        reason: Short cause for logs.
    """

    end: AttemptEnd
    reason: str


WHOLE_SUCCESS = Verdict(AttemptEnd.ANSWERED, "ok")
"""A success; what comes after its head may still break off."""

CANCELLED = "cancelled"
"""Reason of an attempt that its exchange ended: the caller left, or the time was over."""


NO_ANSWER = "no_answer"
BODY_BROKEN = "body_broken"
CONNECTION_LOST = frozenset({NO_ANSWER, BODY_BROKEN})
"""Reasons of attempts whose connection ended before their answer did: the back end may be gone."""


def judge_failure(failure: SendFailure) -> Verdict:
    """Judge an attempt without an answer."""
    if failure.kind is SendFailureKind.NEVER_SENT:
        return Verdict(AttemptEnd.NEVER_SENT, "connect")
    return Verdict(AttemptEnd.UNCERTAIN, NO_ANSWER)


def judge_answer(answer: Answer, request_id: RequestId, instance: InstanceId) -> Verdict:
    """Judge the head of an answer.

    A success must carry the back end's signature and belong to this request. A refusal without
    proof that the request did not run is passed on as neither a promise nor a success.
    """
    if answer.is_proved_unrun:
        return Verdict(AttemptEnd.UNRUN, f"refused_{answer.status}")
    if answer.request_id != request_id:
        return Verdict(AttemptEnd.UNCERTAIN, "other_answer")
    if answer.instance is not None and answer.instance != instance:
        return Verdict(AttemptEnd.UNCERTAIN, "other_instance")
    if HTTP_OK <= answer.status < HTTP_MULTIPLE_CHOICES:
        if answer.is_sealed:
            return WHOLE_SUCCESS
        return Verdict(AttemptEnd.UNCERTAIN, "no_seal")
    if is_promise(answer.status):
        return Verdict(AttemptEnd.UNCERTAIN, f"unproved_{answer.status}")
    if answer.status >= HTTP_INTERNAL_ERROR:
        return Verdict(AttemptEnd.FAILED, f"status_{answer.status}")
    return Verdict(AttemptEnd.ANSWERED, f"status_{answer.status}")


HTTP_MISDIRECTED = 421


def is_about_weights(verdict: Verdict) -> bool:
    """Whether a back end refused for being another one, or having other weights, than expected."""
    return verdict.end is AttemptEnd.UNRUN and verdict.reason == f"refused_{HTTP_MISDIRECTED}"


PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and never will."""


def is_promise(status: int) -> bool:
    """Whether a status promises that the request did not run."""
    return status in PROMISES
