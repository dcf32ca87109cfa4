"""Assembles a gateway from its components and runs its tasks."""

from collections.abc import Callable, Iterable
from random import Random

import anyio

from weirscale.gateway.gossip.gatherer import GossipGatherer
from weirscale.gateway.gossip.gossip_task import GossipTask
from weirscale.gateway.gossip.group_relay import GroupRelay
from weirscale.gateway.gossip.inbox import GossipReceiver, PeerInbox
from weirscale.gateway.gossip.sources import is_group, is_member
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.node_gauges import gauge_values
from weirscale.gateway.node_parts import NodeParts
from weirscale.gateway.paths.relays import StreamOpener
from weirscale.gateway.paths.tcp_opener import TCP_OPENER
from weirscale.gateway.peers.gossip_entries import (
    EndedGossip,
    LeavingGossip,
    LimitGossip,
    LoadingGossip,
)
from weirscale.gateway.peers.messages import PeerMessage
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.ports.back_end import BackEndConnector
from weirscale.gateway.ports.callers import RequestCodec
from weirscale.gateway.ports.state_feed import StateFeed
from weirscale.gateway.replication.age_exchange import AgeExchange
from weirscale.gateway.replication.follower import StateFollower
from weirscale.gateway.replication.publisher import ChangePublisher
from weirscale.gateway.replication.subscription import StateSubscription
from weirscale.gateway.request_limits.permit_exchange import PermitExchange
from weirscale.gateway.requests.admission import AdmissionControl
from weirscale.gateway.requests.answer_ends import AnswerEnds
from weirscale.gateway.requests.attempt_records import AttemptRecords
from weirscale.gateway.requests.attempt_timeout import AttemptTimeoutWatch
from weirscale.gateway.requests.back_end_selector import BackEndSelector
from weirscale.gateway.requests.back_end_verdicts import BackEndVerdicts
from weirscale.gateway.requests.caller_app import CallerApp
from weirscale.gateway.requests.crash_reports import CrashReporter
from weirscale.gateway.requests.path_verdicts import PathVerdicts
from weirscale.gateway.requests.request_context import RequestContext
from weirscale.gateway.requests.request_log import RequestLog
from weirscale.gateway.requests.retry_decision import NodeRetryBudget
from weirscale.gateway.requests.stream_pauses import StreamPauses
from weirscale.gateway.requests.stream_resumption import StreamResumption
from weirscale.gateway.rollouts.alarms import RolloutAlarms
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic
from weirscale.gateway.rollouts.facts import FactsReader, FleetSources, RolloutClock
from weirscale.gateway.rollouts.holder_task import RolloutHolderTask
from weirscale.gateway.rollouts.record_writer import RolloutWriter
from weirscale.gateway.rollouts.reporter import RolloutReporter
from weirscale.gateway.rollouts.tallies import FleetTallies, Tallies
from weirscale.gateway.routing.choice_rules import START_MARGIN_S
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.gateway.streams.keepers import OriginKeepers
from weirscale.gateway.streams.origin_exchange import OriginExchange
from weirscale.gateway.streams.sole_version import SoleVersionProof
from weirscale.gateway.weights.age_markers import AgeMarkerWriter
from weirscale.gateway.weights.engine_load import EngineLoader
from weirscale.gateway.weights.holder_lease import new_holder_lease
from weirscale.gateway.weights.holder_paths import HolderPathWatch
from weirscale.gateway.weights.holder_term import HolderTerm
from weirscale.gateway.weights.order_fence import OrderFence
from weirscale.gateway.weights.order_sender import OrderSender
from weirscale.gateway.weights.rollout_task import WeightsRolloutTask
from weirscale.gateway.weights.schedule import load_rules
from weirscale.gateway.weights.version_check import VersionCheck
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

RUN_BITS = 32
"""Number of bits of the random number that identifies one run of a node's process in its gossip."""


class GatewayNode(NodeParts):
    """One gateway: creates its components, subsystem by subsystem, and runs their tasks.

    Args:
        settings: Settings of the process.
        feed: Feed of the platform's state.
        store: The key-value service.
        connect: Creates ports of back ends.
        codec: Parses callers' requests and encodes refusals.
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
        codec: RequestCodec,
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float] = anyio.current_time,
        opener: StreamOpener = TCP_OPENER,
    ) -> None:
        super().__init__(settings, feed, store, connect, event_log, random, clock, opener)
        self.is_stopping = False
        self._make_rollouts()
        self._make_gossip()
        self._make_replication()
        self._make_requests(codec)
        self._make_holder_tasks()

    def _make_rollouts(self) -> None:
        """Create the components for rollouts of service versions."""
        clock = self._clock
        tallies = FleetTallies()
        self.rollout_reporter = RolloutReporter(
            self.cluster, self._records, tallies,
            lambda instance: self.load.own(instance).num_requests, clock,
        )  # fmt: skip
        self._rollout_alarms = RolloutAlarms(
            self.cluster, self._records, self._rollout_tallies, self._event_log, clock
        )
        self.canary_traffic = CanaryTraffic(
            self._canary_limits, self.cluster, self._records, self.version_gate,
            self.peers.num_nodes, self._rollout_alarms, tallies, self._random, clock,
            self.metrics.count_rollout_end,
        )  # fmt: skip

    def _make_gossip(self) -> None:
        """Create the components that send gossip to the other nodes."""
        settings, clock = self.settings, self._clock
        self.relay = GroupRelay(
            settings.name, self.peers, self.load, self.quotas, self._send, clock,
            self._add_rollout_sums,
        )  # fmt: skip
        self.outbox = GossipOutbox(settings.name, sender_run=self._random.getrandbits(RUN_BITS))
        self._notices.observe_leaving(lambda run: self.outbox.add_leaving(LeavingGossip(run)))
        self._notices.observe_ended(lambda run: self.outbox.add_ended(EndedGossip(run)))
        self._notices.observe_limit(
            lambda run, limit_per_s: self.outbox.add_limit(LimitGossip(run, limit_per_s))
        )
        self._notices.observe_brittle(self.outbox.add_brittle)
        self.gatherer = GossipGatherer(
            self.outbox, self.load, self.quotas, self.canary_traffic, self.rollout_reporter,
            self.quarantines,
        )  # fmt: skip
        self.version_check = VersionCheck(
            self.cluster, self._ports.port_of, self.outbox.add_loading, clock
        )
        self.cluster.back_ends.observe_removal(
            lambda removed: self.version_check.forget(removed.instance)
        )

    def _make_replication(self) -> None:
        """Create the replication of the platform's state, and the receiver of peers' messages."""
        settings, clock, log = self.settings, self._clock, self._event_log
        self.publisher = ChangePublisher(settings.name, self.cluster, self._send, clock)
        self.subscription = StateSubscription(
            settings.name, self.cluster, self.peers, self._send, log, self._random, clock,
            self._topology,
        )  # fmt: skip
        self.ages = AgeExchange(
            settings.name, self.cluster, self.peers, self._send, log, self._random, clock
        )
        self.follower = StateFollower(
            self._feed, self.cluster, log, self._random, self.publisher, self.subscription, clock
        )
        receiver = GossipReceiver(
            self.cluster, self.stated_limits, self.relay, self.load, self.quotas, self.dispatcher,
            self.health, self.rollout_reporter, self.quarantines, clock,
        )  # fmt: skip
        self._permit_exchange = PermitExchange(
            settings.name, self.stated_limits, self.permits, self._permit_issuer,
            self.peers.group_addresses, self._send, clock,
        )  # fmt: skip
        self._origin_exchange = OriginExchange(
            settings.name, self.origins,
            OriginKeepers(settings.name, lambda: self.peers.division().group_of),
            self.peers.group_addresses, self._send,
        )  # fmt: skip
        self.inbox = PeerInbox(
            receiver, self.relay, self.publisher, self.subscription, self.ages,
            self._permit_exchange, self.permits, self._origin_exchange,
        )  # fmt: skip
        self.gossip_task = GossipTask(
            settings.peers, self.peers, self.relay, self.outbox, self.inbox, self.gatherer.gather,
            self.errors,
        )  # fmt: skip

    def _make_requests(self, codec: RequestCodec) -> None:
        """Create the components that serve callers."""
        clock, port_of = self._clock, self._ports.port_of
        pauses = StreamPauses()
        verdicts = BackEndVerdicts(
            self.cluster, self.dispatcher, self.health, self.outbox, self._send_gossip_now,
            self.version_check, self.canary_traffic,
            PathVerdicts(self.paths, self.path_checks), clock,
        )  # fmt: skip
        self.context = RequestContext(
            clock=clock,
            admission=AdmissionControl(
                self.cluster, self.quotas, self.isolation, self.settings.bounds, self.planned_stop
            ),
            selector=BackEndSelector(self.dispatcher, self.canary_traffic),
            port_of=port_of,
            timeouts=AttemptTimeoutWatch(clock),
            retry_budget=NodeRetryBudget(self.budget, self.peers, clock),
            pauses=pauses,
            traffic=self.traffic,
            records=AttemptRecords(
                self.dispatcher, self.load, self.budget, self.outbox, self._send_gossip_now,
                pauses, verdicts, clock,
            ),
            streams=StreamResumption(
                self.origins, self._origin_exchange, SoleVersionProof(self.cluster, clock),
                self._event_log, self.metrics, clock,
            ),
            answer_ends=AnswerEnds(
                self.cluster, self._probe_permits, self._event_log, clock
            ),
            crash_reporter=CrashReporter(
                self.cluster, port_of, self.quarantines, self.health, self.outbox,
                self._send_gossip_now, self._event_log, clock,
            ),
            log=RequestLog(
                self._event_log, self.metrics, self.cluster, self.canary_traffic, pauses
            ),
        )  # fmt: skip
        self.app = CallerApp(
            self.settings, self.context, codec, self.is_ready, self.closes_connections,
            self.metrics_text,
        )  # fmt: skip

    def _make_holder_tasks(self) -> None:
        """Create the tasks of the lease holder: rollouts of weights and of service versions."""
        name, bounds = self.settings.name, self.settings.bounds
        clock, log, store = self._clock, self._event_log, self._store
        self._lease = new_holder_lease(
            name, bounds.min_lease_s, store, self.cluster, self.peers, self._random, clock,
            lambda: not self.paths.are_all_lost(),
        )  # fmt: skip
        self._holder_paths = HolderPathWatch(self._lease, self.paths.are_all_lost, log)
        self.order_fence = OrderFence(name, store, self.cluster, bounds.lease_s, clock)
        term = HolderTerm(name, self._lease, log)
        loader = EngineLoader(
            OrderSender(term, self.order_fence, log), self.cluster, self._ports.port_of,
            self._announce_loading, self._num_requests, self.health, clock,
        )  # fmt: skip
        self._weights_rollout = WeightsRolloutTask(
            term, self.cluster, loader, AgeMarkerWriter(self.cluster, store, clock),
            self._num_requests, self.health, self.version_gate.serves, log,
            load_rules(bounds.weights_s), clock,
        )  # fmt: skip
        facts = FactsReader(self.cluster, self._records, self._fleet_sources(), RolloutClock(clock))
        self._rollout_holder = RolloutHolderTask(
            self._lease, self.cluster, self._records, facts,
            RolloutWriter(self.cluster, store, self._feed, log, clock), log,
        )  # fmt: skip

    def _fleet_sources(self) -> FleetSources:
        return FleetSources(
            tallies=self._rollout_tallies,
            alarm_of=self._rollout_alarms.alarm,
            num_moved=lambda service, epoch: self.rollout_reporter.num_moved(
                service, epoch, self.relay.is_counted
            ),
            num_nodes=lambda: self.peers.num_nodes(0.0),
            num_requests=self._num_requests,
            rollback_s=self._rollback_s,
        )

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            for task in (
                self.follower, self.subscription, self.ages, self.registration,
                self.gossip_task, self.relay, self._permit_exchange, self._lease,
                self._weights_rollout,
                self._rollout_holder, self.version_check, self.context.crash_reporter.crash_check,
                self.quarantines, self.context.timeouts, self._maintenance,
                self.path_checks, self.relay_server, self._holder_paths,
            ):  # fmt: skip
                tasks.start_soon(task.run)
            await anyio.sleep_forever()

    async def leave(self) -> None:
        """Release the lease and the registration, so that other nodes take over immediately."""
        await self._lease.release()
        await self.registration.withdraw()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed guarantees and a changed retry budget."""
        bounds = settings.bounds
        self._canary_limits = bounds.canary
        self.budget.set_rules(settings.retry_budget)
        self.quotas.set_precision(bounds.quota)
        self.context.admission.set_guarantees(bounds)
        self.dispatcher.set_weights_grace(bounds.weights_s - START_MARGIN_S)
        self.canary_traffic.set_limits(bounds.canary)
        self._weights_rollout.set_rules(load_rules(bounds.weights_s))
        self.order_fence.set_least_gap(bounds.lease_s)

    def is_ready(self) -> bool:
        """Return whether new connections should come here.

        The node needs a configuration, and must not be stopping or isolated.
        """
        return self.cluster.table is not None and not self.closes_connections()

    def closes_connections(self) -> bool:
        """Return whether connections are closed after each answer.

        This is the case while the node is stopping or isolated, because other nodes then serve
        callers better.
        """
        return self.is_stopping or self.isolation.is_isolated()

    # These methods read `gossip_task` at each call, because a fleet that runs in one process
    # replaces the task after the node is created and before it runs.

    async def _send(self, message: PeerMessage, addresses: Iterable[ListenAddress]) -> None:
        await self.gossip_task.send(message, addresses)

    def _send_gossip_now(self) -> None:
        self.gossip_task.request_flush()

    async def _announce_loading(
        self, instance: InstanceId, model: str, version: int, is_done: bool
    ) -> None:
        """Announce to all nodes that an engine is about to load weights, or has loaded them.

        A load is announced before the engine is ordered to start it.
        """
        self.dispatcher.mark_loading(instance, is_done)
        self.outbox.add_loading(LoadingGossip(instance, model, version, is_done))
        await self.gossip_task.flush()

    def _rollout_tallies(self) -> Tallies:
        """Return the rollout counts of all nodes, as far as they have been received."""
        return self.rollout_reporter.fleet_tallies(self.relay.is_counted)

    def _add_rollout_sums(
        self, to_heads: GossipOutbox, to_group: GossipOutbox, must_refresh: bool
    ) -> None:
        self.rollout_reporter.add_sums(to_heads, to_group, is_member, is_group, must_refresh)

    def metrics_text(self) -> bytes:
        """Return the metrics as text, including the current values of gauges."""
        return self.metrics.text(gauge_values(self, self._lease.is_held(), self._clock()))
