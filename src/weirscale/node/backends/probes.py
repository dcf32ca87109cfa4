"""Loops that ask engines and the machine list how things are."""

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


async def poll_engine(
    directory: ProbedDirectory,
    engine: EngineName,
    port: EnginePort,
    scope: anyio.CancelScope,
    rules: ProbeRules,
    random: Random,
) -> None:
    """Ask one engine for its load, at once and then at intervals, until the scope is cancelled."""
    with scope:
        num_engines = len(directory.snapshot().engines)
        await anyio.sleep(random.random() * num_engines / rules.first_probes_per_s)
        while True:
            if not _has_home_report(directory, engine, rules):
                await _probe(directory, engine, port, rules)
            await anyio.sleep(_jittered(_interval_s(directory, rules), rules, random))


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
