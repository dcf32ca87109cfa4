"""What the placement planner hears of engines that its own node does not hear of.

While this node plans, one node of each such zone is asked at intervals; an answer that has not
changed is one byte an engine. Engines with loads in progress are asked directly, as they are few.
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
    """How often to ask.

    Attributes:
        ask_interval_s: Time between two questions about a zone; several fit into the age up to
            which the planner trusts a state.
        ask_timeout_s: Longest wait for an answer; then another node of the zone is asked.
        own_report_s: A zone is asked about while this node's own report of one of its engines is
            older than this.
        probe_interval_s: Time between two reports that an engine with a load is asked for.
        check_interval_s: How often the task looks what is due.
    """

    ask_interval_s: float = 5.0
    ask_timeout_s: float = 2.0
    own_report_s: float = 10.0
    probe_interval_s: float = 2.0
    check_interval_s: float = 1.0


class ObservedState(msgspec.Struct, frozen=True):
    """A state and when the engine was in it, on this node's clock."""

    state: EngineState
    observed_at_s: float


class _Asked(msgspec.Struct):
    """What is known of asking about one zone; `known` is the last whole answer of each node."""

    asked_at_s: float = float("-inf")
    num_failures: int = 0
    known: dict[NodeAddress, EngineStatesReply] = {}


class FleetStates:
    """Asks for states while this node plans; `run` must be running.

    Args:
        directory: Declared engines, and what this node hears itself.
        membership: The live nodes.
        link: Carries the questions.
        duty: Tells whether this node plans.
        rules: How often to ask.
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
        self._heard: dict[EngineName, ObservedState] = {}
        self._zones: dict[ZoneName, _Asked] = {}
        self._watched: frozenset[EngineName] = frozenset()
        link.register(EngineStatesReply)

    def observed_states(self) -> Mapping[EngineName, ObservedState]:
        """Return the states heard, by engine."""
        return self._heard

    def watch(self, engines: Iterable[EngineName]) -> None:
        """Set the engines to be asked directly."""
        self._watched = frozenset(engines)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self.run_round()
            await anyio.sleep(self._rules.check_interval_s)

    async def run_round(self) -> None:
        """Ask what is due now, once."""
        if not self._duty.is_held():
            self._heard.clear()
            self._zones.clear()
            self._watched = frozenset()
            return
        now_s = anyio.current_time()
        engines = self._directory.snapshot().engines
        self._heard = {name: heard for name, heard in self._heard.items() if name in engines}
        async with anyio.create_task_group() as tasks:
            for zone, members in self._zones_to_ask(engines, now_s).items():
                asked = self._zones.setdefault(zone, _Asked())
                if now_s - asked.asked_at_s >= self._rules.ask_interval_s:
                    asked.asked_at_s = now_s
                    addresses = self._whom_to_ask(zone, members, asked.num_failures)
                    asked.known = {
                        each: asked.known[each] for each in addresses & asked.known.keys()
                    }
                    for address in sorted(addresses):
                        tasks.start_soon(self._ask, zone, address, asked)
            for name in sorted(self._watched & engines.keys()):
                if now_s - self._observed_at_s(engines[name]) >= self._rules.probe_interval_s:
                    tasks.start_soon(self._probe, engines[name])

    def _zones_to_ask(
        self, engines: Mapping[EngineName, EngineFacts], now_s: float
    ) -> Mapping[ZoneName, list[EngineFacts]]:
        """Return the engines that this node does not hear of itself, by zone."""
        zones: dict[ZoneName, list[EngineFacts]] = {}
        for facts in engines.values():
            is_own = facts.report is not None
            if not is_own or now_s - facts.reported_at_s > self._rules.own_report_s:
                zones.setdefault(facts.engine.zone, []).append(facts)
        return zones

    def _whom_to_ask(
        self, zone: ZoneName, engines: list[EngineFacts], num_failures: int
    ) -> frozenset[NodeAddress]:
        """Return one node of the zone, another after each failure; or homes outside the zone."""
        peers = {peer.node: peer for peer in self._membership.peers()}
        own_id = self._membership.self_id
        duty = Duty(DutyKind.PLACEMENT_PLANNER, f"states/{zone}")
        ranked = rank_candidates(duty, self._duties.candidates(), zone)
        near = [each.node for each in ranked if each.node != own_id and each.node in peers]
        if near:
            return frozenset({peers[near[num_failures % len(near)]].address})
        if ranked:
            return frozenset()
        homes = (home_of(facts.engine, tuple(peers.values())) for facts in engines)
        return frozenset(home.address for home in homes if home is not None and home.node != own_id)

    async def _ask(self, zone: ZoneName, address: NodeAddress, asked: _Asked) -> None:
        asked_at_s = anyio.current_time()
        known = asked.known.get(address)
        question = EngineStatesRequest(zone, known.digest if known is not None else 0)
        answer = await self._link.call(address, question, self._rules.ask_timeout_s)
        reply = answer.ok_value if isinstance(answer, Ok) else None
        if not isinstance(reply, EngineStatesReply):
            asked.num_failures += 1
            return
        if known is None or reply.digest != known.digest:
            known = asked.known[address] = reply
        for state, age in zip(known.states, reply.ages, strict=False):
            if age < MAX_AGE_UNITS:
                self._take(state, asked_at_s - age * AGE_UNIT_S)

    async def _probe(self, facts: EngineFacts) -> None:
        asked_at_s = anyio.current_time()
        with anyio.move_on_after(self._rules.ask_timeout_s):
            answer = await facts.port.load()
            if isinstance(answer, Ok):
                report = answer.ok_value
                self._take(EngineState.of(report, report.is_leaving, is_up=True), asked_at_s)

    def _take(self, state: EngineState, observed_at_s: float) -> None:
        """Keep the later of two states: the higher run, then the later time."""
        known = self._heard.get(state.engine)
        if known is not None:
            before = (known.state.incarnation, known.observed_at_s)
            if before >= (state.incarnation, observed_at_s):
                return
        self._heard[state.engine] = ObservedState(state, observed_at_s)

    def _observed_at_s(self, facts: EngineFacts) -> float:
        known = self._heard.get(facts.engine.name)
        heard_at_s = known.observed_at_s if known is not None else float("-inf")
        own_at_s = facts.reported_at_s if facts.report is not None else float("-inf")
        return max(heard_at_s, own_at_s)
