"""Binomial arithmetic of the verdict: how likely some bad answers are, given the share of bad ones.

Pure: no random numbers, no state. Shares are from 0 to 1, counts are of answers.
"""

import math
from functools import lru_cache

LIMIT_STEPS = 20
"""Halvings of the range of a share in `upper_limit`: 2**-20 is a millionth."""

MOST_STEPS = 200
"""Steps of the continued fraction at most. Some 20 are enough for shares near the middle, more are
needed near the ends."""

CLOSE_ENOUGH = 1e-10
"""Relative change of the continued fraction at which it ends; far below any error rate used."""

TINY = 1e-30
"""Stands for 0 in a denominator of the continued fraction (Lentz's method)."""

LEAST_SHARE = 1e-6
"""Least and, taken from 1, greatest share in `log_evidence`: keeps logarithms finite."""


def binomial_head(bad: int, num: int, share: float) -> float:
    """Return how likely at most `bad` bad ones among `num` are, where each is so by a share."""
    if bad >= num or share <= 0.0:
        return 1.0
    if share >= 1.0:
        return 0.0
    return incomplete_beta(num - bad, bad + 1.0, 1.0 - share)


def incomplete_beta(first: float, second: float, at: float) -> float:
    """Return the regularized incomplete beta function, by its continued fraction.

    W. H. Press et al., Numerical Recipes, section 6.4; Lentz's method. Its cost does not grow with
    the numbers, as that of a sum over all of them would.
    """
    log_front = (
        math.lgamma(first + second)
        - math.lgamma(first)
        - math.lgamma(second)
        + first * math.log(at)
        + second * math.log1p(-at)
    )
    front = math.exp(log_front)
    if at < (first + 1.0) / (first + second + 2.0):
        return min(1.0, front * _beta_fraction(first, second, at) / first)
    return max(0.0, 1.0 - front * _beta_fraction(second, first, 1.0 - at) / second)


def _beta_fraction(first: float, second: float, at: float) -> float:
    ratio = 1.0
    inverse = 1.0 / _not_zero(1.0 - (first + second) * at / (first + 1.0))
    whole = inverse
    for step in range(1, MOST_STEPS):
        even = step * (second - step) * at
        even /= (first + 2 * step - 1.0) * (first + 2 * step)
        odd = -(first + step) * (first + second + step) * at
        odd /= (first + 2 * step) * (first + 2 * step + 1.0)
        change = 1.0
        for part in (even, odd):
            inverse = 1.0 / _not_zero(1.0 + part * inverse)
            ratio = _not_zero(1.0 + part / ratio)
            change = inverse * ratio
            whole *= change
        if abs(change - 1.0) < CLOSE_ENOUGH:
            break
    return whole


def _not_zero(value: float) -> float:
    return value if abs(value) > TINY else TINY


@lru_cache(maxsize=512)
def upper_limit(bad: int, num: int, error: float) -> float:
    """Return the share at which so few bad ones, or fewer, would be as unlikely as `error`.

    Clopper and Pearson's one-sided limit, by bisection.
    """
    low, high = 0.0, 1.0
    for _ in range(LIMIT_STEPS):
        middle = (low + high) / 2.0
        if binomial_head(bad, num, middle) > error:
            low = middle
        else:
            high = middle
    return high


def log_evidence(bad: int, num: int, usual: float) -> float:
    """Return the logarithm of how much likelier some answers are for an unknown share of bad ones.

    All shares from 0 to 1, mixed evenly, are compared with the usual one. Where the usual share
    holds, the ratio passes 1 / error at any time with a probability below that error (Ville's
    inequality), so it may be looked at after each answer.
    """
    sound = num - bad
    mixed = math.lgamma(bad + 1) + math.lgamma(sound + 1) - math.lgamma(num + 2)
    usual = min(1.0 - LEAST_SHARE, max(LEAST_SHARE, usual))
    return mixed - bad * math.log(usual) - sound * math.log(1.0 - usual)
