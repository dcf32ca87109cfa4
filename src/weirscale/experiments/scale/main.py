"""`weirscale scale`: cost and speed of membership against the size of the fleet."""

from collections.abc import Sequence

import anyio

from weirscale.experiments.scale.loopback import LoopbackCost, LoopbackPlan, measure_loopback
from weirscale.experiments.scale.measure import NUM_CRASHES, FleetCost, measure_fleet
from weirscale.experiments.virtual_time import run_in_virtual_time

EXIT_USAGE = 2
DEFAULT_SIZES = (50, 100, 200, 400)
DEFAULT_FIRST_PORT = 21_000
MIN_NODES = 2 * NUM_CRASHES
"""With fewer, the crashes of a measurement would take all seeds, and no node could join."""


def run(sizes: Sequence[int] = DEFAULT_SIZES, seed: int = 1, drop_percent: float = 0.0) -> int:
    """Measure hollow fleets in virtual time and print a row for each size, then the slopes.

    Args:
        sizes: Numbers of nodes; at least two for slopes.
        seed: Seeds all chance.
        drop_percent: Datagrams lost, in per cent.

    Returns:
        0 if all nodes always agreed in time, 1 if not, 2 for sizes that are too small.
    """
    if min(sizes) < MIN_NODES:
        print(f"sizes: {min(sizes)} is too small; give at least {MIN_NODES} nodes")
        return EXIT_USAGE
    costs: list[FleetCost] = []
    print("nodes bytes/s messages/s cpu_% kB/node crash_s(max) join_s(max) disagreements")
    for size in sizes:
        cost = run_in_virtual_time(measure_fleet, size, seed, drop_percent / 100.0, seed=seed)
        costs.append(cost)
        print(_row(cost), flush=True)
        print("  bytes/s by type: " + _by_type(cost.bytes_per_s_by_type), flush=True)
    if len(costs) > 1:
        print(_slopes(costs))
    return 0 if all(_is_sound(cost) for cost in costs) else 1


def run_loopback(
    num_nodes: int = 50,
    first_port: int = DEFAULT_FIRST_PORT,
    num_fleet_nodes: int = 0,
    seed_port: int = 0,
    duration_s: float = 30.0,
) -> int:
    """Run hollow nodes over UDP on loopback in this process and print what one costs.

    Args:
        num_nodes: Nodes in this process.
        first_port: First of their ports.
        num_fleet_nodes: Nodes in all processes; 0 for those of this one.
        seed_port: Port of the node to join by; 0 for the first of this process.
        duration_s: Length of the measurement.

    Returns:
        0 if every node here saw the whole fleet at the end, else 1.
    """
    plan = LoopbackPlan(
        num_nodes, first_port, num_fleet_nodes or num_nodes, seed_port or first_port, duration_s
    )
    cost: LoopbackCost = anyio.run(measure_loopback, plan, backend_options={"use_uvloop": True})
    print(
        f"nodes={cost.num_nodes} fleet={cost.num_fleet_nodes} formed_s={cost.formed_s:.1f} "
        f"cpu_%={cost.cpu_share * 100:.3f} kB/node={cost.resident_bytes / 1000:.0f} "
        f"bytes/s={sum(cost.bytes_per_s_by_type.values()):.0f} incomplete={cost.num_incomplete}"
    )
    print("  bytes/s by type: " + _by_type(cost.bytes_per_s_by_type))
    return 0 if cost.num_incomplete == 0 else 1


def fitted_slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def _slopes(costs: Sequence[FleetCost]) -> str:
    lines: list[str] = []
    measures = {
        "bytes/s": [cost.bytes_per_s for cost in costs],
        "cpu_%": [cost.cpu_share * 100 for cost in costs],
        "kB/node": [cost.resident_bytes / 1000 for cost in costs],
    }
    for name, values in measures.items():
        points = [(float(cost.num_nodes), value) for cost, value in zip(costs, values, strict=True)]
        intercept, slope = fitted_slope(points)
        lines.append(f"{name} = {intercept:.4g} + {slope:.4g} * nodes")
    return "\n".join(lines)


def _row(cost: FleetCost) -> str:
    return (
        f"{cost.num_nodes} {cost.bytes_per_s:.0f} {cost.messages_per_s:.1f} "
        f"{cost.cpu_share * 100:.3f} {cost.resident_bytes / 1000:.0f} "
        f"{_worst(cost.crash_agreed_s)} {_worst(cost.join_agreed_s)} {cost.num_disagreements}"
    )


def _worst(times: Sequence[float | None]) -> str:
    known = [time_s for time_s in times if time_s is not None]
    return "never" if len(known) < len(times) else f"{max(known):.2f}"


def _by_type(by_type: dict[str, float]) -> str:
    return " ".join(f"{tag}={value:.0f}" for tag, value in sorted(by_type.items()) if value)


def _is_sound(cost: FleetCost) -> bool:
    agreed = None not in (*cost.crash_agreed_s, *cost.join_agreed_s)
    return agreed and cost.num_disagreements == 0
