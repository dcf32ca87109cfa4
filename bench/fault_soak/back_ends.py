"""Back ends and the store of a soak test: stand-ins on real sockets, and their faults."""

from collections.abc import Sequence
from functools import partial
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from bench.fault_soak.back_end_server import BackEndServer, Framing
from bench.fault_soak.foreign_entries import write_foreign_entries
from bench.fault_soak.history import (
    AnswerSent,
    BackEndEnded,
    BrittleFell,
    BrittlePeriod,
    Disturbance,
    FatalCrash,
    FatalPeriod,
    InstanceName,
    LeavingSaid,
    LimitChanged,
    LimitStated,
    OrderTaken,
    RequestId,
    RestAsked,
    RunBegan,
    RunBroken,
    ServiceName,
    WeightsVersion,
)
from bench.fault_soak.recorder import Recorder
from bench.fault_soak.served_stand_in import ServedStandIn
from features.support.platform_runner import ENDLESS, RunnerStandIn
from features.support.platform_store import StoreStandIn
from features.support.platform_words import (
    GENERATING,
    MODEL,
    ORDERING,
    RUNNER_PORT,
    RUNNERS_KEY,
    STORE_PORT,
    fence_of,
    has_block,
)

ANSWER_FAULTS = (
    *("cross", "unsealed", "error", "unproved", "refuse", "hang"),
    *("break", "break", "break"),
    *("end_inside", "end_before_blank"),
)
MAX_ANSWER_FAULTS = 6
MAX_ENDLESS_ANSWERS = 3
ORDERING_RUN_S = 0.15
EVENT_INTERVALS_S = (0.02, 0.1, 0.4)
"""A stream of the slowest back end takes two seconds, so that it runs on while its node stops."""

SOFTWARE_VERSIONS = ("v1", "v2")
STARTS_PER_VERSION = 3
"""A back end comes back as the other version each so many starts."""

REFUSAL_REST_S = 1.5
"""Rest that a back end asks for when it refuses a request."""

LIMIT_PER_S = 1.5
LIMIT_PERIOD_S = 15.0
LIMITED_FROM_S = 5.0
"""One back end of each service states a limit from this time until the end of each period."""

BRITTLE_REFUSALS = "2"
BRITTLE_ROOM = 5
"""Requests that a brittle back end lets run or wait: its four slots and one more."""

BRITTLE_NOTICE_S = 3.0
"""Seconds from the first statement until fewer requests may wait."""

FALLEN_S = 2.0
FATAL_DELAY_S = 0.1
"""Seconds from the beginning of a run with a fatal block until its back end crashes."""

FATAL_REST_S = 5.0
"""Longer than a request's deadline."""
LOAD_S = 0.6
TICK_S = 0.05
HEARTBEAT_S = 1.0
ENDLESS_S = 3600.0
AFTER_REMOVAL_S = 0.5
MAX_STORE_HISTORY = 400
"""Most changes that the store keeps, because each watch searches all of them."""


class BackEnd:
    """A back end at one address, through all its incarnations.

    Args:
        name: Prefix of the names of its incarnations.
        service: The service that it runs.
        host: Its address.
        fleet: The store, the recorder and the task group.
        random: Source of its speed.
    """

    def __init__(
        self, name: str, service: ServiceName, host: str, fleet: "BackEndFleet", random: Random
    ) -> None:
        self._name = name
        self.service = service
        self._host = host
        self._fleet = fleet
        self._num_starts = random.randrange(2 * STARTS_PER_VERSION)
        self._version = WeightsVersion(1)
        self._event_interval_s = random.choice(EVENT_INTERVALS_S)
        self._open: set[RequestId] = set()
        self.stand_in: Any = None
        self._server: BackEndServer | None = None
        self.brittle: str | None = None
        """Refusals a second that it bears, as it states them; None if it is not brittle."""
        self.room: int | None = None
        """Requests that it lets run or wait; None for any number."""
        self.is_busy = False
        """Whether a fault affects this back end now."""
        self.is_down = False
        """Whether it has crashed on a fatal block and not started again."""

    def start(self) -> None:
        """Start the next incarnation and register it."""
        self._num_starts += 1
        instance = InstanceName(f"{self._name}-{self._num_starts}")
        is_generating = self.service == GENERATING
        software = SOFTWARE_VERSIONS[self._num_starts // STARTS_PER_VERSION % 2]
        self.stand_in = RunnerStandIn(
            instance=instance,
            address=f"{self._host}:{RUNNER_PORT}",
            service=self.service,
            model=MODEL if is_generating else None,
            version=self._version,
            software=software,
            read_s=ORDERING_RUN_S,
            load_s=LOAD_S,
            event_interval_s=self._event_interval_s,
            names_request=True,
            on_run=self._record_run,
            on_break=lambda request: self._record_break(request, instance),
            refusal_rest=str(REFUSAL_REST_S),
            on_statement=partial(self._record_statements, instance),
            on_limit=partial(self._record_limit, instance),
            on_fall=partial(self._fall, instance),
        )
        self.set_brittle(self.brittle, self.room)
        self._server = BackEndServer(
            self.stand_in, self._host, RUNNER_PORT, partial(self._record_whole, self.stand_in)
        )
        self._fleet.tasks.start_soon(self._server.run)
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the registration."""
        key = f"{RUNNERS_KEY}{self.stand_in.instance}"
        self._fleet.store.put(key, self.stand_in.entry(state))

    async def shut_down(self) -> None:
        """Close all connections without an announcement, as a crash does."""
        stand_in, server = self.stand_in, self._server
        assert server is not None
        self._version = stand_in.version
        self._fleet.recorder.record(
            BackEndEnded(
                at_s=self._fleet.recorder.now_s(), instance=InstanceName(stand_in.instance)
            )
        )
        for run in stand_in.runs:
            if run.ended_s is None:
                self._record_break(run.request_id, stand_in.instance)
        await server.shut_down()

    def unregister(self) -> None:
        """Remove the registration."""
        self._fleet.store.delete(f"{RUNNERS_KEY}{self.stand_in.instance}")

    def set_brittle(self, brittle: str | None, room: int | None) -> None:
        """State that it is brittle, or not, and let so many requests run or wait."""
        self.brittle, self.room = brittle, room
        self.stand_in.brittle, self.stand_in.room = brittle, room

    def _fall(self, instance: InstanceName) -> None:
        recorder = self._fleet.recorder
        recorder.record(BrittleFell(at_s=recorder.now_s(), service=self.service, instance=instance))
        self._fleet.tasks.start_soon(self._fleet.fall, self)

    def tick(self) -> None:
        """Complete loads of weights that are due, and record accepted orders."""
        version = self.stand_in.version
        self.stand_in.tick()
        if self.stand_in.version != version:
            self.register()
        for _, order in self.stand_in.orders:
            holder, fencing_token = fence_of(order)
            recorder = self._fleet.recorder
            recorder.record(
                OrderTaken(
                    at_s=recorder.now_s(),
                    instance=self.stand_in.instance,
                    holder=holder,
                    fencing_token=fencing_token,
                )
            )
        self.stand_in.orders.clear()

    def _record_run(self, run: Any, target: bytes, body: bytes) -> None:
        recorder = self._fleet.recorder
        recorder.record(
            RunBegan(
                at_s=recorder.now_s(),
                request=RequestId(run.request_id),
                instance=self.stand_in.instance,
                service=self.service,
                path=target.decode("latin-1"),
                body=body.decode("latin-1"),
                weights=run.version if self.service == GENERATING else None,
                software=self.stand_in.software,
                tenant=run.tenant,
                has_key="authorization" in run.headers,
            )
        )
        block = self._fleet.fatal_block
        if block is not None and has_block(run.headers, block):
            self._fleet.tasks.start_soon(self._fleet.crash_on, self, self.stand_in, block)

    def _record_statements(
        self, instance: InstanceName, request: str, is_leaving: bool, rest: str | None
    ) -> None:
        recorder = self._fleet.recorder
        now_s, request_id = recorder.now_s(), RequestId(request)
        if is_leaving:
            recorder.record(LeavingSaid(at_s=now_s, request=request_id, instance=instance))
        if rest is not None:
            rest_s = float(rest)
            recorder.record(
                RestAsked(at_s=now_s, request=request_id, instance=instance, rest_s=rest_s)
            )

    def set_limit(self, limit_per_s: float | None) -> None:
        """State a request limit, or none, in all answers from now on."""
        limits = () if limit_per_s is None else (str(limit_per_s),)
        if limits == self.stand_in.limits:
            return
        self.stand_in.limits = limits
        recorder, instance = self._fleet.recorder, InstanceName(self.stand_in.instance)
        recorder.record(
            LimitChanged(at_s=recorder.now_s(), instance=instance, limit_per_s=limit_per_s)
        )

    def _record_limit(self, instance: InstanceName, request: str) -> None:
        recorder = self._fleet.recorder
        recorder.record(
            LimitStated(at_s=recorder.now_s(), request=RequestId(request), instance=instance)
        )

    def _record_whole(self, stand_in: Any, request: str, framing: Framing) -> None:
        """Record an answer that this back end has sent to its end, unless a fault made it short."""
        is_whole = any(
            run.request_id == request and run.ended_s is not None and run.is_own_answer
            for run in stand_in.runs
        )
        if is_whole:
            self._fleet.recorder.record(
                AnswerSent(
                    at_s=self._fleet.recorder.now_s(),
                    request=RequestId(request),
                    instance=InstanceName(stand_in.instance),
                    is_unframed=framing is Framing.CONNECTION,
                )
            )

    def _record_break(self, request: str, instance: InstanceName) -> None:
        recorder = self._fleet.recorder
        recorder.record(
            RunBroken(at_s=recorder.now_s(), request=RequestId(request), instance=instance)
        )


class BackEndFleet:
    """The store and all back ends.

    Args:
        recorder: Records runs, statements and orders.
        tasks: Runs the servers.
        store_host: Address of the store.
    """

    def __init__(self, recorder: Recorder, tasks: TaskGroup, store_host: str) -> None:
        self.recorder = recorder
        self.tasks = tasks
        self.store: Any = StoreStandIn()
        self._store_server = ServedStandIn(self.store, store_host, STORE_PORT)
        self.back_ends: list[BackEnd] = []
        self.is_store_disturbed = False
        self.fatal_block: str | None = None
        """The block on which back ends crash as they begin to write; None for none."""

    def start(self, hosts: Sequence[str], num_ordering: int, random: Random) -> None:
        """Start the store, and a back end at each address.

        Args:
            hosts: Addresses of the back ends.
            num_ordering: Number of back ends, from the first, that run the ordering service.
            random: Source of the back ends' speeds.
        """
        self.tasks.start_soon(self._store_server.run)
        for number, host in enumerate(hosts):
            service = ServiceName(ORDERING if number < num_ordering else GENERATING)
            back_end = BackEnd(f"{service}-{number}", service, host, self, random)
            self.back_ends.append(back_end)
            back_end.start()
        self.tasks.start_soon(self._tick)

    async def _tick(self) -> None:
        while True:
            for back_end in self.back_ends:
                back_end.tick()
            self._set_limits()
            if len(self.store.history) > MAX_STORE_HISTORY:
                self._discard_oldest_changes()
            await anyio.sleep(TICK_S)

    def _set_limits(self) -> None:
        """Make the first and the last back end state a limit during a part of each period."""
        is_limited = self.recorder.now_s() % LIMIT_PERIOD_S >= LIMITED_FROM_S
        for back_end in (self.back_ends[0], self.back_ends[-1]):
            back_end.set_limit(LIMIT_PER_S if is_limited else None)

    def _discard_oldest_changes(self) -> None:
        history = self.store.history
        num_discarded = len(history) // 2
        self.store.oldest = history[num_discarded - 1]["revision"]
        del history[:num_discarded]

    # Faults. Each lasts until its coroutine returns.

    async def crash(self, back_end: BackEnd, lasts_s: float) -> None:
        """Crash a back end; its registration stays for at most three heartbeats."""
        began_s = self.recorder.now_s()
        await back_end.shut_down()
        await anyio.sleep(min(lasts_s, 3 * HEARTBEAT_S))
        back_end.unregister()
        await anyio.sleep(max(0.0, lasts_s - 3 * HEARTBEAT_S))
        back_end.start()
        self.recorder.record_disturbance(Disturbance.BACK_END, began_s)

    async def crash_on_block(self, block: str, lasts_s: float) -> None:
        """Let the generating back ends crash on a block, unless another fault affects any."""
        affected = [one for one in self.back_ends if one.service == GENERATING]
        if any(one.is_busy for one in affected) or self.fatal_block is not None:
            return
        for one in affected:
            one.is_busy = True
        began_s = self.recorder.now_s()
        self.fatal_block = block
        await anyio.sleep(lasts_s)
        self.recorder.record(FatalPeriod(at_s=began_s, block=block, until_s=self.recorder.now_s()))
        # Requests with the block may still be on their way.
        await anyio.sleep(FATAL_REST_S)
        self.fatal_block = None
        await anyio.sleep(FALLEN_S)
        for one in affected:
            one.is_busy = False

    async def crash_on(self, back_end: BackEnd, stand_in: Any, block: str) -> None:
        """Crash a back end on a fatal block, unless its run has already ended."""
        await anyio.sleep(FATAL_DELAY_S)
        if back_end.stand_in is not stand_in or back_end.is_down:
            return
        back_end.is_down = True
        instance = InstanceName(back_end.stand_in.instance)
        self.recorder.record(FatalCrash(at_s=self.recorder.now_s(), block=block, instance=instance))
        await self.crash(back_end, FALLEN_S)
        back_end.is_down = False

    async def fall(self, back_end: BackEnd) -> None:
        """Crash a brittle back end, unless another fault already affects it."""
        if back_end.is_busy:
            return
        back_end.is_busy = True
        await self.crash(back_end, FALLEN_S)
        back_end.is_busy = False

    async def be_brittle(self, service: ServiceName, lasts_s: float) -> None:
        """Let the back ends of a service be brittle for a time, soon with less room."""
        if any(one.brittle is not None for one in self.back_ends):
            return
        brittle = [one for one in self.back_ends if one.service == service]
        began_s = self.recorder.now_s()
        for one in brittle:
            one.set_brittle(BRITTLE_REFUSALS, None)
        await anyio.sleep(min(lasts_s, BRITTLE_NOTICE_S))
        for one in brittle:
            one.set_brittle(BRITTLE_REFUSALS, BRITTLE_ROOM)
        await anyio.sleep(max(0.0, lasts_s - BRITTLE_NOTICE_S))
        for one in brittle:
            one.set_brittle(None, None)
        self.recorder.record(
            BrittlePeriod(
                at_s=began_s, service=service, num_back_ends=len(brittle),
                until_s=self.recorder.now_s(),
            )
        )  # fmt: skip

    async def leave(self, back_end: BackEnd, lasts_s: float) -> None:
        """Drain a back end: announce it, keep serving for a while, shut down and start again.

        Its answers announce it too, and nothing else does while the store is silent.
        """
        back_end.stand_in.is_leaving = True
        back_end.register("draining")
        await anyio.sleep(lasts_s)
        back_end.unregister()
        await anyio.sleep(AFTER_REMOVAL_S)
        await back_end.shut_down()
        back_end.start()

    def break_answers(self, random: Random) -> None:
        """Make the next answers of half of the back ends faulty."""
        for back_end in random.sample(self.back_ends, len(self.back_ends) // 2):
            num_faults = random.randint(1, MAX_ANSWER_FAULTS)
            back_end.stand_in.faults.extend(random.choices(ANSWER_FAULTS, k=num_faults))

    def answer_without_end(self, random: Random) -> None:
        """Make the next answers of one back end consist of bytes without end."""
        stand_in = random.choice(self.back_ends).stand_in
        stand_in.faults.extend(random.choices(ENDLESS, k=random.randint(1, MAX_ENDLESS_ANSWERS)))

    async def add_foreign_entries(self, random: Random, lasts_s: float) -> None:
        """Let another writer write entries that nothing can be sent to, for some time."""
        entries = [back_end.stand_in.entry() for back_end in self.back_ends]
        keys = write_foreign_entries(self.store, entries, random)
        await anyio.sleep(lasts_s)
        for key in keys:
            self.store.delete(key)

    async def take_orders_late(self, back_end: BackEnd, lasts_s: float) -> None:
        """Make a back end accept orders late, and lose the answers to them."""
        stand_in = back_end.stand_in
        stand_in.late_orders_s, stand_in.lose_order_answers = lasts_s / 2.0, True
        await anyio.sleep(lasts_s)
        stand_in.late_orders_s, stand_in.lose_order_answers = None, False

    async def lose_orders(self, back_end: BackEnd, lasts_s: float) -> None:
        """Make a back end neither answer nor accept orders."""
        stand_in = back_end.stand_in
        stand_in.late_orders_s = ENDLESS_S
        await anyio.sleep(lasts_s)
        stand_in.late_orders_s = None
        back_end.is_busy = False

    async def stop_store(self, lasts_s: float) -> None:
        """Refuse connections to the store for a time."""
        await self._store_server.shut_down()
        await anyio.sleep(lasts_s)
        self.tasks.start_soon(self._store_server.run)

    async def set_store_faults(self, lasts_s: float, **faults: object) -> None:
        """Set attributes of the store's stand-in for a time."""
        before = {name: getattr(self.store, name) for name in faults}
        for name, value in faults.items():
            setattr(self.store, name, value)
        await anyio.sleep(lasts_s)
        for name, value in before.items():
            setattr(self.store, name, value)
