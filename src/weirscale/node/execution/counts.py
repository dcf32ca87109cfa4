"""Counts of what the executors did, for metrics."""

import msgspec


class GenerationCounts(msgspec.Struct):
    """What the executor counts, for metrics; only ever grows.

    Attributes:
        num_attempts: Attempts started.
        num_resumes: Streams resumed on the same engine.
        num_continued: Attempts that continued an answer on another engine.
        num_retries: Attempts after the first, before any chunk.
        num_hedges: Second attempts beside a slow first one.
        num_hedge_wins: Hedges whose chunk came first.
        num_repeated_chunks: Chunks dropped as repeated.
        num_budget_refusals: Retries or hedges that the budget refused.
    """

    num_attempts: int = 0
    num_resumes: int = 0
    num_continued: int = 0
    num_retries: int = 0
    num_hedges: int = 0
    num_hedge_wins: int = 0
    num_repeated_chunks: int = 0
    num_budget_refusals: int = 0
