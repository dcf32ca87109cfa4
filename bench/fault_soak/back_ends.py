"""Back ends and the store of a soak: the project's stand-ins on real sockets, with their faults."""

from collections.abc import Sequence
from functools import partial
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from bench.fault_soak.history import (
    Disturbance,
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
from features.support.platform_runner import RunnerStandIn
from features.support.platform_store import StoreStandIn
from features.support.platform_words import (
    GENERATING,
    MODEL,
    ORDERING,
    RUNNER_PORT,
    RUNNERS_KEY,
    STORE_PORT,
    fence_of,
)

ANSWER_FAULTS = (
    *("cross", "unsealed", "error", "unproved", "refuse", "hang"),
    *("break", "break", "break"),
)
MOST_ANSWER_FAULTS = 6
ORDERING_RUN_S = 0.15
EVENT_INTERVALS_S = (0.02, 0.1, 0.4)
"""A stream of the slowest back end takes two seconds: it runs on while its node stops."""

REFUSAL_REST_S = 1.5
"""What a back end asks for as it refuses a request."""

LIMIT_PER_S = 1.5
LIMIT_PERIOD_S = 15.0
LIMITED_FROM_S = 5.0
"""One back end of each service states a limit from this time to the end of each period."""

LOAD_S = 0.6
TICK_S = 0.05
HEARTBEAT_S = 1.0
NEVER_S = 3600.0
LEAVE_EXTRA_S = 0.5
MOST_HISTORY = 400
"""Changes that the store remembers: each watch looks through them all."""


class BackEnd:
    """A place with one back end after another.

    Args:
        name: The place.
        service: What it serves.
        host: Its address.
        fleet: Store, recorder and tasks.
        random: Its speed.
    """

    def __init__(
        self, name: str, service: ServiceName, host: str, fleet: "BackEndFleet", random: Random
    ) -> None:
        self._name = name
        self._service = service
        self._host = host
        self._fleet = fleet
        self._num_starts = 0
        self._version = WeightsVersion(1)
        self._event_interval_s = random.choice(EVENT_INTERVALS_S)
        self._open: set[RequestId] = set()
        self.stand_in: Any = None
        self._served: ServedStandIn | None = None
        self.is_busy = False
        """Whether a fault has hold of it."""

    def start(self) -> None:
        """Start the next incarnation and register it."""
        self._num_starts += 1
        instance = InstanceName(f"{self._name}-{self._num_starts}")
        is_generating = self._service == GENERATING
        self.stand_in = RunnerStandIn(
            instance=instance,
            address=f"{self._host}:{RUNNER_PORT}",
            service=self._service,
            model=MODEL if is_generating else None,
            version=self._version,
            read_s=ORDERING_RUN_S,
            load_s=LOAD_S,
            event_interval_s=self._event_interval_s,
            names_request=True,
            on_run=self._note_run,
            on_break=lambda request: self._note_broken(request, instance),
            refusal_rest=str(REFUSAL_REST_S),
            on_statement=partial(self._note_said, instance),
            on_limit=partial(self._note_limit, instance),
        )
        self._served = ServedStandIn(self.stand_in, self._host, RUNNER_PORT)
        self._fleet.tasks.start_soon(self._served.run)
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the registration."""
        key = f"{RUNNERS_KEY}{self.stand_in.instance}"
        self._fleet.store.put(key, self.stand_in.entry(state))

    async def go_down(self) -> None:
        """Crash: all connections end, and nothing is said."""
        stand_in, served = self.stand_in, self._served
        assert served is not None
        self._version = stand_in.version
        for run in stand_in.runs:
            if run.ended_s is None:
                self._note_broken(run.request_id, stand_in.instance)
        await served.go_down()

    def unregister(self) -> None:
        """Take the registration away."""
        self._fleet.store.delete(f"{RUNNERS_KEY}{self.stand_in.instance}")

    def tick(self) -> None:
        """Let a load end, and note orders."""
        version = self.stand_in.version
        self.stand_in.tick()
        if self.stand_in.version != version:
            self.register()
        for _, order in self.stand_in.orders:
            holder, fencing_token = fence_of(order)
            recorder = self._fleet.recorder
            recorder.note(
                OrderTaken(
                    at_s=recorder.now_s(),
                    instance=self.stand_in.instance,
                    holder=holder,
                    fencing_token=fencing_token,
                )
            )
        self.stand_in.orders.clear()

    def _note_run(self, run: Any, target: bytes, body: bytes) -> None:
        recorder = self._fleet.recorder
        recorder.note(
            RunBegan(
                at_s=recorder.now_s(),
                request=RequestId(run.request_id),
                instance=self.stand_in.instance,
                service=self._service,
                path=target.decode("latin-1"),
                body=body.decode("latin-1"),
                weights=run.version if self._service == GENERATING else None,
                tenant=run.tenant,
                has_key="authorization" in run.headers,
            )
        )

    def _note_said(
        self, instance: InstanceName, request: str, is_leaving: bool, rest: str | None
    ) -> None:
        recorder = self._fleet.recorder
        now_s, request_id = recorder.now_s(), RequestId(request)
        if is_leaving:
            recorder.note(LeavingSaid(at_s=now_s, request=request_id, instance=instance))
        if rest is not None:
            rest_s = float(rest)
            recorder.note(
                RestAsked(at_s=now_s, request=request_id, instance=instance, rest_s=rest_s)
            )

    def set_limit(self, limit_per_s: float | None) -> None:
        """State a request limit in all answers from now on, or none."""
        limits = () if limit_per_s is None else (str(limit_per_s),)
        if limits == self.stand_in.limits:
            return
        self.stand_in.limits = limits
        recorder, instance = self._fleet.recorder, InstanceName(self.stand_in.instance)
        recorder.note(
            LimitChanged(at_s=recorder.now_s(), instance=instance, limit_per_s=limit_per_s)
        )

    def _note_limit(self, instance: InstanceName, request: str) -> None:
        recorder = self._fleet.recorder
        recorder.note(
            LimitStated(at_s=recorder.now_s(), request=RequestId(request), instance=instance)
        )

    def _note_broken(self, request: str, instance: InstanceName) -> None:
        recorder = self._fleet.recorder
        recorder.note(
            RunBroken(at_s=recorder.now_s(), request=RequestId(request), instance=instance)
        )


class BackEndFleet:
    """The store and all back ends.

    Args:
        recorder: Where runs are noted.
        tasks: Runs what is served.
        store_host: Address of the store.
    """

    def __init__(self, recorder: Recorder, tasks: TaskGroup, store_host: str) -> None:
        self.recorder = recorder
        self.tasks = tasks
        self.store: Any = StoreStandIn()
        self._served_store = ServedStandIn(self.store, store_host, STORE_PORT)
        self.back_ends: list[BackEnd] = []
        self.is_store_struck = False

    def start(self, hosts: Sequence[str], num_ordering: int, random: Random) -> None:
        """Start the store and a back end at each address; the first ones take orders."""
        self.tasks.start_soon(self._served_store.run)
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
            if len(self.store.history) > MOST_HISTORY:
                self._forget_oldest()
            await anyio.sleep(TICK_S)

    def _set_limits(self) -> None:
        """Let the first and the last back end state a limit for a part of each period."""
        is_limited = self.recorder.now_s() % LIMIT_PERIOD_S >= LIMITED_FROM_S
        for back_end in (self.back_ends[0], self.back_ends[-1]):
            back_end.set_limit(LIMIT_PER_S if is_limited else None)

    def _forget_oldest(self) -> None:
        history = self.store.history
        num_forgotten = len(history) // 2
        self.store.oldest = history[num_forgotten - 1]["revision"]
        del history[:num_forgotten]

    # Faults; each lasts until its coroutine ends.

    async def crash(self, back_end: BackEnd, lasts_s: float) -> None:
        """Take a back end down; its registration stays for three heartbeats at most."""
        began_s = self.recorder.now_s()
        await back_end.go_down()
        await anyio.sleep(min(lasts_s, 3 * HEARTBEAT_S))
        back_end.unregister()
        await anyio.sleep(max(0.0, lasts_s - 3 * HEARTBEAT_S))
        back_end.start()
        self.recorder.note_disturbed(Disturbance.BACK_END, began_s)

    async def leave(self, back_end: BackEnd, lasts_s: float) -> None:
        """Let a back end say that it leaves, serve on for a while, end, and come back.

        It says so in its answers too, and while the store is silent only there.
        """
        back_end.stand_in.is_leaving = True
        back_end.register("draining")
        await anyio.sleep(lasts_s)
        back_end.unregister()
        await anyio.sleep(LEAVE_EXTRA_S)
        await back_end.go_down()
        back_end.start()

    def break_answers(self, random: Random) -> None:
        """Spoil the next answers of half of the back ends."""
        for back_end in random.sample(self.back_ends, len(self.back_ends) // 2):
            number = random.randint(1, MOST_ANSWER_FAULTS)
            back_end.stand_in.faults.extend(random.choices(ANSWER_FAULTS, k=number))

    async def take_orders_late(self, back_end: BackEnd, lasts_s: float) -> None:
        """Let a back end take orders late, and lose the answers to them."""
        stand_in = back_end.stand_in
        stand_in.late_orders_s, stand_in.lose_order_answers = lasts_s / 2.0, True
        await anyio.sleep(lasts_s)
        stand_in.late_orders_s, stand_in.lose_order_answers = None, False

    async def lose_orders(self, back_end: BackEnd, lasts_s: float) -> None:
        """Let a back end keep silent to orders, and take none of them."""
        stand_in = back_end.stand_in
        stand_in.late_orders_s = NEVER_S
        await anyio.sleep(lasts_s)
        stand_in.late_orders_s = None
        back_end.is_busy = False

    async def take_store_down(self, lasts_s: float) -> None:
        """Refuse connections to the store for a time."""
        await self._served_store.go_down()
        await anyio.sleep(lasts_s)
        self.tasks.start_soon(self._served_store.run)

    async def set_in_store(self, lasts_s: float, **faults: object) -> None:
        """Set fields of the store's stand-in for a time."""
        before = {name: getattr(self.store, name) for name in faults}
        for name, value in faults.items():
            setattr(self.store, name, value)
        await anyio.sleep(lasts_s)
        for name, value in before.items():
            setattr(self.store, name, value)
