"""Assembly of the tasks of one node, for real processes and for simulated fleets in virtual time.

Everything outside the node is passed in as a port, so that the same node runs on sockets and on an
in-memory network.
"""

from collections.abc import Callable, Sequence
from random import Random

import anyio
from anyio.abc import TaskStatus

from weirscale.domain.choice.kept_kv import ImportPlanner
from weirscale.domain.choice.prefix_aware import PrefixAware
from weirscale.domain.configuration.model import (
    RetryRules,
    RoutingObjective,
)
from weirscale.domain.duties.assignment import Duty, DutyKind
from weirscale.domain.identifiers import ConfigurationRevision, NodeAddress
from weirscale.domain.prefix.chain_cache import ChainCache
from weirscale.domain.request.retry_budget import RetryBudget
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.messages.envelope import KeyRing
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.callers.app import CallerApp
from weirscale.node.callers.drain import Drain
from weirscale.node.callers.metrics import CallerMetrics
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.configuration.task import ConfigurationTask
from weirscale.node.duties.view import DutyView
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.execution.generation import GenerationExecutor
from weirscale.node.execution.service import ServiceExecutor
from weirscale.node.home.home_task import HomeTask
from weirscale.node.home.homes import receivers_in_scope
from weirscale.node.home.notes_task import SendNotesTask
from weirscale.node.home.rules import HomeRules
from weirscale.node.home.view_task import CacheViewTask
from weirscale.node.limits.fleet import FleetAdmissionTask
from weirscale.node.link_delays import LinkDelays
from weirscale.node.membership.task import MembershipTask
from weirscale.node.node_ports import NodeIdentity, NodePorts
from weirscale.node.operators.app import OperatorApp
from weirscale.node.peers.link import PeerLink
from weirscale.node.placement.fleet_states import FleetStates
from weirscale.node.placement.states_server import EngineStatesServer
from weirscale.node.placement.status import PlacementStatus
from weirscale.node.placement.task import PlacementTask
from weirscale.node.planned_stop import PlannedStop
from weirscale.node.routing.decisions import DecisionLog
from weirscale.node.routing.engine_router import EngineRouter
from weirscale.node.routing.explain import Explainer
from weirscale.node.routing.service_router import ServiceRouter
from weirscale.ports.event_log import EventLog

_NO_REVISION = ConfigurationRevision(0)


class Node:
    """One run of one node.

    Args:
        identity: Identity of the node.
        ports: Ports to everything outside the node.
        keys: Keys shared between nodes.
        random: Source of randomness for all tasks of the node.
        event_log: Receives the events of all tasks.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        ports: NodePorts,
        keys: KeyRing,
        random: Random,
        event_log: EventLog,
    ) -> None:
        self.identity = identity
        self._event_log = event_log
        self.link = PeerLink(ports.network, identity.node, identity.address, keys, random)
        self.membership = MembershipTask(
            self.link,
            identity.node,
            identity.address,
            identity.zone,
            identity.seeds,
            random,
            machines=ports.machines,
        )
        self.configuration = ConfigurationTask(
            ports.key_value, self.link, self.membership, identity.zone, random, event_log
        )
        self.directory = BackendDirectory(
            self.configuration,
            ports.make_engine_port,
            ports.make_service_port,
            ports.machines,
            random,
            events=event_log,
            zone=identity.zone,
        )
        self.decisions = DecisionLog(identity.node.name)
        self.explainer = Explainer(self.decisions, self.link, self.membership)
        self.ledger = QuorumClaimLedger(
            self.link,
            self.membership,
            self.configuration,
            ports.key_value,
            identity.zone,
            random,
            events=event_log,
        )
        self.admission = FleetAdmissionTask(
            self.link,
            self.membership,
            self.configuration,
            identity.address,
            identity.zone,
            random,
        )
        self._build_homes(ports, random)
        self._build_routing(random)
        self._build_placement(ports, random)
        self._build_execution(anyio.current_time())
        self._build_planned_stop()

    def _build_placement(self, ports: NodePorts, random: Random) -> None:
        """Create the tasks that acquire the planner's lease and plan placement while it is held."""
        self._planner_lease = DutyLeaseTask(
            Duty(DutyKind.PLACEMENT_PLANNER),
            self.identity.node,
            ports.key_value,
            DutyView(self.membership),
            random,
        )
        self._engine_states_server = EngineStatesServer(self.directory, self.link)
        self._fleet_states = FleetStates(
            self.directory, self.membership, self.link, self._planner_lease
        )
        self.placement = PlacementTask(
            self.configuration,
            self.directory,
            ports.key_value,
            self._planner_lease,
            self._event_log,
            states=self._fleet_states,
        )
        self.placement_status = PlacementStatus(self.placement, self.link, self.membership)

    def _build_homes(self, ports: NodePorts, random: Random) -> None:
        """Create the tasks that track engines' caches and receive digests of other nodes."""
        rules = HomeRules()
        self.cache_view = CacheViewTask(self.link, self.directory, rules)
        self.homes = HomeTask(
            self.membership,
            self.configuration,
            self.directory,
            self.directory,
            self.link,
            self.cache_view.apply_own_digest,
            ports.epoch_ms,
            rules,
            random,
            self.membership.wait_joined,
        )
        self.notes = SendNotesTask(self.link, self._note_receivers, rules)

    def _note_receivers(self) -> Sequence[NodeAddress]:
        return receivers_in_scope(self.identity.zone, self.membership, self.configuration)

    def _build_routing(self, random: Random) -> None:
        """Create the tasks that choose back ends."""
        zone = self.identity.zone
        self._kept_kv = ImportPlanner()
        self._policy = PrefixAware(
            self.cache_view.view,
            RoutingObjective(),
            self.notes.peer_sends,
            self.notes.announce_send,
            self._kept_kv,
        )
        self.engine_router = EngineRouter(
            self.directory,
            self._policy,
            self.decisions,
            LinkDelays(self.configuration, zone).delay_s,
            random,
            ChainCache().chain,
        )
        self.service_router = ServiceRouter(self.directory, zone, random)

    def _build_execution(self, now_s: float) -> None:
        budget = RetryBudget(now_s)
        self._canceller = EngineCanceller()
        self.generation = GenerationExecutor(
            self.engine_router,
            self.ledger,
            self._retry_rules,
            self._canceller,
            self._event_log,
            budget,
        )
        self.services = ServiceExecutor(
            self.service_router, self.ledger, self._retry_rules, self._event_log, budget
        )
        self.drain_state = Drain()
        self.metrics = CallerMetrics()
        self.caller_app = CallerApp(
            self.configuration,
            self.admission,
            self.generation,
            self.services,
            self._event_log,
            self.drain_state,
            self.metrics,
        )

    def operator_app(self, begin_drain: Callable[[], None]) -> OperatorApp:
        """Return the ASGI application for operators; `begin_drain` starts the planned stop."""
        return OperatorApp(
            self.configuration,
            self.membership,
            self.explainer,
            self.placement_status,
            begin_drain,
        )

    def _build_planned_stop(self) -> None:
        self._planned_stop = PlannedStop(
            self.drain_state,
            self.configuration,
            self.membership,
            self._canceller,
            self._planner_lease,
            self.ledger,
            self._event_log,
        )

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run all tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            for task in (
                self.link.run,
                self.membership.run,
                self.configuration.run,
                self.directory.run,
                self.engine_router.run,
                self.service_router.run,
                self.ledger.run,
                self.homes.run,
                self.cache_view.run,
                self.notes.run,
                self._planner_lease.run,
                self._fleet_states.run,
                self.placement.run,
                self.admission.run,
                self._canceller.run,
                self._follow_configuration,
            ):
                tasks.start_soon(task)
            task_status.started()

    async def drain(self) -> bool:
        """Refuse new requests and wait for the running ones to finish.

        Returns:
            True if all requests finished within the configured time.
        """
        return await self._planned_stop.run()

    def _retry_rules(self) -> RetryRules:
        in_force = self.configuration.current()
        return in_force.deployment.retry if in_force is not None else RetryRules()

    async def _follow_configuration(self) -> None:
        """Apply each new configuration's routing objective and KV stores to the policy."""
        revision = _NO_REVISION
        while True:
            in_force = await self.configuration.changed_after(revision)
            revision = in_force.revision
            self._policy.set_objective(in_force.deployment.routing)
            self._kept_kv.set_stores(in_force.deployment.kept_kv_stores)
            self._event_log.event("configuration_in_force", revision=revision)
