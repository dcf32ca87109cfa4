"""`weirscale scale`: what control costs a node at several sizes, and how fast it is."""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context

import anyio

from weirscale.experiments.control_cost.deployment import NUM_ENGINES_PER_NODE
from weirscale.experiments.control_cost.fleet import HollowFleet
from weirscale.experiments.control_cost.goals import GoalTimes, measure_goals
from weirscale.experiments.control_cost.measure import FleetShape, NodeCost, measure_rest
from weirscale.experiments.scale.main import fitted_slope
from weirscale.experiments.virtual_time import run_in_virtual_time

DEFAULT_SIZES = (50, 100, 200, 400)
DEFAULT_NUM_BLOCKS = 2000
"""Blocks of each engine: one in 35 of the design's 70,000, which cost seconds of processor time
an engine to read in; digests sample them down to the same bytes."""

GOAL_NUM_ENGINES = 170
"""Engines of the fleet that goals are measured on: a tenth, so that it ends in minutes."""

GOAL_NUM_BLOCKS = 100
QUIET_S = 5.0
NUM_PROCESSES = 2
"""Processes that fleets are shared out to; the largest takes minutes of one core."""

MAX_CRASH_S = 5.0
MAX_JOIN_S = 3.0
MAX_IN_FORCE_S = 3.0
MAX_REPLACING_S = 10.0
MAX_RESTART_S = 1.0


def run(sizes: Sequence[int] = DEFAULT_SIZES, seed: int = 1, goals: bool = True) -> int:
    """Measure hollow fleets in virtual time; print a row for each size, the slopes and the goals.

    Args:
        sizes: Numbers of nodes; at least two for slopes.
        seed: Seeds all chance.
        goals: Whether to measure the goals too, at the largest size.

    Returns:
        0 if every fleet was whole at the end and every goal was met, else 1.
    """
    started_at_s = time.monotonic()
    largest = max(sizes)
    # A new interpreter for each fleet, or the memory of one would hide that of the next.
    with ProcessPoolExecutor(
        NUM_PROCESSES, mp_context=get_context("spawn"), max_tasks_per_child=1
    ) as processes:
        goal_shape = FleetShape(largest, GOAL_NUM_ENGINES, GOAL_NUM_BLOCKS, seed=seed)
        shapes = [_shape(size, seed) for size in sorted(sizes, reverse=True)]
        first = processes.submit(run_rest, shapes[0])
        goal = processes.submit(run_goals, goal_shape) if goals else None
        rest = [first, *(processes.submit(run_rest, shape) for shape in shapes[1:])]
        costs = sorted(_results(rest), key=lambda cost: cost.shape.num_nodes)
        times = goal.result() if goal else None
    print(_table(costs))
    if len(costs) > 1:
        print(_slopes(costs))
    if times is not None:
        print(_goal_lines(times))
    print(f"wall_s={time.monotonic() - started_at_s:.0f}")
    are_whole = all(cost.num_unhomed == 0 and cost.num_stale == 0 for cost in costs)
    return 0 if are_whole and (times is None or not missed_goals(times)) else 1


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


def _shape(num_nodes: int, seed: int) -> FleetShape:
    num_engines = round(num_nodes * NUM_ENGINES_PER_NODE)
    return FleetShape(num_nodes, num_engines, DEFAULT_NUM_BLOCKS, QUIET_S, seed)


def _results(futures: Sequence[Future[NodeCost]]) -> list[NodeCost]:
    return [future.result() for future in futures]


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


def _table(costs: Sequence[NodeCost]) -> str:
    lines = [" ".join(["nodes", "engines", *COLUMNS, "max_sent_B/s", "settled_s", "herd_calls"])]
    for cost in costs:
        values = [f"{value(cost):.4g}" for value in COLUMNS.values()]
        values += [f"{cost.max_sent_bytes_per_s:.0f}", f"{cost.settled_s:.2f}"]
        shape = cost.shape
        lines.append(" ".join([str(shape.num_nodes), str(shape.num_engines), *values]))
        lines[-1] += f" {cost.herd_calls}"
        lines.append("  sent B/s by type: " + _by_type(cost.sent_by_type))
    return "\n".join(lines)


def _slopes(costs: Sequence[NodeCost]) -> str:
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


def _goal_lines(times: GoalTimes) -> str:
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
