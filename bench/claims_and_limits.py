"""Measures what claims and limits cost: `python -m bench.claims_and_limits`.

Prints processor time of a claim and of an admission, memory of a claim, and bytes a second of the
exchange of limits for several sizes of fleet. Nothing leaves the process; message sizes are those
of the real codec plus the envelope.
"""

import itertools
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from random import Random

import anyio
import msgspec
from result import Err, Ok, Result

from features.support.local_allowances import LocalAllowances
from weirscale.domain.claims.holder import ClaimHolder, HolderPhase
from weirscale.domain.claims.model import ClaimKey, claim_key, make_claimant, short_fingerprint
from weirscale.domain.configuration.model import ClaimRules, Deployment, Region, Tenant
from weirscale.domain.identifiers import (
    ConfigurationRevision,
    Incarnation,
    NodeAddress,
    NodeId,
    NodeName,
    RegionName,
    RequestId,
    TenantName,
    ZoneName,
)
from weirscale.domain.limits.exchange import Outgoing, ShareExchange
from weirscale.domain.limits.fair_queue import Waiting
from weirscale.domain.limits.homes import Member
from weirscale.messages.codec import MessageCodec
from weirscale.messages.limits import LimitDemand, LimitGrant
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.interfaces import ClaimState, ConfigurationInForce, Peer, PeerState
from weirscale.node.limits.task import AdmissionTask
from weirscale.ports.peers import PeerFailure
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

ENVELOPE_BYTES = 45
"""Signature, sender and counter round each message, as counted by `PeerLink.traffic` for casts with
one tenant less their payload; UDP and IP headers are not counted."""
NUM_OPERATIONS = 5000
NUM_CALLERS = 50
NUM_CLAIMS = 20_000
FLEET_REQUESTS_PER_S = 3700.0
NUM_ZONES = 18
WARM_UP_S = 5
MEASURED_S = 10
SIZES = (
    (36, 8, 20, 400),
    (36, 290, 20, 400),
    (36, 290, 200, 400),
    (100, 290, 20, 400),
    (100, 290, 400, 400),
    (400, 290, 20, 400),
    (400, 290, 1200, 1200),
    (400, 50, 20, 400),
)
"""Nodes, active tenants, burst and slots of each tenant."""
MAX_WAITING = 20
"""Waiting requests of a node; older ones are dropped, as by their deadlines."""
EXCHANGE_STEP_S = 0.05
ZONES = tuple(ZoneName(f"zone-{number}") for number in range(3))


async def measure_admission(tenant: Tenant) -> float:
    """Processor time of admitting and releasing one request, microseconds."""
    task = AdmissionTask(64, LocalAllowances())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        begin_s = time.process_time()
        for _ in range(NUM_OPERATIONS):
            deadline_s = anyio.current_time() + 10.0
            answer = await task.admit(tenant, RequestId("request"), 5000, 10, deadline_s)
            if isinstance(answer, Ok):
                task.release(answer.ok_value)
        used_s = time.process_time() - begin_s
        tasks.cancel_scope.cancel()
    return used_s / NUM_OPERATIONS * 1e6


def measure_holder() -> tuple[float, float]:
    """Processor time of a vote (microseconds) and memory of a claim (bytes) at one holder."""
    keys = [claim_key(TenantName("school"), f"order-{n}") for n in range(NUM_CLAIMS)]
    claimants = [make_claimant(n, n, RequestId(f"request-{n:026d}")) for n in range(NUM_CLAIMS)]
    holder = ClaimHolder(1, 3600.0, HolderPhase.ACTIVE)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number, key in enumerate(keys):
        holder.vote(
            1, ClaimKey(bytes_copy(key)), bytes_copy(claimants[number]), b"print" + key[:3], 0.0
        )
    num_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    holder = ClaimHolder(1, 3600.0, HolderPhase.ACTIVE)
    fingerprint = short_fingerprint(b"body")
    begin_s = time.process_time()
    for number, key in enumerate(keys):
        holder.vote(1, key, claimants[number], fingerprint, 0.0)
    used_s = time.process_time() - begin_s
    return used_s / NUM_CLAIMS * 1e6, num_bytes / NUM_CLAIMS


def bytes_copy(value: bytes) -> bytes:
    """A copy with memory of its own, as one decoded from a message."""
    return bytes(bytearray(value))


class LoopLink:
    """A `PeerLink` that hands encoded messages to other links of the process."""

    def __init__(self, links: dict[NodeAddress, "LoopLink"], address: NodeAddress) -> None:
        self.num_bytes = 0
        self.num_calls = 0
        self._links = links
        self._codec = MessageCodec()
        self._handlers: dict[
            type[msgspec.Struct], Callable[[msgspec.Struct], Awaitable[msgspec.Struct]]
        ] = {}
        links[address] = self

    async def cast(self, destination: NodeAddress, message: msgspec.Struct) -> None:
        """Drop the message."""

    async def call(
        self, destination: NodeAddress, message: msgspec.Struct, timeout_s: float
    ) -> Result[msgspec.Struct, PeerFailure]:
        """Encode, decode, answer, encode and decode."""
        target = self._links[destination]
        data = self._codec.encode(message)
        decoded = target._codec.decode(data).unwrap()
        reply = await target._handlers[type(decoded)](decoded)
        answer = target._codec.encode(reply)
        self.num_bytes += len(data) + len(answer) + 2 * ENVELOPE_BYTES
        self.num_calls += 1
        self._codec.register(type(reply))
        return Ok(self._codec.decode(answer).unwrap())

    def on_cast(
        self,
        message_type: type[msgspec.Struct],
        handler: Callable[[NodeAddress, msgspec.Struct], None],
    ) -> None:
        """Register the type."""
        self._codec.register(message_type)

    def on_call(
        self,
        message_type: type[msgspec.Struct],
        handler: Callable[[msgspec.Struct], Awaitable[msgspec.Struct]],
    ) -> None:
        """Register a handler."""
        self._codec.register(message_type)
        self._handlers[message_type] = handler

    def register(self, *message_types: type[msgspec.Struct]) -> None:
        """Register reply types."""
        for message_type in message_types:
            self._codec.register(message_type)


class FixedView:
    """A membership and a configuration that stand still."""

    def __init__(self, own: Peer, peers: tuple[Peer, ...], rules: ClaimRules) -> None:
        self._own = own
        self._peers = peers
        regions = (Region(RegionName("region"), ZONES),)
        deployment = Deployment(1, "bench", regions, (), (), (), claims=rules)
        self._in_force = ConfigurationInForce(ConfigurationRevision(1), deployment)

    @property
    def self_id(self) -> NodeId:
        """This node."""
        return self._own.node

    def peers(self) -> tuple[Peer, ...]:
        """All nodes."""
        return self._peers

    def version(self) -> int:
        """Never changes."""
        return 1

    def current(self) -> ConfigurationInForce:
        """The configuration."""
        return self._in_force

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Never returns."""
        await anyio.sleep_forever()
        return self._in_force


class ClaimCost(msgspec.Struct, frozen=True):
    """Cost of one claim with its completion.

    Attributes:
        processor_us: Processor time of all three nodes and the store's stand-in, microseconds.
        num_bytes: Bytes sent between nodes.
        num_store_calls: Calls to the key-value service.
    """

    processor_us: float
    num_bytes: float
    num_store_calls: float


async def measure_claims(log_in_store: bool) -> ClaimCost:
    """Claim and complete keys, some at once."""
    rules = ClaimRules(log_in_store=log_in_store)
    server = KeyValueServer(Random(1))
    links: dict[NodeAddress, LoopLink] = {}
    store = InProcessKeyValue(server)
    peers = tuple(
        Peer(
            NodeId(NodeName(f"node-{number}"), Incarnation(1)),
            NodeAddress("10.0.0.1", number),
            zone,
            PeerState.ALIVE,
        )
        for number, zone in enumerate(ZONES)
    )
    async with anyio.create_task_group() as tasks:
        ledgers = []
        for peer in peers:
            view = FixedView(peer, peers, rules)
            link = LoopLink(links, peer.address)
            ledger = QuorumClaimLedger(link, view, view, store, peer.zone, Random(1))
            tasks.start_soon(ledger.run)
            ledgers.append(ledger)
        while sum(ledger.num_held_groups() for ledger in ledgers) < 3 * 64:  # noqa: ASYNC110
            await anyio.sleep(0.5)
        await anyio.sleep(rules.log_lease_s)
        link = links[peers[0].address]
        bytes_before, calls_before = link.num_bytes, server.num_calls
        begin_s = time.process_time()
        async with anyio.create_task_group() as callers:
            for caller in range(NUM_CALLERS):
                callers.start_soon(claim_some, ledgers[0], caller)
        used_s = time.process_time() - begin_s
        num_bytes = link.num_bytes - bytes_before
        num_calls = server.num_calls - calls_before
        tasks.cancel_scope.cancel()
    return ClaimCost(
        used_s / NUM_OPERATIONS * 1e6, num_bytes / NUM_OPERATIONS, num_calls / NUM_OPERATIONS
    )


async def claim_some(ledger: QuorumClaimLedger, caller: int) -> None:
    """Claim and complete one caller's share of the keys, one after the other."""
    for number in range(caller, NUM_OPERATIONS, NUM_CALLERS):
        deadline_s = anyio.current_time() + 60.0
        answer = await ledger.claim(
            TenantName("school"), f"order-{number}", RequestId("request"), b"body", deadline_s
        )
        if isinstance(answer, Err) or answer.ok_value.state is not ClaimState.GRANTED:
            raise RuntimeError(f"claim {number} was not granted: {answer}")
        await ledger.complete(answer.ok_value, None)


class ExchangeFleet:
    """Many nodes that exchange shares; counts the bytes that each sends."""

    def __init__(
        self, num_nodes: int, num_tenants: int, burst_requests: int, max_concurrent_requests: int
    ) -> None:
        self.random = Random(1)
        self.codec = MessageCodec()
        self.tenants = [
            Tenant(
                TenantName(f"tenant-{n}"),
                (),
                requests_per_s=30.0,
                burst_requests=burst_requests,
                max_concurrent_requests=max_concurrent_requests,
            )
            for n in range(num_tenants)
        ]
        zones = [ZoneName(f"zone-{n}") for n in range(NUM_ZONES)]
        members = [
            Member(NodeAddress("10.0.0.1", n), zones[n % NUM_ZONES]) for n in range(num_nodes)
        ]
        self.nodes = [ShareExchange(member, 1, Random(n)) for n, member in enumerate(members)]
        for node in self.nodes:
            node.set_limits(self.tenants, zones, 0.0)
            node.set_members(members, 0.0)
        self.num_bytes = [0] * num_nodes
        self.waiting: list[list[Tenant]] = [[] for _ in members]

    def run(self, begin_s: float, duration_s: int) -> None:
        """Let all nodes serve their part of the fleet's requests."""
        per_node = FLEET_REQUESTS_PER_S / len(self.nodes)
        for step in itertools.count(1):
            now_s = begin_s + step * EXCHANGE_STEP_S
            if now_s > begin_s + duration_s:
                return
            for number, node in enumerate(self.nodes):
                if self.random.random() < per_node * EXCHANGE_STEP_S:
                    self._arrive(number, now_s)
                waiting = self.waiting[number]
                if node.is_due(bool(waiting), now_s):
                    wants = {tenant.name: Waiting(waiting.count(tenant), 0) for tenant in waiting}
                    for outgoing in node.due(wants, now_s):
                        self._send(number, outgoing, now_s)
                if waiting:
                    self.waiting[number] = [
                        tenant for tenant in waiting if not self._start(node, tenant, now_s)
                    ][-MAX_WAITING:]

    def _arrive(self, number: int, now_s: float) -> None:
        tenant = self.random.choice(self.tenants)
        node = self.nodes[number]
        node.note_arrival(tenant, 5000, now_s)
        if not self._start(node, tenant, now_s):
            self.waiting[number].append(tenant)

    @staticmethod
    def _start(node: ShareExchange, tenant: Tenant, now_s: float) -> bool:
        allowance = node.allowance_of(tenant, now_s)
        if not allowance.can_start(5000, now_s):
            return False
        allowance.start(5000, now_s)
        allowance.finish()
        return True

    def _send(self, source: int, outgoing: Outgoing, now_s: float) -> None:
        self.num_bytes[source] += len(self.codec.encode(outgoing.message)) + ENVELOPE_BYTES
        target = self.nodes[outgoing.destination.port]
        address = NodeAddress("10.0.0.1", source)
        if isinstance(outgoing.message, LimitDemand):
            answer = target.take_demand(address, outgoing.message, now_s)
            if answer is not None:
                self._send(outgoing.destination.port, answer, now_s)
        elif isinstance(outgoing.message, LimitGrant):
            target.take_grant(address, outgoing.message, now_s)


def measure_exchange(
    num_nodes: int, num_tenants: int, burst_requests: int, max_concurrent_requests: int
) -> tuple[float, float, float]:
    """Mean and highest bytes sent a second by a node, and processor seconds a node-second."""
    fleet = ExchangeFleet(num_nodes, num_tenants, burst_requests, max_concurrent_requests)
    fleet.run(0.0, WARM_UP_S)
    fleet.num_bytes = [0] * num_nodes
    begin_s = time.process_time()
    fleet.run(float(WARM_UP_S), MEASURED_S)
    used_s = time.process_time() - begin_s
    sent = [num_bytes / MEASURED_S for num_bytes in fleet.num_bytes]
    return sum(sent) / num_nodes, max(sent), used_s / MEASURED_S / num_nodes


def main() -> None:
    """Measure and print."""
    free = Tenant(TenantName("free"), ())
    limited = Tenant(TenantName("limited"), (), requests_per_s=1e6, max_concurrent_requests=100)
    print(f"admit and release, no limit: {anyio.run(measure_admission, free):.1f} us")
    print(f"admit and release, limited: {anyio.run(measure_admission, limited):.1f} us")
    vote_us, claim_bytes = measure_holder()
    print(f"vote at a holder: {vote_us:.2f} us; a claim kept: {claim_bytes:.0f} bytes")
    for log_in_store in (False, True):
        cost = anyio.run(measure_claims, log_in_store)
        print(
            f"claim and completion, {'logged' if log_in_store else 'not logged'}, all three nodes: "
            f"{cost.processor_us:.0f} us, {cost.num_bytes:.0f} bytes sent, "
            f"{cost.num_store_calls:.2f} calls to the key-value service"
        )
    print("limits: nodes, tenants, burst, slots: bytes/s a node, at the busiest, share of a core")
    for size in SIZES:
        mean, highest, used = measure_exchange(*size)
        print(f"{size}: {mean:.0f}, {highest:.0f}, {used * 100:.3f} %")


if __name__ == "__main__":
    main()
