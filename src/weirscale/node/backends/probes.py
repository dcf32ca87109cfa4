"""Loops that ask engines and the machine list how things are."""

import heapq
import math
from collections.abc import Mapping
from random import Random
from typing import Protocol

import anyio
import msgspec
from result import Ok

from weirscale.domain.identifiers import EngineName
from weirscale.node.backends.facts import SnapshotSource
from weirscale.node.backends.observations import (
    MachinesListed,
    Observation,
    ProbeFailed,
    ReportArrived,
)
from weirscale.ports.engine import EnginePort
from weirscale.ports.machines import MachineListPort

ProbeKey = tuple[EngineName, str]
"""An engine at an address."""

COUNT_INTERVAL_S = 1.0
"""How often the engines to ask are counted anew; the count takes a tenth of a millisecond."""


class ProbeRules(msgspec.Struct, frozen=True):
    """How often to ask.

    Attributes:
        polls_engines: Whether this node asks engines itself at all.
        load_interval_s: Time between two load reports of one engine.
        max_probes_per_s: Probes of this node over all engines; with more engines than it allows,
            each is asked less often. Engines whose home nodes report for them do not count.
        first_probes_per_s: Engines asked a second after the start, to learn of them quickly.
        load_timeout_s: Longest wait for one.
        home_report_s: An engine whose home node passed on a report younger than this is not asked;
            a few times the interval of such reports.
        machines_interval_s: Time between two reads of the machine list; with the read itself it
            stays below the 2 s in which a leaving back end must stop getting work.
        machines_timeout_s: Longest read of the list.
        jitter: Share by which each interval is lengthened or shortened at random.
    """

    polls_engines: bool = True
    load_interval_s: float = 1.0
    max_probes_per_s: float = 10.0
    first_probes_per_s: float = 200.0
    load_timeout_s: float = 1.0
    home_report_s: float = 3.0
    machines_interval_s: float = 1.0
    machines_timeout_s: float = 5.0
    jitter: float = 0.2


class ProbedDirectory(SnapshotSource, Protocol):
    """What the loops need of the directory."""

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
    """

    def __init__(self, directory: ProbedDirectory, rules: ProbeRules, random: Random) -> None:
        self._directory = directory
        self._rules = rules
        self._random = random
        self._ports: dict[ProbeKey, EnginePort] = {}
        self._due: list[tuple[float, ProbeKey]] = []
        self._due_at_s: dict[ProbeKey, float] = {}
        self._asking: dict[ProbeKey, anyio.CancelScope] = {}
        self._changed = anyio.Event()
        self._interval_s = rules.load_interval_s
        self._interval_until_s = -math.inf

    def follow(self, ports: Mapping[ProbeKey, EnginePort]) -> None:
        """Ask these engines from now on, and no others."""
        now_s = anyio.current_time()
        for key in self._ports.keys() - ports.keys():
            self._due_at_s.pop(key, None)
            scope = self._asking.pop(key, None)
            if scope is not None:
                scope.cancel()
        for key in sorted(ports.keys() - self._ports.keys()):
            first_s = self._random.random() * len(ports) / self._rules.first_probes_per_s
            self._wait_until(key, now_s + first_s)
        self._ports = dict(ports)
        self._changed.set()

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._changed = anyio.Event()
                for key in self._take_due(anyio.current_time()):
                    tasks.start_soon(self._ask, key)
                next_s = self._due[0][0] if self._due else math.inf
                with anyio.move_on_at(next_s):
                    await self._changed.wait()

    def _take_due(self, now_s: float) -> list[ProbeKey]:
        """Take the engines whose time has come; those that a home reports for wait again."""
        taken: list[ProbeKey] = []
        while self._due and self._due[0][0] <= now_s:
            due_at_s, key = heapq.heappop(self._due)
            if self._due_at_s.get(key) != due_at_s:
                # Of an engine that was dropped, and perhaps declared again since.
                continue
            if _has_home_report(self._directory, key[0], self._rules):
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
            self._changed.set()

    def _wait_again(self, key: ProbeKey, now_s: float) -> None:
        interval_s = _jittered(self._interval(now_s), self._rules, self._random)
        self._wait_until(key, now_s + interval_s)

    def _wait_until(self, key: ProbeKey, due_at_s: float) -> None:
        self._due_at_s[key] = due_at_s
        heapq.heappush(self._due, (due_at_s, key))

    def _interval(self, now_s: float) -> float:
        """Return the time between two probes of an engine; engines are counted once a second."""
        if now_s >= self._interval_until_s:
            self._interval_s = _interval_s(self._directory, self._rules)
            self._interval_until_s = now_s + COUNT_INTERVAL_S
        return self._interval_s


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


def _interval_s(directory: SnapshotSource, rules: ProbeRules) -> float:
    """Return the time between two probes of an engine, longer when this node asks many."""
    latest_s = anyio.current_time() - rules.home_report_s
    num_asked = sum(
        facts.home_reported_at_s <= latest_s for facts in directory.snapshot().engines.values()
    )
    return max(rules.load_interval_s, num_asked / rules.max_probes_per_s)


def _has_home_report(directory: SnapshotSource, engine: EngineName, rules: ProbeRules) -> bool:
    """Whether the engine's home node reports for it, so that this node need not ask."""
    facts = directory.snapshot().engines.get(engine)
    if facts is None:
        return False
    return anyio.current_time() - facts.home_reported_at_s < rules.home_report_s


def _jittered(interval_s: float, rules: ProbeRules, random: Random) -> float:
    return interval_s * (1.0 + rules.jitter * (2.0 * random.random() - 1.0))
