"""When which runner takes newly named weights: pure planning.

A runner that loads serves nobody for a while, and many loading at once take longer each. So runners
load in waves, and no earlier than the bound asks for: a version named meanwhile is then taken by
the same load.
"""

import math
from collections.abc import Sequence

import msgspec


class RolloutRules(msgspec.Struct, frozen=True):
    """Times of the rollout.

    Attributes:
        load_s: Time that a wave is expected to take, runs that end first included.
        share_at_once: Share of a model's runners that may load at once.
        target_s: Time after the naming by which every runner should have begun its load.
        urgent_s: From this age on, runners are out of use anyway and load all at once.
    """

    load_s: float
    share_at_once: float
    target_s: float
    urgent_s: float


class LaggingRunner(msgspec.Struct, frozen=True):
    """A runner whose weights are older than the newest named.

    Attributes:
        instance: The runner.
        owed_since_s: When the first version newer than its own was named.
        num_requests: Requests at work there.
    """

    instance: str
    owed_since_s: float
    num_requests: int


def runners_to_load(
    lagging: Sequence[LaggingRunner],
    num_runners: int,
    num_loading: int,
    now_s: float,
    rules: RolloutRules,
) -> list[str]:
    """Return the runners that should begin to load now.

    Args:
        lagging: Runners to load that have not begun.
        num_runners: All runners of the model.
        num_loading: Runners that load now.
        now_s: Time.
        rules: Times.
    """
    at_once = max(1, int(num_runners * rules.share_at_once))
    order = sorted(lagging, key=lambda one: (one.owed_since_s, one.num_requests, one.instance))
    urgent = [one.instance for one in order if now_s - one.owed_since_s >= rules.urgent_s]
    if not _must_begin(order, at_once, now_s, rules):
        return urgent
    num_free = max(at_once, _num_needed(order, now_s, rules)) - num_loading
    chosen = [one.instance for one in order[: max(0, num_free)]]
    return chosen + [instance for instance in urgent if instance not in chosen]


def _must_begin(
    order: Sequence[LaggingRunner], at_once: int, now_s: float, rules: RolloutRules
) -> bool:
    """Whether waiting longer would make some runner in the order late."""
    for index, one in enumerate(order):
        num_waves_before = index // at_once
        latest_s = one.owed_since_s + rules.target_s - rules.load_s * num_waves_before
        if now_s >= latest_s:
            return True
    return False


def _num_needed(order: Sequence[LaggingRunner], now_s: float, rules: RolloutRules) -> int:
    """Return how many runners must load at once for none to be late.

    After lost time, somewhat larger waves now are better than all that is left at the end.
    """
    needed = 0
    for index, one in enumerate(order):
        left_s = max(0.0, one.owed_since_s + rules.target_s - now_s)
        num_waves = 1 + int(left_s / rules.load_s)
        needed = max(needed, math.ceil((index + 1) / num_waves))
    return needed
