"""Puts failures into effect on a fleet of real processes."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from bench.real_fleet.experiment import RealFault, RealFaultKind
from bench.real_fleet.fleet import RealFleet
from bench.real_fleet.layout import Layout, StandInPlace
from bench.real_fleet.operator_commands import OperatorCommands
from weirscale.cli.configuration import ExitCode
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import NodeName, WeightVersion, ZoneName
from weirscale.experiments.faults.injector import (
    CROSSED_ENGINE_FAULTS,
    CROSSED_SERVICE_FAULTS,
    EVENT_LOSS,
    LOST_ANSWER_SHARE,
    RESTART_S,
    SLOW_STORE_S,
    TAKEN_AWAY_S,
)
from weirscale.experiments.history.history import Violation
from weirscale.experiments.history.records import BackendChange, BackendChanged, StoreChanged
from weirscale.experiments.run.recorder import Recorder
from weirscale.ports.machines import Machine
from weirscale.standins.faults import EngineFaults, Faults, ServiceFaults
from weirscale.standins.key_value.server import KeyValueFaults

ADMIN_TIMEOUT_S = 10.0
STORE_REQUESTS_PER_S = 2.0
OUTAGE_BEFORE_HERD_S = 1.0
ONE_RACING_OPERATOR = "one_of_racing_operators"
EVERY_KEY = msgspec.json.encode({"key": b"\x00", "range_end": b"\xff"})
"""Body of a read of all keys, which the gateway takes in base64."""
COMMANDED_STOP_SHARE = 0.5
"""Share of planned stops that the command `drain` begins; SIGTERM begins the others."""
RACE_WEIGHTS = (1.25, 1.75)


class Injector:
    """Carries out failures; all chance comes from the generator handed in.

    Attributes:
        violations: What operators' commands answered wrongly.
    """

    def __init__(
        self,
        layout: Layout,
        fleet: RealFleet,
        operator: OperatorCommands,
        recorder: Recorder,
        client: httpx.AsyncClient,
        random: Random,
    ) -> None:
        self.violations: list[Violation] = []
        self._layout = layout
        self._fleet = fleet
        self._operator = operator
        self._recorder = recorder
        self._client = client
        self._random = random
        self._actions: dict[RealFaultKind, Callable[[RealFault], Awaitable[None]]] = {
            RealFaultKind.NODE_KILL: self._node_kill,
            RealFaultKind.NODE_PAUSE: self._node_pause,
            RealFaultKind.PLANNED_STOP: self._planned_stop,
            RealFaultKind.HERD_ZONE: self._herd_zone,
            RealFaultKind.HERD_STORE_DOWN: self._herd_store_down,
            RealFaultKind.HERD_ALL_STORE_DOWN: self._herd_all_store_down,
            RealFaultKind.ENGINE_CRASH: self._engine_crash,
            RealFaultKind.LEAVING_BACKEND: self._leaving_backend,
            RealFaultKind.EVENT_LOSS: self._event_loss,
            RealFaultKind.CROSSED_ANSWERS: self._crossed_answers,
            RealFaultKind.STORE_DOWN: self._store_down,
            RealFaultKind.STORE_SLOW: self._store_slow,
            RealFaultKind.STORE_LOST_ANSWERS: self._store_lost_answers,
            RealFaultKind.STORE_RATE_LIMIT: self._store_rate_limit,
            RealFaultKind.RACING_OPERATORS: self._racing_operators,
            RealFaultKind.WEIGHT_ROLLOUT: self._weight_rollout,
        }

    def start(self, tasks: TaskGroup, faults: tuple[RealFault, ...]) -> None:
        """Start a task for each failure; the timeline begins now."""
        now_s = self._recorder.now()
        for fault in faults:
            tasks.start_soon(self._inject, fault, now_s + fault.at_s)

    async def list_machines(self) -> None:
        """Put every back end on the machine list."""
        for place in (*self._layout.engines, *self._layout.services):
            await self._list_machine(place, is_leaving=False)

    async def _inject(self, fault: RealFault, at_s: float) -> None:
        await anyio.sleep_until(at_s)
        await self._actions[fault.kind](fault)

    async def _node_kill(self, fault: RealFault) -> None:
        await self._fleet.restart(self._node(fault), RESTART_S)

    async def _node_pause(self, fault: RealFault) -> None:
        name = fault.target or await self._lease_holder() or self._node(fault)
        await self._fleet.pause(NodeName(name), fault.lasts_s)

    async def _lease_holder(self) -> NodeName | None:
        """Return a node whose name stands in a leased key of the store."""
        url = f"http://{self._layout.key_value.address}/v3/kv/range"
        response = await self._client.post(url, content=EVERY_KEY, timeout=ADMIN_TIMEOUT_S)
        if response.is_error:
            return None
        names = [place.name for place in self._layout.nodes]
        holders = lease_holders(response.content, names)
        return self._random.choice(holders) if holders else None

    async def _planned_stop(self, fault: RealFault) -> None:
        name = self._node(fault)
        by_command = self._random.random() < COMMANDED_STOP_SHARE
        await self._fleet.stop_planned(name, by_command)
        await anyio.sleep(RESTART_S)
        if not self._fleet.is_running(name):
            self._fleet.start(name)

    async def _herd_zone(self, fault: RealFault) -> None:
        await self._restart_all(self._fleet.names_in(self._zone(fault)))

    async def _herd_store_down(self, fault: RealFault) -> None:
        spared = self._zone(fault)
        struck = [place.name for place in self._layout.nodes if place.zone != spared]
        await self._herd_in_outage(struck, fault.lasts_s)

    async def _herd_all_store_down(self, fault: RealFault) -> None:
        await self._herd_in_outage([place.name for place in self._layout.nodes], fault.lasts_s)

    async def _herd_in_outage(self, names: list[NodeName], lasts_s: float) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._outage, OUTAGE_BEFORE_HERD_S + lasts_s)
            await anyio.sleep(OUTAGE_BEFORE_HERD_S)
            await self._restart_all(names)

    async def _restart_all(self, names: list[NodeName]) -> None:
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(self._fleet.restart, name, RESTART_S)

    async def _engine_crash(self, fault: RealFault) -> None:
        await self._crash(self._engine(fault))

    async def _crash(self, engine: StandInPlace) -> None:
        await self._post(f"http://{engine.admin_address}/actions/crash", b"")
        self._note_backend(engine, BackendChange.CRASHED)

    async def _leaving_backend(self, fault: RealFault) -> None:
        engine = self._engine(fault)
        service = self._random.choice(self._layout.services)
        for place in (engine, service):
            await self._list_machine(place, is_leaving=True)
            self._note_backend(place, BackendChange.LEAVING)
        await anyio.sleep(fault.lasts_s)
        await self._crash(engine)
        await self._set_faults(engine, EngineFaults(refuse_connections=True))
        await self._set_faults(service, ServiceFaults(refuse_connections=True))
        await anyio.sleep(TAKEN_AWAY_S)
        await self._set_faults(engine, EngineFaults())
        await self._set_faults(service, ServiceFaults())
        for place in (engine, service):
            await self._list_machine(place, is_leaving=False)
            self._note_backend(place, BackendChange.RETURNED)

    async def _event_loss(self, fault: RealFault) -> None:
        for engine in self._layout.engines:
            await self._set_faults(engine, EVENT_LOSS)
        await anyio.sleep(fault.lasts_s)
        for engine in self._layout.engines:
            await self._set_faults(engine, EngineFaults())

    async def _crossed_answers(self, fault: RealFault) -> None:
        engines = self._layout.engines
        struck = self._random.sample(engines, k=max(1, len(engines) // 2))
        service = self._layout.services[0]
        for engine in struck:
            await self._set_faults(engine, self._random.choice(CROSSED_ENGINE_FAULTS))
        await self._set_faults(service, self._random.choice(CROSSED_SERVICE_FAULTS))
        await anyio.sleep(fault.lasts_s)
        for engine in struck:
            await self._set_faults(engine, EngineFaults())
        await self._set_faults(service, ServiceFaults())

    async def _store_down(self, fault: RealFault) -> None:
        await self._outage(fault.lasts_s)

    async def _outage(self, lasts_s: float) -> None:
        await self._set_store_faults(KeyValueFaults(is_down=True))
        self._recorder.add(StoreChanged(at_s=self._recorder.now(), is_up=False))
        await anyio.sleep(lasts_s)
        await self._set_store_faults(KeyValueFaults())
        self._recorder.add(StoreChanged(at_s=self._recorder.now(), is_up=True))

    async def _store_slow(self, fault: RealFault) -> None:
        await self._store_trouble(KeyValueFaults(delay_s=SLOW_STORE_S), fault.lasts_s)

    async def _store_lost_answers(self, fault: RealFault) -> None:
        faults = KeyValueFaults(lost_answer_probability=LOST_ANSWER_SHARE)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._store_trouble, faults, fault.lasts_s)
            weight = RACE_WEIGHTS[0]
            await self._operator.apply(_with_first_weight(self._operator.deployment, weight))

    async def _store_rate_limit(self, fault: RealFault) -> None:
        faults = KeyValueFaults(requests_per_s=STORE_REQUESTS_PER_S)
        await self._store_trouble(faults, fault.lasts_s)

    async def _store_trouble(self, faults: KeyValueFaults, lasts_s: float) -> None:
        await self._set_store_faults(faults)
        await anyio.sleep(lasts_s)
        await self._set_store_faults(KeyValueFaults())

    async def _racing_operators(self, fault: RealFault) -> None:
        accepted: list[tuple[Deployment, int]] = []
        refused: list[int] = []

        async def apply(weight: float) -> None:
            deployment = _with_first_weight(self._operator.deployment, weight)
            result = await self._operator.apply_once(deployment)
            if result.revision is not None:
                accepted.append((deployment, result.revision))
            else:
                refused.append(result.code)

        async with anyio.create_task_group() as tasks:
            for weight in RACE_WEIGHTS:
                tasks.start_soon(apply, weight)
        if len(accepted) != 1 or refused != [ExitCode.REFUSED]:
            revisions = [revision for _, revision in accepted]
            detail = f"accepted at {revisions}, others ended with {refused}"
            self.violations.append(Violation(ONE_RACING_OPERATOR, (), detail))
        if accepted:
            self._operator.adopt(*max(accepted, key=lambda one: one[1]))

    async def _weight_rollout(self, fault: RealFault) -> None:
        deployment = self._operator.deployment
        first, *others = deployment.models
        version = WeightVersion(f"{first.weight_version}-next")
        changed = msgspec.structs.replace(first, weight_version=version)
        models = (changed, *others)
        await self._operator.apply(msgspec.structs.replace(deployment, models=models))

    async def _list_machine(self, place: StandInPlace, is_leaving: bool) -> None:
        machine = Machine(host=place.address, is_leaving=is_leaving)
        url = f"http://{self._layout.machines.address}/stand-in/machines"
        await self._post(url, msgspec.json.encode(machine))

    def _note_backend(self, place: StandInPlace, change: BackendChange) -> None:
        self._recorder.add(
            BackendChanged(at_s=self._recorder.now(), backend=place.name, change=change)
        )

    async def _set_faults(self, place: StandInPlace, faults: Faults) -> None:
        url = f"http://{place.admin_address}/faults"
        body = msgspec.json.encode(faults)
        response = await self._client.put(url, content=body, timeout=ADMIN_TIMEOUT_S)
        response.raise_for_status()

    async def _set_store_faults(self, faults: KeyValueFaults) -> None:
        url = f"http://{self._layout.key_value.address}/stand-in/faults"
        await self._post(url, msgspec.json.encode(faults))

    async def _post(self, url: str, body: bytes) -> None:
        response = await self._client.post(url, content=body, timeout=ADMIN_TIMEOUT_S)
        response.raise_for_status()

    def _node(self, fault: RealFault) -> NodeName:
        names = [place.name for place in self._layout.nodes]
        return NodeName(fault.target or self._random.choice(names))

    def _zone(self, fault: RealFault) -> ZoneName:
        return ZoneName(fault.target or self._random.choice(self._layout.zones))

    def _engine(self, fault: RealFault) -> StandInPlace:
        named = [place for place in self._layout.engines if place.name == fault.target]
        return named[0] if named else self._random.choice(self._layout.engines)


class _StoredKey(msgspec.Struct, frozen=True):
    """One key of the store's answer; its value is base64, and `lease` is "0" without one."""

    value: bytes
    lease: str = "0"


class _StoredKeys(msgspec.Struct, frozen=True):
    kvs: tuple[_StoredKey, ...] = ()


def lease_holders(answer: bytes, names: Sequence[NodeName]) -> list[NodeName]:
    """Return the nodes whose names stand in leased keys of the store's answer."""
    stored = msgspec.json.decode(answer, type=_StoredKeys).kvs
    held = [one.value for one in stored if one.lease != "0"]
    return [name for name in names if any(name.encode() in value for value in held)]


def _with_first_weight(deployment: Deployment, weight: float) -> Deployment:
    first, *others = deployment.tenants
    changed = msgspec.structs.replace(first, weight=weight)
    return msgspec.structs.replace(deployment, tenants=(changed, *others))
