"""The admission task of a node in a fleet, whose tenant limits hold over all nodes together."""

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
"""How often an idle node checks whether demands or grants are due to its peers."""


class _DemandReceived(msgspec.Struct, frozen=True):
    source: NodeAddress
    demand: LimitDemand


class _GrantReceived(msgspec.Struct, frozen=True):
    source: NodeAddress
    grant: LimitGrant


class FleetAdmissionTask(AdmissionTask):
    """Admits requests, with limits shared over the fleet; `run` must be running.

    Args:
        link: Carries casts between nodes.
        membership: The live nodes.
        configuration: Tenants, zones and capacity.
        address: Address at which other nodes reach this node.
        zone: This node's zone.
        random: Draws the zones to borrow from.
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
        self._membership_version = -1
        self._revision = ConfigurationRevision(-1)
        link.on_cast(LimitDemand, self._on_demand)
        link.on_cast(LimitGrant, self._on_grant)

    def record_arrival(self, request: WaitingRequest, now_s: float) -> None:
        """Count the request, so that tokens for its tenant are requested in advance."""
        self._exchange.record_arrival(request.tenant, request.num_prompt_tokens, now_s)

    async def exchange_shares(self) -> None:
        """Send due demands to home nodes, and grants to the nodes that sent demands."""
        now_s = anyio.current_time()
        self._apply_changes(now_s)
        if self._exchange.is_due(self.queue.num_waiting > 0, now_s):
            self._outbox += self._exchange.due(self.queue.waiting(), now_s)
        outbox, self._outbox = self._outbox, []
        for outgoing in outbox:
            await self._link.cast(outgoing.destination, outgoing.message)

    def poll_s(self) -> float:
        """Return the wait until the next check, at most FLEET_POLL_S."""
        return min(FLEET_POLL_S, super().poll_s())

    def handle(self, message: msgspec.Struct) -> None:
        """Process one message from the mailbox."""
        now_s = anyio.current_time()
        match message:
            case _DemandReceived(source=source, demand=demand):
                answer = self._exchange.handle_demand(source, demand, now_s)
                if answer is not None:
                    self._outbox.append(answer)
            case _GrantReceived(source=source, grant=grant):
                self._exchange.handle_grant(source, grant, now_s)
            case _:
                super().handle(message)

    def _on_demand(self, source: NodeAddress, message: msgspec.Struct) -> None:
        if isinstance(message, LimitDemand):
            self.mailbox.post(_DemandReceived(source, message))

    def _on_grant(self, source: NodeAddress, message: msgspec.Struct) -> None:
        if isinstance(message, LimitGrant):
            self.mailbox.post(_GrantReceived(source, message))

    def _apply_changes(self, now_s: float) -> None:
        """Apply changes of membership and of the configuration."""
        in_force = self._configuration.current()
        version = self._membership.version()
        revision = in_force.revision if in_force is not None else ConfigurationRevision(-1)
        if version == self._membership_version and revision == self._revision:
            return
        peers = self._membership.peers()
        if in_force is not None and revision != self._revision:
            deployment = in_force.deployment
            zones = [zone for region in deployment.regions for zone in region.zones]
            self._exchange.set_limits(deployment.tenants, zones, now_s)
        if version != self._membership_version:
            staying = [peer for peer in peers if peer.state is not PeerState.LEAVING]
            members = [Member(peer.address, peer.zone) for peer in staying]
            self._exchange.set_members(members, now_s)
        if in_force is not None:
            self.queue.max_running = node_capacity(in_force.deployment, len(peers))
        self._membership_version, self._revision = version, revision
