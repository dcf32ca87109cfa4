"""Fleets under all faults at once: racing operators, restarts, pauses, cuts and a bad store."""

from functools import partial

import anyio
import msgspec

from features.support.configuration_fleet import (
    ConfigurationFleet,
    run_configuration_fleet,
)
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.encode import decode_stored
from weirscale.domain.configuration.model import Deployment
from weirscale.experiments.memory_network import LinkQuality
from weirscale.node.configuration.apply import CONFIGURATION_KEY, Applier
from weirscale.node.configuration.outcome import Accepted, ApplyOutcome, Refused
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueFaults

NUM_NODES = 16
NUM_ZONES = 4
NUM_OPERATORS = 3
DURATION_S = 300.0
POOR_LINKS = LinkQuality(delay_s=0.002, jitter_s=0.05, drop_rate=0.1, duplicate_rate=0.1)


class ApplyRecord(msgspec.Struct, frozen=True):
    """The outcome that an operator got for a file; the deployment's name is unique."""

    name: str
    outcome: ApplyOutcome


class SoakResult(msgspec.Struct, frozen=True):
    """Result of one run.

    Attributes:
        num_accepted: Files accepted.
        num_refused: Files refused.
        num_unknown: Files whose outcome was reported as unknown.
        num_restarts: Restarts of nodes.
        in_force_s: Seconds until a last change was in force on all nodes after the faults ended.
        violations: Violated rules, one line each.
    """

    num_accepted: int
    num_refused: int
    num_unknown: int
    num_restarts: int
    in_force_s: float
    violations: tuple[str, ...]


class Soak:
    """Injects faults into a fleet and checks its history afterwards."""

    def __init__(self, fleet: ConfigurationFleet, duration_s: float) -> None:
        self._fleet = fleet
        self._random = fleet.random
        self._duration_s = duration_s
        self._records: list[ApplyRecord] = []

    async def run(self) -> SoakResult:
        """Run to the end of the faults, heal, apply a last change and check."""
        self._fleet.network.set_default_quality(POOR_LINKS)
        with anyio.move_on_after(self._duration_s):
            async with anyio.create_task_group() as tasks:
                for number in range(NUM_OPERATORS):
                    tasks.start_soon(self._operate, number)
                for fault in (
                    self._restart,
                    self._pause,
                    self._cut_zones,
                    self._change_store_faults,
                ):
                    tasks.start_soon(fault)
        self._heal()
        outcome = await self._fleet.apply(_deployment("last"))
        assert isinstance(outcome, Accepted), outcome
        in_force_s = await self._fleet.wait_until_in_force(outcome.revision)
        outcomes = [record.outcome for record in self._records]
        num_accepted = sum(isinstance(outcome, Accepted) for outcome in outcomes)
        num_refused = sum(isinstance(outcome, Refused) for outcome in outcomes)
        return SoakResult(
            num_accepted=num_accepted,
            num_refused=num_refused,
            num_unknown=len(outcomes) - num_accepted - num_refused,
            num_restarts=len(self._fleet.past_nodes),
            in_force_s=in_force_s,
            violations=(*self._find_wrong_answers(), *self._find_wrong_nodes()),
        )

    async def _operate(self, number: int) -> None:
        """Apply files, each made from the revision that the store holds at that time."""
        model = self._fleet.server.model
        port = InProcessKeyValue(self._fleet.server)
        count = 0
        while True:
            await self._wait(2.0, 15.0)
            count += 1
            base = model.mod_revision(CONFIGURATION_KEY.encode(), anyio.current_time())
            name = f"operator-{number}-{count}"
            applier = Applier(port, _deployment(name), base or None, name, self._random)
            self._records.append(ApplyRecord(name, await applier.run()))

    async def _restart(self) -> None:
        while True:
            await self._wait(1.0, 20.0)
            num_nodes = self._random.randint(1, NUM_NODES // 4)
            for name in self._random.sample(sorted(self._fleet.nodes), num_nodes):
                self._fleet.restart(name)

    async def _pause(self) -> None:
        while True:
            await self._wait(1.0, 20.0)
            node = self._fleet.nodes[self._random.choice(sorted(self._fleet.nodes))]
            node.endpoint.freeze()
            await self._wait(0.1, 10.0)
            node.endpoint.thaw()

    async def _cut_zones(self) -> None:
        """Repeatedly partition a zone from the others and from the store."""
        while True:
            await self._wait(1.0, 20.0)
            zone = f"zone-{self._random.randrange(NUM_ZONES)}"
            nodes = list(self._fleet.nodes.values())
            inside = {node.address for node in nodes if node.zone == zone}
            self._fleet.network.cut_both_ways(inside, {node.address for node in nodes} - inside)
            for node in nodes:
                node.port.is_cut_off = node.zone == zone
            await self._wait(1.0, 20.0)
            self._reconnect()

    async def _change_store_faults(self) -> None:
        while True:
            choose = self._random.choice
            self._fleet.server.faults = KeyValueFaults(
                is_down=self._random.random() < 0.3,
                delay_s=choose((0.0, 0.0, 0.5, 2.0, 4.0)),
                lost_answer_probability=choose((0.0, 0.2, 0.6)),
                requests_per_s=choose((None, None, 5.0)),
                is_watch_silent=self._random.random() < 0.2,
            )
            self._fleet.server.cut_watches()
            await self._wait(1.0, 15.0)

    async def _wait(self, at_least_s: float, at_most_s: float) -> None:
        await anyio.sleep(self._random.uniform(at_least_s, at_most_s))

    def _reconnect(self) -> None:
        self._fleet.network.heal()
        for node in self._fleet.nodes.values():
            node.port.is_cut_off = False

    def _heal(self) -> None:
        self._fleet.server.faults = KeyValueFaults()
        self._fleet.server.notify()
        self._reconnect()
        for node in self._fleet.nodes.values():
            node.endpoint.thaw()

    def _stored_deployments(self) -> dict[int, Deployment]:
        """Return the deployment that the store held at each revision."""
        changes = self._fleet.server.model.changes_from(1, CONFIGURATION_KEY.encode(), b"")
        return {
            change.revision: decode_stored(change.stored.value).unwrap().deployment
            for change in changes
            if change.stored is not None
        }

    def _find_wrong_answers(self) -> list[str]:
        """Compare the outcomes that operators got with the store."""
        revisions = {
            deployment.name: revision for revision, deployment in self._stored_deployments().items()
        }
        wrong: list[str] = []
        for record in self._records:
            held_at = revisions.get(record.name)
            outcome = record.outcome
            if isinstance(outcome, Accepted) and outcome.revision != held_at:
                wrong.append(f"{record.name}: accepted at {outcome.revision}, held at {held_at}")
            if isinstance(outcome, Refused) and held_at is not None:
                wrong.append(f"{record.name}: refused, but held at {held_at}")
        return wrong

    def _find_wrong_nodes(self) -> list[str]:
        """Check that each node's revisions only grew and had the store's content."""
        stored_deployments = self._stored_deployments()
        wrong: list[str] = []
        for node in [*self._fleet.nodes.values(), *self._fleet.past_nodes]:
            revisions = [record.revision for record in node.history]
            if revisions != sorted(set(revisions)):
                wrong.append(f"{node.peer.node}: went back: {revisions}")
            for record in node.history:
                if stored_deployments.get(record.revision) != record.deployment:
                    wrong.append(f"{node.peer.node}: revision {record.revision} is not the store's")
        return wrong


def run_soak(seed: int, duration_s: float = DURATION_S) -> SoakResult:
    """Run one seed in virtual time."""

    async def script(fleet: ConfigurationFleet) -> SoakResult:
        return await Soak(fleet, duration_s).run()

    run = partial(run_configuration_fleet, script, NUM_NODES, NUM_ZONES, seed)
    return run_in_virtual_time(run)


def _deployment(name: str) -> Deployment:
    return Deployment(1, name, (), (), (), ())
