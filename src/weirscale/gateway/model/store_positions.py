"""Positions in the store's history, which keep increasing when the store is restored from a backup.

A store restored from a backup has lost its latest changes and assigns their revisions again. Its
era counts these restores. A position combines the era (high bits) and the revision (low bits) in
one number, so a later position is a larger number even across restores. Everywhere in the gateway,
"revision" means such a position. In era 0 the position equals the revision, so stores without eras
and nodes of releases without support for eras work unchanged.
"""

from typing import NewType

StoreEra = NewType("StoreEra", int)
"""How often the store has been restored from a backup."""

FIRST_ERA = StoreEra(0)

REVISION_BITS = 40
"""Number of bits of a revision: enough for about 10,000 changes per second for three years. With
the 13 bits that remain for the era, a position has 53 bits and is exact as a floating-point
number."""


def position(era: StoreEra, revision: int) -> int:
    """Return the position of a revision."""
    return (era << REVISION_BITS) + revision


def era_of(store_position: int) -> StoreEra:
    """Return the era of a position."""
    return StoreEra(store_position >> REVISION_BITS)


def revision_at(store_position: int) -> int:
    """Return the store's own revision at a position, for calls to the store."""
    return store_position & ((1 << REVISION_BITS) - 1)
