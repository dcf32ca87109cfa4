"""When which engine takes newly named weights: pure planning.

An engine that loads serves nobody for a while, and many loading at once take longer each. So
engines load in waves. The first wave loads at once, and the next ones follow as long as requests go
on starting on older weights: the engines that have the new ones do not suffice. Engines that nobody
needs meanwhile load no earlier than the bound asks for: a version named until then is taken by the
same load.
"""

import math
from collections.abc import Sequence

import msgspec

from weirscale.gateway.model.identifiers import InstanceId


class WeightsRolloutRules(msgspec.Struct, frozen=True):
    """Times of the rollout.

    Attributes:
        load_s: Time that a wave is expected to take, runs that end first included.
        share_at_once: Share of a model's engines that may load at once.
        target_s: Time after the naming by which every engine should have begun its load.
        urgent_s: From this age on, engines are out of use anyway and load all at once.
        settle_s: Time after a load before it is judged whether the loaded engines suffice.
        old_share: They do not while more than this share of the requests runs on older weights.
    """

    load_s: float
    share_at_once: float
    target_s: float
    urgent_s: float
    settle_s: float = 0.4
    old_share: float = 0.2


class LaggingEngine(msgspec.Struct, frozen=True):
    """An engine whose weights are older than the newest named.

    Attributes:
        instance: The engine.
        owed_since_s: When the first version newer than its own was named.
        num_requests: Requests at work there.
        is_suspect: Whether it has failed lately; the others load before it.
    """

    instance: InstanceId
    owed_since_s: float
    num_requests: int
    is_suspect: bool = False


class LoadedEngines(msgspec.Struct, frozen=True):
    """The other engines of a model.

    Attributes:
        num_runners: All engines of the model, those that lag included.
        num_loading: Engines that load now.
        num_suspect: Engines that have failed lately; they are missed as those that load are.
        num_requests: Requests at work at engines that have the newest weights.
        last_load_s: When the last load ended.
    """

    num_engines: int
    num_loading: int = 0
    num_suspect: int = 0
    num_requests: int = 0
    last_load_s: float = -math.inf


def engines_to_load(
    lagging: Sequence[LaggingEngine],
    others: LoadedEngines,
    now_s: float,
    rules: WeightsRolloutRules,
) -> list[InstanceId]:
    """Return the engines that should begin to load now.

    Args:
        lagging: Engines to load that have not begun.
        others: The other engines.
        now_s: Time.
        rules: Times.
    """
    at_once = max(1, round(others.num_engines * rules.share_at_once))
    order = sorted(lagging, key=_load_order)
    urgent = [one.instance for one in order if now_s - one.owed_since_s >= rules.urgent_s]
    num_at_once = 0
    if _must_begin(order, at_once, now_s, rules):
        num_at_once = max(at_once, _num_needed(order, now_s, rules))
    elif _is_needed(order, others, now_s, rules):
        num_at_once = at_once - others.num_suspect
    num_free = max(0, num_at_once - others.num_loading)
    chosen = [one.instance for one in order[:num_free]]
    return chosen + [instance for instance in urgent if instance not in chosen]


def _load_order(engine: LaggingEngine) -> tuple[bool, float, int, str]:
    return engine.is_suspect, engine.owed_since_s, engine.num_requests, engine.instance


def _is_needed(
    order: Sequence[LaggingEngine], others: LoadedEngines, now_s: float, rules: WeightsRolloutRules
) -> bool:
    """Whether too many requests run on older weights."""
    if now_s < others.last_load_s + rules.settle_s:
        return False
    num_old = sum(one.num_requests for one in order)
    return num_old > rules.old_share * (num_old + others.num_requests)


def _must_begin(
    order: Sequence[LaggingEngine], at_once: int, now_s: float, rules: WeightsRolloutRules
) -> bool:
    """Whether waiting longer would make some engine in the order late."""
    for index, one in enumerate(order):
        num_waves_before = index // at_once
        latest_s = one.owed_since_s + rules.target_s - rules.load_s * num_waves_before
        if now_s >= latest_s:
            return True
    return False


def _num_needed(order: Sequence[LaggingEngine], now_s: float, rules: WeightsRolloutRules) -> int:
    """Return how many engines must load at once for none to be late.

    After lost time, somewhat larger waves now are better than all that is left at the end.
    """
    needed = 0
    for index, one in enumerate(order):
        left_s = max(0.0, one.owed_since_s + rules.target_s - now_s)
        num_waves = 1 + int(left_s / rules.load_s)
        needed = max(needed, math.ceil((index + 1) / num_waves))
    return needed
