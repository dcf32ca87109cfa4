"""Binomial statistics of the verdict: probability of bad answers, given the share of bad answers.

Pure functions: no random numbers, no state. Shares are from 0 to 1, counts are of answers.
"""

import math
from functools import lru_cache

BISECTION_STEPS = 20
"""Bisections of the range of a share in `upper_limit`: 2**-20 is a millionth."""

MAX_FRACTION_STEPS = 200
"""Largest number of steps of the continued fraction. About 20 suffice for shares near 0.5; shares
near 0 or 1 need more."""

FRACTION_TOLERANCE = 1e-10
"""Relative change at which the continued fraction ends; far below any error rate used."""

MIN_DENOMINATOR = 1e-30
"""Replaces 0 in a denominator of the continued fraction (Lentz's method)."""

MIN_SHARE = 1e-6
"""`log_likelihood_ratio` limits shares to this and 1 minus this, to keep logarithms finite."""


def binomial_cdf(num_bad: int, num: int, share: float) -> float:
    """Return the probability of at most `num_bad` bad answers among `num`.

    Args:
        num_bad: Number of bad answers.
        num: Number of answers.
        share: Probability that an answer is bad.
    """
    if num_bad >= num or share <= 0.0:
        return 1.0
    if share >= 1.0:
        return 0.0
    return incomplete_beta(num - num_bad, num_bad + 1.0, 1.0 - share)


def incomplete_beta(a: float, b: float, x: float) -> float:
    """Return the regularized incomplete beta function, by its continued fraction.

    See W. H. Press et al., Numerical Recipes, section 6.4 (Lentz's method). Unlike a sum over all
    counts, its cost does not grow with them.
    """
    log_prefactor = (
        math.lgamma(a + b) - math.lgamma(a) - math.lgamma(b) + a * math.log(x) + b * math.log1p(-x)
    )
    prefactor = math.exp(log_prefactor)
    if x < (a + 1.0) / (a + b + 2.0):
        return min(1.0, prefactor * _beta_fraction(a, b, x) / a)
    return max(0.0, 1.0 - prefactor * _beta_fraction(b, a, 1.0 - x) / b)


def _beta_fraction(a: float, b: float, x: float) -> float:
    ratio = 1.0
    inverse = 1.0 / _not_zero(1.0 - (a + b) * x / (a + 1.0))
    fraction = inverse
    for step in range(1, MAX_FRACTION_STEPS):
        even = step * (b - step) * x
        even /= (a + 2 * step - 1.0) * (a + 2 * step)
        odd = -(a + step) * (a + b + step) * x
        odd /= (a + 2 * step) * (a + 2 * step + 1.0)
        change = 1.0
        for part in (even, odd):
            inverse = 1.0 / _not_zero(1.0 + part * inverse)
            ratio = _not_zero(1.0 + part / ratio)
            change = inverse * ratio
            fraction *= change
        if abs(change - 1.0) < FRACTION_TOLERANCE:
            break
    return fraction


def _not_zero(value: float) -> float:
    return value if abs(value) > MIN_DENOMINATOR else MIN_DENOMINATOR


@lru_cache(maxsize=512)
def upper_limit(num_bad: int, num: int, error_rate: float) -> float:
    """Return the share of bad answers at which `num_bad` or fewer have probability `error_rate`.

    This is the one-sided Clopper-Pearson limit, found by bisection.
    """
    low, high = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2.0
        if binomial_cdf(num_bad, num, middle) > error_rate:
            low = middle
        else:
            high = middle
    return high


def log_likelihood_ratio(num_bad: int, num: int, baseline_share: float) -> float:
    """Return the log likelihood ratio of an unknown share of bad answers to the baseline share.

    The alternative is a uniform mixture of all shares from 0 to 1. Where the baseline share holds,
    the probability that the ratio ever exceeds 1 / error_rate is below error_rate (Ville's
    inequality), so the ratio may be tested after each answer.
    """
    num_good = num - num_bad
    log_mixture = math.lgamma(num_bad + 1) + math.lgamma(num_good + 1) - math.lgamma(num + 2)
    baseline_share = min(1.0 - MIN_SHARE, max(MIN_SHARE, baseline_share))
    return (
        log_mixture - num_bad * math.log(baseline_share) - num_good * math.log(1.0 - baseline_share)
    )
