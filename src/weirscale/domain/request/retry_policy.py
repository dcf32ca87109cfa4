"""Decisions after a failed attempt: resume it, try another back end, or give up."""

import enum

import msgspec

from weirscale.domain.configuration.model import RetryRules
from weirscale.domain.request import refusals
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal

MAX_IDLE_RESUMES = 3
"""Maximum resumes without progress; each received chunk resets the count."""

MAX_IDLE_RESUMES_AFTER_STALL = 1
"""An engine that stalls twice in a row is abandoned: waiting again costs `CHUNK_STALL_S`."""

MAX_IDLE_RESUMES_ONLY_CHOICE = 6
"""Maximum resumes of a request that no other back end may run: with backoff, about 3 s."""

RESUME_BACKOFF_S = 0.05
"""Backoff before the second resume without progress; doubles with each further one."""

CHUNK_STALL_S = 3.0
"""A stream has stalled after this long without a chunk; 50 times the target between tokens."""

MIN_FIRST_CHUNK_TIMEOUT_S = 10.0
"""Minimum timeout of the first chunk: a long prompt behind a full batch takes seconds."""

FIRST_CHUNK_TIMEOUT_FACTOR = 4.0
"""Timeout of the first chunk, as a multiple of the expected time to first token."""

RETRY_SHARE_OF_TIME_LEFT = 0.5
"""Maximum share of the time left that an attempt may wait for its first chunk."""

MIN_SHARE_S = 1.0
"""Minimum of that share, so that successive attempts do not get ever shorter timeouts."""


class FailureClass(enum.Enum):
    """What a failure implies about the request, whichever back end failed."""

    NOT_RUN = "not_run"
    """This back end certainly did not run the request; another back end may."""
    INVALID = "invalid"
    """Every back end rejects the request; it did not run."""
    INTERRUPTED = "interrupted"
    """The request may have run or be running; the same back end may still have it."""
    STALLED = "stalled"
    """No chunk arrived in time; the request may be running."""
    CUT_OFF = "cut_off"
    """The request may have run; the back end cannot be reached to find out."""
    FORGOTTEN = "forgotten"
    """The request may have run; the back end does not have it, or no longer."""


class NextStep(enum.Enum):
    """The action after a failure."""

    RESUME = "resume"
    """Ask the same engine for the rest of this attempt's answer."""
    ANOTHER = "another"
    """Start an attempt on another back end that continues after the chunks already sent."""
    GIVE_UP = "give_up"
    """Answer the caller with a refusal."""


class RequestProgress(msgspec.Struct, frozen=True):
    """Progress of a request at the time of a failed attempt.

    Attributes:
        repeatable: Whether the request may run more than once.
        num_attempts: Number of attempts, the failed one included.
        num_chunks: Number of chunks of the answer so far, over all attempts.
        num_idle_resumes: Number of resumes of this attempt since its last chunk.
        may_have_run: Whether any attempt, this one included, may have run.
        time_left_s: Seconds until the caller's deadline.
    """

    repeatable: bool
    num_attempts: int
    num_chunks: int
    num_idle_resumes: int
    may_have_run: bool
    time_left_s: float


def next_step(failure: FailureClass, progress: RequestProgress, rules: RetryRules) -> NextStep:
    """Return the action after a failure; ANOTHER also needs a token of the retry budget."""
    if progress.time_left_s <= 0 or failure is FailureClass.INVALID:
        return NextStep.GIVE_UP
    may_run_elsewhere = progress.repeatable or not progress.may_have_run
    is_only_choice = not may_run_elsewhere or progress.num_attempts >= rules.max_attempts
    if progress.num_idle_resumes < _max_idle_resumes(failure, progress, is_only_choice):
        return NextStep.RESUME
    return NextStep.GIVE_UP if is_only_choice else NextStep.ANOTHER


def _max_idle_resumes(
    failure: FailureClass, progress: RequestProgress, is_only_choice: bool
) -> int:
    may_be_held = failure in (FailureClass.INTERRUPTED, FailureClass.STALLED)
    if is_only_choice and (may_be_held or failure is FailureClass.CUT_OFF):
        return MAX_IDLE_RESUMES_ONLY_CHOICE
    if failure is FailureClass.INTERRUPTED:
        return MAX_IDLE_RESUMES
    if failure is FailureClass.STALLED and progress.num_chunks > 0:
        return MAX_IDLE_RESUMES_AFTER_STALL
    return 0


def resume_backoff_s(num_idle_resumes: int) -> float:
    """Return the pause before a resume; there is none before the first."""
    if num_idle_resumes == 0:
        return 0.0
    return float(RESUME_BACKOFF_S * 2 ** (num_idle_resumes - 1))


def first_chunk_timeout_s(estimated_ttft_s: float, time_left_s: float) -> float:
    """Return how long to wait for a first chunk before resuming or trying another back end."""
    expected_s = FIRST_CHUNK_TIMEOUT_FACTOR * estimated_ttft_s
    timeout_s = max(MIN_FIRST_CHUNK_TIMEOUT_S, expected_s)
    share_s = max(MIN_SHARE_S, time_left_s * RETRY_SHARE_OF_TIME_LEFT)
    return min(timeout_s, share_s, time_left_s)


class RunEvidence:
    """Evidence of whether a request ran, over all its attempts."""

    __slots__ = ("_has_answer", "_may_have_run")

    def __init__(self) -> None:
        self._may_have_run = False
        self._has_answer = False

    def record_possible_run(self) -> None:
        """Record a sent attempt whose failure does not prove that the request did not run."""
        self._may_have_run = True

    def record_answer(self) -> None:
        """Record that a back end has answered, at least in part."""
        self._may_have_run = True
        self._has_answer = True

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self._may_have_run

    @property
    def status(self) -> RunStatus:
        """The run status to report to the caller."""
        if self._has_answer:
            return RunStatus.RAN
        return RunStatus.UNKNOWN if self._may_have_run else RunStatus.NOT_RUN


def final_refusal(
    failure: FailureClass, detail: str, evidence: RunEvidence, time_left_s: float
) -> Refusal:
    """Return the refusal that ends a request after a failure."""
    if time_left_s <= 0:
        return refusals.deadline_exceeded(evidence.status)
    if evidence.status is RunStatus.RAN:
        return refusals.stream_broken(detail)
    if failure is FailureClass.INVALID and not evidence.may_have_run:
        return refusals.rejected_by_engine(detail)
    return refusals.backend_failed(evidence.status, detail)
