"""Assembles a gateway from its parts and runs its tasks."""

from collections.abc import Callable, Iterable
from random import Random

import anyio
from anyio.abc import TaskGroup

from weirscale.domain.duties.assignment import Duty, DutyKind
from weirscale.domain.identifiers import Incarnation, NodeId, NodeName
from weirscale.gateway.gossip.gatherer import GossipGatherer
from weirscale.gateway.gossip.gossip_task import GossipTask
from weirscale.gateway.gossip.group_relay import GroupRelay
from weirscale.gateway.gossip.inbox import GossipReceiver, PeerInbox
from weirscale.gateway.gossip.sources import is_group, is_member
from weirscale.gateway.limits.isolation import IsolationDetector
from weirscale.gateway.limits.quota import GONE_MEMORY_S, QuotaLedger
from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.topology import Location, Topology
from weirscale.gateway.peers.messages import LoadingGossip, PeerMessage
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory, Registration, RegistrationTask
from weirscale.gateway.ports.back_end import BackEndConnector, BackEndPort
from weirscale.gateway.ports.callers import RequestCodec
from weirscale.gateway.ports.state_feed import StateFeed
from weirscale.gateway.quarantine.keeper import Quarantine
from weirscale.gateway.replication.age_exchange import AgeExchange
from weirscale.gateway.replication.follower import StateFollower
from weirscale.gateway.replication.publisher import ChangePublisher
from weirscale.gateway.replication.subscription import StateSubscription
from weirscale.gateway.requests.admission import AdmissionControl
from weirscale.gateway.requests.attempt_records import AttemptRecords
from weirscale.gateway.requests.attempt_timeout import AttemptTimeoutWatch
from weirscale.gateway.requests.back_end_selector import BackEndSelector
from weirscale.gateway.requests.back_end_verdicts import BackEndVerdicts
from weirscale.gateway.requests.caller_app import CallerApp
from weirscale.gateway.requests.crash_reports import CrashReports
from weirscale.gateway.requests.request_context import RequestContext
from weirscale.gateway.requests.request_log import RequestLog
from weirscale.gateway.requests.retry_decision import NodeRetryBudget
from weirscale.gateway.requests.stream_pauses import StreamPauses
from weirscale.gateway.rollouts.alarms import RolloutAlarms
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic
from weirscale.gateway.rollouts.facts import FactsReader, FleetSources, RolloutClock
from weirscale.gateway.rollouts.gate import VersionGate
from weirscale.gateway.rollouts.holder_task import RolloutHolderTask
from weirscale.gateway.rollouts.record_writer import RolloutWriter
from weirscale.gateway.rollouts.reporter import RolloutReporter
from weirscale.gateway.rollouts.tallies import Tallies
from weirscale.gateway.rollouts.view import RecordReader
from weirscale.gateway.routing.choice_rules import START_MARGIN_S
from weirscale.gateway.routing.dispatcher import Dispatcher, PeerView
from weirscale.gateway.routing.engine_shares import EngineShares
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import NO_LOAD, FleetLoad
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.metrics_choice import new_metrics
from weirscale.gateway.telemetry.node_metrics import NodeFigures
from weirscale.gateway.telemetry.store_calls import CountedFeed, CountedStore
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.gateway.weights.age_markers import AgeMarkerWriter
from weirscale.gateway.weights.engine_load import EngineLoader
from weirscale.gateway.weights.holder_lease import LEASE_CALL_TIMEOUT_S, holder_lease_rules
from weirscale.gateway.weights.holder_term import HolderTerm
from weirscale.gateway.weights.order_fence import OrderFence
from weirscale.gateway.weights.order_sender import OrderSender
from weirscale.gateway.weights.rollout_task import WeightsRolloutTask
from weirscale.gateway.weights.schedule import load_rules
from weirscale.gateway.weights.version_check import VersionCheck
from weirscale.leases.lease_task import KEY_PREFIX, DutyLeaseTask
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

RUN_BITS = 32
"""Of the number that tells one run of a process from the next."""

RANK_DELAY_S = 0.25
"""Each node waits this much longer than the one before it, so that few race for a free duty."""

NUM_FIRST_RANKS = 8
LATER_RANK_DELAY_S = 0.05
"""The same for nodes beyond the first ranks: in a large fleet the last must not wait for long."""

PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.4
DEFAULT_MAX_CONNECTIONS = 100
CONNECTION_SHARE = 0.4
"""Share of a back end's connections that one node may use: most nodes may be gone."""


def rank_delay_s(rank: int) -> float:
    """Return how long a node of a rank leaves a free duty to those before it."""
    num_first = min(rank, NUM_FIRST_RANKS)
    return RANK_DELAY_S * num_first + LATER_RANK_DELAY_S * (rank - num_first)


class HolderEligibility:
    """Lets a node try for the duty once its key is gone, later by rank."""

    def __init__(
        self, cluster: ClusterState, peers: PeerDirectory, duty: Duty, clock: Callable[[], float]
    ) -> None:
        self._cluster = cluster
        self._peers = peers
        self._key = KEY_PREFIX + duty.key
        self._clock = clock
        self._free_since_s: float | None = None

    def is_own(self, duty: Duty, count: int, /) -> bool:
        """Whether this node should try now."""
        if not self._cluster.has_read_all or self._key in self._cluster.records:
            self._free_since_s = None
            return False
        if self._free_since_s is None:
            self._free_since_s = self._clock()
        return self._clock() >= self._free_since_s + rank_delay_s(self._peers.rank())


class GatewayNode:
    """One gateway.

    Args:
        settings: Settings of the process.
        feed: The platform's state.
        store: The key-value service, for leases.
        connect: Makes ports of back ends.
        dialect: How callers write.
        event_log: Decisions.
        random: Source of randomness.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        feed: StateFeed,
        store: KeyValuePort,
        connect: BackEndConnector,
        codec: RequestCodec,
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.settings = settings
        self._connect = connect
        self._event_log = event_log
        self._clock = clock
        self._ports: dict[InstanceId, BackEndPort] = {}
        self._closing: dict[InstanceId, BackEndPort] = {}
        self.is_stopping = False
        self.metrics = new_metrics(settings)
        feed = CountedFeed(feed, self.metrics.count_store_call)
        store = CountedStore(store, self.metrics.count_store_call)
        self.cluster = ClusterState(event_log, clock)
        self.cluster.back_ends.observe_gone(self._forget_back_end)
        self.cluster.engine_versions.observe(self._take_version)
        self.load = FleetLoad()
        self.health = BackEndHealth(event_log, random)
        bounds = settings.bounds
        self._exposure = bounds.exposure
        self._records = RecordReader(self.cluster, event_log)
        self.version_gate = VersionGate(
            self._records, self.cluster, lambda: self._exposure.return_s,
            lambda: self.isolation.is_isolated(), lambda: self._exposure.share,
        )  # fmt: skip
        self.dispatcher = Dispatcher(
            Location(settings.zone, Topology(settings.regions)), self.cluster, self.load,
            self.health, bounds.weights_s - START_MARGIN_S, random, clock,
            versions=self.version_gate,
            peers=PeerView(
                lambda: self.relay.delay_s(), lambda: self.engine_shares.of_other_groups()
            ),
        )  # fmt: skip
        self.budget = SharedRetryBudget(
            settings.retry_budget, clock(), skips_first_window=not settings.is_first_start
        )
        capacity = settings.machine.capacity()
        self.peers = PeerDirectory(settings.name, self.cluster, clock, settings.zone, capacity)
        self.cluster.store_outages.num_others = lambda: len(self.peers.addresses())
        self.engine_shares = EngineShares(settings.name, self.peers, self.cluster.directory)
        self.quotas = QuotaLedger(
            bounds.quota, lambda: self.peers.num_nodes(GONE_MEMORY_S),
            lambda: self.relay.interval_s(), random, clock,
        )  # fmt: skip
        self.cluster.observe_table(
            lambda table: self.quotas.set_tenants(table.configuration.tenants)
        )
        self.relay = GroupRelay(
            settings.name, self.peers, self.load, self.quotas, self._send, clock,
            self._add_rollout_sums,
        )  # fmt: skip
        self._rollout_alarms = RolloutAlarms(
            self.cluster, self._records, self._rollout_sums, event_log, clock
        )
        self.trials = CanaryTraffic(
            bounds.exposure, self.cluster, self._records, self.version_gate,
            lambda: self.peers.num_nodes(), self._rollout_alarms, random, clock,
            self.metrics.count_rollout_end,
        )  # fmt: skip
        self.rollout_reporter = RolloutReporter(
            self.cluster, self._records, self.trials.tallies,
            lambda instance: self.load.own(instance).num_requests, clock,
        )  # fmt: skip
        self.outbox = GossipOutbox(settings.name, sender_run=random.getrandbits(RUN_BITS))
        self.publisher = ChangePublisher(settings.name, self.cluster, self._send, clock)
        self.subscription = StateSubscription(
            settings.name, self.cluster, self.peers, self._send, event_log, random, clock,
            Topology(settings.regions),
        )  # fmt: skip
        self.ages = AgeExchange(
            settings.name, self.cluster, self.peers, self._send, event_log, random, clock
        )
        self.follower = StateFollower(
            feed, self.cluster, event_log, random, self.publisher, self.subscription, clock
        )
        self.registration = RegistrationTask(
            settings.name,
            Registration(settings.peers.host, settings.peers.port, settings.zone, capacity),
            store,
            event_log,
        )
        self.version_check = VersionCheck(
            self.cluster, self.port_of, self.outbox.add_loading, clock
        )
        self.isolation = IsolationDetector(self.cluster, self.quotas, event_log, clock)
        self.quarantine = Quarantine(
            settings.name, self.cluster, store, lambda: rank_delay_s(self.peers.rank()),
            event_log, clock,
        )  # fmt: skip
        self.gatherer = GossipGatherer(
            self.outbox, self.load, self.quotas, self.trials, self.rollout_reporter,
            self.quarantine,
        )  # fmt: skip
        received = GossipReceiver(
            self.cluster, self.relay, self.load, self.quotas, self.dispatcher, self.health,
            self.rollout_reporter, self.quarantine, clock,
        )  # fmt: skip
        self.inbox = PeerInbox(received, self.relay, self.publisher, self.subscription, self.ages)
        self.gossip_task = GossipTask(
            settings.peers, self.peers, self.relay, self.outbox, self.inbox,
            self.gatherer.gather,
        )  # fmt: skip
        self.context = self._make_request_context()
        self.app = CallerApp(
            settings, self.context, codec, self.is_ready, self.sends_callers_on,
            self.metrics_text,
        )  # fmt: skip
        self._lease = self._make_lease(store, random)
        self._order_fence = OrderFence(settings.name, store, self.cluster, bounds.lease_s, clock)
        term = HolderTerm(settings.name, self._lease, event_log)
        loader = EngineLoader(
            OrderSender(term, self._order_fence, event_log), self.cluster, self.port_of,
            self._announce_loading, self._num_requests, self.health, clock,
        )  # fmt: skip
        self._weights_rollout = WeightsRolloutTask(
            term, self.cluster, loader, AgeMarkerWriter(self.cluster, store, clock),
            self._num_requests, self.health, self.version_gate.serves, event_log,
            load_rules(bounds.weights_s), clock,
        )  # fmt: skip
        facts = FactsReader(self.cluster, self._records, self._fleet_sources(), RolloutClock(clock))
        self._rollout_holder = RolloutHolderTask(
            self._lease, self.cluster, self._records, facts,
            RolloutWriter(self.cluster, store, feed, event_log, clock), event_log,
        )  # fmt: skip

    def _fleet_sources(self) -> FleetSources:
        return FleetSources(
            tallies=self._rollout_sums,
            alarm_of=self._rollout_alarms.alarm,
            num_moved=lambda service, epoch: self.rollout_reporter.num_moved(
                service, epoch, self.relay.counts
            ),
            num_nodes=lambda: self.peers.num_nodes(0.0),
            num_requests=self._num_requests,
            return_s=lambda: self._exposure.return_s,
        )

    def _num_requests(self, instance: InstanceId) -> int:
        """Return how many requests of all nodes are at work at an instance."""
        return self.load.total(instance, self._clock()).num_requests

    def _make_request_context(self) -> RequestContext:
        def send_gossip_now() -> None:
            # Looked up at each call: a fleet in one process replaces the task before the node runs.
            self.gossip_task.hurry()

        pauses = StreamPauses()
        verdicts = BackEndVerdicts(
            self.cluster, self.dispatcher, self.health, self.outbox, self.version_check,
            self.trials, self._clock,
        )  # fmt: skip
        return RequestContext(
            clock=self._clock,
            admission=AdmissionControl(
                self.cluster, self.quotas, self.isolation, self.settings.bounds
            ),
            selector=BackEndSelector(self.dispatcher, self.trials),
            port_of=self.port_of,
            timeouts=AttemptTimeoutWatch(self._clock),
            retry_budget=NodeRetryBudget(self.budget, self.peers, self._clock),
            pauses=pauses,
            records=AttemptRecords(
                self.dispatcher, self.load, self.budget, self.outbox, send_gossip_now,
                pauses, verdicts, self._clock,
            ),
            crashes=CrashReports(
                self.cluster, self.port_of, self.quarantine, self.health, self.outbox,
                send_gossip_now, self._event_log, self._clock,
            ),
            log=RequestLog(self._event_log, self.metrics, self.cluster, self.trials, pauses),
        )  # fmt: skip

    def _make_lease(self, store: KeyValuePort, random: Random) -> DutyLeaseTask:
        duty = Duty(DutyKind.PLACEMENT_PLANNER)
        rules = holder_lease_rules(self.settings.bounds.min_lease_s)
        eligibility = HolderEligibility(self.cluster, self.peers, duty, self._clock)
        node_id = NodeId(NodeName(self.settings.name), Incarnation(0))
        return DutyLeaseTask(
            duty, node_id, store, eligibility, random, rules, sleep_to_tick,
            LEASE_CALL_TIMEOUT_S, self._clock,
        )  # fmt: skip

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put changed bounds and a changed retry budget in force."""
        bounds = settings.bounds
        self.budget.set_rules(settings.retry_budget)
        self.quotas.set_precision(bounds.quota)
        self.context.admission.set_guarantees(bounds)
        self.dispatcher.set_weights_grace(bounds.weights_s - START_MARGIN_S)
        self._exposure = bounds.exposure
        self.trials.set_limits(bounds.exposure)
        self._weights_rollout.set_rules(load_rules(bounds.weights_s))
        self._order_fence.set_least_gap(bounds.lease_s)

    def is_ready(self) -> bool:
        """Whether new connections are welcome: a configuration is known and others know no more."""
        return self.cluster.table is not None and not self.sends_callers_on()

    def sends_callers_on(self) -> bool:
        """Whether connections should end with their answer: callers do better elsewhere."""
        return self.is_stopping or self.isolation.is_isolated()

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.subscription.run)
            tasks.start_soon(self.ages.run)
            tasks.start_soon(self.registration.run)
            tasks.start_soon(self.gossip_task.run)
            tasks.start_soon(self.relay.run)
            tasks.start_soon(self._lease.run)
            tasks.start_soon(self._weights_rollout.run)
            tasks.start_soon(self._rollout_holder.run)
            tasks.start_soon(self.version_check.run)
            tasks.start_soon(self.context.crashes.crash_check.run)
            tasks.start_soon(self.quarantine.run)
            tasks.start_soon(self.context.timeouts.run)
            tasks.start_soon(self._probe_regularly, tasks)
            await anyio.sleep_forever()

    async def leave(self) -> None:
        """Give up duties and registration, so that others take over at once."""
        await self._lease.release()
        await self.registration.withdraw()

    def port_of(self, back_end: BackEnd) -> BackEndPort:
        """Return the port of a back end."""
        port = self._ports.get(back_end.instance)
        if port is None:
            table = self.cluster.table
            service = table.service(back_end.service) if table else None
            limit = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
            port = self._connect(back_end, max(4, int(limit * CONNECTION_SHARE)))
            self._ports[back_end.instance] = port
        return port

    def _forget_back_end(self, back_end: BackEnd) -> None:
        port = self._ports.pop(back_end.instance, None)
        if port is not None:
            self._closing[back_end.instance] = port
        self.dispatcher.forget(back_end.instance)
        self.version_check.forget(back_end.instance)

    def _take_version(self, instance: InstanceId, model: str, version: int) -> None:
        self.dispatcher.weights_changed(instance)

    async def _send(self, message: PeerMessage, addresses: Iterable[ListenAddress]) -> None:
        await self.gossip_task.send(message, addresses)

    async def _announce_loading(
        self, instance: InstanceId, model: str, version: int, is_done: bool
    ) -> None:
        self.dispatcher.mark_loading(instance, is_done)
        self.outbox.add_loading(LoadingGossip(instance, model, version, is_done))
        await self.gossip_task.flush()

    def _rollout_sums(self) -> Tallies:
        return self.rollout_reporter.sums(self.relay.counts)

    def _add_rollout_sums(
        self, to_heads: GossipOutbox, to_group: GossipOutbox, must_refresh: bool
    ) -> None:
        self.rollout_reporter.add_sums(to_heads, to_group, is_member, is_group, must_refresh)

    async def _probe_regularly(self, tasks: TaskGroup) -> None:
        while True:
            await sleep_to_tick(PROBE_INTERVAL_S)
            self.cluster.back_ends.forget_lapsed()
            self._close_unused(tasks)
            for instance in self.health.to_probe(self._clock()):
                tasks.start_soon(self._probe, instance)

    def _close_unused(self, tasks: TaskGroup) -> None:
        """Close connections to back ends that are gone, once nothing runs there any more.

        A back end's registration may end long before its last answer does.
        """
        for instance in list(self._closing):
            if self.load.own(instance) == NO_LOAD:
                tasks.start_soon(self._closing.pop(instance).close)

    async def _probe(self, instance: InstanceId) -> None:
        back_end = self.cluster.directory.get(instance)
        table = self.cluster.table
        if back_end is None or table is None:
            self.health.forget(instance)
            return
        service = table.service(back_end.service)
        path = service.health_path if service else "/"
        if await self.port_of(back_end).is_healthy(path, PROBE_TIMEOUT_S):
            self.health.probed(instance, self._clock())
        else:
            self.health.unreachable(instance, "probe", self._clock())

    def metrics_text(self) -> bytes:
        """Return the metrics, with figures that are read off now."""
        table = self.cluster.table
        services = {one.service for one in self.cluster.directory.all()}
        num_nodes, now_s = self.peers.num_nodes(), self._clock()
        return self.metrics.text(
            NodeFigures(
                state_age_s=self.cluster.age_s(),
                configuration_version=table.version if table else 0,
                num_back_ends=len(self.cluster.directory.instances()),
                holds_lease=self._lease.is_held(),
                queue_shares={one: self.context.pauses.queue_limit(one).share for one in services},
                retries_left={one: self.budget.left(one, num_nodes, now_s) for one in services},
                quota_levels=self.quotas.levels(),
                rollout_stages=self.trials.stages(),
                num_suspects=self.quarantine.num_suspects(),
                num_quarantined=self.quarantine.num_quarantined(),
            )
        )
