"""Ages as log lines show them."""

import math

MILLISECONDS_PER_S = 1000.0
"""Milliseconds in a second."""


def age_ms(age_s: float) -> int | str:
    """Return an age in whole milliseconds; what was never proved has none."""
    return "never" if math.isinf(age_s) else round(age_s * MILLISECONDS_PER_S)
