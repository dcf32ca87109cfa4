"""Steps of `gateway_displaced.feature`."""

import anyio
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace

from features.support.platform_fleet import (
    MODEL,
    EventRecorder,
    Fleet,
    ask,
    configuration,
    request_headers,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import ServiceName, ZoneName
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory, BackEndState
from weirscale.gateway.model.identifiers import Address as BackEndAddress
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.state.address_claims import AddressClaims
from weirscale.gateway.state.back_end_registry import BackEndRegistry, OwnerProof
from weirscale.gateway.state.engine_versions import EngineVersions
from weirscale.gateway.state.store_outages import StoreOutageDetector

ADDRESS = "10.2.0.1:8080"
CHANGE_INTERVAL_S = 0.5
"""Seconds between two changes of registrations."""
SETTLE_S = 1.0
"""Seconds within which a registered back end that answers is used."""
NUM_REQUESTS = 10
OBSERVATION_S = 30.0
OUTAGE_S = 6.0


CONDITIONS = {
    "without start times": ("states_start", False),
    "each followed by a full read": ("has_full_reads", True),
    "all during a store outage": ("is_outage", True),
    "before a node starts": ("has_late_node", True),
    "and node-1 gets the first request": ("first_node", "node-1"),
}
"""Conditions of a scenario, and the attribute of `AddressRun` that each one sets."""


class AddressRun:
    """Runs nodes and one address at which one process runs and several have registered."""

    def __init__(self, num_nodes, living):
        self.fleet = Fleet()
        self.num_nodes = num_nodes
        self.runs = {}
        self.living = living
        self.changes = ()
        self.answers = {}
        """Answers by node, after the registrations have settled."""
        self.num_sent = 0
        self.states_start = True
        self.has_full_reads = False
        self.is_outage = False
        self.has_late_node = False
        self.first_node = None
        self.act = None

    def run_of(self, letter):
        """Return the stand-in of a run; runs start in the order of their letters."""
        if letter not in self.runs:
            run = RunnerStandIn(letter, ADDRESS, "orders", model=None)
            if self.states_start:
                run.born_ms = 1_700_000_000_000 + 1000 * (ord(letter) - ord("A"))
            self.runs[letter] = run
        return self.runs[letter]

    async def change(self, change):
        """Apply one change: a letter and + (registers), - (ends) or ~ (writes again)."""
        letter, operation = change
        store, run = self.fleet.store, self.run_of(letter)
        if operation == "-":
            store.delete(f"servers/{letter}")
        else:
            seq = 1 if operation == "+" else 2
            store.put(f"servers/{letter}", run.entry() | {"seq": seq})

    async def body(self):
        self.fleet.store.put("op/config", configuration())
        self.fleet.targets[ADDRESS] = self.run_of(self.living)
        for number in range(1, self.num_nodes + 1):
            await self.fleet.start_node(f"node-{number}", is_first_start=True)
        await anyio.sleep(2.0)
        if self.act is not None:
            await self.act(self)
        self.fleet.store.is_down = self.is_outage
        for change in self.changes:
            await self.change(change)
            if self.has_full_reads:
                self.fleet.store.compact()
            await anyio.sleep(CHANGE_INTERVAL_S)
        if self.is_outage:
            await anyio.sleep(OUTAGE_S - len(self.changes) * CHANGE_INTERVAL_S)
            self.fleet.store.is_down = False
            await anyio.sleep(OUTAGE_S)
        if self.has_late_node:
            self.num_nodes += 1
            await self.fleet.start_node(f"node-{self.num_nodes}", is_first_start=True)
        await anyio.sleep(SETTLE_S)
        if self.first_node is not None:
            await self.send_request(self.first_node)
            await anyio.sleep(SETTLE_S)
        for _ in range(NUM_REQUESTS):
            for name in self.fleet.nodes:
                self.answers.setdefault(name, []).append(await self.send_request(name))
            await anyio.sleep(0.1)

    async def send_request(self, name, path="/s/1"):
        self.num_sent += 1
        node = self.fleet.nodes[name]
        return await ask(node, path, headers=request_headers(f"q{self.num_sent}"))

    def run(self):
        if not self.answers:
            run_in_virtual_time(lambda: with_fleet(self.fleet, self.body))
        return self


@given('{num_nodes:d} nodes, and an address at which "{living}" runs')
def step_address(context, num_nodes, living):
    context.address_run = AddressRun(num_nodes, living)


@when('the registrations there change as "{changes}"')
def step_changes(context, changes):
    context.address_run.changes = changes.split()


@then('all requests of every node are answered by "{living}"')
def step_answered(context, living):
    address_run = context.address_run.run()
    assert len(address_run.answers) == address_run.num_nodes
    for name, answers in address_run.answers.items():
        results = {(answer.status, answer.body) for answer in answers}
        assert results == {(200, f"done by {living}".encode())}, (name, results)


@when('the registrations there change as "{changes}", {conditions}')
def step_changes_with(context, changes, conditions):
    address_run = context.address_run
    address_run.changes = changes.split()
    for condition in conditions.split(", "):
        setattr(address_run, *CONDITIONS[condition])


@when('"{late}" registers there without a start time while "{living}" is serving a request')
def step_serving(context, late, living):
    address_run = context.address_run
    address_run.states_start = False

    async def act(address_run):
        run = address_run.run_of(living)
        await address_run.change(f"{living}+")
        await anyio.sleep(CHANGE_INTERVAL_S)
        run.read_s = 2.0
        for name in address_run.fleet.nodes:
            address_run.fleet.tasks.start_soon(address_run.send_request, name)
        await anyio.sleep(CHANGE_INTERVAL_S)
        run.read_s = 0.03
        await address_run.change(f"{late}+")
        await anyio.sleep(2.0)

    address_run.act = act


@when('"{crashed}" crashes there while serving a request, and "{living}" registers')
def step_crashes(context, crashed, living):
    address_run = context.address_run

    async def act(address_run):
        run, successor = address_run.run_of(crashed), address_run.run_of(living)
        address_run.fleet.targets[ADDRESS] = run
        await address_run.change(f"{crashed}+")
        await anyio.sleep(CHANGE_INTERVAL_S)
        run.read_s = 1.0
        for name in address_run.fleet.nodes:
            address_run.fleet.tasks.start_soon(address_run.send_request, name, "/o/1")
        await anyio.sleep(0.1)
        run.is_crashed = True
        del address_run.fleet.targets[ADDRESS]
        await anyio.sleep(1.0)
        address_run.fleet.targets[ADDRESS] = successor
        await address_run.change(f"{living}+")
        await anyio.sleep(4.0)

    address_run.act = act


@then('no node doubts the registration of "{living}"')
def step_no_doubt(context, living):
    for log in context.address_run.run().fleet.logs.values():
        assert not log.named("back_end_doubted"), log.events
        assert [line["instance"] for line in log.named("back_end_displaced")] == ["C"]


@then('at most {most:d} requests that are meant for another run reach "{living}"')
def step_few_refused(context, most, living):
    run = context.address_run.run().run_of(living)
    expected = [headers["x-expect-instance"] for _, _, headers in run.arrivals]
    refused = [instance for instance in expected if instance != living]
    assert len(refused) <= most, refused
    assert len(expected) > most


@given('{num_nodes:d} nodes and an engine "{living}" at an address where "{late}" registers late')
def step_engine(context, num_nodes, living, late):
    context.num_nodes = num_nodes
    context.engine = RunnerStandIn(living, "10.3.0.1:8080", "lm")
    context.late = RunnerStandIn(late, "10.3.0.1:8080", "lm")


@when("new target weights are set")
def step_target_set(context):
    fleet = Fleet()
    engine = context.engine

    async def body():
        fleet.store.put("op/config", configuration())
        fleet.add_runner(engine)
        # Other engines serve meanwhile, so that loads need not wait.
        for number in (2, 3):
            fleet.add_runner(RunnerStandIn(f"lm-{number}", f"10.3.0.{number}:8080", "lm"))
        for number in range(1, context.num_nodes + 1):
            await fleet.start_node(f"node-{number}", is_first_start=True)
        await anyio.sleep(2.0)
        fleet.store.put(f"servers/{context.late.instance}", context.late.entry())
        await anyio.sleep(0.5)
        fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        began_s = anyio.current_time()
        await anyio.sleep(OBSERVATION_S)
        context.took_s = engine.orders[0][0] - began_s

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then('"{living}" has the new weights within {bound_s:g} seconds')
def step_has_weights(context, living, bound_s):
    assert context.engine.version == 2
    assert context.took_s <= bound_s, context.took_s


class RegistryFixture:
    """A back-end registry, with the back ends that it reports as removed."""

    def __init__(self):
        self.clock_s = 0.0
        self.removed = []
        self.revision = 0
        log = EventRecorder()
        directory = BackEndDirectory()
        self.directory = directory
        self.registry = BackEndRegistry(
            directory, EngineVersions(directory, log), StoreOutageDetector(), log, self.now_s
        )
        self.registry.observe_removal(lambda back_end: self.removed.append(back_end.instance))

    def now_s(self):
        return self.clock_s

    def register(self, back_end):
        self.revision += 1
        self.registry.register(f"servers/{back_end.instance}", back_end, self.revision)

    def used(self, address=ADDRESS):
        back_end = self.directory.at(address)
        return None if back_end is None else back_end.instance


def back_end_named(instance, address=ADDRESS, started_ms=None):
    return BackEnd(
        InstanceId(instance), ServiceName("orders"), BackEndAddress(address), ZoneName("hall-a"),
        BackEndState.READY, 4, started_ms=started_ms,
    )  # fmt: skip


@given('a registry in which "{first}" is registered, and then "{second}" at its address')
def step_registry(context, first, second):
    context.fixture = RegistryFixture()
    context.fixture.register(back_end_named(first))
    context.fixture.register(back_end_named(second))


@when('the registration of "{instance}" ends')
def step_ends(context, instance):
    context.fixture.registry.end(InstanceId(instance))


@when('"{instance}" answers afterwards')
def step_answers_afterwards(context, instance):
    context.fixture.registry.mark_answered(InstanceId(instance))
    assert context.fixture.used() == instance, context.fixture.used()


@when('"{instance}" registers there later')
def step_registers_later(context, instance):
    context.fixture.register(back_end_named(instance))


@when('another run than "{instance}" answers there')
def step_other(context, instance):
    run = context.fixture.directory.get(InstanceId(instance)).run_id
    assert context.fixture.registry.mark_replaced(run, OwnerProof.OTHER_RUN)
    assert not context.fixture.registry.mark_replaced(run, OwnerProof.PEER)


START_MS = 1_700_000_000_000
STARTS = {"with its start time": START_MS, "without a start time": None}
OTHER_ADDRESS = "10.2.0.9:8080"
CHANGED_REGISTRATIONS = {
    "as before": lambda back_end: back_end,
    "at another address": lambda back_end: replace(back_end, address=BackEndAddress(OTHER_ADDRESS)),
    "with a later start time": lambda back_end: replace(back_end, started_ms=START_MS + 1),
    "with an earlier start time": lambda back_end: replace(back_end, started_ms=START_MS - 1),
}


@given('a registry in which "{instance}" is registered {start}')
def step_registry_of_one(context, instance, start):
    context.fixture = RegistryFixture()
    context.registered = back_end_named(instance, started_ms=STARTS[start])
    context.fixture.register(context.registered)


@when('"{instance}" registers again, {how}')
def step_again_how(context, instance, how):
    context.again = CHANGED_REGISTRATIONS[how](context.registered)
    context.fixture.register(context.again)


@then("no back end is used")
def step_none_used(context):
    assert context.fixture.used() is None, context.fixture.used()


@then('"{used}" is used there')
def step_used_there(context, used):
    instance = context.fixture.used(context.again.address)
    assert instance == (None if used == "none" else used), instance


TIMES = {"once": 1, "twice": 2}


@then('"{instance}" was reported as removed {times}, and "{used}" is used')
def step_removed_and_used(context, instance, times, used):
    assert context.fixture.removed.count(instance) == TIMES[times], context.fixture.removed
    assert context.fixture.used() == used, context.fixture.used()


@then('"{instance}" was reported as removed {times}, and no back end is used')
def step_removed_and_none_used(context, instance, times):
    assert context.fixture.removed.count(instance) == TIMES[times], context.fixture.removed
    assert context.fixture.used() is None, context.fixture.used()


ADDRESSES = ("10.2.0.1:8080", "10.2.0.2:8080")
CHANGES = ("start", "crash", "register", "register late", "end", "request")


class RegistryHistory:
    """Applies one sequence of changes at a few addresses to the processes and to the registry."""

    def __init__(self, states_start):
        self.fixture = RegistryFixture()
        self.states_start = states_start
        self.living = {}
        """The process at each address."""
        self.runs = []
        self.entries = {}
        """Registrations in the store."""

    def apply(self, change, address, pick):
        self.fixture.clock_s += 1.0
        if change == "start":
            self._start(address)
        elif change == "crash":
            self.living.pop(address, None)
        elif change == "register":
            self._write(self.living.get(address))
        elif change == "register late" and self.runs:
            self._write(self.runs[pick % len(self.runs)])
        elif change == "end" and self.entries:
            self._end(list(self.entries)[pick % len(self.entries)])
        elif change == "request":
            self.request(address)

    def _start(self, address):
        number = len(self.runs) + 1
        run = back_end_named(f"r-{number}", address, number if self.states_start else None)
        self.runs.append(run)
        self.living[address] = run
        self._write(run)

    def _write(self, run):
        if run is not None:
            self.entries[run.instance] = run
            self.fixture.register(run)

    def _end(self, instance):
        del self.entries[instance]
        self.fixture.registry.end(instance)

    def request(self, address):
        """Send one request to the back end that is used at an address."""
        used = self.fixture.directory.at(address)
        living = self.living.get(address)
        if used is None or living is None:
            return
        if used.instance == living.instance:
            self.fixture.registry.mark_answered(used.instance)
        else:
            self.fixture.registry.mark_replaced(used.run_id, OwnerProof.OTHER_RUN)


@given(
    "any sequence of starts, crashes, late registrations, ended registrations and requests at two "
    "addresses"
)
def step_any(context):
    changes = st.tuples(
        st.sampled_from(CHANGES), st.sampled_from(ADDRESSES), st.integers(min_value=0, max_value=9)
    )
    context.sequences = st.lists(changes, max_size=30)


@then("each registered process is used after as many requests as there are registered runs")
def step_used(context):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given_examples(context.sequences, st.booleans())
    def holds(sequence, states_start):
        history = RegistryHistory(states_start)
        for change in sequence:
            history.apply(*change)
        for address, living in history.living.items():
            if living.instance not in history.entries:
                continue
            for _ in history.entries:
                history.request(address)
            assert history.fixture.used(address) == living.instance

    holds()


@then("no run without a registration is used at any time")
def step_never_gone(context):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given_examples(context.sequences, st.booleans())
    def holds(sequence, states_start):
        history = RegistryHistory(states_start)
        for change in sequence:
            history.apply(*change)
            used = {back_end.instance for back_end in history.fixture.directory.all()}
            assert used <= set(history.entries), used

    holds()


def claimant(name):
    return BackEnd(name, "lm", "10.3.0.1:8080", "hall-a", BackEndState.READY, 4)


@given("a run that has answered at an address where another one was registered")
def step_answered(context):
    context.claims = AddressClaims()
    for revision, name in enumerate(("first", "second"), 1):
        context.claims.put(f"servers/{name}", claimant(name), revision)
    context.claims.record_answer("first", 1.0)


@when("a third run registers there")
def step_third_registers(context):
    context.claims.put("servers/third", claimant("third"), 3)


@then("the third run owns the address, and the first again once it answers")
def step_third_owns(context):
    claims = context.claims
    assert claims.owner("10.3.0.1:8080").back_end.instance == "third"
    claims.record_answer("first", 2.0)
    assert claims.owner("10.3.0.1:8080").back_end.instance == "first"
