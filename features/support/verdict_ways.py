"""Compares two sequential tests of a version; run: python -m features.support.verdict_ways [RUNS].

For 6 s, 9 canary requests a second arrive alongside 81 requests a second of older versions, on two
routes and four runners. For each kind of version, the script prints how often the version is called
bad before its 50th bad answer, and the median number of canary requests until then. It does so for
the product's mixture of likelihood ratios, for which it also prints how often the version is called
good at the end, and for Fisher's test, repeated at growing intervals.
"""

import math
import sys
from random import Random

from weirscale.gateway.rollouts.tallies import Counts, RouteEvidence
from weirscale.gateway.rollouts.verdict import AlarmTest, Judgement, _strata, judge_completion

CANARY_REQUESTS_PER_S = 9
OLD_REQUESTS_PER_S = 81
CANARY_DURATION_S = 6.0
NUM_RUNNERS = 4
ROUTES = ("long", "short")
STEP_S = 0.2
MAX_BAD_ANSWERS = 50
FALSE_ALARM_RATE = 0.001


class VersionModel:
    """A version that answers badly with a given share, from a time on, on some routes."""

    def __init__(self, share, from_s=0.0, routes=ROUTES, base_failure_share=0.02, slow_share=0.0):
        self.share = share
        self.from_s = from_s
        self.routes = routes
        self.base_failure_share = base_failure_share
        self.slow_share = slow_share

    def draw_counts(self, route, at_s, random):
        """Return the counts of one request."""
        is_bad_now = at_s >= self.from_s and route in self.routes
        if random.random() < self.base_failure_share or (
            is_bad_now and random.random() < self.share
        ):
            return Counts(1, 1, 0)
        is_slow = is_bad_now and random.random() < self.slow_share
        return Counts(1, 0, int(is_slow or random.random() < 0.03))


class FisherTest:
    """Fisher's exact test on the same strata, repeated at growing intervals."""

    first_check_requests = 4
    growth = 1.25

    def __init__(self, _duration_s):
        self.num_checks = {}
        self.next_check = {}

    def check(self, routes, _now_s):
        strata = _strata(routes)
        alarms = [self.is_alarming(stratum, len(strata)) for stratum in strata]
        return any(alarms) or None

    def is_alarming(self, stratum, num_strata):
        num_requests = stratum.target().num
        if num_requests < self.next_check.get(stratum.name, self.first_check_requests):
            return False
        check = self.num_checks[stratum.name] = self.num_checks.get(stratum.name, 0) + 1
        self.next_check[stratum.name] = math.ceil(num_requests * self.growth)
        allowed = FALSE_ALARM_RATE / num_strata * 6.0 / (math.pi * check) ** 2
        old_counts = stratum.old
        return all(
            hypergeometric_tail(counts.num_bad, counts.num, old_counts.num_bad, old_counts.num)
            <= allowed
            for counts in (stratum.target(), stratum.without_worst())
        )


def hypergeometric_tail(bad: int, num: int, other_bad: int, other_num: int) -> float:
    """Return the probability of at least this many bad answers, if both samples are alike.

    This is the one-sided Fisher's exact test: given the total number of bad answers, the probability
    of each division between the samples is proportional to its number of combinations.

    Args:
        bad: Bad answers in the sample under test.
        num: Size of the sample under test.
        other_bad: Bad answers in the other sample.
        other_num: Size of the other sample.
    """
    total_bad, total = bad + other_bad, num + other_num
    max_bad = min(num, total_bad)
    if bad <= max(0, total_bad - other_num):
        return 1.0
    log_total_ways = _log_choose(total, num)
    tail = 0.0
    for number in range(bad, max_bad + 1):
        log_ways = _log_choose(total_bad, number) + _log_choose(total - total_bad, num - number)
        tail += math.exp(log_ways - log_total_ways)
    return min(1.0, tail)


def _log_choose(total, number):
    if number < 0 or number > total:
        return -math.inf
    return math.lgamma(total + 1) - math.lgamma(number + 1) - math.lgamma(total - number + 1)


def simulate(test, version, random, duration_s=CANARY_DURATION_S, old_model=None):
    """Simulate a version under a test until the alarm or the end.

    Return the canary requests, the bad answers, the evidence, and whether there was an alarm.
    """
    old_model = old_model or VersionModel(0.0, base_failure_share=version.base_failure_share)
    old_counts = dict.fromkeys(ROUTES, Counts())
    target_counts = {route: {} for route in ROUTES}
    num_requests = num_bad = 0
    at_s = 0.0
    while at_s < duration_s:
        at_s += STEP_S
        for _ in range(round(OLD_REQUESTS_PER_S * STEP_S)):
            route = random.choice(ROUTES)
            old_counts[route] = old_counts[route].plus(old_model.draw_counts(route, 0.0, random))
        for _ in range(int(CANARY_REQUESTS_PER_S * STEP_S + random.random())):
            route = random.choice(ROUTES)
            runner = f"r{random.randrange(NUM_RUNNERS)}"
            drawn = version.draw_counts(route, at_s, random)
            target_counts[route][runner] = target_counts[route].get(runner, Counts()).plus(drawn)
            num_requests += 1
            num_bad += drawn.num_bad
        routes = {
            route: RouteEvidence(old_counts[route], dict(target_counts[route])) for route in ROUTES
        }
        if test.check(routes, at_s):
            return num_requests, num_bad, routes, True
        if num_bad >= MAX_BAD_ANSWERS:
            break
    return num_requests, num_bad, routes, False


VERSION_MODELS = (
    ("sound, 0.02 fail everywhere", VersionModel(0.0)),
    ("sound, 0.14 fail everywhere", VersionModel(0.0, base_failure_share=0.14)),
    ("0.02 more fail", VersionModel(0.02)),
    ("0.1 more fail", VersionModel(0.1)),
    ("0.2 more fail", VersionModel(0.2)),
    ("0.3 more fail", VersionModel(0.3)),
    ("0.5 more fail", VersionModel(0.5)),
    ("all fail", VersionModel(1.0)),
    ("0.3 more fail, 0.14 everywhere", VersionModel(0.3, base_failure_share=0.14)),
    ("0.5 fail on one route", VersionModel(0.5, routes=("short",))),
    ("0.5 fail from 3 s on", VersionModel(0.5, from_s=3.0)),
    ("0.4 are slow", VersionModel(0.0, slow_share=0.4)),
    ("0.9 are slow", VersionModel(0.0, slow_share=0.9)),
)


def main(num_runs):
    """Print the comparison as a table."""
    print(
        "| version | mixture: detected, canary requests, then called good | Fisher: detected, canary requests |"
    )
    print("| --- | --- | --- |")
    for name, version in VERSION_MODELS:
        cells = []
        for make_test in (AlarmTest, FisherTest):
            random = Random(11)
            num_detected, num_good, detected_after = 0, 0, []
            for _ in range(num_runs):
                num_requests, _bad, routes, is_detected = simulate(
                    make_test(CANARY_DURATION_S), version, random
                )
                num_detected += is_detected
                detected_after += [num_requests] if is_detected else []
                if make_test is AlarmTest and not is_detected:
                    num_good += judge_completion(routes, None).judgement is Judgement.GOOD
            median = sorted(detected_after)[len(detected_after) // 2] if detected_after else "-"
            cell = f"{num_detected / num_runs:.4f}, {median}"
            cells.append(cell + (f", {num_good / num_runs:.3f}" if make_test is AlarmTest else ""))
        print(f"| {name} | {cells[0]} | {cells[1]} |", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 300)
