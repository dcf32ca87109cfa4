"""Arithmetic of shares that are drawn: no random numbers, no state."""

import math

LIMIT_STEPS = 20
"""Halvings of the range of a share: to a millionth."""

LEAST_SHARE = 1e-6
"""Keeps logarithms finite."""


def binomial_head(bad: int, num: int, share: float) -> float:
    """Return how likely at most `bad` bad ones among `num` are, where each is so by a share."""
    if share <= 0.0:
        return 1.0
    if share >= 1.0:
        return 1.0 if bad >= num else 0.0
    head = 0.0
    for number in range(min(bad, num) + 1):
        log_ways = _log_choose(num, number)
        head += math.exp(
            log_ways + number * math.log(share) + (num - number) * math.log(1.0 - share)
        )
    return min(1.0, head)


def _log_choose(total: int, number: int) -> float:
    if number < 0 or number > total:
        return -math.inf
    return math.lgamma(total + 1) - math.lgamma(number + 1) - math.lgamma(total - number + 1)


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
