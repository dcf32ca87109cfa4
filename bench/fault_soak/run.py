"""Runs a soak test: starts processes, injects faults, stops the nodes and judges the history."""

import logging
import os
from pathlib import Path
from random import Random

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from bench.fault_soak.back_ends import BackEndFleet
from bench.fault_soak.callers import Caller, CallerClient, Pressure, hold_connections
from bench.fault_soak.evidence import Bounds
from bench.fault_soak.fault_injector import FaultInjector
from bench.fault_soak.history import (
    AnyRecord,
    FaultsEnded,
    NodeErrors,
    NodeName,
    RequestEnded,
    RequestSent,
    write_history,
)
from bench.fault_soak.nodes import ROOT, SoakNode
from bench.fault_soak.operator import MarkerCaller, Operator
from bench.fault_soak.processes import ProcessSet
from bench.fault_soak.recorder import Recorder
from bench.fault_soak.rules import judge
from bench.fault_soak.schedule import Fault, draw_schedule
from bench.fault_soak.traces import internal_errors
from bench.fault_soak.violations import Violation
from features.support.platform_words import (
    CONFIGURATION_BOUND_S,
    CONTACT_S,
    KEY_REMOVAL_S,
    STOP_TIME_S,
    WEIGHTS_BOUND_S,
)

HISTORY_FILE = "history.jsonl"
SCHEDULE_FILE = "schedule.json"
VIOLATIONS_FILE = "violations.json"

BOUNDS = Bounds(
    contact_s=CONTACT_S,
    stop_s=STOP_TIME_S,
    configuration_s=CONFIGURATION_BOUND_S,
    key_removal_s=KEY_REMOVAL_S,
    weights_s=WEIGHTS_BOUND_S,
)

CALLERS_PER_NODE = 3
MAX_CALLERS = 18
NUM_ORDERING = 3
NUM_GENERATING = 4
ZONES = ("hall-a", "hall-b")
RECOVERY_TIMEOUT_S = 40.0
"""Longest wait after the last fault until each node serves again."""

SETTLE_S = 4.0
POLL_S = 0.2
HTTP_OK = 200
STOP_NODES_TIMEOUT_S = 30.0
"""Longest wait at the end for the nodes to stop."""


class SoakSettings(msgspec.Struct, frozen=True):
    """Settings of a soak test.

    Attributes:
        seed: Determines faults and requests, but not the order of events, which depends on the
            machine.
        duration_s: How long new faults are injected.
        num_nodes: Number of node processes.
        mean_interval_s: Mean time between the beginnings of two faults.
        other_checkout: Checkout of another release, or None to run only this build. Every second
            node starts with the other release, and each restart of a node switches the release: a
            rolling restart in both directions.
    """

    seed: int
    duration_s: float
    num_nodes: int
    mean_interval_s: float
    other_checkout: str | None = None

    def checkouts(self, number: int) -> tuple[Path, ...]:
        """Return the checkouts that the starts of a node use in turn, by the node's number."""
        if self.other_checkout is None:
            return (ROOT,)
        both = (ROOT, Path(self.other_checkout))
        return both if number % 2 == 0 else both[::-1]


class SoakOutcome(msgspec.Struct, frozen=True):
    """History of a soak test, and its violations."""

    records: list[AnyRecord]
    violations: list[Violation]


class Soak:
    """A soak test.

    Args:
        settings: Its settings.
        directory: Existing directory for logs, settings files and the history.

    Attributes:
        processes: All processes that were started; none runs after `run` has returned.
    """

    def __init__(self, settings: SoakSettings, directory: Path) -> None:
        self._settings = settings
        self._directory = directory
        self._recorder = Recorder()
        self._random = Random(settings.seed)
        self.processes = ProcessSet(directory)
        self._network = _choose_network()
        self._nodes: list[SoakNode] = []
        self._pressure = Pressure()

    async def run(self) -> SoakOutcome:
        """Run the soak test, write its history, and judge it."""
        settings = self._settings
        logging.getLogger("httpx").setLevel(logging.WARNING)  # no log line for each request
        schedule = draw_schedule(settings.seed, settings.duration_s, settings.mean_interval_s)
        (self._directory / SCHEDULE_FILE).write_bytes(msgspec.json.encode(schedule))
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._recorder.watch_delays)
                await self._run_phases(schedule, tasks)
                tasks.cancel_scope.cancel()
        finally:
            self.processes.stop_all()
            self._record_errors()
            write_history(self._directory / HISTORY_FILE, self._recorder.records)
        violations = judge(self._recorder.records, BOUNDS)
        (self._directory / VIOLATIONS_FILE).write_bytes(
            msgspec.json.format(msgspec.json.encode(violations))
        )
        return SoakOutcome(self._recorder.records, violations)

    async def _run_phases(self, schedule: list[Fault], tasks: TaskGroup) -> None:
        store_host = f"{self._network}.1"
        back_ends = BackEndFleet(self._recorder, tasks, store_host)
        operator = Operator(back_ends.store, self._recorder, self._random)
        operator.configure()
        operator.name_weights()
        hosts = [
            f"{self._network}.{10 + number}" for number in range(NUM_ORDERING + NUM_GENERATING)
        ]
        back_ends.start(hosts, NUM_ORDERING, self._random)
        async with httpx.AsyncClient(trust_env=False) as prober, anyio.create_task_group() as nodes:
            self._start_nodes(store_host, prober, nodes)
            stop = anyio.Event()
            async with anyio.create_task_group() as callers:
                self._start_callers(operator, callers, stop)
                await self._inject_faults(
                    schedule,
                    FaultInjector(self._nodes, back_ends, operator, self._recorder, self._pressure),
                )
                self._recorder.record(FaultsEnded(at_s=self._recorder.now_s()))
                await self._wait_for_recovery()
                # Callers keep sending while the nodes stop, until the processes have ended.
                with anyio.move_on_after(STOP_NODES_TIMEOUT_S):
                    await self._stop_nodes()
                stop.set()
            nodes.cancel_scope.cancel()

    def _start_nodes(self, store_host: str, prober: httpx.AsyncClient, tasks: TaskGroup) -> None:
        for number in range(self._settings.num_nodes):
            node = SoakNode(
                NodeName(f"node-{number + 1}"),
                f"{self._network}.{100 + number}",
                ZONES[number % len(ZONES)],
                store_host,
                self._directory,
                self._settings.checkouts(number),
                self.processes,
                self._recorder,
            )
            self._nodes.append(node)
            tasks.start_soon(node.run, tasks, prober)

    def _start_callers(self, operator: Operator, tasks: TaskGroup, stop: anyio.Event) -> None:
        hosts = {node.name: node.host for node in self._nodes}
        num_callers = min(MAX_CALLERS, CALLERS_PER_NODE * len(self._nodes))
        for number in range(num_callers):
            caller = Caller(
                f"c{number}",
                CallerClient(self._recorder, hosts),
                Random(self._random.getrandbits(32)),
                self._ready_nodes,
                operator.newest_keys,
                self._pressure,
            )
            tasks.start_soon(caller.run, stop)
        marker_caller = MarkerCaller(
            "m",
            operator,
            CallerClient(self._recorder, hosts),
            Random(self._random.getrandbits(32)),
            list(hosts),
            self._ready_nodes,
        )
        tasks.start_soon(marker_caller.run, stop)
        tasks.start_soon(hold_connections, list(hosts.values()), stop)

    def _ready_nodes(self) -> list[NodeName]:
        return [node.name for node in self._nodes if node.is_ready]

    async def _inject_faults(self, schedule: list[Fault], injector: FaultInjector) -> None:
        began_s = self._recorder.now_s()
        async with anyio.create_task_group() as tasks:
            for fault in schedule:
                await anyio.sleep(max(0.0, began_s + fault.at_s - self._recorder.now_s()))
                tasks.start_soon(injector.inject, fault)
            await anyio.sleep(
                max(0.0, began_s + self._settings.duration_s - self._recorder.now_s())
            )

    async def _wait_for_recovery(self) -> None:
        """Wait until every node has served a request, for RECOVERY_TIMEOUT_S at most."""
        first = len(self._recorder.records)
        await anyio.sleep(SETTLE_S)
        with anyio.move_on_after(RECOVERY_TIMEOUT_S):
            while True:
                if len(self._served_since(first)) == len(self._nodes):
                    return
                await anyio.sleep(POLL_S)

    def _served_since(self, first: int) -> set[NodeName]:
        """Return the nodes that served a request which was sent after the first `first` records."""
        records = self._recorder.records[first:]
        sent = {
            record.request: record.node for record in records if isinstance(record, RequestSent)
        }
        return {
            sent[record.request]
            for record in records
            if isinstance(record, RequestEnded)
            and record.status == HTTP_OK
            and record.request in sent
        }

    async def _stop_nodes(self) -> None:
        async with anyio.create_task_group() as tasks:
            for node in self._nodes:
                tasks.start_soon(node.stop_for_good)

    def _record_errors(self) -> None:
        for process in self.processes.started:
            text = process.log_file.read_text(errors="replace")
            for error in internal_errors(text.splitlines()):
                self._recorder.record(
                    NodeErrors(
                        at_s=self._recorder.now_s(),
                        node=NodeName(process.name),
                        error=f"{error} in {process.log_file.name}",
                    )
                )


def _choose_network() -> str:
    """Return the first three numbers of loopback addresses that no other soak test uses now."""
    pid = os.getpid()
    return f"127.{100 + pid // 256 % 100}.{pid % 256}"
