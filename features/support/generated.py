"""Property checks with generated values, which are the same in every run."""

from hypothesis import given, settings


def for_all(max_examples, *strategies):
    """Run the decorated check immediately, with values drawn from the strategies."""

    def run(check):
        repeatable = settings(
            derandomize=True, deadline=None, database=None, max_examples=max_examples
        )
        repeatable(given(*strategies)(check))()

    return run
