"""The rule that decides which engines load a target version when; pure functions.

Inputs: how long each lagging engine's weights have been outdated, the requests in flight on old and
new weights, the loads in progress, the time. Output: the engines that begin to load now.

An engine serves no requests while it loads, and concurrent loads slow each other down, so engines
load in waves. Of the lagging engines:

- All engines begin whose older weights may no longer serve, since they are useless until they have
  loaded.
- A wave begins as soon as waiting longer would make some engine late for `begin_within_s`, counting
  the waves that have to precede it. The wave is larger if necessary.
- Otherwise a wave begins while too large a share of the requests runs on older weights, because the
  engines with the target version do not suffice.
- The rest wait: one load then also covers versions that are set in the meantime.
"""

import math
from collections.abc import Sequence

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.routing.choice_rules import START_MARGIN_S

LOAD_S = 1.3
"""Expected seconds of a wave, while requests continue during the load. With 1.3 instead of 2.4, the
mean worth (value earned less cost, as a share of the maximum) of 18 paired days was 0.785 instead
of 0.770 (docs/DECISIONS.md)."""

WAVE_SHARE = 0.34
"""Share of a model's engines in one wave. With a fifth instead of a third, the mean worth of 18
paired days was 0.766 instead of 0.785 (docs/DECISIONS.md)."""

BEGIN_WITHIN_SHARE = 0.8
"""Share of the grace period of older weights within which every load should have begun. With 0.3,
the mean worth of 18 paired days was 0.756 instead of 0.785 (docs/DECISIONS.md)."""

SETTLE_S = 0.4
"""Seconds after a load until requests are spread over the loaded engines."""

OLD_REQUESTS_SHARE = 0.2
"""Share of a model's requests on older weights above which the next wave begins. Balances
the loss from requests on older weights against the loss from a load (docs/DECISIONS.md)."""


class LoadRules(msgspec.Struct, frozen=True):
    """Times and shares of the plan.

    Attributes:
        load_s: Expected seconds of a wave, including the wait for requests to end.
        wave_share: Share of a model's engines in one wave.
        begin_within_s: Seconds after a version was set within which every load should have begun.
        unusable_after_s: Seconds after a version was set from which older weights get no requests.
        settle_s: Seconds after a load until the share of requests on older weights is evaluated.
        old_share: The loaded engines do not suffice while a larger share of the requests is on
            older weights.
    """

    load_s: float
    wave_share: float
    begin_within_s: float
    unusable_after_s: float
    settle_s: float = SETTLE_S
    old_share: float = OLD_REQUESTS_SHARE


def load_rules(weights_s: float) -> LoadRules:
    """Return the rules for a deployment.

    Args:
        weights_s: Seconds after a version was set in which requests may begin on older weights.
    """
    return LoadRules(
        load_s=LOAD_S,
        wave_share=WAVE_SHARE,
        begin_within_s=BEGIN_WITHIN_SHARE * weights_s,
        unusable_after_s=weights_s - START_MARGIN_S,
    )


class LaggingEngine(msgspec.Struct, frozen=True):
    """An engine whose weights are older than the target version.

    Attributes:
        instance: Instance of the engine.
        behind_since_s: When the first version newer than the engine's version was set.
        num_requests: Requests that the engine is serving.
        is_suspect: Whether the engine failed recently; other engines load before it.
    """

    instance: InstanceId
    behind_since_s: float
    num_requests: int
    is_suspect: bool = False


class EngineTotals(msgspec.Struct, frozen=True):
    """Totals over the engines of a model.

    Attributes:
        num_engines: All engines of the model, including lagging engines.
        num_loading: Engines that are loading now.
        num_suspect: Engines that failed recently. They reduce the serving capacity as engines that
            are loading do.
        num_requests: Requests that the engines with the target version are serving.
        last_load_at_s: When the last load ended.
    """

    num_engines: int
    num_loading: int = 0
    num_suspect: int = 0
    num_requests: int = 0
    last_load_at_s: float = -math.inf


def engines_to_load(
    lagging: Sequence[LaggingEngine],
    totals: EngineTotals,
    now_s: float,
    rules: LoadRules,
) -> list[InstanceId]:
    """Return the engines that should begin to load now.

    Args:
        lagging: Engines that need a load and have not begun it.
        totals: Totals over the engines of the model.
        now_s: Current time, on the clock of `LaggingEngine.behind_since_s`.
        rules: Times and shares.
    """
    wave_size = max(1, round(totals.num_engines * rules.wave_share))
    ordered = sorted(lagging, key=_load_order)
    unusable = [
        engine.instance
        for engine in ordered
        if now_s - engine.behind_since_s >= rules.unusable_after_s
    ]
    num_allowed = 0
    if _must_begin_wave(ordered, wave_size, now_s, rules):
        num_allowed = max(wave_size, _num_needed(ordered, now_s, rules))
    elif _is_wave_needed(ordered, totals, now_s, rules):
        num_allowed = wave_size - totals.num_suspect
    num_to_begin = max(0, num_allowed - totals.num_loading)
    chosen = [engine.instance for engine in ordered[:num_to_begin]]
    return chosen + [instance for instance in unusable if instance not in chosen]


def _load_order(engine: LaggingEngine) -> tuple[bool, float, int, str]:
    return engine.is_suspect, engine.behind_since_s, engine.num_requests, engine.instance


def _is_wave_needed(
    ordered: Sequence[LaggingEngine], totals: EngineTotals, now_s: float, rules: LoadRules
) -> bool:
    """Return whether too large a share of the requests runs on older weights."""
    if now_s < totals.last_load_at_s + rules.settle_s:
        return False
    num_old = sum(engine.num_requests for engine in ordered)
    return num_old > rules.old_share * (num_old + totals.num_requests)


def _must_begin_wave(
    ordered: Sequence[LaggingEngine], wave_size: int, now_s: float, rules: LoadRules
) -> bool:
    """Return whether waiting longer would make some engine late."""
    for index, engine in enumerate(ordered):
        num_waves_before = index // wave_size
        latest_begin_s = (
            engine.behind_since_s + rules.begin_within_s - rules.load_s * num_waves_before
        )
        if now_s >= latest_begin_s:
            return True
    return False


def _num_needed(ordered: Sequence[LaggingEngine], now_s: float, rules: LoadRules) -> int:
    """Return how many engines must load concurrently so that none is late.

    After a delay, somewhat larger waves now are better than one large wave at the end.
    """
    num_needed = 0
    for index, engine in enumerate(ordered):
        left_s = max(0.0, engine.behind_since_s + rules.begin_within_s - now_s)
        num_waves = 1 + int(left_s / rules.load_s)
        num_needed = max(num_needed, math.ceil((index + 1) / num_waves))
    return num_needed
