"""What to do after a failed attempt: resume, continue or retry elsewhere, or give up."""

import enum

import msgspec

from weirscale.domain.configuration.model import RetryRules
from weirscale.domain.request import refusals
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal

MAX_IDLE_RESUMES = 3
"""Resumes without progress; a stream that gains chunks starts counting anew."""

MAX_IDLE_RESUMES_AFTER_STALL = 1
"""An engine that stalls twice in a row is left: waiting again costs `CHUNK_STALL_S`."""

MAX_IDLE_RESUMES_ONLY_CHOICE = 6
"""Resumes of a request that no other back end may run: with back-off, some three seconds."""

RESUME_BACKOFF_S = 0.05
"""Pause before the second idle resume; doubles with each further one."""

CHUNK_STALL_S = 3.0
"""A stream without a chunk for this long has stalled; 50 times the target between tokens."""

MIN_FIRST_CHUNK_TIMEOUT_S = 10.0
"""Least wait for a first chunk: a long prompt behind a full batch takes seconds."""

FIRST_CHUNK_TIMEOUT_FACTOR = 4.0
"""Wait for a first chunk, as a multiple of the time that the policy expected."""

RETRY_SHARE_OF_TIME_LEFT = 0.5
"""Share of the time left that an attempt may wait for its first chunk."""

MIN_SHARE_S = 1.0
"""Least of such shares, so that waiting does not end in ever shorter steps."""


class FailureClass(enum.Enum):
    """What a failure says about the request, whichever back end it came from."""

    NOT_RUN = "not_run"
    """This back end certainly did not run it; another may."""
    INVALID = "invalid"
    """This and every other back end rejects it; not run."""
    INTERRUPTED = "interrupted"
    """It may have run or be running; the same back end may still hold it."""
    STALLED = "stalled"
    """Nothing came in time; it may be running."""
    CUT_OFF = "cut_off"
    """It may have run; the back end can't be reached to find out."""
    FORGOTTEN = "forgotten"
    """It may have run; the back end does not hold it (any more)."""


class NextStep(enum.Enum):
    """What to do after a failure."""

    RESUME = "resume"
    """Ask the same engine for the rest of the same attempt."""
    ANOTHER = "another"
    """Start an attempt on another back end, continuing from what was sent."""
    GIVE_UP = "give_up"
    """Answer the caller with a refusal."""


class RequestProgress(msgspec.Struct, frozen=True):
    """What the policy may know of a request when an attempt has failed.

    Attributes:
        repeatable: Whether it may run more than once.
        num_attempts: Attempts made, the failed one included.
        num_chunks: Chunks of the answer so far, over all attempts.
        num_idle_resumes: Resumes of this attempt since its last chunk.
        may_have_run: Whether any attempt, this one included, may have run.
        time_left_s: Until the caller's deadline.
    """

    repeatable: bool
    num_attempts: int
    num_chunks: int
    num_idle_resumes: int
    may_have_run: bool
    time_left_s: float


def next_step(failure: FailureClass, progress: RequestProgress, rules: RetryRules) -> NextStep:
    """Decide what follows a failure; the retry budget has the last word on ANOTHER."""
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
    is_held_maybe = failure in (FailureClass.INTERRUPTED, FailureClass.STALLED)
    if is_only_choice and (is_held_maybe or failure is FailureClass.CUT_OFF):
        return MAX_IDLE_RESUMES_ONLY_CHOICE
    if failure is FailureClass.INTERRUPTED:
        return MAX_IDLE_RESUMES
    if failure is FailureClass.STALLED and progress.num_chunks > 0:
        return MAX_IDLE_RESUMES_AFTER_STALL
    return 0


def resume_backoff_s(num_idle_resumes: int) -> float:
    """Pause before a resume; the first goes at once."""
    if num_idle_resumes == 0:
        return 0.0
    return float(RESUME_BACKOFF_S * 2 ** (num_idle_resumes - 1))


def first_chunk_timeout_s(estimated_ttft_s: float, time_left_s: float) -> float:
    """How long to wait for a first chunk before asking again, here or elsewhere."""
    expected_s = FIRST_CHUNK_TIMEOUT_FACTOR * estimated_ttft_s
    patience_s = max(MIN_FIRST_CHUNK_TIMEOUT_S, expected_s)
    share_s = max(MIN_SHARE_S, time_left_s * RETRY_SHARE_OF_TIME_LEFT)
    return min(patience_s, share_s, time_left_s)


class RunEvidence:
    """What is known about whether a request ran, over all its attempts."""

    __slots__ = ("_has_answer", "_may_have_run")

    def __init__(self) -> None:
        self._may_have_run = False
        self._has_answer = False

    def record_possible_run(self) -> None:
        """An attempt was sent, and its failure does not prove that it did not run."""
        self._may_have_run = True

    def record_answer(self) -> None:
        """A back end has answered, at least in part."""
        self._may_have_run = True
        self._has_answer = True

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self._may_have_run

    @property
    def status(self) -> RunStatus:
        """What may be told the caller."""
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
