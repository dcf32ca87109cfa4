"""The rule of which engines load a target version when; pure.

Inputs: how long each lagging engine's weights have been behind, the requests at work on old and new
weights, what loads now, the time. Output: the engines that begin now.

An engine that loads serves nobody for a while, and many that load at once take longer each, so
engines load in waves. Of the engines that lag:

- all begin whose older weights may not serve any more: they are of no use before their load;
- a wave begins, larger if need be, as soon as waiting longer would make some engine late for
  `begin_within_s`, counting the waves that have to go before it;
- otherwise a wave begins while too large a share of the requests runs on older weights: the
  engines that have the target version do not suffice;
- the rest wait: a version that is set until then is taken by the same load.
"""

import math
from collections.abc import Sequence

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.routing.choice_rules import START_MARGIN_S

LOAD_S = 1.3
"""Seconds that a wave is expected to take, while requests go on during the load. With 1.3 instead
of 2.4 the mean worth of 18 paired days was 0.785 instead of 0.770 (docs/DECISIONS.md)."""

SHARE_AT_ONCE = 0.34
"""Share of a model's engines in one wave. With a fifth instead of a third the mean worth of 18
paired days was 0.766 instead of 0.785 (docs/DECISIONS.md)."""

BEGIN_WITHIN_SHARE = 0.8
"""Share of older weights' grace within which every load should have begun. With 0.3 the mean worth
of 18 paired days was 0.756 instead of 0.785 (docs/DECISIONS.md)."""

SETTLE_S = 0.4
"""Seconds after a load until requests have spread over the loaded engines. Not measured."""

OLD_REQUESTS_SHARE = 0.2
"""Share of a model's requests on older weights above which the next wave begins. The loss of a
request on older weights is weighed against that of a load (docs/DECISIONS.md)."""


class LoadRules(msgspec.Struct, frozen=True):
    """Times and shares of the plan.

    Attributes:
        load_s: Seconds that a wave is expected to take, with the requests that end first.
        share_at_once: Share of a model's engines in one wave.
        begin_within_s: Seconds after a version was set within which every load should have begun.
        unusable_after_s: Seconds after a version was set from which older weights get no requests.
        settle_s: Seconds after a load before it is judged whether the loaded engines suffice.
        old_share: They don't while more than this share of the requests is on older weights.
    """

    load_s: float
    share_at_once: float
    begin_within_s: float
    unusable_after_s: float
    settle_s: float = SETTLE_S
    old_share: float = OLD_REQUESTS_SHARE


def load_rules(weights_s: float) -> LoadRules:
    """Return the rules for a deployment.

    Args:
        weights_s: Seconds after a version was set in which requests may begin on older ones.
    """
    return LoadRules(
        load_s=LOAD_S,
        share_at_once=SHARE_AT_ONCE,
        begin_within_s=BEGIN_WITHIN_SHARE * weights_s,
        unusable_after_s=weights_s - START_MARGIN_S,
    )


class LaggingEngine(msgspec.Struct, frozen=True):
    """An engine whose weights are older than the target version.

    Attributes:
        instance: The engine.
        behind_since_s: When the first version newer than its own was set.
        num_requests: Requests at work there.
        is_suspect: Whether it has failed lately; the others load before it.
    """

    instance: InstanceId
    behind_since_s: float
    num_requests: int
    is_suspect: bool = False


class EngineTotals(msgspec.Struct, frozen=True):
    """The other engines of a model.

    Attributes:
        num_engines: All engines of the model, those that lag included.
        num_loading: Engines that load now.
        num_suspect: Engines that have failed lately; they are missed as those that load are.
        num_requests: Requests at work at engines that have the target version.
        last_load_s: When the last load ended.
    """

    num_engines: int
    num_loading: int = 0
    num_suspect: int = 0
    num_requests: int = 0
    last_load_s: float = -math.inf


def engines_to_load(
    lagging: Sequence[LaggingEngine],
    others: EngineTotals,
    now_s: float,
    rules: LoadRules,
) -> list[InstanceId]:
    """Return the engines that should begin to load now.

    Args:
        lagging: Engines to load that have not begun.
        others: The other engines.
        now_s: Time, on the clock of `LaggingEngine.behind_since_s`.
        rules: Times and shares.
    """
    at_once = max(1, round(others.num_engines * rules.share_at_once))
    order = sorted(lagging, key=_load_order)
    unusable = [
        one.instance for one in order if now_s - one.behind_since_s >= rules.unusable_after_s
    ]
    wave_size = 0
    if _must_begin(order, at_once, now_s, rules):
        wave_size = max(at_once, _num_needed(order, now_s, rules))
    elif _is_needed(order, others, now_s, rules):
        wave_size = at_once - others.num_suspect
    num_free = max(0, wave_size - others.num_loading)
    chosen = [one.instance for one in order[:num_free]]
    return chosen + [instance for instance in unusable if instance not in chosen]


def _load_order(engine: LaggingEngine) -> tuple[bool, float, int, str]:
    return engine.is_suspect, engine.behind_since_s, engine.num_requests, engine.instance


def _is_needed(
    order: Sequence[LaggingEngine], others: EngineTotals, now_s: float, rules: LoadRules
) -> bool:
    """Whether too many requests run on older weights."""
    if now_s < others.last_load_s + rules.settle_s:
        return False
    num_old = sum(one.num_requests for one in order)
    return num_old > rules.old_share * (num_old + others.num_requests)


def _must_begin(
    order: Sequence[LaggingEngine], at_once: int, now_s: float, rules: LoadRules
) -> bool:
    """Whether waiting longer would make some engine in the order late."""
    for index, one in enumerate(order):
        num_waves_before = index // at_once
        latest_s = one.behind_since_s + rules.begin_within_s - rules.load_s * num_waves_before
        if now_s >= latest_s:
            return True
    return False


def _num_needed(order: Sequence[LaggingEngine], now_s: float, rules: LoadRules) -> int:
    """Return how many engines must load at once for none to be late.

    After lost time, somewhat larger waves now are better than all that is left at the end.
    """
    needed = 0
    for index, one in enumerate(order):
        left_s = max(0.0, one.behind_since_s + rules.begin_within_s - now_s)
        num_waves = 1 + int(left_s / rules.load_s)
        needed = max(needed, math.ceil((index + 1) / num_waves))
    return needed
