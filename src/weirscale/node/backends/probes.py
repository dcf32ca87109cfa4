"""Loops that ask engines and the machine list how things are."""

import heapq
import math
from collections.abc import Mapping
from random import Random
from typing import Protocol

import anyio
from result import Ok

from weirscale.domain.identifiers import EngineName, ModelName, ZoneName
from weirscale.node.backends.facts import DirectorySnapshot
from weirscale.node.backends.observations import (
    MachinesListed,
    Observation,
    ProbeFailed,
    ReportArrived,
)
from weirscale.node.backends.probe_pace import (
    ProbePace,
    ProbeRules,
    has_home_report,
    probe_pace,
)
from weirscale.ports.engine import EnginePort
from weirscale.ports.machines import MachineListPort

ProbeKey = tuple[EngineName, str]
"""An engine at an address."""

TICK_S = 0.1
"""How often the times of engines are looked at; an engine is asked at most so much late."""

COUNT_INTERVAL_S = 1.0
"""How often the engines to ask are counted anew; the count takes a tenth of a millisecond."""


class ProbedDirectory(Protocol):
    """What the loops need of the directory."""

    def snapshot(self) -> DirectorySnapshot:
        """Return what is known now; the value never changes."""
        ...

    def post(self, observation: Observation) -> None:
        """Leave an observation."""
        ...


class EngineProbes:
    """Asks every declared engine for its load, at once and then at intervals.

    One task keeps the times of all engines: a sleeping task for each would cost a node several
    megabytes at the size to design for.

    Args:
        directory: Tells of engines and takes in what they answer.
        rules: How often to ask.
        random: For jitter.
        zone: This node's own zone, None to ask all engines alike.
    """

    def __init__(
        self,
        directory: ProbedDirectory,
        rules: ProbeRules,
        random: Random,
        zone: ZoneName | None = None,
    ) -> None:
        self._directory = directory
        self._rules = rules
        self._random = random
        self._ports: dict[ProbeKey, EnginePort] = {}
        self._due: list[tuple[float, ProbeKey]] = []
        self._due_at_s: dict[ProbeKey, float] = {}
        self._asking: dict[ProbeKey, anyio.CancelScope] = {}
        self._zone = zone
        self._started_at_s = math.inf
        self._pace: ProbePace | None = None
        self._pace_until_s = -math.inf

    def follow(self, ports: Mapping[ProbeKey, EnginePort]) -> None:
        """Ask these engines from now on, and no others."""
        now_s = anyio.current_time()
        for key in self._ports.keys() - ports.keys():
            self._due_at_s.pop(key, None)
            scope = self._asking.pop(key, None)
            if scope is not None:
                scope.cancel()
        self._started_at_s = min(self._started_at_s, now_s)
        self._pace = self._count(now_s)
        engines = self._directory.snapshot().engines
        for key in sorted(ports.keys() - self._ports.keys()):
            within_s = self._pace.interval_s(engines[key[0]])
            if self._pace.is_near(engines[key[0]]):
                within_s = self._pace.num_near / self._rules.first_probes_per_s
            self._wait_until(key, now_s + self._random.random() * within_s)
        self._ports = dict(ports)

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for key in self._take_due(anyio.current_time()):
                    tasks.start_soon(self._ask, key)
                # A plain sleep: a deadline that passes costs several times as much, and with a
                # hundred engines in the zone some time comes every few milliseconds.
                await anyio.sleep(TICK_S)

    def _take_due(self, now_s: float) -> list[ProbeKey]:
        """Take the engines whose time has come; those that a home reports for wait again."""
        taken: list[ProbeKey] = []
        while self._due and self._due[0][0] <= now_s:
            due_at_s, key = heapq.heappop(self._due)
            if self._due_at_s.get(key) != due_at_s:
                # Of an engine that was dropped, and perhaps declared again since.
                continue
            facts = self._directory.snapshot().engines.get(key[0])
            if facts is not None and has_home_report(facts, self._rules, now_s):
                self._wait_again(key, now_s)
            else:
                taken.append(key)
        return taken

    async def _ask(self, key: ProbeKey) -> None:
        port = self._ports.get(key)
        if port is None:
            return
        with anyio.CancelScope() as scope:
            self._asking[key] = scope
            await _probe(self._directory, key[0], port, self._rules)
        if self._asking.get(key) is scope:
            del self._asking[key]
            self._wait_again(key, anyio.current_time())

    def _wait_again(self, key: ProbeKey, now_s: float) -> None:
        facts = self._directory.snapshot().engines.get(key[0])
        if facts is not None:
            interval_s = self._pace_at(now_s).interval_s(facts)
            self._wait_until(key, now_s + _jittered(interval_s, self._rules, self._random))

    def _wait_until(self, key: ProbeKey, due_at_s: float) -> None:
        self._due_at_s[key] = due_at_s
        heapq.heappush(self._due, (due_at_s, key))

    def _pace_at(self, now_s: float) -> ProbePace:
        """Return the pace; engines are counted once a second."""
        if self._pace is None or now_s >= self._pace_until_s:
            before = self._pace
            self._pace = self._count(now_s)
            self._pace_until_s = now_s + COUNT_INTERVAL_S
            if before is not None:
                self._hasten(self._pace.needed - before.needed, now_s)
        return self._pace

    def _count(self, now_s: float) -> ProbePace:
        is_settled = now_s - self._started_at_s >= self._rules.far_grace_s
        snapshot = self._directory.snapshot()
        return probe_pace(snapshot, self._zone, self._rules, now_s, is_settled)

    def _hasten(self, models: frozenset[ModelName], now_s: float) -> None:
        """Ask engines of other zones soon that have become needed."""
        pace = self._pace
        if pace is None or not models:
            return
        engines = self._directory.snapshot().engines
        for key in sorted(self._ports.keys() - self._asking.keys()):
            facts = engines.get(key[0])
            if facts is None or pace.is_near(facts) or facts.engine.model not in models:
                continue
            due_at_s = now_s + self._random.random() * pace.needed_s
            if due_at_s < self._due_at_s.get(key, math.inf):
                self._wait_until(key, due_at_s)


async def poll_machines(
    directory: ProbedDirectory, machines: MachineListPort, rules: ProbeRules, random: Random
) -> None:
    """Read the machine list at intervals; a failed read changes nothing."""
    while True:
        with anyio.move_on_after(rules.machines_timeout_s):
            answer = await machines.machines()
            if isinstance(answer, Ok):
                directory.post(MachinesListed(answer.ok_value))
        await anyio.sleep(_jittered(rules.machines_interval_s, rules, random))


async def _probe(
    directory: ProbedDirectory, engine: EngineName, port: EnginePort, rules: ProbeRules
) -> None:
    asked_at_s = anyio.current_time()
    with anyio.move_on_after(rules.load_timeout_s) as deadline:
        answer = await port.load()
        if isinstance(answer, Ok):
            directory.post(ReportArrived(answer.ok_value, asked_at_s, is_own_probe=True))
        else:
            directory.post(ProbeFailed(engine, answer.err_value.detail))
    if deadline.cancelled_caught:
        directory.post(ProbeFailed(engine, f"no answer within {rules.load_timeout_s} s"))


def _jittered(interval_s: float, rules: ProbeRules, random: Random) -> float:
    return interval_s * (1.0 + rules.jitter * (2.0 * random.random() - 1.0))
