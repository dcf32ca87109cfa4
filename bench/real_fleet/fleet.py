"""The nodes of a run as processes: starting, killing, pausing and stopping them, all on record."""

import signal
from pathlib import Path

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from bench.real_fleet.layout import LOOPBACK, Layout, NodePlace, address_of, node_settings
from bench.real_fleet.processes import ProcessSet, RunningProcess
from weirscale.domain.identifiers import NodeName, RequestId, ZoneName
from weirscale.experiments.history.history import Violation
from weirscale.experiments.history.records import NodeChange, NodeChanged
from weirscale.experiments.run.exchange import Connect, HttpRequest
from weirscale.experiments.run.http_exchange import HttpExchange
from weirscale.experiments.run.recorder import Recorder
from weirscale.experiments.run.requests import api_key

SERVES_AFTER_S = 1.0
"""After this callers try a node that does not listen yet: it should by then."""
PROBE_INTERVAL_S = 0.01
PROBE_TIMEOUT_S = 2.0
PROBING_GIVES_UP_S = 40.0
OK_STATUS = 200
DRAIN_WAIT_S = 30.0
PROCESS_STAYS_UP = "process_stays_up"
DRAIN_IS_CLEAN = "drain_is_clean"


class NodeStart(msgspec.Struct, frozen=True):
    """One start of a node.

    Attributes:
        node: The node.
        at_s: When its process was started.
        listening_after_s: From then to its first accepted connection, None if there was none.
        answering_after_s: From then to its first request answered by a back end, or None.
        is_restart: Whether it is not the first start.
    """

    node: NodeName
    at_s: float
    listening_after_s: float | None
    answering_after_s: float | None
    is_restart: bool


class _Member:
    """One node over all its runs."""

    def __init__(self, place: NodePlace, settings_file: Path) -> None:
        self.place = place
        self.settings_file = settings_file
        self.runs: list[RunningProcess] = []
        self.is_listening = False
        self.is_draining = False
        self.is_paused = False
        self.may_end = False

    @property
    def process(self) -> RunningProcess | None:
        """The present run."""
        return self.runs[-1] if self.runs else None

    def accepts(self, now_s: float) -> bool:
        """Whether callers try it: it listens, or should by now."""
        process = self.process
        if process is None or not process.is_running:
            return False
        return self.is_listening or now_s > process.started_at_s + SERVES_AFTER_S


class RealFleet:
    """Owns the node processes of a run.

    Attributes:
        starts: Every start that was probed.
        violations: What the processes themselves did wrong.
    """

    def __init__(
        self,
        layout: Layout,
        processes: ProcessSet,
        directory: Path,
        recorder: Recorder,
        client: httpx.AsyncClient,
        tasks: TaskGroup,
    ) -> None:
        self.starts: list[NodeStart] = []
        self.violations: list[Violation] = []
        self._layout = layout
        self._processes = processes
        self._recorder = recorder
        self._client = client
        self._tasks = tasks
        self._num_probes = 0
        self._members: dict[NodeName, _Member] = {}
        for place in layout.nodes:
            file = directory / f"{place.name}.yaml"
            file.write_bytes(msgspec.json.encode(node_settings(layout, place)))
            self._members[place.name] = _Member(place, file)

    def start(self, name: NodeName) -> None:
        """Start a node that is not running, and measure when it answers."""
        member = self._members[name]
        member.is_listening = False
        member.is_draining = False
        member.is_paused = False
        member.may_end = False
        process = self._processes.start(name, ["node", f"--settings={member.settings_file}"])
        member.runs.append(process)
        self._recorder.add(
            NodeChanged(at_s=process.started_at_s, node=name, change=NodeChange.STARTED)
        )
        self._tasks.start_soon(self._probe, member, process)
        self._tasks.start_soon(self._watch, member, process)

    def is_running(self, name: NodeName) -> bool:
        """Whether a node runs, paused or not."""
        process = self._members[name].process
        return process is not None and process.is_running

    def names_in(self, zone: ZoneName) -> list[NodeName]:
        """Return the nodes of a zone."""
        return [place.name for place in self._layout.nodes if place.zone == zone]

    async def kill(self, name: NodeName) -> None:
        """Kill a node; does nothing if it does not run."""
        member = self._members[name]
        process = member.process
        if process is None or not process.is_running:
            return
        member.may_end = True
        self._record(name, NodeChange.CRASHED)
        process.signal(signal.SIGKILL)
        await process.wait()

    async def restart(self, name: NodeName, down_s: float) -> None:
        """Kill a node and start it again after a time, at the same address."""
        await self.kill(name)
        await anyio.sleep(down_s)
        if not self.is_running(name):
            self.start(name)

    async def pause(self, name: NodeName, lasts_s: float) -> None:
        """Stop a node by SIGSTOP and let it go on after a time."""
        member = self._members[name]
        process = member.process
        if process is None or not process.is_running or member.is_paused:
            return
        member.is_paused = True
        self._record(name, NodeChange.PAUSED)
        process.signal(signal.SIGSTOP)
        try:
            await anyio.sleep(lasts_s)
        finally:
            process.signal(signal.SIGCONT)
        if member.process is process and process.is_running:
            member.is_paused = False
            self._record(name, NodeChange.RESUMED)

    async def stop_planned(self, name: NodeName, by_command: bool = False) -> None:
        """Drain a node, by SIGTERM or by the operators' command, and wait for its end."""
        member = self._members[name]
        process = member.process
        if process is None or not process.is_running or member.is_draining:
            return
        member.is_draining = True
        member.may_end = True
        self._record(name, NodeChange.DRAIN_BEGAN)
        if by_command:
            await self._command_drain(member.place)
        else:
            process.signal(signal.SIGTERM)
        with anyio.move_on_after(DRAIN_WAIT_S):
            await process.wait()
        code = process.exit_code
        if code is None:
            self._violate(
                DRAIN_IS_CLEAN, f"{name} still ran {DRAIN_WAIT_S} s after its drain began"
            )
            process.signal(signal.SIGKILL)
            await process.wait()
        elif code:
            self._violate(DRAIN_IS_CLEAN, f"{name} ended its planned stop with exit code {code}")
        self._record(name, NodeChange.STOPPED)

    async def _command_drain(self, place: NodePlace) -> None:
        address = address_of(place.operator_port)
        code, output = await self._processes.run("drain", ["drain", f"--node={address}"])
        if code:
            self._violate(DRAIN_IS_CLEAN, f"drain of {place.name} ended with {code}: {output}")

    async def stop_all(self) -> None:
        """Drain every node at the end of a run."""
        async with anyio.create_task_group() as tasks:
            for name in self._members:
                tasks.start_soon(self.stop_planned, name)

    def reach(self, zone: ZoneName, index: int) -> tuple[NodeName, Connect]:
        """Return the node that a caller near a zone connects to, and how.

        Callers know all nodes' addresses: they try those of their zone first, beginning at an
        index, then the others. Half of the callers learn at once that a node drains and try it
        last; the others go on sending to it until it does not accept.
        """
        near = [one for one in self._members.values() if one.place.zone == zone]
        far = [one for one in self._members.values() if one.place.zone != zone]
        start = index % len(near)
        ordered = near[start:] + near[:start] + far
        if index // len(near) % 2:
            ordered.sort(key=lambda one: one.is_draining)
        now_s = self._recorder.now()
        member = next((one for one in ordered if one.accepts(now_s)), ordered[0])
        address = address_of(member.place.caller_port)

        def connect(request: HttpRequest) -> HttpExchange:
            return HttpExchange(self._client, address, request)

        return member.place.name, connect

    def _record(self, name: NodeName, change: NodeChange) -> None:
        self._recorder.add(NodeChanged(at_s=self._recorder.now(), node=name, change=change))

    def _violate(self, rule: str, detail: str) -> None:
        self.violations.append(Violation(rule, (), detail))

    async def _watch(self, member: _Member, process: RunningProcess) -> None:
        """Notice a node that ends by itself."""
        code = await process.wait()
        if not member.may_end:
            self._violate(PROCESS_STAYS_UP, f"{member.place.name} ended by itself: {code}")
            self._record(member.place.name, NodeChange.CRASHED)

    async def _probe(self, member: _Member, process: RunningProcess) -> None:
        """Ask a started node until a back end's answer comes."""
        listening_after_s: float | None = None
        answering_after_s: float | None = None
        give_up_at_s = process.started_at_s + PROBING_GIVES_UP_S
        while process.is_running and self._recorder.now() < give_up_at_s:
            if listening_after_s is None and await is_listening(member.place.caller_port):
                listening_after_s = self._recorder.now() - process.started_at_s
                member.is_listening = True
            if listening_after_s is not None and await self._ask(member.place) == OK_STATUS:
                answering_after_s = self._recorder.now() - process.started_at_s
                break
            await anyio.sleep(PROBE_INTERVAL_S)
        self.starts.append(
            NodeStart(
                node=member.place.name,
                at_s=process.started_at_s,
                listening_after_s=listening_after_s,
                answering_after_s=answering_after_s,
                is_restart=len(member.runs) > 1,
            )
        )

    async def _ask(self, place: NodePlace) -> int | None:
        """Read once from a service; returns the status, None if no answer came."""
        self._num_probes += 1
        service = self._layout.deployment.services[0]
        tenant = self._layout.deployment.tenants[-1].name
        try:
            response = await self._client.get(
                f"http://{address_of(place.caller_port)}/services/{service.name}/probe",
                headers={
                    "authorization": f"Bearer {api_key(tenant)}",
                    "x-request-id": RequestId(f"probe-{self._num_probes}"),
                },
                timeout=PROBE_TIMEOUT_S,
            )
        except httpx.HTTPError:
            return None
        return response.status_code


async def is_listening(port: int) -> bool:
    """Whether a port of this run accepts connections."""
    try:
        stream = await anyio.connect_tcp(LOOPBACK, port)
    except OSError:
        return False
    await stream.aclose()
    return True
