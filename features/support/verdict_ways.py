"""Compares two sequential tests of a version; run: python -m features.support.verdict_ways [RUNS].

Trials arrive at 9 a second beside 81 of older versions, for 6 s, over two routes and four runners.
Printed for each kind of version: how often it is called bad before its 50th bad answer, and after how
many trials (median), by the mixture of likelihoods that is built (then how often it is called good at
the end) and by Fisher's test at growing looks.
"""

import math
import sys
from random import Random

from weirscale.gateway.rollouts.tallies import Counts, RouteEvidence
from weirscale.gateway.rollouts.verdict import AlarmTest, Judgement, _strata, judge_completion

TRIALS_A_S = 9
OLD_A_S = 81
LENGTH_S = 6.0
NUM_RUNNERS = 4
ROUTES = ("long", "short")
STEP_S = 0.2
MOST_BAD = 50
FALSE_ALARMS = 0.001


class Version:
    """How answers of a version go wrong: a share of them, from a time on, on some routes."""

    def __init__(self, share, from_s=0.0, routes=ROUTES, usual=0.02, slow_share=0.0):
        self.share = share
        self.from_s = from_s
        self.routes = routes
        self.usual = usual
        self.slow_share = slow_share

    def draw(self, route, at_s, random):
        """Return the counts of one trial."""
        is_on = at_s >= self.from_s and route in self.routes
        if random.random() < self.usual or (is_on and random.random() < self.share):
            return Counts(1, 1, 0)
        is_slow = is_on and random.random() < self.slow_share
        return Counts(1, 0, int(is_slow or random.random() < 0.03))


class FisherTest:
    """Fisher's exact test at looks that lie further and further apart, over the same strata."""

    first_look = 4
    growth = 1.25

    def __init__(self, _length_s):
        self.num_looks = {}
        self.next_look = {}

    def check(self, routes, _now_s):
        strata = _strata(routes)
        alarming = [self.is_alarming(one, len(strata)) for one in strata]
        return any(alarming) or None

    def is_alarming(self, stratum, num_strata):
        num = stratum.target().num
        if num < self.next_look.get(stratum.name, self.first_look):
            return False
        look = self.num_looks[stratum.name] = self.num_looks.get(stratum.name, 0) + 1
        self.next_look[stratum.name] = math.ceil(num * self.growth)
        allowed = FALSE_ALARMS / num_strata * 6.0 / (math.pi * look) ** 2
        old = stratum.old
        return all(
            hypergeometric_tail(one.num_bad, one.num, old.num_bad, old.num) <= allowed
            for one in (stratum.target(), stratum.without_worst())
        )


def hypergeometric_tail(bad: int, num: int, other_bad: int, other_num: int) -> float:
    """Return how likely so many bad ones, or more, are among `num`, if chance divided them.

    This is Fisher's exact test, one-sided: given how many are bad in all, every division of them
    over the two sides is as likely as its number of ways.

    Args:
        bad: Bad ones among the `num` under test.
        num: How many are under test.
        other_bad: Bad ones among the others.
        other_num: How many others there are.
    """
    total_bad, total = bad + other_bad, num + other_num
    most = min(num, total_bad)
    if bad <= max(0, total_bad - other_num):
        return 1.0
    all_ways = _log_choose(total, num)
    tail = 0.0
    for number in range(bad, most + 1):
        ways = _log_choose(total_bad, number) + _log_choose(total - total_bad, num - number)
        tail += math.exp(ways - all_ways)
    return min(1.0, tail)


def _log_choose(total, number):
    if number < 0 or number > total:
        return -math.inf
    return math.lgamma(total + 1) - math.lgamma(number + 1) - math.lgamma(total - number + 1)


def play(test, version, random, length_s=LENGTH_S, base=None):
    """Return the trials and bad answers until the alarm, or until the end, and the evidence."""
    base = base or Version(0.0, usual=version.usual)
    old = dict.fromkeys(ROUTES, Counts())
    target = {route: {} for route in ROUTES}
    num = num_bad = 0
    at_s = 0.0
    while at_s < length_s:
        at_s += STEP_S
        for _ in range(round(OLD_A_S * STEP_S)):
            route = random.choice(ROUTES)
            old[route] = old[route].plus(base.draw(route, 0.0, random))
        for _ in range(int(TRIALS_A_S * STEP_S + random.random())):
            route = random.choice(ROUTES)
            runner = f"r{random.randrange(NUM_RUNNERS)}"
            drawn = version.draw(route, at_s, random)
            target[route][runner] = target[route].get(runner, Counts()).plus(drawn)
            num += 1
            num_bad += drawn.num_bad
        routes = {one: RouteEvidence(old[one], dict(target[one])) for one in ROUTES}
        if test.check(routes, at_s):
            return num, num_bad, routes, True
        if num_bad >= MOST_BAD:
            break
    return num, num_bad, routes, False


KINDS = (
    ("sound, 0.02 fail everywhere", Version(0.0)),
    ("sound, 0.14 fail everywhere", Version(0.0, usual=0.14)),
    ("0.02 more fail", Version(0.02)),
    ("0.1 more fail", Version(0.1)),
    ("0.2 more fail", Version(0.2)),
    ("0.3 more fail", Version(0.3)),
    ("0.5 more fail", Version(0.5)),
    ("all fail", Version(1.0)),
    ("0.3 more fail, 0.14 everywhere", Version(0.3, usual=0.14)),
    ("0.5 fail on one route", Version(0.5, routes=("short",))),
    ("0.5 fail from 3 s on", Version(0.5, from_s=3.0)),
    ("0.4 are slow", Version(0.0, slow_share=0.4)),
    ("0.9 are slow", Version(0.0, slow_share=0.9)),
)


def main(num_runs):
    """Print the table."""
    print("| version | mixture: found, trials, then called good | Fisher: found, trials |")
    print("| --- | --- | --- |")
    for name, version in KINDS:
        cells = []
        for make in (AlarmTest, FisherTest):
            random = Random(11)
            found, good, trials = 0, 0, []
            for _ in range(num_runs):
                num, _bad, routes, is_found = play(make(LENGTH_S), version, random)
                found += is_found
                trials += [num] if is_found else []
                if make is AlarmTest and not is_found:
                    good += judge_completion(routes, None).judgement is Judgement.GOOD
            middle = sorted(trials)[len(trials) // 2] if trials else "-"
            cell = f"{found / num_runs:.4f}, {middle}"
            cells.append(cell + (f", {good / num_runs:.3f}" if make is AlarmTest else ""))
        print(f"| {name} | {cells[0]} | {cells[1]} |", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 300)
