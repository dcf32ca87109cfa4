"""Components of a node that hold state and select back ends: cluster state, limits and routing."""

import secrets
from collections.abc import Callable
from random import Random

from weirscale.gateway.gossip.intervals import GossipPace
from weirscale.gateway.limits.isolation import IsolationDetector
from weirscale.gateway.limits.quota import ENDED_NODE_GRACE_S, QuotaLedger
from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.topology import Location, Topology
from weirscale.gateway.paths.dialer import RelayingDialer
from weirscale.gateway.paths.path_checks import PathChecks, TrafficWatch
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_choice import RelayChoice
from weirscale.gateway.paths.relay_server import RelayGate, RelayServer
from weirscale.gateway.paths.relays import StreamOpener
from weirscale.gateway.peers.fleet_records import FleetRecords
from weirscale.gateway.peers.rank_delay import rank_delay_s
from weirscale.gateway.peers.registrations import PeerDirectory, Registration, RegistrationTask
from weirscale.gateway.ports.back_end import BackEndConnector
from weirscale.gateway.ports.state_feed import StateFeed
from weirscale.gateway.quarantine.block_keeper import BlockQuarantine
from weirscale.gateway.quarantine.keeper import Quarantine
from weirscale.gateway.quarantine.quarantines import Quarantines
from weirscale.gateway.request_limits.brittle import NodeRank
from weirscale.gateway.request_limits.issuers import PermitIssuers
from weirscale.gateway.request_limits.permit_issuer import PermitIssuer
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.request_limits.stated_limits import StatedLimits
from weirscale.gateway.requests.planned_stop import PlannedStop
from weirscale.gateway.rollouts.gate import VersionGate
from weirscale.gateway.rollouts.view import RecordReader
from weirscale.gateway.routing.back_end_maintenance import BackEndMaintenance
from weirscale.gateway.routing.back_end_notices import BackEndNotices
from weirscale.gateway.routing.back_end_ports import BackEndPorts
from weirscale.gateway.routing.choice_rules import START_MARGIN_S
from weirscale.gateway.routing.dispatcher import Dispatcher, PeerView
from weirscale.gateway.routing.engine_assignment import EngineAssignment
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.routing.probe_permits import ProbePermits
from weirscale.gateway.settings import GatewaySettings
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.streams.origin_store import OriginStore
from weirscale.gateway.telemetry.metrics_choice import new_metrics
from weirscale.gateway.telemetry.store_calls import CountedFeed, CountedStore
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort
from weirscale.ports.unexpected_errors import UnexpectedErrors

RELAY_TOKEN_BYTES = 8


class NodeParts:
    """Creates the components that requests, gossip and rollouts depend on.

    `GatewayNode` adds requests, gossip and rollouts themselves.

    Args:
        settings: Settings of the process.
        feed: Feed of the platform's state.
        store: The key-value service.
        connect: Creates ports of back ends.
        event_log: Receives an event for each decision.
        random: Source of randomness.
        clock: Monotonic seconds that include suspensions of the machine.
        opener: Opens network connections to back ends.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        feed: StateFeed,
        store: KeyValuePort,
        connect: BackEndConnector,
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float],
        opener: StreamOpener,
    ) -> None:
        self.settings = settings
        self._event_log = event_log
        self._random = random
        self._clock = clock
        self._topology = Topology(settings.regions)
        self._canary_limits = settings.bounds.canary
        self.metrics = new_metrics(settings)
        self.errors = UnexpectedErrors(event_log, self.metrics.count_unexpected_error)
        self._feed = CountedFeed(feed, self.metrics.count_store_call)
        self._store = CountedStore(store, self.metrics.count_store_call)
        self._make_state()
        self._make_limits()
        self._make_quarantines()
        self._make_permits()
        self._make_paths(opener)
        self._make_routing(connect)

    def _make_state(self) -> None:
        """Create the cluster state, the peers, and the records of back ends and streams."""
        settings, clock = self.settings, self._clock
        capacity = settings.machine.capacity()
        self.cluster = ClusterState(self._event_log, clock, settings.is_first_start, self.errors)
        self.peers = PeerDirectory(settings.name, self.cluster, clock, settings.zone, capacity)
        self.cluster.store_outages.num_others = lambda: len(self.peers.addresses())
        self._relay_token = secrets.token_hex(RELAY_TOKEN_BYTES)
        own = Registration(
            settings.peers.host, settings.peers.port, settings.zone, capacity, self._relay_token
        )
        self.registration = RegistrationTask(
            settings.name, own, self._store, self._event_log,
            FleetRecords(self.cluster, self.peers, self._store, clock).write_due,
        )  # fmt: skip
        self.origins = OriginStore(clock)
        self.load = FleetLoad()
        self.health = BackEndHealth(self._event_log, self._random)

    def _make_limits(self) -> None:
        """Create the quotas, the retry budget, and the detector of this node's isolation."""
        settings, clock = self.settings, self._clock
        self._gossip_pace = GossipPace(self.peers)
        self.quotas = QuotaLedger(
            settings.bounds.quota, lambda: self.peers.num_nodes(ENDED_NODE_GRACE_S),
            self._gossip_pace.interval_s, self._random, clock,
        )  # fmt: skip
        self.cluster.observe_table(
            lambda table: self.quotas.set_tenants(table.configuration.tenants)
        )
        self.budget = SharedRetryBudget(
            settings.retry_budget, clock(), skips_first_window=not settings.is_first_start
        )
        self.planned_stop = PlannedStop(clock)
        self.isolation = IsolationDetector(self.cluster, self.quotas, self._event_log, clock)

    def _make_quarantines(self) -> None:
        """Create the quarantines of what crashes back ends."""
        name, cluster, store = self.settings.name, self.cluster, self._store
        log, clock = self._event_log, self._clock

        def delay_s() -> float:
            return rank_delay_s(self.peers.rank())

        self.quarantine = Quarantine(name, cluster, store, delay_s, log, clock)
        blocks = BlockQuarantine(
            name, cluster, store, delay_s, self.isolation.hears_most_nodes, log, clock
        )
        self.quarantines = Quarantines(self.quarantine, blocks)

    def _make_permits(self) -> None:
        """Create the components that enforce the request limits stated by back ends."""
        name, clock = self.settings.name, self._clock
        self.stated_limits = StatedLimits(self._event_log)
        self.permit_issuers = PermitIssuers(name, lambda: self.peers.division().group_of)
        self._permit_issuer = PermitIssuer(self.stated_limits, self.permit_issuers, clock)
        self.permits = RequestPermits(
            name, self.stated_limits, self.permit_issuers, self._permit_issuer, self._random, clock
        )

    def _make_paths(self, opener: StreamOpener) -> None:
        """Create the components that open connections to back ends, and relay those of others."""
        settings, log, clock = self.settings, self._event_log, self._clock
        directory = self.cluster.directory
        self.paths = PathState(log, clock)
        relays = RelayChoice(
            Location(settings.zone, self._topology), self.peers.relays, self._random, clock
        )
        self._dialer = RelayingDialer(
            self.paths, relays, opener, self.metrics.count_relayed_connection
        )
        self.traffic = TrafficWatch(clock)
        self.path_checks = PathChecks(
            self.paths, self._dialer, self.traffic, directory, self._random, clock, self.errors
        )
        self.relay_gate = RelayGate(self._relay_token, directory, self.paths, opener, self._random)
        self.relay_server = RelayServer(settings.peers, self.relay_gate, log, clock, self.errors)

    def _make_routing(self, connect: BackEndConnector) -> None:
        """Create the components that select back ends and maintain their ports and health."""
        settings, clock = self.settings, self._clock
        self._records = RecordReader(self.cluster, self._event_log)
        self.version_gate = VersionGate(
            self._records, self.cluster, self._rollback_s, self.isolation.is_isolated,
            lambda: self._canary_limits.share,
        )  # fmt: skip
        self.engine_assignment = EngineAssignment(settings.name, self.peers, self.cluster.directory)
        self.dispatcher = Dispatcher(
            Location(settings.zone, self._topology), self.cluster, self.load, self.health,
            settings.bounds.weights_s - START_MARGIN_S, self._random, clock,
            versions=self.version_gate,
            peers=PeerView(
                self._gossip_pace.delay_s, self.engine_assignment.of_other_groups, self.permits,
                self._node_rank, self._event_log,
            ),
        )  # fmt: skip
        back_pressure = self.dispatcher.back_pressure
        self._notices = BackEndNotices(
            self.cluster, back_pressure, self.stated_limits, self._event_log, clock
        )
        self._ports = BackEndPorts(
            connect, self.cluster, self.load, self._notices.take, self._dialer, self.errors
        )
        self._probe_permits = ProbePermits(self.cluster, back_pressure, clock)
        self._maintenance = BackEndMaintenance(
            self.cluster, self.health, self._probe_permits, self._ports, clock
        )
        self.cluster.back_ends.observe_removal(self._forget_back_end)
        self.cluster.engine_versions.observe(self._forget_cache)

    def _forget_back_end(self, back_end: BackEnd) -> None:
        self._ports.retire(back_end.instance)
        self._notices.forget(back_end.instance)
        self.dispatcher.forget(back_end.instance)
        self.paths.forget(back_end.address)

    def _forget_cache(self, instance: InstanceId, model: str, version: int) -> None:
        """Discard an engine's cached blocks, because its weights have changed."""
        self.dispatcher.weights_changed(instance)

    def _node_rank(self) -> NodeRank:
        names = sorted(member.name for member in self.peers.members())
        return NodeRank(names.index(self.settings.name), len(names))

    def _rollback_s(self) -> float:
        """Return the maximum time until no request is sent to a failing version any more."""
        return self._canary_limits.rollback_s

    def _num_requests(self, instance: InstanceId) -> int:
        """Return the number of requests of all nodes in flight at an instance."""
        return self.load.total(instance, self._clock()).num_requests
