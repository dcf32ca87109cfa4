"""Positions in the store's history, which go on rising when the store comes back from a copy.

A store that comes back from a copy has lost its last changes, and gives their revisions out again.
How often that was is its era. A position is the era and then the revision, in one number: a later
position is a larger number, also across copies. Everywhere in the gateway a revision of the store
is a position; in era 0 the two are the same number, so that stores without eras, and nodes of
releases that know of none, need nothing else.
"""

from typing import NewType

StoreEra = NewType("StoreEra", int)
"""How often the store has come back from a copy."""

FIRST_ERA = StoreEra(0)

REVISION_BITS = 40
"""Bits of a revision: some 10,000 changes a second for three years. With the 13 bits that are left
for the era, a position is exact also where numbers are read as floating point."""


def position(era: StoreEra, revision: int) -> int:
    """Return the position of a revision."""
    return (era << REVISION_BITS) + revision


def era_of(of_position: int) -> StoreEra:
    """Return the era of a position."""
    return StoreEra(of_position >> REVISION_BITS)


def revision_at(of_position: int) -> int:
    """Return the store's own revision at a position, for calls to it."""
    return of_position & ((1 << REVISION_BITS) - 1)
