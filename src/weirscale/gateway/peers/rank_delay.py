"""How long a node leaves work that any node can do to the nodes ranked before it."""

FIRST_RANKS_DELAY_S = 0.25
"""Seconds by which each of the first ranks waits longer than the one before it: longer than a write
takes to be seen, so that few nodes race for the same work. Not measured."""

NUM_FIRST_RANKS = 8
"""Ranks that are kept apart by the longer delay. Not measured."""

LATER_RANKS_DELAY_S = 0.05
"""Seconds for each further rank: the last node of a large fleet must not wait for long. With 400
nodes it waits 21.6 s (computed)."""


def rank_delay_s(rank: int) -> float:
    """Return how many seconds a node of a rank (0: the first) waits before it does the work."""
    num_first = min(rank, NUM_FIRST_RANKS)
    return FIRST_RANKS_DELAY_S * num_first + LATER_RANKS_DELAY_S * (rank - num_first)
