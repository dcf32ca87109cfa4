"""States of engines that the placement planner's own node receives no reports of.

While this node is the planner, it queries one node of each such zone at intervals. If the states
have not changed, the answer takes one byte for each engine. Engines with loads in progress are
probed directly, because they are few.
"""

from collections.abc import Iterable, Mapping

import anyio
import msgspec
from result import Ok

from weirscale.domain.duties.assignment import Duty, DutyKind, rank_candidates
from weirscale.domain.identifiers import EngineName, NodeAddress, ZoneName
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.messages.engine_states import (
    AGE_UNIT_S,
    MAX_AGE_UNITS,
    EngineState,
    EngineStatesReply,
    EngineStatesRequest,
)
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.backends.facts import EngineFacts
from weirscale.node.duties.view import DutyView
from weirscale.node.home.homes import home_of
from weirscale.node.interfaces import MembershipView
from weirscale.node.peers.link import PeerLink


class StatesRules(msgspec.Struct, frozen=True):
    """Intervals and timeouts of queries and probes.

    Attributes:
        query_interval_s: Time between two queries about a zone. Several intervals fit into the age
            up to which the planner uses a state.
        query_timeout_s: Longest wait for an answer; the next query goes to another node of the
            zone.
        max_own_report_age_s: A zone is queried while this node's own report of one of its engines
            is older than this.
        probe_interval_s: Time between two probes of an engine with a load in progress.
        check_interval_s: Time between two checks of which queries and probes are due.
    """

    query_interval_s: float = 5.0
    query_timeout_s: float = 2.0
    max_own_report_age_s: float = 10.0
    probe_interval_s: float = 2.0
    check_interval_s: float = 1.0


class ObservedState(msgspec.Struct, frozen=True):
    """The state of an engine and the time at which it was observed, on this node's clock."""

    state: EngineState
    observed_at_s: float


class _ZoneQueries(msgspec.Struct):
    """Queries about one zone; `last_replies` holds the last reply with states from each node."""

    sent_at_s: float = float("-inf")
    num_failures: int = 0
    last_replies: dict[NodeAddress, EngineStatesReply] = {}


class FleetStates:
    """Queries states of engines while this node is the planner; `run` must be running.

    Args:
        directory: Declared engines and their reports to this node.
        membership: The live nodes.
        link: Sends queries to other nodes.
        duty: Lease of the planner's duty.
        rules: Intervals and timeouts.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        membership: MembershipView,
        link: PeerLink,
        duty: DutyLeaseTask,
        rules: StatesRules | None = None,
    ) -> None:
        self._directory = directory
        self._membership = membership
        self._duties = DutyView(membership)
        self._link = link
        self._duty = duty
        self._rules = rules or StatesRules()
        self._observed: dict[EngineName, ObservedState] = {}
        self._zones: dict[ZoneName, _ZoneQueries] = {}
        self._watched: frozenset[EngineName] = frozenset()
        link.register(EngineStatesReply)

    def observed_states(self) -> Mapping[EngineName, ObservedState]:
        """Return the latest states from queries and probes, by engine."""
        return self._observed

    def watch(self, engines: Iterable[EngineName]) -> None:
        """Set the engines to probe directly."""
        self._watched = frozenset(engines)

    async def run(self) -> None:
        """Query and probe until cancelled."""
        while True:
            await self.run_round()
            await anyio.sleep(self._rules.check_interval_s)

    async def run_round(self) -> None:
        """Send the queries and probes that are due, once; drop all states if not the planner."""
        if not self._duty.is_held():
            self._observed.clear()
            self._zones.clear()
            self._watched = frozenset()
            return
        now_s = anyio.current_time()
        engines = self._directory.snapshot().engines
        self._observed = {name: state for name, state in self._observed.items() if name in engines}
        async with anyio.create_task_group() as tasks:
            for zone, members in self._zones_to_query(engines, now_s).items():
                zone_queries = self._zones.setdefault(zone, _ZoneQueries())
                if now_s - zone_queries.sent_at_s >= self._rules.query_interval_s:
                    zone_queries.sent_at_s = now_s
                    addresses = self._nodes_to_query(zone, members, zone_queries.num_failures)
                    zone_queries.last_replies = {
                        node_address: zone_queries.last_replies[node_address]
                        for node_address in addresses & zone_queries.last_replies.keys()
                    }
                    for address in sorted(addresses):
                        tasks.start_soon(self._query, zone, address, zone_queries)
            for name in sorted(self._watched & engines.keys()):
                if now_s - self._observed_at_s(engines[name]) >= self._rules.probe_interval_s:
                    tasks.start_soon(self._probe, engines[name])

    def _zones_to_query(
        self, engines: Mapping[EngineName, EngineFacts], now_s: float
    ) -> Mapping[ZoneName, list[EngineFacts]]:
        """Return the engines without a recent report to this node, by zone."""
        zones: dict[ZoneName, list[EngineFacts]] = {}
        for facts in engines.values():
            has_own_report = facts.report is not None
            if not has_own_report or now_s - facts.reported_at_s > self._rules.max_own_report_age_s:
                zones.setdefault(facts.engine.zone, []).append(facts)
        return zones

    def _nodes_to_query(
        self, zone: ZoneName, engines: list[EngineFacts], num_failures: int
    ) -> frozenset[NodeAddress]:
        """Return the nodes to query about a zone.

        This is one node of the zone, a different one after each failure, or none if this node is
        the only one. If the zone has no nodes, these are the homes of its engines.
        """
        peers = {peer.node: peer for peer in self._membership.peers()}
        own_id = self._membership.self_id
        duty = Duty(DutyKind.PLACEMENT_PLANNER, f"states/{zone}")
        ranked = rank_candidates(duty, self._duties.candidates(), zone)
        zone_nodes = [
            candidate.node
            for candidate in ranked
            if candidate.node != own_id and candidate.node in peers
        ]
        if zone_nodes:
            return frozenset({peers[zone_nodes[num_failures % len(zone_nodes)]].address})
        if ranked:
            return frozenset()
        homes = (home_of(facts.engine, tuple(peers.values())) for facts in engines)
        return frozenset(home.address for home in homes if home is not None and home.node != own_id)

    async def _query(
        self, zone: ZoneName, address: NodeAddress, zone_queries: _ZoneQueries
    ) -> None:
        sent_at_s = anyio.current_time()
        last_reply = zone_queries.last_replies.get(address)
        request = EngineStatesRequest(zone, last_reply.digest if last_reply is not None else 0)
        answer = await self._link.call(address, request, self._rules.query_timeout_s)
        reply = answer.ok_value if isinstance(answer, Ok) else None
        if not isinstance(reply, EngineStatesReply):
            zone_queries.num_failures += 1
            return
        if last_reply is None or reply.digest != last_reply.digest:
            last_reply = zone_queries.last_replies[address] = reply
        for state, age in zip(last_reply.states, reply.ages, strict=False):
            if age < MAX_AGE_UNITS:
                self._record_state(state, sent_at_s - age * AGE_UNIT_S)

    async def _probe(self, facts: EngineFacts) -> None:
        sent_at_s = anyio.current_time()
        with anyio.move_on_after(self._rules.query_timeout_s):
            answer = await facts.port.load()
            if isinstance(answer, Ok):
                report = answer.ok_value
                self._record_state(EngineState.of(report, report.is_leaving, is_up=True), sent_at_s)

    def _record_state(self, state: EngineState, observed_at_s: float) -> None:
        """Record a state if it is newer than the recorded one, by run and then by time."""
        previous = self._observed.get(state.engine)
        if previous is not None:
            previous_key = (previous.state.incarnation, previous.observed_at_s)
            if previous_key >= (state.incarnation, observed_at_s):
                return
        self._observed[state.engine] = ObservedState(state, observed_at_s)

    def _observed_at_s(self, facts: EngineFacts) -> float:
        previous = self._observed.get(facts.engine.name)
        other_observed_at_s = previous.observed_at_s if previous is not None else float("-inf")
        own_observed_at_s = facts.reported_at_s if facts.report is not None else float("-inf")
        return max(other_observed_at_s, own_observed_at_s)
