"""Delay by rank, so that nodes do not all attempt the same work at once."""

FIRST_RANKS_DELAY_S = 0.25
"""Additional seconds that each of the first ranks waits after the previous one. This is longer than
it takes for a write to become visible, so that few nodes race for the same work."""

NUM_FIRST_RANKS = 8
"""Number of ranks that are separated by the longer delay."""

LATER_RANKS_DELAY_S = 0.05
"""Additional seconds for each further rank. It is short so that the last node of a large fleet does
not wait too long: with 400 nodes it waits 21.6 s."""


def rank_delay_s(rank: int) -> float:
    """Return how many seconds a node waits before it does shared work; rank 0 does not wait."""
    num_first = min(rank, NUM_FIRST_RANKS)
    return FIRST_RANKS_DELAY_S * num_first + LATER_RANKS_DELAY_S * (rank - num_first)
