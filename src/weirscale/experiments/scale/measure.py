"""Measures a hollow fleet in virtual time: traffic, processor time, speed of detection."""

import gc
import resource
import time
from collections.abc import Iterable

import anyio
import msgspec

from weirscale.experiments.scale.fleet import NODES_PER_ZONE, HollowFleet
from weirscale.node.peers.link import AuthenticatedPeerLink

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
        num_disagreements: Seconds of the quiet time at whose end the nodes did not all agree.
    """

    num_nodes: int
    bytes_per_s: float
    bytes_per_s_by_type: dict[str, float]
    messages_per_s: float
    cpu_share: float
    resident_bytes: float
    crash_agreed_s: list[float | None]
    join_agreed_s: list[float | None]
    num_disagreements: int


async def measure_fleet(num_nodes: int, seed: int, drop_rate: float = 0.0) -> FleetCost:
    """Run one fleet; for virtual time."""
    gc.collect()
    resident_before = resident_bytes()
    async with anyio.create_task_group() as tasks:
        fleet = HollowFleet(tasks, seed, max(1, num_nodes // NODES_PER_ZONE))
        await fleet.start(num_nodes)
        resident = (resident_bytes() - resident_before) / num_nodes
        fleet.network.set_drop_rate(drop_rate)
        quiet = await _measure_quiet(fleet)
        crashes = await _measure_crashes(fleet)
        joins = await _measure_joins(fleet)
        tasks.cancel_scope.cancel()
    cpu_share, by_type, num_messages, num_disagreements = quiet
    return FleetCost(
        num_nodes=num_nodes,
        bytes_per_s=sum(by_type.values()),
        bytes_per_s_by_type=by_type,
        messages_per_s=num_messages,
        cpu_share=cpu_share,
        resident_bytes=resident,
        crash_agreed_s=crashes,
        join_agreed_s=joins,
        num_disagreements=num_disagreements,
    )


async def _measure_quiet(fleet: HollowFleet) -> tuple[float, dict[str, float], float, int]:
    before = _traffic(fleet)
    gc.collect()
    cpu_before_s = time.process_time()
    num_disagreements = 0
    for _ in range(int(QUIET_S)):
        await anyio.sleep(1.0)
        num_disagreements += 0 if fleet.all_agree() else 1
    cpu_s = time.process_time() - cpu_before_s
    after = _traffic(fleet)
    scale = 1.0 / (QUIET_S * len(fleet.nodes))
    by_type = {tag: after[tag].bytes_with_headers(before.get(tag)) * scale for tag in after}
    num_messages = sum(count.num_messages for count in after.values())
    num_messages -= sum(count.num_messages for count in before.values())
    return cpu_s * scale, by_type, num_messages * scale, num_disagreements


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


def _traffic(fleet: HollowFleet) -> "dict[str, TypeTraffic]":
    return traffic_by_type([node.link for node in fleet.running()])


class TypeTraffic(msgspec.Struct):
    """Messages and bytes of one type, sent and received."""

    num_messages: int = 0
    num_bytes: int = 0

    def bytes_with_headers(self, before: "TypeTraffic | None") -> int:
        """Return the bytes since an earlier count, with UDP and IP headers."""
        earlier = before or TypeTraffic()
        num_messages = self.num_messages - earlier.num_messages
        return self.num_bytes - earlier.num_bytes + num_messages * UDP_IP_HEADER_BYTES


def traffic_by_type(links: Iterable[AuthenticatedPeerLink]) -> dict[str, TypeTraffic]:
    """Add up what some links have sent and received."""
    totals: dict[str, TypeTraffic] = {}
    for link in links:
        for counts in (link.traffic.sent, link.traffic.received):
            for tag, count in counts.items():
                total = totals.setdefault(tag, TypeTraffic())
                total.num_messages += count.num_messages
                total.num_bytes += count.num_bytes
    return totals


def resident_bytes() -> int:
    """Return this process's resident memory."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()
