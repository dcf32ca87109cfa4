"""Counts of the executors' attempts, retries and failures, for metrics."""

import msgspec

from weirscale.domain.request.retry_policy import NextStep


class FailureKey(msgspec.Struct, frozen=True):
    """Key under which failures are counted.

    Attributes:
        failure: Kind of the back end's failure.
        step: Step that followed the failure.
    """

    failure: str
    step: NextStep


FailureCounts = dict[FailureKey, int]


def count_failure(failures: FailureCounts, failure: str, step: NextStep) -> None:
    """Count one failed attempt."""
    key = FailureKey(failure, step)
    failures[key] = failures.get(key, 0) + 1


class GenerationCounts(msgspec.Struct):
    """Counts of the generation executor, for metrics; they never decrease.

    Attributes:
        num_attempts: Attempts started.
        num_resumes: Streams resumed on the same engine.
        num_continued: Attempts that continued an answer on another engine.
        num_retries: Attempts after the first, before any chunk was received.
        num_hedges: Second attempts in parallel with a slow first one.
        num_hedge_wins: Hedges that delivered the first chunk.
        num_repeated_chunks: Chunks dropped as repeated.
        num_budget_refusals: Retries or hedges that the budget refused.
        failures: Failed attempts and resumes.
    """

    num_attempts: int = 0
    num_resumes: int = 0
    num_continued: int = 0
    num_retries: int = 0
    num_hedges: int = 0
    num_hedge_wins: int = 0
    num_repeated_chunks: int = 0
    num_budget_refusals: int = 0
    failures: FailureCounts = msgspec.field(default_factory=dict)


class ServiceCounts(msgspec.Struct):
    """Counts of the service executor, for metrics; they never decrease.

    Attributes:
        num_attempts: Attempts started.
        num_retries: Attempts after the first.
        num_budget_refusals: Retries that the budget refused.
        failures: Failed attempts.
    """

    num_attempts: int = 0
    num_retries: int = 0
    num_budget_refusals: int = 0
    failures: FailureCounts = msgspec.field(default_factory=dict)
