"""Handles the messages that a node receives from other nodes."""

from collections.abc import Callable
from typing import Protocol

from weirscale.gateway.gossip.group_relay import GroupRelay
from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.limits.usage_reporter import read_usage
from weirscale.gateway.model.back_ends import LeavingSource
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.gossip_entries import LoadingGossip, SendGossip
from weirscale.gateway.peers.messages import (
    AgesQuery,
    AgesReply,
    Gossip,
    OriginQuery,
    OriginReply,
    PeerMessage,
    PermitQuery,
    PermitReply,
    StateQuery,
    StateReply,
    StreamBegan,
)
from weirscale.gateway.quarantine.quarantines import Quarantines
from weirscale.gateway.replication.age_exchange import AgeExchange
from weirscale.gateway.replication.publisher import ChangePublisher
from weirscale.gateway.replication.subscription import StateSubscription
from weirscale.gateway.request_limits.permit_exchange import PermitExchange
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.request_limits.stated_limits import LimitStatement, StatedLimits
from weirscale.gateway.rollouts.reporter import RolloutReporter
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad, Load
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.back_end_registry import OwnerProof
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.streams.origin_exchange import OriginExchange


class MessageReceiver(Protocol):
    """Handles the messages of other nodes."""

    async def receive(self, message: PeerMessage, address: ListenAddress) -> None:
        """Process or answer one message from an address."""
        ...


class GossipReceiver:
    """Distributes the contents of gossip messages to the components that use them.

    Args:
        cluster: Records the weights of engines, and leaving or ended back ends.
        limits: Records the request limits that back ends state.
        relay: Determines the source of a message's loads and counts.
        load: Records loads.
        quotas: Records the usage of tenants.
        dispatcher: Records prompts at engines, and engines that load weights.
        health: Records back ends that other nodes cannot reach.
        rollouts: Records the tallies and moves of rollouts.
        quarantines: Record crashes of back ends during requests and with prompt blocks.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        limits: StatedLimits,
        relay: GroupRelay,
        load: FleetLoad,
        quotas: QuotaLedger,
        dispatcher: Dispatcher,
        health: BackEndHealth,
        rollouts: RolloutReporter,
        quarantines: Quarantines,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._limits = limits
        self._relay = relay
        self._load = load
        self._quotas = quotas
        self._dispatcher = dispatcher
        self._health = health
        self._rollouts = rollouts
        self._quarantines = quarantines
        self._clock = clock

    def receive(self, gossip: Gossip) -> None:
        """Process one message."""
        now_s = self._clock()
        source = self._relay.source_of(gossip)
        if source is not None:
            self._receive_counts(source, gossip, now_s)
        for send in gossip.sends:
            self._receive_send(send, is_sum=bool(gossip.group))
        for loading in gossip.loading:
            self._receive_loading(loading)
        self._quarantines.receive(gossip)
        for suspect in gossip.suspects:
            if self._cluster.directory.get(suspect.instance) is not None:
                self._health.told_unreachable(suspect.instance, now_s)
        for leaving in gossip.leaving:
            self._cluster.back_ends.mark_leaving(RunId(leaving.run), LeavingSource.PEER)
        for ended in gossip.ended:
            self._cluster.back_ends.mark_replaced(RunId(ended.run), OwnerProof.PEER)
        for limit in gossip.limits:
            statement = LimitStatement(limit.limit_per_s, now_s)
            self._limits.record_peer_statement(RunId(limit.run), statement)
        for told in gossip.brittle:
            self._dispatcher.back_pressure.brittle.told(told)

    def _receive_counts(self, source: str, gossip: Gossip, now_s: float) -> None:
        """Record loads and counts, which are those of the sender or sums of groups."""
        for load in gossip.loads:
            received = Load(load.num_requests, load.waiting_tokens, load.held_tokens)
            self._load.receive(source, load.instance, received, now_s)
        usage = [read_usage(entry) for entry in gossip.usage]
        self._quotas.fleet_usage.receive(source, gossip.num_nodes, usage, now_s)
        if gossip.canary_counts or gossip.moved_nodes:
            self._rollouts.receive(source, gossip)

    def _receive_send(self, send: SendGossip, is_sum: bool) -> None:
        if is_sum:
            self._dispatcher.record_shared_blocks(send.instance, send.scope, send.blocks)
        else:
            self._dispatcher.record_blocks(send.instance, send.scope, send.blocks, send.is_ready)
            if send.is_ready:
                # A first event received by another node also shows that the engine is alive.
                self._dispatcher.event_received(send.instance)

    def _receive_loading(self, loading: LoadingGossip) -> None:
        self._dispatcher.mark_loading(loading.instance, loading.is_done)
        if loading.is_done and loading.version:
            self._cluster.engine_versions.record_version(
                loading.instance, loading.model, loading.version, "peer"
            )


class PeerInbox:
    """Dispatches the messages of other nodes by type.

    Args:
        gossip: Processes gossip.
        relay: Forwards gossip to other groups.
        publisher: Answers queries for state changes.
        subscription: Receives the changes that this node has queried.
        ages: Sends and answers queries for ages of target versions and of the store's answers.
        permit_exchange: Answers queries for permits.
        permits: Receives the permits that this node has queried.
        origins: Receives and answers messages about the origins of streams.
    """

    def __init__(
        self,
        gossip: GossipReceiver,
        relay: GroupRelay,
        publisher: ChangePublisher,
        subscription: StateSubscription,
        ages: AgeExchange,
        permit_exchange: PermitExchange,
        permits: RequestPermits,
        origins: OriginExchange,
    ) -> None:
        self._gossip = gossip
        self._relay = relay
        self._publisher = publisher
        self._subscription = subscription
        self._ages = ages
        self._permit_exchange = permit_exchange
        self._permits = permits
        self._origins = origins

    async def receive(self, message: PeerMessage, address: ListenAddress) -> None:
        """Process or answer one message from an address."""
        match message:
            case StateQuery():
                await self._publisher.answer(message, address)
            case StateReply():
                self._subscription.receive(message)
            case AgesQuery():
                await self._ages.answer(message, address)
            case AgesReply():
                self._ages.receive(message)
            case PermitQuery():
                await self._permit_exchange.answer(message, address)
            case PermitReply():
                self._permits.receive(message)
            case StreamBegan():
                self._origins.receive_began(message)
            case OriginQuery():
                await self._origins.answer(message, address)
            case OriginReply():
                self._origins.receive(message)
            case Gossip():
                self._gossip.receive(message)
                await self._relay.receive(message)
