"""When queries went out whose answers are still waited for: answers count from then."""

from random import Random

MAX_OPEN_QUERIES = 8
"""Queries whose answers are waited for; beyond it the oldest are given up. Not measured."""

NUMBER_BITS = 31
"""Bits of the first number, which is drawn at random."""


class OpenQueries:
    """Numbers a node's queries and keeps the times of the last few.

    Args:
        random: Draws the first number: an answer to the process before must not pass for one to
            this.
    """

    def __init__(self, random: Random) -> None:
        self._number = random.getrandbits(NUMBER_BITS)
        self._asked_at_s: dict[int, float] = {}

    def open(self, now_s: float) -> int:
        """Return the number of a query that goes out now; never 0."""
        self._number += 1
        self._asked_at_s[self._number] = now_s
        while len(self._asked_at_s) > MAX_OPEN_QUERIES:
            del self._asked_at_s[next(iter(self._asked_at_s))]
        return self._number

    def asked_at_s(self, number: int) -> float | None:
        """Return when a query went out; None if it is not open."""
        return self._asked_at_s.get(number)

    def close(self, number: int) -> float | None:
        """Return when a query went out, and wait for no further answer to it."""
        return self._asked_at_s.pop(number, None)
