"""Measures a hollow fleet in virtual time: traffic, processor time, speed of detection."""

import gc
import resource
import time

import anyio
import msgspec

from weirscale.experiments.scale.fleet import NODES_PER_ZONE, HollowFleet

UDP_IP_HEADER_BYTES = 28
QUIET_S = 30.0
"""Length of the measurement of a fleet in which nothing changes."""

NUM_CRASHES = 5
NUM_JOINS = 5
EVENT_TIMEOUT_S = 30.0


class FleetCost(msgspec.Struct, frozen=True):
    """What membership costs and how fast it is at one size.

    Attributes:
        num_nodes: Nodes in the fleet.
        bytes_per_s: Bytes a node sends and receives a second, quiet, with UDP and IP headers.
        bytes_per_s_by_type: The same by message type.
        messages_per_s: Messages a node sends and receives a second, quiet.
        cpu_share: Processor time a node takes a second, quiet; the simulation's own included.
        resident_bytes: Resident memory that one node adds to the process.
        crash_agreed_s: Times until all live nodes agreed on a crash; None where never.
        join_agreed_s: Times until all live nodes agreed on a join; None where never.
        num_false_deaths: Live nodes that were declared dead anywhere while quiet.
    """

    num_nodes: int
    bytes_per_s: float
    bytes_per_s_by_type: dict[str, float]
    messages_per_s: float
    cpu_share: float
    resident_bytes: float
    crash_agreed_s: list[float | None]
    join_agreed_s: list[float | None]
    num_false_deaths: int


async def measure_fleet(num_nodes: int, seed: int, drop_rate: float = 0.0) -> FleetCost:
    """Run one fleet; for virtual time."""
    resident_before = _resident_bytes()
    async with anyio.create_task_group() as tasks:
        fleet = HollowFleet(tasks, seed, max(1, num_nodes // NODES_PER_ZONE))
        await fleet.start(num_nodes)
        resident_bytes = (_resident_bytes() - resident_before) / num_nodes
        fleet.network.set_drop_rate(drop_rate)
        quiet = await _measure_quiet(fleet)
        crashes = await _measure_crashes(fleet)
        joins = await _measure_joins(fleet)
        tasks.cancel_scope.cancel()
    cpu_share, by_type, num_messages, num_false_deaths = quiet
    return FleetCost(
        num_nodes=num_nodes,
        bytes_per_s=sum(by_type.values()),
        bytes_per_s_by_type=by_type,
        messages_per_s=num_messages,
        cpu_share=cpu_share,
        resident_bytes=resident_bytes,
        crash_agreed_s=crashes,
        join_agreed_s=joins,
        num_false_deaths=num_false_deaths,
    )


async def _measure_quiet(fleet: HollowFleet) -> tuple[float, dict[str, float], float, int]:
    before = _traffic(fleet)
    gc.collect()
    cpu_before_s = time.process_time()
    num_false_deaths = 0
    for _ in range(int(QUIET_S)):
        await anyio.sleep(1.0)
        num_false_deaths += 0 if fleet.all_agree() else 1
    cpu_s = time.process_time() - cpu_before_s
    after = _traffic(fleet)
    scale = 1.0 / (QUIET_S * len(fleet.nodes))
    by_type: dict[str, float] = {}
    num_messages = 0
    for tag, (messages, num_bytes) in sorted(after.items()):
        messages_before, bytes_before = before.get(tag, (0, 0))
        messages -= messages_before
        with_headers = num_bytes - bytes_before + messages * UDP_IP_HEADER_BYTES
        by_type[tag] = with_headers * scale
        num_messages += messages
    return cpu_s * scale, by_type, num_messages * scale, num_false_deaths


async def _measure_crashes(fleet: HollowFleet) -> list[float | None]:
    times: list[float | None] = []
    for number in range(NUM_CRASHES):
        nodes = fleet.running()
        fleet.crash(nodes[(number * 37 + 5) % len(nodes)])
        times.append(await fleet.until(fleet.all_agree, EVENT_TIMEOUT_S))
        await anyio.sleep(2.0 + number * 0.23)
    return times


async def _measure_joins(fleet: HollowFleet) -> list[float | None]:
    times: list[float | None] = []
    for _ in range(NUM_JOINS):
        fleet.start_node()
        times.append(await fleet.until(fleet.all_agree, EVENT_TIMEOUT_S))
        await anyio.sleep(2.0)
    return times


def _traffic(fleet: HollowFleet) -> dict[str, tuple[int, int]]:
    """Return messages and bytes sent and received by all nodes, by type."""
    totals: dict[str, tuple[int, int]] = {}
    for node in fleet.running():
        for counts in (node.link.traffic.sent, node.link.traffic.received):
            for tag, count in counts.items():
                messages, num_bytes = totals.get(tag, (0, 0))
                totals[tag] = (messages + count.num_messages, num_bytes + count.num_bytes)
    return totals


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()
