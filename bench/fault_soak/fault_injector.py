"""Injects the faults of a schedule."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from random import Random

import anyio

from bench.fault_soak.back_ends import BackEnd, BackEndFleet
from bench.fault_soak.callers import Pressure
from bench.fault_soak.history import Disturbance, FavoredPeriod, SignalName
from bench.fault_soak.nodes import SoakNode
from bench.fault_soak.operator import Operator
from bench.fault_soak.recorder import Recorder
from bench.fault_soak.schedule import Fault, FaultKind

PATH_LOSSES = ("silent", "reset", "refused")
SERIES_LENGTH = 4
SLOW_STORE_S = 0.8
LATE_WRITES_S = 2.5
LOST_ANSWER_SHARE = 0.5
SECOND_SIGNAL_S = 0.5
KILL_ALL_SPREAD_S = 0.1

FaultAction = Callable[[Fault, Random], Awaitable[None]]


class FaultInjector:
    """Injects each kind of fault.

    Args:
        nodes: All nodes.
        back_ends: The store and the back ends.
        operator: Writes configurations and weight versions.
        recorder: Records disturbances of the store.
        pressure: What all callers do besides.
    """

    def __init__(
        self,
        nodes: Sequence[SoakNode],
        back_ends: BackEndFleet,
        operator: Operator,
        recorder: Recorder,
        pressure: Pressure,
    ) -> None:
        self._pressure = pressure
        self._nodes = nodes
        self._back_ends = back_ends
        self._operator = operator
        self._recorder = recorder
        self._actions: Mapping[FaultKind, FaultAction] = {
            FaultKind.STOP: self._stop,
            FaultKind.STOP_SEVERAL: self._stop_several,
            FaultKind.STOP_TWICE: self._stop_twice,
            FaultKind.STOP_PAUSED: self._stop_paused,
            FaultKind.KILL: self._kill,
            FaultKind.KILL_STOPPING: self._kill_stopping,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.PAUSE: self._pause,
            FaultKind.PAUSE_SEVERAL: self._pause_several,
            FaultKind.PAUSE_DURING_CHANGES: self._pause_during_changes,
            FaultKind.RELOAD: self._reload,
            FaultKind.RELOAD_CHANGED: self._reload_changed,
            FaultKind.CHANGE_WITHOUT_SIGNAL: self._change_without_signal,
            FaultKind.CONFIGURE: self._configure,
            FaultKind.CONFIGURE_SERIES: self._configure_series,
            FaultKind.NAME_WEIGHTS: self._name_weights,
            FaultKind.CRASH_BACK_END: self._crash_back_end,
            FaultKind.LEAVE_BACK_END: self._leave_back_end,
            FaultKind.LOSE_PATHS: self._lose_paths,
            FaultKind.SILENT_BACK_END: self._silent_back_end,
            FaultKind.BRITTLE_BACK_ENDS: self._brittle_back_ends,
            FaultKind.FATAL_BLOCK: self._fatal_block,
            FaultKind.MOST_CONNECTIONS: self._most_connections,
            FaultKind.BREAK_ANSWERS: self._break_answers,
            FaultKind.FOREIGN_ENTRIES: self._foreign_entries,
            FaultKind.ENDLESS_ANSWERS: self._endless_answers,
            FaultKind.LATE_ORDERS: self._late_orders,
            FaultKind.LOST_ORDERS: self._lost_orders,
            FaultKind.STORE_DOWN: self._store_down,
            FaultKind.STORE_SLOW: self._store_slow,
            FaultKind.STORE_LATE_WRITES: self._store_late_writes,
            FaultKind.STORE_LOST_ANSWERS: self._store_lost_answers,
            FaultKind.STORE_SILENT: self._store_silent,
            FaultKind.STORE_CUT_WATCHES: self._store_cut_watches,
            FaultKind.STORE_FORGETS: self._store_forgets,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, and return when it is over."""
        await self._actions[fault.kind](fault, Random(fault.seed))

    # Nodes.

    def _draw_half(self, random: Random) -> list[SoakNode]:
        return random.sample(self._nodes, max(1, len(self._nodes) // 2))

    async def _stop(self, _fault: Fault, random: Random) -> None:
        await random.choice(self._nodes).stop()

    async def _stop_several(self, _fault: Fault, random: Random) -> None:
        async with anyio.create_task_group() as tasks:
            for node in self._draw_half(random):
                tasks.start_soon(node.stop)

    async def _stop_twice(self, _fault: Fault, random: Random) -> None:
        node = random.choice(self._nodes)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.stop)
            await anyio.sleep(SECOND_SIGNAL_S)
            node.signal(SignalName.TERMINATE)

    async def _stop_paused(self, fault: Fault, random: Random) -> None:
        node = random.choice(self._nodes)
        node.signal(SignalName.PAUSE)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.stop)
            await anyio.sleep(fault.lasts_s)
            node.signal(SignalName.CONTINUE)

    async def _kill(self, _fault: Fault, random: Random) -> None:
        random.choice(self._nodes).signal(SignalName.KILL)

    async def _kill_stopping(self, fault: Fault, random: Random) -> None:
        node = random.choice(self._nodes)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.stop)
            await anyio.sleep(fault.lasts_s)
            node.signal(SignalName.KILL)

    async def _kill_all(self, _fault: Fault, random: Random) -> None:
        for node in self._nodes:
            node.signal(SignalName.KILL)
            await anyio.sleep(random.uniform(0.0, KILL_ALL_SPREAD_S))

    async def _pause(self, fault: Fault, random: Random) -> None:
        node = random.choice(self._nodes)
        node.signal(SignalName.PAUSE)
        await anyio.sleep(fault.lasts_s)
        node.signal(SignalName.CONTINUE)

    async def _pause_several(self, fault: Fault, random: Random) -> None:
        paused = self._draw_half(random)
        for node in paused:
            node.signal(SignalName.PAUSE)
        await anyio.sleep(fault.lasts_s)
        for node in paused:
            node.signal(SignalName.CONTINUE)

    async def _pause_during_changes(self, fault: Fault, random: Random) -> None:
        paused = self._draw_half(random)
        for node in paused:
            node.signal(SignalName.PAUSE)
        for _ in range(SERIES_LENGTH):
            self._operator.configure()
        self._operator.name_weights()
        await anyio.sleep(fault.lasts_s)
        for node in paused:
            node.signal(SignalName.CONTINUE)

    async def _reload(self, _fault: Fault, random: Random) -> None:
        random.choice(self._nodes).signal(SignalName.RELOAD)

    async def _reload_changed(self, _fault: Fault, _random: Random) -> None:
        for node in self._nodes:
            node.change_settings()
            node.signal(SignalName.RELOAD)

    async def _change_without_signal(self, _fault: Fault, _random: Random) -> None:
        for node in self._nodes:
            node.change_settings()

    # Configurations and weights.

    async def _configure(self, _fault: Fault, _random: Random) -> None:
        self._operator.configure()

    async def _configure_series(self, fault: Fault, _random: Random) -> None:
        for _ in range(SERIES_LENGTH):
            self._operator.configure()
            await anyio.sleep(fault.lasts_s / SERIES_LENGTH)

    async def _name_weights(self, _fault: Fault, _random: Random) -> None:
        self._operator.name_weights()

    # Back ends.

    async def _crash_back_end(self, fault: Fault, random: Random) -> None:
        await self._with_idle_back_end(
            random, lambda back_end: self._back_ends.crash(back_end, fault.lasts_s)
        )

    async def _leave_back_end(self, fault: Fault, random: Random) -> None:
        await self._with_idle_back_end(
            random, lambda back_end: self._back_ends.leave(back_end, fault.lasts_s)
        )

    async def _with_idle_back_end(
        self, random: Random, action: Callable[[BackEnd], Awaitable[None]]
    ) -> None:
        """Apply `action` to a back end that no other fault affects, if there is one."""
        idle = [back_end for back_end in self._back_ends.back_ends if not back_end.is_busy]
        if not idle:
            return
        back_end = random.choice(idle)
        back_end.is_busy = True
        await action(back_end)
        back_end.is_busy = False

    async def _lose_paths(self, fault: Fault, random: Random) -> None:
        num_nodes = random.choice((1, len(self._nodes) // 2, len(self._nodes) - 1))
        loss = random.choice(PATH_LOSSES)
        async with anyio.create_task_group() as tasks:
            for node in random.sample(self._nodes, max(1, num_nodes)):
                tasks.start_soon(node.lose_paths, loss, fault.lasts_s)

    async def _silent_back_end(self, fault: Fault, random: Random) -> None:
        address = random.choice(self._back_ends.back_ends).stand_in.address
        async with anyio.create_task_group() as tasks:
            for node in self._nodes:
                tasks.start_soon(node.lose_path, address, fault.lasts_s)

    async def _brittle_back_ends(self, fault: Fault, random: Random) -> None:
        service = random.choice(self._back_ends.back_ends).service
        await self._back_ends.be_brittle(service, fault.lasts_s)

    async def _fatal_block(self, fault: Fault, _random: Random) -> None:
        block = f"fatal{fault.seed}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._back_ends.crash_on_block, block, fault.lasts_s)
            await anyio.sleep(0.0)
            if self._back_ends.fatal_block != block:
                return  # Other faults affect the back ends.
            self._pressure.block = block
            await anyio.sleep(fault.lasts_s)
            self._pressure.block = None

    async def _most_connections(self, fault: Fault, random: Random) -> None:
        ready = [node.name for node in self._nodes if node.is_ready]
        if self._pressure.node is not None or not ready:
            return
        began_s = self._recorder.now_s()
        node = self._pressure.node = random.choice(ready)
        await anyio.sleep(fault.lasts_s)
        self._pressure.node = None
        self._recorder.record(
            FavoredPeriod(at_s=began_s, node=node, until_s=self._recorder.now_s())
        )

    async def _break_answers(self, _fault: Fault, random: Random) -> None:
        self._back_ends.break_answers(random)

    async def _foreign_entries(self, fault: Fault, random: Random) -> None:
        await self._back_ends.add_foreign_entries(random, fault.lasts_s)

    async def _endless_answers(self, _fault: Fault, random: Random) -> None:
        self._back_ends.answer_without_end(random)

    async def _late_orders(self, fault: Fault, random: Random) -> None:
        await self._with_idle_back_end(
            random, lambda back_end: self._back_ends.take_orders_late(back_end, fault.lasts_s)
        )

    async def _lost_orders(self, fault: Fault, random: Random) -> None:
        idle = [back_end for back_end in self._back_ends.back_ends if not back_end.is_busy]
        number = random.choice((len(idle) // 2, len(idle)))
        self._operator.name_weights()
        async with anyio.create_task_group() as tasks:
            for back_end in random.sample(idle, number):
                back_end.is_busy = True
                tasks.start_soon(self._back_ends.lose_orders, back_end, fault.lasts_s)

    # The store.

    async def _store_down(self, fault: Fault, _random: Random) -> None:
        await self._disturb_store(lambda: self._back_ends.stop_store(fault.lasts_s))

    async def _store_slow(self, fault: Fault, _random: Random) -> None:
        await self._disturb_store(
            lambda: self._back_ends.set_store_faults(fault.lasts_s, jitter_s=SLOW_STORE_S)
        )

    async def _store_late_writes(self, fault: Fault, _random: Random) -> None:
        await self._disturb_store(
            lambda: self._back_ends.set_store_faults(fault.lasts_s, late_writes_s=LATE_WRITES_S)
        )

    async def _store_lost_answers(self, fault: Fault, _random: Random) -> None:
        await self._disturb_store(
            lambda: self._back_ends.set_store_faults(fault.lasts_s, lose_share=LOST_ANSWER_SHARE)
        )

    async def _store_silent(self, fault: Fault, _random: Random) -> None:
        await self._disturb_store(
            lambda: self._back_ends.set_store_faults(fault.lasts_s, is_silent=True)
        )

    async def _store_cut_watches(self, _fault: Fault, _random: Random) -> None:
        began_s = self._recorder.now_s()
        self._back_ends.store.cut_watches()
        self._recorder.record_disturbance(Disturbance.CONNECTIONS, began_s)

    async def _store_forgets(self, _fault: Fault, _random: Random) -> None:
        self._back_ends.store.compact()

    async def _disturb_store(self, action: Callable[[], Awaitable[None]]) -> None:
        """Disturb the store, unless another fault already does."""
        if self._back_ends.is_store_disturbed:
            return
        self._back_ends.is_store_disturbed = True
        began_s = self._recorder.now_s()
        await action()
        self._recorder.record_disturbance(Disturbance.STORE, began_s)
        self._back_ends.is_store_disturbed = False
