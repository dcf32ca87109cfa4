"""Rollouts in virtual time: planners over in-process engines, with a record of loads and orders."""

from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace

import anyio
import msgspec
from result import Err, Ok

from features.support.backend_fleet import MODEL, Fleet, declare
from weirscale.domain.configuration.model import Model
from weirscale.domain.duties.assignment import Duty, DutyKind
from weirscale.domain.identifiers import NodeId
from weirscale.domain.placement.model import EngineObservation
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.node.backends.probe_pace import ProbeRules
from weirscale.node.placement.task import PlacementTask
from weirscale.ports.engine import EngineFailure, EngineFailureKind, GenerateCall
from weirscale.ports.event_log import SilentEventLog
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

DUTY = Duty(DutyKind.PLACEMENT_PLANNER)
SAMPLE_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 1.0
LOAD_S = 5.0
LONG_ANSWER_TOKENS = 30
STEP_S = 0.1
"""About 3 s of generating in few steps: loads must wait for it."""

PLANNER_LAG_S = (0.0, 3.0)
"""Delay of each planner's view of the engines; planners with equal views would decide alike."""


class NoStates:
    """Engine states from other nodes: none, because the planner's node observes every engine."""

    def observed_states(self):
        return {}

    def watch(self, engines):
        """Query no other node."""


class WeightStore:
    """Source of weights whose loads slow one another down; tests set its faults."""

    def __init__(self):
        self.load_s = LOAD_S
        self.failing_versions = set()
        self.num_to_stick = 0
        self.num_reading = 0
        self.most_reading = 0

    async def fetch(self, engine, load, num_bytes):
        self.num_reading += 1
        self.most_reading = max(self.most_reading, self.num_reading)
        try:
            if self.num_to_stick:
                self.num_to_stick -= 1
                await anyio.sleep_forever()
            await anyio.sleep(self.load_s * self.num_reading)
        finally:
            self.num_reading -= 1
        return Err("no such version") if load.weight_version in self.failing_versions else Ok(None)


class RecordedEngine(InProcessEngine):
    """Engine that records the run, token and action of each order that it accepted."""

    def __init__(self, settings, random, weight_source):
        super().__init__(settings, random, weight_source=weight_source)
        self.accepted_tokens = []
        self.refuses_orders = False

    async def order(self, order):
        if self.refuses_orders:
            return Err(EngineFailure(EngineFailureKind.UNREACHABLE, "connection refused"))
        answer = await super().order(order)
        if isinstance(answer, Ok):
            run = self.model.incarnation
            self.accepted_tokens.append((run, order.token, order.action))
        return answer

    @property
    def is_loading(self):
        return self.model.pending_load is not None

    @property
    def is_serving(self):
        return not self.is_loading and self.model.model is not None and not self.is_lost

    @property
    def is_lost(self):
        return self.model.is_leaving or not self.is_reachable


class Lease:
    """Planner's lease that a test grants and revokes."""

    def __init__(self, held):
        self.held = held
        self.num_orders = 0
        self.num_orders_without = 0

    def is_held(self):
        return self.held


class LeaseCheckingPort:
    """One planner's access to an engine's port; counts orders given without the lease."""

    def __init__(self, port, lease):
        self._port = port
        self._lease = lease

    async def order(self, order):
        self._lease.num_orders += 1
        if not self._lease.held:
            self._lease.num_orders_without += 1
        return await self._port.order(order)


class PlannerDirectory:
    """The directory as one planner sees it, `lag_s` seconds late."""

    def __init__(self, directory, lease, lag_s):
        self._directory = directory
        self._lease = lease
        self._lag_s = lag_s
        self._seen = []

    def snapshot(self):
        now_s = anyio.current_time()
        self._seen.append((now_s, self._directory.snapshot()))
        while len(self._seen) > 1 and self._seen[1][0] <= now_s - self._lag_s:
            self._seen.pop(0)
        snapshot = self._seen[0][1]
        engines = {
            name: msgspec.structs.replace(facts, port=LeaseCheckingPort(facts.port, self._lease))
            for name, facts in snapshot.engines.items()
        }
        return msgspec.structs.replace(snapshot, engines=engines)


def long_call(number):
    return GenerateCall(
        request_id=f"long-{number}",
        attempt=0,
        path="/v1/completions",
        body={},
        prompt=b"a long dedication " * 10,
        max_tokens=LONG_ANSWER_TOKENS,
        priority=10,
        time_left_s=300.0,
        cache_salt="bole-school",
        model=MODEL,
        adapter=None,
        expected_incarnation=None,
        expected_weight_version="v1",
    )


class FencedLease:
    """A lease from the key-value service, held by the product's own lease task."""

    def __init__(self, index, key_value):
        duties = SimpleNamespace(is_own=lambda duty, count: True)
        own_id = NodeId(f"node-{index}", 1)
        self.task = DutyLeaseTask(DUTY, own_id, key_value, duties, Random(index))
        self.num_orders = 0
        self.num_orders_without = 0

    @property
    def held(self):
        return self.task.is_held()

    def is_held(self):
        return self.task.is_held()


class Rollout(Fleet):
    """A fleet with planners; `samples` hold loading, ready and lost engines over time."""

    def __init__(self, num_engines, model, num_planners=1, fenced=False, **engine_fields):
        self.weights = WeightStore()
        deployment = declare(num_engines, models=(model,), **engine_fields)
        super().__init__(deployment, probe_rules=ProbeRules(polls_engines=False))
        self.model = model
        self.store = KeyValueServer(Random(2))
        self.clients = [InProcessKeyValue(self.store, timeout_s=60.0) for _ in range(num_planners)]
        self.leases = [
            FencedLease(index, client) if fenced else Lease(index == 0)
            for index, client in enumerate(self.clients)
        ]
        self.planners = [
            PlacementTask(
                self.configuration,
                PlannerDirectory(self.directory, lease, lag_s),
                client,
                lease,
                SilentEventLog(),
                NoStates(),
            )
            for lease, client, lag_s in zip(self.leases, self.clients, PLANNER_LAG_S, strict=False)
        ]
        self.samples = []

    def add_engine(self, engine):
        settings = EngineSettings(
            name=engine.name, model=engine.model, weight_version="v1", step_fixed_s=STEP_S
        )
        self.engines[engine.name] = RecordedEngine(settings, Random(3), self.weights)

    @asynccontextmanager
    async def observing(self):
        """Run the fleet without its planners."""
        async with super().running(), anyio.create_task_group() as tasks:
            tasks.start_soon(self.report_loads)
            yield self
            tasks.cancel_scope.cancel()

    @asynccontextmanager
    async def running(self):
        async with self.observing(), anyio.create_task_group() as tasks:
            for lease in self.leases:
                if isinstance(lease, FencedLease):
                    tasks.start_soon(lease.task.run)
            await anyio.sleep(3.0)
            for number, engine in enumerate(self.engines.values()):
                assert (await engine.start(long_call(number))).is_ok()
            for planner in self.planners:
                tasks.start_soon(planner.run)
            tasks.start_soon(self._sample)
            yield self
            tasks.cancel_scope.cancel()

    async def report_loads(self):
        """Report engines to the directory as their home would, with far fewer events than probes."""
        while True:
            for name, engine in self.engines.items():
                if engine.is_reachable:
                    report = engine.model.load_report(anyio.current_time())
                    self.directory.record_load_report(report, 0.0)
                else:
                    self.directory.record_unreachable(name, "connection refused")
            await anyio.sleep(REPORT_INTERVAL_S)

    def declare_version(self, version, **fields):
        self.model = msgspec.structs.replace(self.model, weight_version=version, **fields)
        deployment = self.configuration.current().deployment
        self.configuration.change(msgspec.structs.replace(deployment, models=(self.model,)))

    def count_at(self, version):
        return sum(
            engine.is_serving and engine.model.weight_version == version
            for engine in self.engines.values()
        )

    def hold_orders(self):
        """Hold back all orders to engines from now on; return the list that collects them."""
        held = []

        def order_holder(engine):
            async def order(order):
                held.append((engine, order))
                return Err(EngineFailure(EngineFailureKind.TIMED_OUT, "no answer"))

            return order

        for engine in self.engines.values():
            engine.order = order_holder(engine)
        return held

    def loading(self):
        return [engine for engine in self.engines.values() if engine.is_loading]

    async def wait_for_loading(self):
        while not self.loading():  # noqa: ASYNC110 - engines send no event
            await anyio.sleep(SAMPLE_INTERVAL_S)
        return self.loading()[0]

    async def _sample(self):
        while True:
            engines = self.engines.values()
            self.samples.append(
                (
                    sum(engine.is_loading for engine in engines),
                    sum(engine.is_serving for engine in engines),
                    sum(engine.is_lost for engine in engines),
                )
            )
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def most_loading(self):
        return max(num_loading for num_loading, _, _ in self.samples)

    def fewest_ready(self):
        """Return the lowest number of ready engines, with engines lost to the fault as ready."""
        return min(num_ready + num_lost for _, num_ready, num_lost in self.samples)

    def token_order_broken(self):
        """Return the engines that executed an order with a lower token than an earlier one of a run."""
        broken = []
        for name, engine in self.engines.items():
            for before, after in zip(
                engine.accepted_tokens, engine.accepted_tokens[1:], strict=False
            ):
                if before[0] == after[0] and (after[1] < before[1]):
                    broken.append(name)
        return broken

    def tokens_given_twice(self):
        """Return the tokens that were used for two different orders."""
        orders_by_token = {}
        for name, engine in self.engines.items():
            for _, token, action in engine.accepted_tokens:
                orders_by_token.setdefault(token, set()).add((name, action))
        return [token for token, orders in orders_by_token.items() if len(orders) > 1]

    def long_answers(self):
        """Return outcome and version of the requests in flight when the rollout began."""
        return [
            (record.outcome, record.weight_version)
            for engine in self.engines.values()
            for record in engine.model.ledger.records()
        ]

    def num_orders(self, kind, **fields):
        """Count the accepted orders of a kind whose action has the given fields."""
        actions = [
            action
            for engine in self.engines.values()
            for _, _, action in engine.accepted_tokens
            if isinstance(action, kind)
        ]
        return sum(
            all(getattr(each, name) == value for name, value in fields.items()) for each in actions
        )


def observed(engine, version, **fields):
    """Return the observation of an engine that serves a version, or has no weights if None."""
    defaults = {"incarnation": 1, "adapters": frozenset(), "num_running": 0, "order_token": 0}
    defaults |= {"is_up": True, "is_leaving": False}
    model = MODEL if version is not None else None
    return EngineObservation(engine, model=model, weight_version=version, **(defaults | fields))


def rolling_model(**fields):
    defaults = {"weight_version": "v1", "min_ready_engines": 4, "max_concurrent_loads": 2}
    defaults |= {"load_timeout_s": 30.0, "max_failed_loads": 2}
    return Model(name=MODEL, **{**defaults, **fields})
