"""Send times of queries that still wait for an answer; answers are dated from these times."""

from random import Random

MAX_OPEN_QUERIES = 8
"""Maximum number of open queries; beyond it, the oldest are abandoned."""

NUMBER_BITS = 31
"""Number of bits of the first query number, which is random."""


class OpenQueries:
    """Numbers a node's queries and stores the send times of the latest ones.

    Args:
        random: Source of the first number. It is random so that an answer to a previous process of
            this node is not taken for an answer to this one.
    """

    def __init__(self, random: Random) -> None:
        self._number = random.getrandbits(NUMBER_BITS)
        self._asked_at_s: dict[int, float] = {}

    def open(self, now_s: float) -> int:
        """Open a query sent at `now_s`, and return its number, which is never 0."""
        self._number += 1
        self._asked_at_s[self._number] = now_s
        while len(self._asked_at_s) > MAX_OPEN_QUERIES:
            del self._asked_at_s[next(iter(self._asked_at_s))]
        return self._number

    def asked_at_s(self, number: int) -> float | None:
        """Return when a query was sent; None if it is not open."""
        return self._asked_at_s.get(number)

    def close(self, number: int) -> float | None:
        """Close a query, and return when it was sent; None if it was not open."""
        return self._asked_at_s.pop(number, None)
