"""The admission task of a node in a fleet: limits hold over all nodes."""

from random import Random

import anyio
import msgspec

from weirscale.domain.identifiers import ConfigurationRevision, NodeAddress, ZoneName
from weirscale.domain.limits.exchange import Outgoing, ShareExchange
from weirscale.domain.limits.fair_queue import WaitingRequest
from weirscale.domain.limits.homes import Member
from weirscale.messages.limits import LimitDemand, LimitGrant
from weirscale.node.interfaces import ConfigurationView, MembershipView, PeerState
from weirscale.node.limits.task import MIN_RUNNING, AdmissionTask, node_capacity
from weirscale.node.peers.link import PeerLink

FLEET_POLL_S = 0.25
"""How often a node without messages looks at what it owes its peers."""


class _DemandCame(msgspec.Struct, frozen=True):
    source: NodeAddress
    demand: LimitDemand


class _GrantCame(msgspec.Struct, frozen=True):
    source: NodeAddress
    grant: LimitGrant


class FleetAdmissionTask(AdmissionTask):
    """Implements `Admission` with limits shared over the fleet; `run` must be running.

    Args:
        link: Casts between nodes.
        membership: Who is live.
        configuration: Tenants, zones and capacity.
        address: Where other nodes reach this one.
        zone: This node's zone.
        random: Picks the zones to borrow from.
    """

    def __init__(
        self,
        link: PeerLink,
        membership: MembershipView,
        configuration: ConfigurationView,
        address: NodeAddress,
        zone: ZoneName,
        random: Random,
    ) -> None:
        run = membership.self_id.incarnation
        self._exchange = ShareExchange(Member(address, zone), run, random)
        super().__init__(MIN_RUNNING, self._exchange.allowance_of)
        self._link = link
        self._membership = membership
        self._configuration = configuration
        self._outbox: list[Outgoing] = []
        self._members_version = -1
        self._revision = ConfigurationRevision(-1)
        link.on_cast(LimitDemand, self._demand_came)
        link.on_cast(LimitGrant, self._grant_came)

    def record_arrival(self, request: WaitingRequest, now_s: float) -> None:
        """Count the request, so that its tenant's tokens are fetched ahead."""
        self._exchange.record_arrival(request.tenant, request.num_prompt_tokens, now_s)

    async def exchange_shares(self) -> None:
        """Send what is due to homes and borrowers."""
        now_s = anyio.current_time()
        self._learn(now_s)
        if self._exchange.is_due(self.queue.num_waiting > 0, now_s):
            self._outbox += self._exchange.due(self.queue.waiting(), now_s)
        outbox, self._outbox = self._outbox, []
        for outgoing in outbox:
            await self._link.cast(outgoing.destination, outgoing.message)

    def poll_s(self) -> float:
        """Look at the exchange often enough."""
        return min(FLEET_POLL_S, super().poll_s())

    def handle(self, message: msgspec.Struct) -> None:
        """Carry out one message."""
        now_s = anyio.current_time()
        match message:
            case _DemandCame(source=source, demand=demand):
                answer = self._exchange.handle_demand(source, demand, now_s)
                if answer is not None:
                    self._outbox.append(answer)
            case _GrantCame(source=source, grant=grant):
                self._exchange.handle_grant(source, grant, now_s)
            case _:
                super().handle(message)

    def _demand_came(self, source: NodeAddress, message: msgspec.Struct) -> None:
        if isinstance(message, LimitDemand):
            self.mailbox.post(_DemandCame(source, message))

    def _grant_came(self, source: NodeAddress, message: msgspec.Struct) -> None:
        if isinstance(message, LimitGrant):
            self.mailbox.post(_GrantCame(source, message))

    def _learn(self, now_s: float) -> None:
        """Take over changes of membership and of the configuration."""
        in_force = self._configuration.current()
        version = self._membership.version()
        revision = in_force.revision if in_force is not None else ConfigurationRevision(-1)
        if version == self._members_version and revision == self._revision:
            return
        peers = self._membership.peers()
        if in_force is not None and revision != self._revision:
            deployment = in_force.deployment
            zones = [zone for region in deployment.regions for zone in region.zones]
            self._exchange.set_limits(deployment.tenants, zones, now_s)
        if version != self._members_version:
            staying = [peer for peer in peers if peer.state is not PeerState.LEAVING]
            members = [Member(peer.address, peer.zone) for peer in staying]
            self._exchange.set_members(members, now_s)
        if in_force is not None:
            self.queue.max_running = node_capacity(in_force.deployment, len(peers))
        self._members_version, self._revision = version, revision
