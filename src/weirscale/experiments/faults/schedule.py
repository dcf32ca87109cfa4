"""Random fault schedules, determined by a seed."""

from collections.abc import Sequence
from random import Random

from weirscale.experiments.faults.kinds import FaultKind, PlannedFault

FIRST_FAULT_S = 4.0
"""Earliest time of a fault, when the fleet is stable."""
MIN_LASTS_S = 2.0
MAX_LASTS_S = 15.0
SETTLE_S = 12.0
"""Time at the end of a run without new faults, so that the recovery is observed."""

OVERLAP_FIRST_AT_S = 8.0
OVERLAP_INTERVAL_S = 3.0
OVERLAP_LASTS_S = 12.0
"""Faults given without times begin OVERLAP_INTERVAL_S apart and overlap."""


def overlapping(kinds: Sequence[FaultKind]) -> tuple[PlannedFault, ...]:
    """Return overlapping faults of the kinds, in this order."""
    return tuple(
        PlannedFault(
            kind=kind,
            at_s=OVERLAP_FIRST_AT_S + index * OVERLAP_INTERVAL_S,
            lasts_s=OVERLAP_LASTS_S,
        )
        for index, kind in enumerate(kinds)
    )


def random_schedule(duration_s: float, num_faults: int, random: Random) -> tuple[PlannedFault, ...]:
    """Draw faults of random kinds at random times; faults may overlap and kinds may repeat.

    Args:
        duration_s: Length of the run; at least FIRST_FAULT_S + SETTLE_S.
        num_faults: Number of faults to draw.
        random: Random generator.
    """
    kinds = list(FaultKind)
    latest_s = max(FIRST_FAULT_S, duration_s - SETTLE_S)
    faults = [
        PlannedFault(
            kind=random.choice(kinds),
            at_s=round(random.uniform(FIRST_FAULT_S, latest_s), 3),
            lasts_s=round(random.uniform(MIN_LASTS_S, MAX_LASTS_S), 3),
        )
        for _ in range(num_faults)
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))
