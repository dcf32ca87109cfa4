"""Checks over generated values, the same ones in every run."""

from hypothesis import given, settings


def for_all(max_examples, *strategies):
    """Run the decorated check at once on values drawn from the strategies."""

    def run(check):
        fixed = settings(derandomize=True, deadline=None, database=None, max_examples=max_examples)
        fixed(given(*strategies)(check))()

    return run
