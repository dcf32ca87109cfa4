"""Formatting of ages for the log."""

import math

MILLISECONDS_PER_S = 1000.0
"""Number of milliseconds in a second."""


def age_ms(age_s: float) -> int | str:
    """Return an age in whole milliseconds, or "never" if it is infinite."""
    return "never" if math.isinf(age_s) else round(age_s * MILLISECONDS_PER_S)
