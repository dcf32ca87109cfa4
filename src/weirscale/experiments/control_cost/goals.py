"""Measures how fast a hollow fleet agrees on crashes, joins and changes of configuration."""

from random import Random

import anyio
import msgspec

from weirscale.domain.identifiers import ConfigurationRevision
from weirscale.experiments.control_cost.deployment import design_deployment
from weirscale.experiments.control_cost.fleet import HollowFleet, HollowNode
from weirscale.experiments.control_cost.measure import FleetShape, start_fleet

EVENT_TIMEOUT_S = 60.0
NUM_CHANGES = 3
CHANGE_PERIOD_S = 2.0
REPLACED_SHARE = 1.0 / 3.0
QUIET_S = 3.0
CALM_S = 10.0
"""Pause before a measurement, so that the storm of the one before is over."""

P99 = 0.99


class GoalTimes(msgspec.Struct, frozen=True):
    """Times at one size; None where something never came.

    Attributes:
        shape: The fleet.
        crash_agreed_s: Until all live nodes agreed on a crash.
        join_agreed_s: Until all nodes agreed on a join.
        in_force_p99_s: From sending a change to the store until it was in force, over nodes.
        in_force_max_s: The longest of these.
        replacing_p99_s: The same while a third of the nodes was replaced; a replaced node counts
            from its own start where that is later.
        replacing_max_s: The longest of these.
        bytes_per_change: Bytes that a node sends more because of one change.
        restart_store_down_s: From a node's start until it has a configuration, with the store down.
    """

    shape: FleetShape
    crash_agreed_s: float | None
    join_agreed_s: float | None
    in_force_p99_s: float
    in_force_max_s: float
    replacing_p99_s: float
    replacing_max_s: float
    bytes_per_change: float
    restart_store_down_s: float | None


async def measure_goals(fleet: HollowFleet, shape: FleetShape) -> GoalTimes:
    """Start a fleet and measure; for virtual time."""
    random = Random(f"goals {shape.seed}")
    await start_fleet(fleet, shape)
    await anyio.sleep(CALM_S)
    crash_agreed_s = await _measure_crash(fleet, random)
    fleet.start_node()
    join_agreed_s = await fleet.until(fleet.all_agree, EVENT_TIMEOUT_S)
    await anyio.sleep(QUIET_S)
    steady_s, bytes_per_change = await _measure_changes(fleet, shape)
    replacing_s = await _measure_replacing(fleet, shape, random)
    await anyio.sleep(CALM_S)
    restart_s = await _measure_restart(fleet, random)
    return GoalTimes(
        shape=shape,
        crash_agreed_s=crash_agreed_s,
        join_agreed_s=join_agreed_s,
        in_force_p99_s=_percentile(steady_s, P99),
        in_force_max_s=max(steady_s),
        replacing_p99_s=_percentile(replacing_s, P99),
        replacing_max_s=max(replacing_s),
        bytes_per_change=bytes_per_change,
        restart_store_down_s=restart_s,
    )


async def _measure_crash(fleet: HollowFleet, random: Random) -> float | None:
    fleet.crash(_pick(fleet, random))
    return await fleet.until(fleet.all_agree, EVENT_TIMEOUT_S)


async def _measure_changes(fleet: HollowFleet, shape: FleetShape) -> tuple[list[float], float]:
    """Apply some changes; returns the times and the bytes a node sends more for one of them."""
    before = fleet.num_configuration_bytes()
    await anyio.sleep(QUIET_S)
    quiet_bytes_per_s = (fleet.num_configuration_bytes() - before) / QUIET_S
    before, started_at_s = fleet.num_configuration_bytes(), anyio.current_time()
    times_s: list[float] = []
    for number in range(1, NUM_CHANGES + 1):
        times_s += await _change(fleet, shape, number, ())
    duration_s = anyio.current_time() - started_at_s
    extra = fleet.num_configuration_bytes() - before - quiet_bytes_per_s * duration_s
    return times_s, extra / NUM_CHANGES / len(fleet.nodes)


async def _measure_replacing(fleet: HollowFleet, shape: FleetShape, random: Random) -> list[float]:
    names = random.sample(sorted(fleet.nodes), round(REPLACED_SHARE * len(fleet.nodes)))
    nodes = tuple(fleet.nodes[name] for name in names)
    return await _change(fleet, shape, NUM_CHANGES + 1, nodes)


async def _change(
    fleet: HollowFleet, shape: FleetShape, number: int, replaced: tuple[HollowNode, ...]
) -> list[float]:
    """Apply one change, replace nodes meanwhile, and return each node's time."""
    deployment = design_deployment(shape.num_engines, shape.num_blocks, number)
    sent_at_s = anyio.current_time()
    revision = await fleet.apply(deployment)
    for node in replaced:
        fleet.replace(node)
        await anyio.sleep(CHANGE_PERIOD_S / len(replaced))
    await fleet.until(lambda: fleet.all_have(revision), EVENT_TIMEOUT_S)
    await anyio.sleep(CHANGE_PERIOD_S)
    return [_in_force_s(node, revision, sent_at_s) for node in fleet.nodes.values()]


def _in_force_s(node: HollowNode, revision: ConfigurationRevision, sent_at_s: float) -> float:
    times_s = [at_s for taken, at_s in node.in_force_at_s.items() if taken >= revision]
    if not times_s:
        return EVENT_TIMEOUT_S
    return min(times_s) - max(sent_at_s, node.started_at_s)


async def _measure_restart(fleet: HollowFleet, random: Random) -> float | None:
    """Replace a node while the store is down and wait until it has a configuration."""
    fleet.set_store_down(True)
    node = fleet.replace(_pick(fleet, random))
    took_s = await fleet.until(
        lambda: node.node.configuration.current() is not None, EVENT_TIMEOUT_S
    )
    fleet.set_store_down(False)
    return took_s


def _pick(fleet: HollowFleet, random: Random) -> HollowNode:
    return fleet.nodes[random.choice(sorted(fleet.nodes))]


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
