"""Loops that probe engines for their load and read the machine list."""

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
"""An engine and its address."""

DUE_CHECK_INTERVAL_S = 0.1
"""Time between two checks for due probes; a probe is late by at most this time."""

PACE_INTERVAL_S = 1.0
"""Time between two computations of the probe intervals; one takes a tenth of a millisecond."""


class ProbedDirectory(Protocol):
    """Interface of the directory that the loops use."""

    def snapshot(self) -> DirectorySnapshot:
        """Return the latest snapshot, which is immutable."""
        ...

    def post(self, observation: Observation) -> None:
        """Queue an observation."""
        ...


class EngineProbes:
    """Probes every declared engine for its load, soon after its declaration and then at intervals.

    A single task schedules the probes of all engines: one sleeping task for each engine would cost
    a node several megabytes at the design size.

    Args:
        directory: Provides the engines' state and receives the results of probes.
        rules: Rates and intervals.
        random: For jitter.
        zone: This node's own zone, None to probe all engines alike.
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
        self._in_flight: dict[ProbeKey, anyio.CancelScope] = {}
        self._zone = zone
        self._started_at_s = math.inf
        self._pace: ProbePace | None = None
        self._pace_expires_at_s = -math.inf

    def set_engines(self, ports: Mapping[ProbeKey, EnginePort]) -> None:
        """Set the engines to probe; probes of all other engines stop."""
        now_s = anyio.current_time()
        for key in self._ports.keys() - ports.keys():
            self._due_at_s.pop(key, None)
            scope = self._in_flight.pop(key, None)
            if scope is not None:
                scope.cancel()
        self._started_at_s = min(self._started_at_s, now_s)
        self._pace = self._compute_pace(now_s)
        engines = self._directory.snapshot().engines
        for key in sorted(ports.keys() - self._ports.keys()):
            max_delay_s = self._pace.interval_s(engines[key[0]])
            if self._pace.is_local(engines[key[0]]):
                max_delay_s = self._pace.num_local / self._rules.first_probes_per_s
            self._schedule(key, now_s + self._random.random() * max_delay_s)
        self._ports = dict(ports)

    async def run(self) -> None:
        """Probe engines until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for key in self._take_due(anyio.current_time()):
                    tasks.start_soon(self._probe_engine, key)
                # A plain sleep: an expiring deadline costs several times as much, and with 100
                # engines in the zone, a probe is due every few milliseconds.
                await anyio.sleep(DUE_CHECK_INTERVAL_S)

    def _take_due(self, now_s: float) -> list[ProbeKey]:
        """Remove and return the engines due for a probe; reschedule those with home reports."""
        due_keys: list[ProbeKey] = []
        while self._due and self._due[0][0] <= now_s:
            due_at_s, key = heapq.heappop(self._due)
            if self._due_at_s.get(key) != due_at_s:
                # Outdated entry: the engine was removed, declared again or rescheduled.
                continue
            facts = self._directory.snapshot().engines.get(key[0])
            if facts is not None and has_home_report(facts, self._rules, now_s):
                self._reschedule(key, now_s)
            else:
                due_keys.append(key)
        return due_keys

    async def _probe_engine(self, key: ProbeKey) -> None:
        port = self._ports.get(key)
        if port is None:
            return
        with anyio.CancelScope() as scope:
            self._in_flight[key] = scope
            await _probe(self._directory, key[0], port, self._rules)
        if self._in_flight.get(key) is scope:
            del self._in_flight[key]
            self._reschedule(key, anyio.current_time())

    def _reschedule(self, key: ProbeKey, now_s: float) -> None:
        facts = self._directory.snapshot().engines.get(key[0])
        if facts is not None:
            interval_s = self._pace_at(now_s).interval_s(facts)
            self._schedule(key, now_s + _jittered(interval_s, self._rules, self._random))

    def _schedule(self, key: ProbeKey, due_at_s: float) -> None:
        self._due_at_s[key] = due_at_s
        heapq.heappush(self._due, (due_at_s, key))

    def _pace_at(self, now_s: float) -> ProbePace:
        """Return the probe intervals, computed again every `PACE_INTERVAL_S`."""
        if self._pace is None or now_s >= self._pace_expires_at_s:
            previous = self._pace
            self._pace = self._compute_pace(now_s)
            self._pace_expires_at_s = now_s + PACE_INTERVAL_S
            if previous is not None:
                self._advance_probes(self._pace.needed_models - previous.needed_models, now_s)
        return self._pace

    def _compute_pace(self, now_s: float) -> ProbePace:
        is_settled = now_s - self._started_at_s >= self._rules.remote_grace_s
        snapshot = self._directory.snapshot()
        return probe_pace(snapshot, self._zone, self._rules, now_s, is_settled)

    def _advance_probes(self, models: frozenset[ModelName], now_s: float) -> None:
        """Reschedule probes of engines of other zones whose models have become needed."""
        pace = self._pace
        if pace is None or not models:
            return
        engines = self._directory.snapshot().engines
        for key in sorted(self._ports.keys() - self._in_flight.keys()):
            facts = engines.get(key[0])
            if facts is None or pace.is_local(facts) or facts.engine.model not in models:
                continue
            due_at_s = now_s + self._random.random() * pace.needed_interval_s
            if due_at_s < self._due_at_s.get(key, math.inf):
                self._schedule(key, due_at_s)


async def poll_machines(
    directory: ProbedDirectory, machines: MachineListPort, rules: ProbeRules, random: Random
) -> None:
    """Read the machine list at intervals; a failed read is ignored."""
    while True:
        with anyio.move_on_after(rules.machines_timeout_s):
            answer = await machines.machines()
            if isinstance(answer, Ok):
                directory.post(MachinesListed(answer.ok_value))
        await anyio.sleep(_jittered(rules.machines_interval_s, rules, random))


async def _probe(
    directory: ProbedDirectory, engine: EngineName, port: EnginePort, rules: ProbeRules
) -> None:
    sent_at_s = anyio.current_time()
    with anyio.move_on_after(rules.load_timeout_s) as deadline:
        answer = await port.load()
        if isinstance(answer, Ok):
            directory.post(ReportArrived(answer.ok_value, sent_at_s, is_own_probe=True))
        else:
            directory.post(ProbeFailed(engine, answer.err_value.detail))
    if deadline.cancelled_caught:
        directory.post(ProbeFailed(engine, f"no answer within {rules.load_timeout_s} s"))


def _jittered(interval_s: float, rules: ProbeRules, random: Random) -> float:
    return interval_s * (1.0 + rules.jitter * (2.0 * random.random() - 1.0))
