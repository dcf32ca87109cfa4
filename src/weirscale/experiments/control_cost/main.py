"""What control costs a node at one size, how fast it is, and how that is printed."""

from collections.abc import Callable, Sequence

import anyio

from weirscale.experiments.control_cost.deployment import NUM_ENGINES_PER_NODE
from weirscale.experiments.control_cost.fleet import HollowFleet
from weirscale.experiments.control_cost.goals import GoalTimes, measure_goals
from weirscale.experiments.control_cost.measure import FleetShape, NodeCost, measure_rest
from weirscale.experiments.scale.main import fitted_slope
from weirscale.experiments.virtual_time import run_in_virtual_time

DEFAULT_NUM_BLOCKS = 2000
"""Blocks of each engine: one in 35 of the design's 70,000, which cost seconds of processor time
an engine to read in; digests sample them down to the same bytes."""

GOAL_NUM_ENGINES = 170
"""Engines of the fleet that goals are measured on: a tenth, so that it ends in minutes."""

GOAL_NUM_BLOCKS = 100
QUIET_S = 5.0
MAX_CRASH_S = 5.0
MAX_JOIN_S = 3.0
MAX_IN_FORCE_S = 3.0
MAX_REPLACING_S = 10.0
MAX_RESTART_S = 1.0


def run_rest(shape: FleetShape) -> NodeCost:
    """Measure one fleet at rest, in this process."""

    async def script() -> NodeCost:
        async with anyio.create_task_group() as tasks:
            cost = await measure_rest(HollowFleet(tasks, shape.seed), shape)
            tasks.cancel_scope.cancel()
        return cost

    return run_in_virtual_time(script, seed=shape.seed)


def run_goals(shape: FleetShape) -> GoalTimes:
    """Measure the goals on one fleet, in this process."""

    async def script() -> GoalTimes:
        async with anyio.create_task_group() as tasks:
            times = await measure_goals(HollowFleet(tasks, shape.seed), shape)
            tasks.cancel_scope.cancel()
        return times

    return run_in_virtual_time(script, seed=shape.seed)


def missed_goals(times: GoalTimes) -> list[str]:
    """Return the goals that were missed, with their figures."""
    return [line for line, met in _verdicts(times) if not met]


def rest_shape(num_nodes: int, seed: int) -> FleetShape:
    """Return the fleet whose cost at rest is measured."""
    num_engines = round(num_nodes * NUM_ENGINES_PER_NODE)
    return FleetShape(num_nodes, num_engines, DEFAULT_NUM_BLOCKS, QUIET_S, seed)


COLUMNS: dict[str, Callable[[NodeCost], float]] = {
    "sent_B/s": lambda cost: cost.sent_bytes_per_s,
    "received_B/s": lambda cost: cost.received_bytes_per_s,
    "messages/s": lambda cost: cost.messages_per_s,
    "event_B/s": lambda cost: cost.engine_event_bytes_per_s,
    "load_B/s": lambda cost: cost.engine_load_bytes_per_s,
    "polls/s": lambda cost: cost.load_polls_per_s,
    "store_calls/s": lambda cost: cost.store_calls_per_s,
    "simulated_cpu_%": lambda cost: 100 * cost.cpu_share,
    "kB/node": lambda cost: cost.resident_bytes / 1000,
}
"""What is printed and fitted; processor time includes the simulation's own."""


def cost_table(costs: Sequence[NodeCost]) -> str:
    """Return a row for each fleet, and its bytes by message type."""
    lines = [" ".join(["nodes", "engines", *COLUMNS, "max_sent_B/s", "settled_s", "herd_calls"])]
    for cost in costs:
        values = [f"{value(cost):.4g}" for value in COLUMNS.values()]
        values += [f"{cost.max_sent_bytes_per_s:.0f}", f"{cost.settled_s:.2f}"]
        shape = cost.shape
        lines.append(" ".join([str(shape.num_nodes), str(shape.num_engines), *values]))
        lines[-1] += f" {cost.herd_calls}"
        lines.append("  sent B/s by type: " + _by_type(cost.sent_by_type))
    return "\n".join(lines)


def slope_lines(costs: Sequence[NodeCost]) -> str:
    """Return the fitted line of each column against the number of nodes."""
    lines: list[str] = []
    for name, value in COLUMNS.items():
        points = [(float(cost.shape.num_nodes), value(cost)) for cost in costs]
        intercept, slope = fitted_slope(points)
        lines.append(f"{name} = {intercept:.4g} + {slope:.4g} * nodes")
    return "\n".join(lines)


def _verdicts(times: GoalTimes) -> list[tuple[str, bool]]:
    goals = (
        ("crash agreed", times.crash_agreed_s, MAX_CRASH_S),
        ("join agreed", times.join_agreed_s, MAX_JOIN_S),
        ("in force p99", times.in_force_p99_s, MAX_IN_FORCE_S),
        ("in force p99, a third replaced", times.replacing_p99_s, MAX_REPLACING_S),
        ("restarted node has configuration, store down", times.restart_store_down_s, MAX_RESTART_S),
    )
    return [
        (
            f"{name}: {'never' if time_s is None else f'{time_s:.2f} s'} (bound {bound_s} s)",
            time_s is not None and time_s < bound_s,
        )
        for name, time_s, bound_s in goals
    ]


def goal_lines(times: GoalTimes) -> str:
    """Return a line for each goal, with its bound."""
    shape = times.shape
    lines = [f"goals at {shape.num_nodes} nodes, {shape.num_engines} engines:"]
    lines += [f"  {line}{'' if met else ' MISSED'}" for line, met in _verdicts(times)]
    lines.append(
        f"  longest: {times.in_force_max_s:.2f} s, {times.replacing_max_s:.2f} s with replacing; "
        f"a change makes a node send {times.bytes_per_change:.0f} B"
    )
    return "\n".join(lines)


def _by_type(by_type: dict[str, float]) -> str:
    return " ".join(f"{tag}={value:.0f}" for tag, value in by_type.items() if value >= 1.0)
