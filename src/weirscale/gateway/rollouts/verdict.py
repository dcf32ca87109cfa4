"""Decides whether a version is worse than its predecessors.

Inputs: counts of answers by route and engine, for the target and for the older versions. This is a
sequential test with fixed error rates. Simulated detection rates and the required numbers of canary
requests are in docs/design/0019-version-rollouts.md, "Verdict".

The target's bad answers are compared with an upper limit of the share of bad answers that older
versions show over the same time. The evidence is a likelihood ratio that may be tested after each
answer (`exact_test.log_likelihood_ratio`). Several such ratios are averaged with fixed weights,
which keeps their error rate: for all routes together and for each route, from the start and from
later checkpoints, since some versions turn bad later. A single failing engine does not make a
version bad, so there must also be evidence without the worst engine.
"""

import enum
import math
from collections.abc import Mapping

import msgspec

from weirscale.gateway.rollouts.exact_test import binomial_cdf, log_likelihood_ratio, upper_limit
from weirscale.gateway.rollouts.tallies import NO_COUNTS, Counts, RouteEvidence

FALSE_ALARM_RATE = 0.001
"""Largest share of sound versions that are called bad: the error rate of the whole test."""

SINGLE_ENGINE_ERROR_RATE = 0.05
"""Largest share of versions that are called bad because of a single bad engine. With
`FALSE_ALARM_RATE` here too, only 0.37 instead of 0.63 of the versions with an increase of 0.3 in
the share of bad answers were detected (design 0019)."""

BASELINE_ERROR_RATE = 0.01
"""Error rate of the upper limit on the older versions' share of bad answers."""

ALL_ROUTES_WEIGHT = 0.5
"""Weight of all routes together in the mean of the evidence; the single routes share the rest. The
weights must be fixed beforehand to keep the error rate of the mean."""

WHOLE_PERIOD_WEIGHT = 0.6
"""Weight of the evidence since the start; the evidence since each checkpoint shares the rest."""

MAX_CHECKPOINTS = 16
"""Largest number of checkpoints. From each, the evidence is collected anew, to detect versions that
turn bad later. With an increase of 0.5 in the share of bad answers from 3 s into the canary, 0.80
of the versions were detected (design 0019)."""

MIN_CHECKPOINT_INTERVAL_S = 1.0
"""Seconds between two checkpoints, at least."""

HARMFUL_INCREASE = 0.3
"""A rollout must not be completed if the target's share of bad answers exceeds its predecessors' by
this much. Excluding a smaller increase takes more canary requests than the share allows: about 400
for 0.1 (design 0019)."""

MISSED_HARM_RATE = 0.01
"""Largest share of versions with `HARMFUL_INCREASE` on all routes together that is completed."""

ROUTE_MISSED_HARM_RATE = 0.1
"""Largest share of versions with `HARMFUL_INCREASE` on a single route that is completed."""

MAIN_ROUTE_SHARE = 0.05
"""A route with less than this share of the requests needs no evidence of its own."""

MAX_LOG_RATIO = 50.0
"""Upper limit of a log likelihood ratio, so that its exponential stays finite. A larger ratio would
not change any decision."""

MIN_ENGINES_TO_COMPARE = 2
"""With fewer engines of the target, there are no others to compare the worst with."""


class Judgement(enum.Enum):
    """Judgement on a version."""

    BAD = "bad"
    GOOD = "good"
    UNDECIDED = "undecided"


class Verdict(msgspec.Struct, frozen=True):
    """A judgement and the counts on which it is based.

    Attributes:
        judgement: The judgement.
        reason: Name of the stratum that was decisive, or that lacks evidence.
        target: Counts of the target in that stratum.
        old: Counts of its predecessors in that stratum.
    """

    judgement: Judgement
    reason: str = ""
    target: Counts = NO_COUNTS
    old: Counts = NO_COUNTS


def verdict_fields(verdict: Verdict) -> dict[str, object]:
    """Return the counts of a verdict as log fields."""
    return {
        "trials": verdict.target.num,
        "trials_failed": verdict.target.num_failed,
        "trials_slow": verdict.target.num_slow,
        "others": verdict.old.num,
        "others_bad": verdict.old.num_bad,
    }


class _Stratum(msgspec.Struct, frozen=True):
    """A group of answers, of target and predecessors, that are compared with each other."""

    name: str
    weight: float
    old: Counts
    engines: Mapping[str, Counts]

    def target(self) -> Counts:
        total = NO_COUNTS
        for counts in self.engines.values():
            total = total.plus(counts)
        return total

    def without_worst(self) -> Counts:
        """Return the target's counts without the engine that has the most bad answers."""
        if len(self.engines) < MIN_ENGINES_TO_COMPARE:
            return self.target()
        worst = max(self.engines.values(), key=lambda counts: (counts.num_bad, -counts.num))
        return self.target().minus(worst)

    def evidence(self) -> "_Evidence":
        """Return the evidence that the target is worse, with and without its worst engine."""
        baseline_share = upper_limit(self.old.num_bad, self.old.num, BASELINE_ERROR_RATE)
        target, remaining = self.target(), self.without_worst()
        return _Evidence(
            _likelihood_ratio(target, baseline_share), _likelihood_ratio(remaining, baseline_share)
        )


class _Evidence(msgspec.Struct, frozen=True):
    """Likelihood ratios for all engines, and for all but the worst."""

    all_engines: float = 0.0
    without_worst: float = 0.0

    def plus(self, other: "_Evidence", weight: float) -> "_Evidence":
        """Return the sum with another evidence times a weight."""
        return _Evidence(
            self.all_engines + weight * other.all_engines,
            self.without_worst + weight * other.without_worst,
        )

    def is_alarming(self) -> bool:
        """Return whether a sound version or a single bad engine is too unlikely to show this."""
        return (
            self.all_engines >= 1.0 / FALSE_ALARM_RATE
            and self.without_worst >= 1.0 / SINGLE_ENGINE_ERROR_RATE
        )


def _likelihood_ratio(counts: Counts, baseline_share: float) -> float:
    return math.exp(
        min(MAX_LOG_RATIO, log_likelihood_ratio(counts.num_bad, counts.num, baseline_share))
    )


class AlarmTest:
    """Sequential test on the growing tallies of one rollout, as seen by one node.

    Args:
        duration_s: Seconds that the rollout may take; the checkpoints are spread over them.
    """

    def __init__(self, duration_s: float) -> None:
        self._checkpoint_interval_s = max(MIN_CHECKPOINT_INTERVAL_S, duration_s / MAX_CHECKPOINTS)
        self._checkpoints: list[dict[str, RouteEvidence]] = []
        self._next_checkpoint_s: float | None = None
        self.alarm: Verdict | None = None
        """The first alarm, which is never withdrawn."""

    def check(self, routes: dict[str, RouteEvidence], now_s: float) -> Verdict | None:
        """Test the current evidence; return the alarm once it has been raised."""
        if self.alarm is None:
            strata = _strata(routes)
            if self._evidence(strata, routes).is_alarming():
                strongest = max(strata, key=lambda stratum: stratum.evidence().all_engines)
                self.alarm = Verdict(
                    Judgement.BAD, strongest.name, strongest.target(), strongest.old
                )
            self._add_checkpoint(routes, now_s)
        return self.alarm

    def _add_checkpoint(self, routes: dict[str, RouteEvidence], now_s: float) -> None:
        if self._next_checkpoint_s is None:
            self._next_checkpoint_s = now_s + self._checkpoint_interval_s
        elif now_s >= self._next_checkpoint_s and len(self._checkpoints) < MAX_CHECKPOINTS:
            self._checkpoints.append(routes)
            self._next_checkpoint_s = now_s + self._checkpoint_interval_s

    def _evidence(self, strata: list[_Stratum], routes: dict[str, RouteEvidence]) -> _Evidence:
        total = _Evidence().plus(_mean_evidence(strata), WHOLE_PERIOD_WEIGHT)
        for earlier in self._checkpoints:
            recent = {
                name: _evidence_since(route, earlier.get(name)) for name, route in routes.items()
            }
            weight = (1.0 - WHOLE_PERIOD_WEIGHT) / MAX_CHECKPOINTS
            total = total.plus(_mean_evidence(_strata(recent)), weight)
        return total


def _mean_evidence(strata: list[_Stratum]) -> _Evidence:
    total = _Evidence()
    for stratum in strata:
        if any(counts.num_bad for counts in stratum.engines.values()):
            total = total.plus(stratum.evidence(), stratum.weight)
    return total


def _evidence_since(current: RouteEvidence, earlier: RouteEvidence | None) -> RouteEvidence:
    """Return the target's counts since a checkpoint, and all counts of its predecessors."""
    if earlier is None:
        return current
    engines = {
        instance: counts.minus(earlier.target.get(instance, NO_COUNTS))
        for instance, counts in current.target.items()
    }
    return RouteEvidence(current.old, engines)


def _strata(routes: dict[str, RouteEvidence]) -> list[_Stratum]:
    """Return a stratum of all routes together, followed by one of each route."""
    old = NO_COUNTS
    engines: dict[str, Counts] = {}
    for route in routes.values():
        old = old.plus(route.old)
        for instance, counts in route.target.items():
            engines[instance] = engines.get(instance, NO_COUNTS).plus(counts)
    weight = (1.0 - ALL_ROUTES_WEIGHT) / max(1, len(routes))
    return [_Stratum("all", ALL_ROUTES_WEIGHT, old, engines)] + [
        _Stratum(name, weight, route.old, route.target) for name, route in routes.items()
    ]


def judge_completion(routes: dict[str, RouteEvidence], alarm: Verdict | None) -> Verdict:
    """Return the verdict on completing a rollout: bad with an alarm, good if harm is excluded."""
    if alarm is not None:
        return alarm
    strata = _strata(routes)
    all_routes = strata[0]
    if not _is_harmless(all_routes, MISSED_HARM_RATE):
        return Verdict(Judgement.UNDECIDED, all_routes.name, all_routes.target(), all_routes.old)
    for route in strata[1:]:
        is_main = route.old.num >= MAIN_ROUTE_SHARE * all_routes.old.num
        if is_main and not _is_harmless(route, ROUTE_MISSED_HARM_RATE):
            return Verdict(Judgement.UNDECIDED, route.name, route.target(), route.old)
    return Verdict(Judgement.GOOD, all_routes.name, all_routes.target(), all_routes.old)


def _is_harmless(stratum: _Stratum, max_missed_rate: float) -> bool:
    """Return whether a harmful increase in the share of bad answers is excluded."""
    target, old = stratum.target(), stratum.old
    baseline_share = old.num_bad / old.num if old.num else 0.0
    return (
        binomial_cdf(target.num_bad, target.num, min(1.0, baseline_share + HARMFUL_INCREASE))
        <= max_missed_rate
    )
