"""Measures a hollow fleet at rest: bytes, calls, processor time and memory of a node."""

import gc
import time
from collections.abc import Iterable

import anyio
import msgspec

from weirscale.experiments.control_cost.deployment import design_deployment
from weirscale.experiments.control_cost.fleet import HollowFleet, HollowNode
from weirscale.experiments.scale.measure import UDP_IP_HEADER_BYTES, resident_bytes
from weirscale.node.peers.traffic import TrafficCount

FORM_TIMEOUT_S = 120.0
SETTLE_S = 6.0
"""Time after which the traffic of starting is over; dumps wait for their turn."""

HERD_S = 10.0
"""The storm of a first start is counted over this time."""


class FleetShape(msgspec.Struct, frozen=True):
    """What is measured.

    Attributes:
        num_nodes: Nodes in the fleet.
        num_engines: Model runners over the fleet.
        num_blocks: Blocks that each engine's cache holds.
        quiet_s: Length of the measurement.
        seed: Seeds all chance.
    """

    num_nodes: int
    num_engines: int
    num_blocks: int
    quiet_s: float = 10.0
    seed: int = 1


class NodeCost(msgspec.Struct, frozen=True):
    """What a node costs while nothing changes, on the average of the fleet.

    Attributes:
        shape: What was measured.
        settled_s: Time until all nodes agreed and every engine had a home.
        herd_calls: Calls to the key-value service in the first seconds of the fleet's start.
        sent_by_type: Bytes a node sends a second by message type, UDP and IP headers included.
        received_by_type: Bytes that it receives, likewise.
        messages_per_s: Messages that it sends and receives a second.
        engine_load_bytes_per_s: Bytes of load reports that engines send it a second.
        engine_event_bytes_per_s: Bytes of cache events that engines send it a second.
        load_polls_per_s: Load reports that it asks engines for a second.
        store_calls_per_s: Calls of the whole fleet to the key-value service a second.
        cpu_share: Processor time that it takes a second; the simulation's own included.
        max_sent_bytes_per_s: What the node that sends most sends.
        resident_bytes: Memory that it adds to the process; hollow ports instead of clients.
        num_unhomed: Engines without a home at the end.
        num_stale: Nodes that did not see the whole fleet at the end.
    """

    shape: FleetShape
    settled_s: float
    herd_calls: int
    sent_by_type: dict[str, float]
    received_by_type: dict[str, float]
    messages_per_s: float
    engine_load_bytes_per_s: float
    engine_event_bytes_per_s: float
    load_polls_per_s: float
    store_calls_per_s: float
    cpu_share: float
    max_sent_bytes_per_s: float
    resident_bytes: float
    num_unhomed: int
    num_stale: int

    @property
    def sent_bytes_per_s(self) -> float:
        """Bytes that a node sends to other nodes a second."""
        return sum(self.sent_by_type.values())

    @property
    def received_bytes_per_s(self) -> float:
        """Bytes that a node receives from other nodes a second."""
        return sum(self.received_by_type.values())


class _Counts(msgspec.Struct, frozen=True):
    """Totals over the fleet at one moment."""

    sent: dict[str, TrafficCount]
    received: dict[str, TrafficCount]
    sent_by_node: dict[str, int]
    num_load_polls: int
    num_load_bytes: int
    num_event_bytes: int
    num_store_calls: int
    cpu_s: float


async def start_fleet(fleet: HollowFleet, shape: FleetShape) -> float:
    """Declare the deployment, start all nodes in one moment and wait until they have formed."""
    revision = await fleet.apply(design_deployment(shape.num_engines, shape.num_blocks))
    for _ in range(shape.num_nodes):
        fleet.start_node()

    def has_formed() -> bool:
        return (
            fleet.all_have(revision)
            and fleet.num_homes() == shape.num_engines
            and fleet.all_agree()
        )

    settled_s = await fleet.until(has_formed, FORM_TIMEOUT_S)
    assert settled_s is not None, "the fleet did not form"
    return settled_s


async def measure_rest(fleet: HollowFleet, shape: FleetShape) -> NodeCost:
    """Start a fleet, let it settle and measure it; for virtual time."""
    gc.collect()
    resident_before = resident_bytes()
    calls_before = fleet.store.num_calls
    started_at_s = anyio.current_time()
    settled_s = await start_fleet(fleet, shape)
    await anyio.sleep(max(0.0, started_at_s + HERD_S - anyio.current_time()))
    herd_calls = fleet.store.num_calls - calls_before
    await anyio.sleep(SETTLE_S)
    gc.collect()
    resident = (resident_bytes() - resident_before) / shape.num_nodes
    before = _count(fleet)
    await anyio.sleep(shape.quiet_s)
    after = _count(fleet)
    scale = 1.0 / (shape.num_nodes * shape.quiet_s)
    num_messages = _num_messages(after) - _num_messages(before)
    sent_by_node = [
        (after.sent_by_node[name] - num_bytes) / shape.quiet_s
        for name, num_bytes in before.sent_by_node.items()
    ]
    return NodeCost(
        shape=shape,
        settled_s=settled_s,
        herd_calls=herd_calls,
        sent_by_type=_bytes_by_type(before.sent, after.sent, scale),
        received_by_type=_bytes_by_type(before.received, after.received, scale),
        messages_per_s=num_messages * scale,
        engine_load_bytes_per_s=(after.num_load_bytes - before.num_load_bytes) * scale,
        engine_event_bytes_per_s=(after.num_event_bytes - before.num_event_bytes) * scale,
        load_polls_per_s=(after.num_load_polls - before.num_load_polls) * scale,
        store_calls_per_s=(after.num_store_calls - before.num_store_calls) / shape.quiet_s,
        cpu_share=(after.cpu_s - before.cpu_s) * scale,
        max_sent_bytes_per_s=max(sent_by_node),
        resident_bytes=resident,
        num_unhomed=shape.num_engines - fleet.num_homes(),
        num_stale=_num_stale(fleet),
    )


def _count(fleet: HollowFleet) -> _Counts:
    nodes = list(fleet.nodes.values())
    engines = [node.engine_traffic for node in nodes]
    return _Counts(
        sent=_add_up(node.node.link.traffic.sent for node in nodes),
        received=_add_up(node.node.link.traffic.received for node in nodes),
        sent_by_node={node.identity.node.name: _num_bytes_sent(node) for node in nodes},
        num_load_polls=sum(each.num_load_polls for each in engines),
        num_load_bytes=sum(each.num_load_bytes for each in engines),
        num_event_bytes=sum(each.num_event_bytes for each in engines),
        num_store_calls=fleet.store.num_calls,
        cpu_s=time.process_time(),
    )


def _num_bytes_sent(node: HollowNode) -> int:
    return sum(map(_with_headers, node.node.link.traffic.sent.values()))


def _with_headers(count: TrafficCount) -> int:
    return count.num_bytes + count.num_messages * UDP_IP_HEADER_BYTES


def _add_up(all_counts: Iterable[dict[str, TrafficCount]]) -> dict[str, TrafficCount]:
    totals: dict[str, TrafficCount] = {}
    for counts in all_counts:
        for tag, count in counts.items():
            total = totals.setdefault(tag, TrafficCount())
            total.num_messages += count.num_messages
            total.num_bytes += count.num_bytes
    return totals


def _bytes_by_type(
    before: dict[str, TrafficCount], after: dict[str, TrafficCount], scale: float
) -> dict[str, float]:
    nothing = TrafficCount()
    return {
        tag: (_with_headers(count) - _with_headers(before.get(tag, nothing))) * scale
        for tag, count in sorted(after.items())
    }


def _num_messages(counts: _Counts) -> int:
    both = (*counts.sent.values(), *counts.received.values())
    return sum(count.num_messages for count in both)


def _num_stale(fleet: HollowFleet) -> int:
    num_nodes = len(fleet.nodes)
    return sum(len(node.node.membership.peers()) != num_nodes for node in fleet.nodes.values())
