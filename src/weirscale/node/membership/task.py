"""Runs the membership protocol over the peer link; implements `MembershipView`."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup
from result import Ok

from weirscale.domain.identifiers import NodeAddress, NodeId, ZoneName
from weirscale.domain.membership.actions import Action, SendCast
from weirscale.domain.membership.machine_hints import MachineHints
from weirscale.domain.membership.protocol import MembershipProtocol
from weirscale.domain.membership.rules import MembershipRules
from weirscale.messages.membership import (
    Ack,
    Gossip,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
    SyncReply,
    SyncRequest,
)
from weirscale.node.interfaces import Peer, PeerState
from weirscale.node.mailbox import Mailbox
from weirscale.node.peers.link import PeerLink
from weirscale.ports.machines import MachineListPort

SYNC_TIMEOUT_S = 3.0
MACHINE_LIST_INTERVAL_S = 5.0
"""The list itself lags by seconds, so reading it more often gives no newer data."""

MAX_CONCURRENT_SYNCS = 4
SUPERSEDED_POLL_S = 1.0

_PEER_STATES = {
    MemberState.ALIVE: PeerState.ALIVE,
    MemberState.LEAVING: PeerState.LEAVING,
    MemberState.SUSPECT: PeerState.SUSPECT,
}


class MembershipTask:
    """Membership of one node; its `run` and the link's `run` must be running.

    Args:
        link: Carries the protocol's messages.
        own_id: This run of the node.
        address: Address at which other nodes reach this node.
        zone: This node's zone.
        seeds: Addresses of nodes through which to join; this node's own address is ignored.
        random: Draws the targets of messages.
        rules: Intervals and limits.
        machines: The platform's machine list, or None.
        sleep: Sleep function; replaced by experiments that freeze nodes.
    """

    def __init__(
        self,
        link: PeerLink,
        own_id: NodeId,
        address: NodeAddress,
        zone: ZoneName,
        seeds: Sequence[NodeAddress],
        random: Random,
        rules: MembershipRules | None = None,
        machines: MachineListPort | None = None,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._own_id = own_id
        self._link = link
        self._rules = rules or MembershipRules()
        self._machines = machines
        self._sleep = sleep
        own = MemberUpdate(
            own_id.name, own_id.incarnation, 0, MemberState.ALIVE, address.host, address.port, zone
        )
        now_s = anyio.current_time()
        self.protocol = MembershipProtocol(own, seeds, self._rules, random, now_s)
        self._hints = MachineHints()
        self._cached_peers: tuple[Peer, ...] = ()
        self._cached_version = -1
        self._num_syncs = 0
        self._outbox: Mailbox[SendCast] = Mailbox()
        self._tasks: TaskGroup | None = None
        self._register()

    @property
    def self_id(self) -> NodeId:
        """Name and incarnation of this run of the node."""
        return self._own_id

    @property
    def is_superseded(self) -> bool:
        """Whether a later run with this node's name is a member, so that this run should stop."""
        return self.protocol.state.is_superseded

    def peers(self) -> tuple[Peer, ...]:
        """Return all alive, suspect and leaving nodes, this one included, sorted by id."""
        version = self.version()
        if version != self._cached_version:
            live = self.protocol.state.table.live()
            self._cached_peers = tuple(sorted(map(self._peer, live), key=_peer_order))
            self._cached_version = version
        return self._cached_peers

    def version(self) -> int:
        """Return a number that grows with each change of `peers`."""
        return self.protocol.state.table.version + self._hints.version

    async def run(self) -> None:
        """Run the protocol until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._send_outbox)
            if self._machines is not None:
                tasks.start_soon(self._follow_machine_list, self._machines)
            while True:
                self._execute(self.protocol.tick(anyio.current_time()))
                await self._sleep(self._rules.tick_s)

    async def wait_joined(self) -> None:
        """Wait until a seed has answered; return at once if there are no seeds."""
        while not self.protocol.has_joined:
            await self._sleep(self._rules.tick_s)

    async def wait_superseded(self) -> None:
        """Wait until a later run with this node's name is a member."""
        while not self.is_superseded:
            await self._sleep(SUPERSEDED_POLL_S)

    def leave(self) -> None:
        """Announce that this node is leaving; call it when draining begins."""
        self.protocol.leave(anyio.current_time())

    async def depart(self) -> None:
        """Announce that this node has stopped; call it last, before tasks are cancelled."""
        for action in self.protocol.depart(anyio.current_time()):
            if isinstance(action, SendCast):
                await self._link.cast(action.destination, action.message)

    def _register(self) -> None:
        link = self._link
        link.register(SyncReply)
        link.on_cast(Ping, self._on_ping)
        link.on_cast(Ack, self._on_ack)
        link.on_cast(PingRequest, self._on_ping_request)
        link.on_cast(Gossip, self._on_gossip)
        link.on_call(SyncRequest, self._on_sync)

    def _on_ping(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, Ping)
        self._execute(self.protocol.handle_ping(source, message, anyio.current_time()))

    def _on_ack(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, Ack)
        self._execute(self.protocol.handle_ack(source, message, anyio.current_time()))

    def _on_ping_request(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, PingRequest)
        now_s = anyio.current_time()
        self._execute(self.protocol.handle_ping_request(source, message, now_s))

    def _on_gossip(self, _: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, Gossip)
        self._execute(self.protocol.handle_gossip(message, anyio.current_time()))

    async def _on_sync(self, message: msgspec.Struct) -> SyncReply:
        assert isinstance(message, SyncRequest)
        return self.protocol.answer_sync(message, anyio.current_time())

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendCast):
                # A full outbox drops the cast; casts may be lost on the network as well.
                self._outbox.post(action)
            elif self._tasks is not None and self._num_syncs < MAX_CONCURRENT_SYNCS:
                self._num_syncs += 1
                self._tasks.start_soon(self._sync, action.destination)

    async def _send_outbox(self) -> None:
        while True:
            action = await self._outbox.receive()
            await self._link.cast(action.destination, action.message)

    async def _sync(self, destination: NodeAddress) -> None:
        try:
            request = self.protocol.sync_request()
            answer = await self._link.call(destination, request, SYNC_TIMEOUT_S)
        finally:
            self._num_syncs -= 1
        if isinstance(answer, Ok) and isinstance(answer.ok_value, SyncReply):
            now_s = anyio.current_time()
            self._execute(self.protocol.handle_sync_reply(destination, answer.ok_value, now_s))

    async def _follow_machine_list(self, machines: MachineListPort) -> None:
        while True:
            answer = await machines.machines()
            if isinstance(answer, Ok):
                is_leaving_by_host = {entry.host: entry.is_leaving for entry in answer.ok_value}
                live = self.protocol.state.table.live()
                for name in self._hints.update_list(is_leaving_by_host, live):
                    self.protocol.probe_soon(name)
            await self._sleep(MACHINE_LIST_INTERVAL_S)

    def _peer(self, member: MemberUpdate) -> Peer:
        state = _PEER_STATES[member.state]
        if state is PeerState.ALIVE and self._hints.is_leaving(member):
            state = PeerState.LEAVING
        return Peer(member.node, member.address, member.zone, state)


def _peer_order(peer: Peer) -> NodeId:
    return peer.node
