"""Inject planned faults into a virtual fleet."""

from collections.abc import Awaitable, Callable
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.configuration.model import Deployment, Model, Tenant
from weirscale.domain.identifiers import BackendName, EngineName, NodeName, WeightVersion, ZoneName
from weirscale.experiments.faults.kinds import FaultKind, PlannedFault
from weirscale.experiments.faults.world import World
from weirscale.experiments.history.records import (
    BackendChange,
    BackendChanged,
    NodeChange,
    StoreChanged,
)
from weirscale.ports.machines import Machine
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.faults import EngineFaults, ServiceFaults

FIRST_KEY = b"\x00"
END_OF_KEYS = b"\xff"
EVENT_LOSS = EngineFaults(drop_event_probability=0.3, event_delay_s=2.0)
RESTART_S = 0.5
"""Time from the end of a node to its restart."""
WATCH_INTERVAL_S = 0.02
SLOW_STORE_S = 2.0
LOST_ANSWER_SHARE = 0.5
RACE_INTERVAL_S = 2.0
RACE_APPLY_DELAY_S = 0.2
MACHINE_ABSENCE_S = 5.0
"""Time for which a machine is unreachable after it has left."""
CROSSED_ENGINE_FAULTS = (
    EngineFaults(cross_chunk=1),
    EngineFaults(duplicate_chunk=2),
    EngineFaults(swap_chunk=1),
    EngineFaults(cut_before_chunk=2),
    EngineFaults(skip_chunk=1),
    EngineFaults(answer_delay_s=0.05),
    EngineFaults(wrong_request_id=True, max_affected_calls=5),
    EngineFaults(garble_chunk=1),
    EngineFaults(end_before_chunk=2),
)
CROSSED_SERVICE_FAULTS = (
    ServiceFaults(cross_answers=True),
    ServiceFaults(answer_delay_s=0.5),
    ServiceFaults(break_after_run=True),
    ServiceFaults(lose_answer=True, max_affected_calls=3),
)


class Injector:
    """Injects faults; all random choices come from the given generator."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._num_versions = 0
        self._num_outages = 0
        self._num_region_cuts = 0
        self._actions: dict[FaultKind, Callable[[PlannedFault], Awaitable[None]]] = {
            FaultKind.ENGINE_CRASH: self._engine_crash,
            FaultKind.EVENT_LOSS: self._event_loss,
            FaultKind.HERD_RESTART: self._herd_restart,
            FaultKind.HOT_SHIFT: self._hot_shift,
            FaultKind.STORE_DOWN: self._store_down,
            FaultKind.STORE_SLOW: self._store_slow,
            FaultKind.LOST_ANSWERS: self._lost_answers,
            FaultKind.PAUSED_HOLDER: self._paused_holder,
            FaultKind.RACING_OPERATORS: self._racing_operators,
            FaultKind.ZONE_CUT: self._zone_cut,
            FaultKind.REGION_CUT: self._region_cut,
            FaultKind.LEAVING_BACKEND: self._leaving_backend,
            FaultKind.PLANNED_STOP: self._planned_stop,
            FaultKind.CROSSED_ANSWERS: self._crossed_answers,
            FaultKind.WEIGHT_ROLLOUT: self._weight_rollout,
        }

    def start(self, tasks: TaskGroup, faults: tuple[PlannedFault, ...]) -> None:
        """Start a task for each fault; their times are absolute times of the clock."""
        for fault in faults:
            tasks.start_soon(self._inject, fault)

    async def _inject(self, fault: PlannedFault) -> None:
        await anyio.sleep_until(fault.at_s)
        await self._actions[fault.kind](fault)

    async def _engine_crash(self, fault: PlannedFault) -> None:
        self._crash(self._engine(fault))

    def _crash(self, name: EngineName) -> None:
        self._world.platform.engines[name].crash()
        self._record_backend_change(name, BackendChange.CRASHED)

    async def _event_loss(self, fault: PlannedFault) -> None:
        engines = self._world.platform.engines.values()
        for engine in engines:
            engine.faults.set(EVENT_LOSS)
        await anyio.sleep(fault.lasts_s)
        for engine in engines:
            engine.faults.clear()

    async def _herd_restart(self, fault: PlannedFault) -> None:
        spared_zone = self._zone(fault)
        async with anyio.create_task_group() as tasks:
            for place in self._world.fleet.places:
                if place.zone != spared_zone:
                    tasks.start_soon(self._world.fleet.restart, place.name, RESTART_S)

    async def _hot_shift(self, fault: PlannedFault) -> None:
        """Do nothing, as the shape of the workload already contains the shift."""

    async def _store_down(self, fault: PlannedFault) -> None:
        store = self._world.platform.store
        self._num_outages += 1
        store.faults.is_down = True
        store.cut_watches()
        self._record_store_change(is_up=False)
        await anyio.sleep(fault.lasts_s)
        self._num_outages -= 1
        if self._num_outages:
            return
        store.faults.is_down = False
        store.notify()
        self._record_store_change(is_up=True)

    def _record_store_change(self, is_up: bool) -> None:
        recorder = self._world.recorder
        recorder.add(StoreChanged(at_s=recorder.now(), is_up=is_up))

    async def _store_slow(self, fault: PlannedFault) -> None:
        faults = self._world.platform.store.faults
        faults.delay_s = SLOW_STORE_S
        await anyio.sleep(fault.lasts_s)
        faults.delay_s = 0.0

    async def _lost_answers(self, fault: PlannedFault) -> None:
        faults = self._world.platform.store.faults
        faults.lost_answer_probability = LOST_ANSWER_SHARE
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._apply_small_change)
            await anyio.sleep(fault.lasts_s)
            faults.lost_answer_probability = 0.0

    async def _paused_holder(self, fault: PlannedFault) -> None:
        name = fault.target or self._lease_holder() or self._node()
        await self._world.fleet.pause(NodeName(name), fault.lasts_s)

    def _lease_holder(self) -> str | None:
        """Return a random node whose name is in the value of a leased key, or None."""
        store = self._world.platform.store.model
        stored = store.range(FIRST_KEY, END_OF_KEYS, anyio.current_time())
        leased_values = [key.value for key in stored if key.lease_id]
        names = [place.name for place in self._world.fleet.places]
        holders = [name for name in names if any(name.encode() in value for value in leased_values)]
        return self._random.choice(holders) if holders else None

    async def _racing_operators(self, fault: PlannedFault) -> None:
        num_races = max(1, int(fault.lasts_s / RACE_INTERVAL_S))
        async with anyio.create_task_group() as tasks:
            for _ in range(num_races):
                for _ in range(2):
                    tasks.start_soon(self._apply_small_change)
                await anyio.sleep(RACE_INTERVAL_S)

    async def _apply_small_change(self) -> None:
        weight = 1.0 + self._random.random()
        await self._world.operator.change(
            lambda deployment: _with_first_tenant_weight(deployment, weight), RACE_APPLY_DELAY_S
        )

    async def _zone_cut(self, fault: PlannedFault) -> None:
        zone = self._zone(fault)
        self._world.platform.links.cut_zone(zone)
        self._world.cut_zones.add(zone)
        self._world.apply_cuts()
        self._record_zone_change(zone, NodeChange.CUT_OFF)
        await anyio.sleep(fault.lasts_s)
        self._world.cut_zones.discard(zone)
        self._world.platform.links.rejoin(zone)
        self._world.apply_cuts()
        if self._num_region_cuts:
            self._world.platform.links.cut_platform(zone)
        else:
            self._record_zone_change(zone, NodeChange.REJOINED)

    async def _region_cut(self, fault: PlannedFault) -> None:
        zones = self._world.platform.zones
        self._num_region_cuts += 1
        for zone in zones:
            self._world.platform.links.cut_platform(zone)
            self._record_zone_change(zone, NodeChange.CUT_OFF)
        await anyio.sleep(fault.lasts_s)
        self._num_region_cuts -= 1
        if self._num_region_cuts:
            return
        for zone in zones:
            self._world.platform.links.rejoin_platform(zone)
            if zone not in self._world.cut_zones:
                self._record_zone_change(zone, NodeChange.REJOINED)

    def _record_zone_change(self, zone: ZoneName, change: NodeChange) -> None:
        for place in self._world.fleet.places:
            if place.zone == zone:
                self._world.fleet.record_change(place.name, change)

    async def _leaving_backend(self, fault: PlannedFault) -> None:
        platform = self._world.platform
        names: list[str] = [self._engine(fault)]
        if platform.services:
            names.append(self._random.choice(sorted(platform.services)))
        for name in names:
            self._list_machine(name, is_leaving=True)
        await anyio.sleep(fault.lasts_s)
        for name in names:
            self._set_absent(name, is_absent=True)
        await anyio.sleep(MACHINE_ABSENCE_S)
        for name in names:
            self._set_absent(name, is_absent=False)
            self._list_machine(name, is_leaving=False)

    def _list_machine(self, name: str, is_leaving: bool) -> None:
        platform = self._world.platform
        machine = Machine(host=platform.addresses()[name], is_leaving=is_leaving)
        platform.machines.put(machine, anyio.current_time())
        change = BackendChange.LEAVING if is_leaving else BackendChange.RETURNED
        self._record_backend_change(name, change)

    def _record_backend_change(self, name: str, change: BackendChange) -> None:
        recorder = self._world.recorder
        recorder.add(BackendChanged(at_s=recorder.now(), backend=name, change=change))

    def _set_absent(self, name: str, is_absent: bool) -> None:
        platform = self._world.platform
        engine = platform.engines.get(EngineName(name))
        if engine is not None and is_absent:
            self._crash(EngineName(name))
        if engine is not None:
            engine.faults.set(EngineFaults(refuse_connections=is_absent))
        service = platform.services.get(BackendName(name))
        if service is not None:
            service.faults.set(ServiceFaults(refuse_connections=is_absent))

    async def _planned_stop(self, fault: PlannedFault) -> None:
        fleet = self._world.fleet
        name = NodeName(fault.target or self._node())
        for _ in range(int(fault.lasts_s / WATCH_INTERVAL_S)):
            # Stopping an idle node would not test the drain of requests.
            if fleet.num_exchanges(name):
                break
            await anyio.sleep(WATCH_INTERVAL_S)
        is_drained = await fleet.stop_planned(name, self._world.platform.deployment.drain_timeout_s)
        if is_drained and not fleet.is_running(name):
            await anyio.sleep(RESTART_S)
            fleet.start_if_stopped(name)

    async def _crossed_answers(self, fault: PlannedFault) -> None:
        platform = self._world.platform
        engines = self._random.sample(
            sorted(platform.engines), k=max(1, len(platform.engines) // 2)
        )
        for name in engines:
            platform.engines[name].faults.set(self._random.choice(CROSSED_ENGINE_FAULTS))
        services = sorted(platform.services)[:1]
        for backend in services:
            platform.services[backend].faults.set(self._random.choice(CROSSED_SERVICE_FAULTS))
        await anyio.sleep(fault.lasts_s)
        for name in engines:
            platform.engines[name].faults.clear()
        for backend in services:
            platform.services[backend].faults.clear()

    async def _weight_rollout(self, fault: PlannedFault) -> None:
        self._num_versions += 1
        version = WeightVersion(f"next-{self._num_versions}")
        await self._world.operator.change(lambda deployment: _with_version(deployment, version))

    def _engine(self, fault: PlannedFault) -> EngineName:
        return EngineName(fault.target) if fault.target else self._busiest_engines()[0]

    def _busiest_engines(self) -> list[EngineName]:
        """Return the engines, busiest first, as a fault of an idle engine tests little."""
        engines = self._world.platform.engines
        return sorted(engines, key=lambda name: _num_requests(engines[name]), reverse=True)

    def _node(self) -> NodeName:
        return self._random.choice([place.name for place in self._world.fleet.places])

    def _zone(self, fault: PlannedFault) -> ZoneName:
        return ZoneName(fault.target or self._random.choice(self._world.platform.zones))


def _num_requests(engine: InProcessEngine) -> tuple[int, int]:
    """Return the number of current requests of an engine and of all started so far, to sort by."""
    batch = engine.model.batch
    return len(batch.running) + batch.num_waiting, engine.model.ledger.num_started


def _with_first_tenant_weight(deployment: Deployment, weight: float) -> Deployment:
    first, *others = deployment.tenants
    changed: Tenant = msgspec.structs.replace(first, weight=weight)
    return msgspec.structs.replace(deployment, tenants=(changed, *others))


def _with_version(deployment: Deployment, version: WeightVersion) -> Deployment:
    first, *others = deployment.models
    changed: Model = msgspec.structs.replace(first, weight_version=version)
    return msgspec.structs.replace(deployment, models=(changed, *others))
