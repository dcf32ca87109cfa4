"""The rule of the verdict: whether a version is worse than its predecessors.

Inputs: counts of answers by route and engine, of the target and of the older versions. A sequential
test with stated error rates; what it finds in how many canary requests was simulated, see
docs/design/0019-version-rollouts.md, "Verdict".

The target's bad answers are compared with the share of bad ones that older versions show over the
same time (its upper limit). The evidence is a ratio of likelihoods that may be looked at after each
answer (`exact_test.log_evidence`). Several such ratios are averaged with fixed weights, which keeps
their error rate: over all routes together and each route, from the start on and from later moments
on, since some versions turn bad later. One engine that fails is no bad version, so there must also
be evidence without the worst engine.
"""

import enum
import math
from collections.abc import Mapping

import msgspec

from weirscale.gateway.rollouts.exact_test import binomial_head, log_evidence, upper_limit
from weirscale.gateway.rollouts.tallies import NO_COUNTS, Counts, RouteEvidence

FALSE_ALARMS = 0.001
"""Share of sound versions that are called bad, at most: the error rate of the whole test.
Chosen."""

ONE_ENGINE_ERROR = 0.05
"""Share of versions that are called bad for a single engine that is. Asking for `FALSE_ALARMS` here
too found 0.37 instead of 0.63 of the versions with 0.3 more bad answers (design 0019)."""

USUAL_ERROR = 0.01
"""Error of the upper limit that is taken for the older versions' share of bad answers. Chosen."""

WHOLE_WEIGHT = 0.5
"""Weight of all routes together in the mean of the evidence; the routes share the rest. Chosen: the
weights of a mean must be fixed beforehand to keep its error rate."""

START_WEIGHT = 0.6
"""Weight of the evidence since the start; that since later moments shares the rest. Chosen."""

MOST_MOMENTS = 16
"""Later moments from which on the evidence is gathered anew, for versions that turn bad later. At
3 s into a canary 0.80 of those with 0.5 more bad answers were found (design 0019)."""

LEAST_APART_S = 1.0
"""Least seconds between two such moments. Not measured."""

HARM = 0.3
"""A version whose share of bad answers is so much above its predecessors' must not be completed. A
smaller one needs more canary requests than the share allows: 0.1 some 400 (design 0019)."""

HARM_MISSED = 0.01
"""Share of versions with `HARM` on all routes together that may be completed. Chosen."""

HARM_MISSED_A_ROUTE = 0.1
"""Share of versions with `HARM` on a single route that may be completed. Chosen."""

MAIN_ROUTE_SHARE = 0.05
"""A route with less than this share of the requests needs no evidence of its own. Not measured."""

MOST_LOG_EVIDENCE = 50.0
"""Limit of a logarithm of evidence, so that its power stays finite; more decides nothing
further."""

LEAST_TO_COMPARE = 2
"""Engines of the target without which there is none to compare the worst with."""


class Judgement(enum.Enum):
    """What is known of a version."""

    BAD = "bad"
    GOOD = "good"
    UNDECIDED = "undecided"


class Verdict(msgspec.Struct, frozen=True):
    """A judgement and the counts that decided it.

    Attributes:
        judgement: What is known.
        reason: The stratum that decided, or that lacks evidence.
        target: Counts of the target there.
        old: Counts of its predecessors there.
    """

    judgement: Judgement
    reason: str = ""
    target: Counts = NO_COUNTS
    old: Counts = NO_COUNTS


def verdict_fields(verdict: Verdict) -> dict[str, object]:
    """Return the counts of a verdict for the log."""
    return {
        "trials": verdict.target.num,
        "trials_failed": verdict.target.num_failed,
        "trials_slow": verdict.target.num_slow,
        "others": verdict.old.num,
        "others_bad": verdict.old.num_bad,
    }


class _Stratum(msgspec.Struct, frozen=True):
    """Answers that are compared with one another."""

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
        """Return the target's counts less those of the engine with most bad ones."""
        if len(self.engines) < LEAST_TO_COMPARE:
            return self.target()
        worst = max(self.engines.values(), key=lambda one: (one.num_bad, -one.num))
        return self.target().minus(worst)

    def evidence(self) -> "_Evidence":
        """Return the evidence that the target is worse, whole and without the worst engine."""
        usual = upper_limit(self.old.num_bad, self.old.num, USUAL_ERROR)
        whole, less = self.target(), self.without_worst()
        return _Evidence(_ratio(whole, usual), _ratio(less, usual))


class _Evidence(msgspec.Struct, frozen=True):
    """Ratios of likelihoods: of all engines, and of all but the worst."""

    whole: float = 0.0
    without_worst: float = 0.0

    def plus(self, other: "_Evidence", weight: float) -> "_Evidence":
        """Return the sum with another's part."""
        return _Evidence(
            self.whole + weight * other.whole,
            self.without_worst + weight * other.without_worst,
        )

    def is_alarming(self) -> bool:
        """Whether a sound version, or one bad engine, would show this too seldom."""
        return self.whole >= 1.0 / FALSE_ALARMS and self.without_worst >= 1.0 / ONE_ENGINE_ERROR


def _ratio(counts: Counts, usual: float) -> float:
    return math.exp(min(MOST_LOG_EVIDENCE, log_evidence(counts.num_bad, counts.num, usual)))


class AlarmTest:
    """Looks at growing tallies; each instance is of one rollout at one judge.

    Args:
        length_s: How long the rollout may take: the later moments are spread over it.
    """

    def __init__(self, length_s: float) -> None:
        self._apart_s = max(LEAST_APART_S, length_s / MOST_MOMENTS)
        self._moments: list[dict[str, RouteEvidence]] = []
        self._next_moment_s: float | None = None
        self.alarm: Verdict | None = None
        """The first alarm; it is never taken back."""

    def check(self, routes: dict[str, RouteEvidence], now_s: float) -> Verdict | None:
        """Look at what is known now; returns the alarm once there is one."""
        if self.alarm is None:
            whole = _strata(routes)
            if self._evidence(whole, routes).is_alarming():
                strongest = max(whole, key=lambda one: one.evidence().whole)
                self.alarm = Verdict(
                    Judgement.BAD, strongest.name, strongest.target(), strongest.old
                )
            self._note_moment(routes, now_s)
        return self.alarm

    def _note_moment(self, routes: dict[str, RouteEvidence], now_s: float) -> None:
        if self._next_moment_s is None:
            self._next_moment_s = now_s + self._apart_s
        elif now_s >= self._next_moment_s and len(self._moments) < MOST_MOMENTS:
            self._moments.append(routes)
            self._next_moment_s = now_s + self._apart_s

    def _evidence(self, whole: list[_Stratum], routes: dict[str, RouteEvidence]) -> _Evidence:
        total = _Evidence().plus(_mean_evidence(whole), START_WEIGHT)
        for earlier in self._moments:
            lately = {name: _since(one, earlier.get(name)) for name, one in routes.items()}
            part = (1.0 - START_WEIGHT) / MOST_MOMENTS
            total = total.plus(_mean_evidence(_strata(lately)), part)
        return total


def _mean_evidence(strata: list[_Stratum]) -> _Evidence:
    total = _Evidence()
    for stratum in strata:
        if any(one.num_bad for one in stratum.engines.values()):
            total = total.plus(stratum.evidence(), stratum.weight)
    return total


def _since(now: RouteEvidence, earlier: RouteEvidence | None) -> RouteEvidence:
    """Return what the target has done since a moment, beside all that its predecessors did."""
    if earlier is None:
        return now
    engines = {
        instance: counts.minus(earlier.target.get(instance, NO_COUNTS))
        for instance, counts in now.target.items()
    }
    return RouteEvidence(now.old, engines)


def _strata(routes: dict[str, RouteEvidence]) -> list[_Stratum]:
    """Return all routes together and each by itself."""
    old = NO_COUNTS
    engines: dict[str, Counts] = {}
    for route in routes.values():
        old = old.plus(route.old)
        for instance, counts in route.target.items():
            engines[instance] = engines.get(instance, NO_COUNTS).plus(counts)
    weight = (1.0 - WHOLE_WEIGHT) / max(1, len(routes))
    return [_Stratum("all", WHOLE_WEIGHT, old, engines)] + [
        _Stratum(name, weight, one.old, one.target) for name, one in routes.items()
    ]


def judge_completion(routes: dict[str, RouteEvidence], alarm: Verdict | None) -> Verdict:
    """Return whether enough is known to complete a rollout."""
    if alarm is not None:
        return alarm
    strata = _strata(routes)
    whole = strata[0]
    if not _is_harmless(whole, HARM_MISSED):
        return Verdict(Judgement.UNDECIDED, whole.name, whole.target(), whole.old)
    for one in strata[1:]:
        is_main = one.old.num >= MAIN_ROUTE_SHARE * whole.old.num
        if is_main and not _is_harmless(one, HARM_MISSED_A_ROUTE):
            return Verdict(Judgement.UNDECIDED, one.name, one.target(), one.old)
    return Verdict(Judgement.GOOD, whole.name, whole.target(), whole.old)


def _is_harmless(stratum: _Stratum, missed: float) -> bool:
    """Whether a share of bad answers that would do harm is excluded."""
    target, old = stratum.target(), stratum.old
    usual = old.num_bad / old.num if old.num else 0.0
    return binomial_head(target.num_bad, target.num, min(1.0, usual + HARM)) <= missed
