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
from weirscale.gateway.state.back_end_registry import BackEndRegistry, OwnerProof
from weirscale.gateway.state.engine_versions import EngineVersions
from weirscale.gateway.state.store_outages import StoreOutageDetector

ADDRESS = "10.2.0.1:8080"
STEP_S = 0.5
"""Between two changes of the registrations."""
SETTLE_S = 1.0
"""Within which a back end that is registered and answers is used."""
NUM_ASKED = 10
LONGEST_S = 30.0
OUTAGE_S = 6.0


HOW = {
    "and state no start": ("states_start", False),
    "each read with everything else": ("reads_anew", True),
    "all during an outage of the store": ("is_outage", True),
    "before a node starts": ("starts_late", True),
    "and node-1 is asked first": ("asks_first", "node-1"),
}
"""How changes of registrations come, and what of the play that is."""


class Address:
    """Nodes before one address at which one process runs and several have registered."""

    def __init__(self, num_nodes, living):
        self.fleet = Fleet()
        self.num_nodes = num_nodes
        self.runs = {}
        self.living = living
        self.changes = ()
        self.answers = {}
        """By node: what it answered after all has settled."""
        self.num_asked = 0
        self.states_start = True
        self.reads_anew = False
        self.is_outage = False
        self.starts_late = False
        self.asks_first = None
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
        """Carry out one change: a letter and + (registers), - (ends) or ~ (writes again)."""
        letter, what = change
        store, run = self.fleet.store, self.run_of(letter)
        if what == "-":
            store.delete(f"servers/{letter}")
        else:
            seq = 1 if what == "+" else 2
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
            if self.reads_anew:
                self.fleet.store.compact()
            await anyio.sleep(STEP_S)
        if self.is_outage:
            await anyio.sleep(OUTAGE_S - len(self.changes) * STEP_S)
            self.fleet.store.is_down = False
            await anyio.sleep(OUTAGE_S)
        if self.starts_late:
            self.num_nodes += 1
            await self.fleet.start_node(f"node-{self.num_nodes}", is_first_start=True)
        await anyio.sleep(SETTLE_S)
        if self.asks_first is not None:
            await self.ask(self.asks_first)
            await anyio.sleep(SETTLE_S)
        for _ in range(NUM_ASKED):
            for name in self.fleet.nodes:
                self.answers.setdefault(name, []).append(await self.ask(name))
            await anyio.sleep(0.1)

    async def ask(self, name, path="/s/1"):
        self.num_asked += 1
        node = self.fleet.nodes[name]
        return await ask(node, path, headers=request_headers(f"q{self.num_asked}"))

    def play(self):
        if not self.answers:
            run_in_virtual_time(lambda: with_fleet(self.fleet, self.body))
        return self


@given('{num_nodes:d} nodes, and an address at which "{living}" runs')
def step_address(context, num_nodes, living):
    context.address = Address(num_nodes, living)


@when('its registrations are "{changes}"')
def step_changes(context, changes):
    context.address.changes = changes.split()


@then('every node has its requests answered by "{living}"')
def step_answered(context, living):
    address = context.address.play()
    assert len(address.answers) == address.num_nodes
    for name, answers in address.answers.items():
        found = {(answer.status, answer.body) for answer in answers}
        assert found == {(200, f"done by {living}".encode())}, (name, found)


@when('its registrations are "{changes}", {how}')
def step_how(context, changes, how):
    address = context.address
    address.changes = changes.split()
    for one in how.split(", "):
        setattr(address, *HOW[one])


@when('"{late}" registers there, without a start, while "{living}" is at work on a request')
def step_at_work(context, late, living):
    address = context.address
    address.states_start = False

    async def act(address):
        run = address.run_of(living)
        await address.change(f"{living}+")
        await anyio.sleep(STEP_S)
        run.read_s = 2.0
        for name in address.fleet.nodes:
            address.fleet.tasks.start_soon(address.ask, name)
        await anyio.sleep(STEP_S)
        run.read_s = 0.03
        await address.change(f"{late}+")
        await anyio.sleep(2.0)

    address.act = act


@when('"{crashed}" crashes there under a request, and "{living}" registers')
def step_crashes(context, crashed, living):
    address = context.address

    async def act(address):
        run, successor = address.run_of(crashed), address.run_of(living)
        address.fleet.targets[ADDRESS] = run
        await address.change(f"{crashed}+")
        await anyio.sleep(STEP_S)
        run.read_s = 1.0
        for name in address.fleet.nodes:
            address.fleet.tasks.start_soon(address.ask, name, "/o/1")
        await anyio.sleep(0.1)
        run.is_crashed = True
        del address.fleet.targets[ADDRESS]
        await anyio.sleep(1.0)
        address.fleet.targets[ADDRESS] = successor
        await address.change(f"{living}+")
        await anyio.sleep(4.0)

    address.act = act


@then('no node doubts "{living}"')
def step_no_doubt(context, living):
    for log in context.address.play().fleet.logs.values():
        assert not log.named("back_end_doubted"), log.events
        assert [line["instance"] for line in log.named("back_end_displaced")] == ["C"]


@then('at most {most:d} requests come to "{living}" that are meant for another run')
def step_few_refused(context, most, living):
    run = context.address.play().run_of(living)
    meant = [headers["x-expect-instance"] for _, _, headers in run.arrivals]
    refused = [one for one in meant if one != living]
    assert len(refused) <= most, refused
    assert len(meant) > most


@given(
    '{num_nodes:d} nodes before an engine "{living}" at an address where "{late}" registers late'
)
def step_engine(context, num_nodes, living, late):
    context.num_nodes = num_nodes
    context.engine = RunnerStandIn(living, "10.3.0.1:8080", "lm")
    context.late = RunnerStandIn(late, "10.3.0.1:8080", "lm")


@when("new weights are named")
def step_named(context):
    fleet = Fleet()
    engine = context.engine

    async def body():
        fleet.store.put("op/config", configuration())
        fleet.add_runner(engine)
        # Others that serve meanwhile, so that loads need not wait.
        for number in (2, 3):
            fleet.add_runner(RunnerStandIn(f"lm-{number}", f"10.3.0.{number}:8080", "lm"))
        for number in range(1, context.num_nodes + 1):
            await fleet.start_node(f"node-{number}", is_first_start=True)
        await anyio.sleep(2.0)
        fleet.store.put(f"servers/{context.late.instance}", context.late.entry())
        await anyio.sleep(0.5)
        fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        began_s = anyio.current_time()
        await anyio.sleep(LONGEST_S)
        context.took_s = engine.orders[0][0] - began_s

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then('"{living}" has the new weights within {bound_s:g} seconds')
def step_has_weights(context, living, bound_s):
    assert context.engine.version == 2
    assert context.took_s <= bound_s, context.took_s


class World:
    """A registry, and the processes and entries that it learns of."""

    def __init__(self):
        self.clock_s = 0.0
        self.gone = []
        self.revision = 0
        log = EventRecorder()
        directory = BackEndDirectory()
        self.directory = directory
        self.registry = BackEndRegistry(
            directory, EngineVersions(directory, log), StoreOutageDetector(), log, self.now_s
        )
        self.registry.observe_removal(lambda back_end: self.gone.append(back_end.instance))

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
    context.world = World()
    context.world.register(back_end_named(first))
    context.world.register(back_end_named(second))


@when('the registration of "{instance}" ends')
def step_ends(context, instance):
    context.world.registry.end(InstanceId(instance))


@when('"{instance}" has answered since')
def step_answered_since(context, instance):
    context.world.registry.mark_answered(InstanceId(instance))
    assert context.world.used() == instance, context.world.used()


@when('then "{instance}" registers there')
def step_registers_there(context, instance):
    context.world.register(back_end_named(instance))


@when('another run than "{instance}" answers there')
def step_other(context, instance):
    run = context.world.directory.get(InstanceId(instance)).run_id
    assert context.world.registry.mark_replaced(run, OwnerProof.OTHER_RUN)
    assert not context.world.registry.mark_replaced(run, OwnerProof.PEER)


START_MS = 1_700_000_000_000
STARTS = {"with its start": START_MS, "and states no start": None}
OTHER_ADDRESS = "10.2.0.9:8080"
AGAIN = {
    "as before": lambda one: one,
    "at another address": lambda one: replace(one, address=BackEndAddress(OTHER_ADDRESS)),
    "with a later start": lambda one: replace(one, started_ms=START_MS + 1),
    "with an earlier start": lambda one: replace(one, started_ms=START_MS - 1),
}


@given('a registry in which "{instance}" is registered {start}')
def step_registry_of_one(context, instance, start):
    context.world = World()
    context.registered = back_end_named(instance, started_ms=STARTS[start])
    context.world.register(context.registered)


@when('"{instance}" registers again, {how}')
def step_again_how(context, instance, how):
    context.again = AGAIN[how](context.registered)
    context.world.register(context.again)


@then("nobody is used")
def step_nobody(context):
    assert context.world.used() is None, context.world.used()


@then('"{used}" is used there')
def step_used_there(context, used):
    found = context.world.used(context.again.address)
    assert found == (None if used == "nobody" else used), found


TIMES = {"once": 1, "twice": 2}


@then('"{instance}" was told as gone {times}, and "{used}" is used')
def step_told_used(context, instance, times, used):
    assert context.world.gone.count(instance) == TIMES[times], context.world.gone
    assert context.world.used() == used, context.world.used()


@then('"{instance}" was told as gone {times}, and nobody is used')
def step_told_nobody(context, instance, times):
    assert context.world.gone.count(instance) == TIMES[times], context.world.gone
    assert context.world.used() is None, context.world.used()


ADDRESSES = ("10.2.0.1:8080", "10.2.0.2:8080")
CHANGES = ("start", "crash", "register", "late entry", "end", "ask")


class Play:
    """One sequence over a few addresses, as it really was and as the registry is told of it."""

    def __init__(self, states_start):
        self.world = World()
        self.states_start = states_start
        self.living = {}
        """The process at each address."""
        self.runs = []
        self.entries = {}
        """What the store holds."""

    def carry_out(self, change, address, pick):
        self.world.clock_s += 1.0
        if change == "start":
            self._start(address)
        elif change == "crash":
            self.living.pop(address, None)
        elif change == "register":
            self._write(self.living.get(address))
        elif change == "late entry" and self.runs:
            self._write(self.runs[pick % len(self.runs)])
        elif change == "end" and self.entries:
            self._end(list(self.entries)[pick % len(self.entries)])
        elif change == "ask":
            self.ask(address)

    def _start(self, address):
        number = len(self.runs) + 1
        run = back_end_named(f"r-{number}", address, number if self.states_start else None)
        self.runs.append(run)
        self.living[address] = run
        self._write(run)

    def _write(self, run):
        if run is not None:
            self.entries[run.instance] = run
            self.world.register(run)

    def _end(self, instance):
        del self.entries[instance]
        self.world.registry.end(instance)

    def ask(self, address):
        """Send one request to whoever is used at an address."""
        used = self.world.directory.at(address)
        living = self.living.get(address)
        if used is None or living is None:
            return
        if used.instance == living.instance:
            self.world.registry.mark_answered(used.instance)
        else:
            self.world.registry.mark_replaced(used.run_id, OwnerProof.OTHER_RUN)


@given("any sequence of starts, crashes, late entries, ends and requests at two addresses")
def step_any(context):
    changes = st.tuples(
        st.sampled_from(CHANGES), st.sampled_from(ADDRESSES), st.integers(min_value=0, max_value=9)
    )
    context.sequences = st.lists(changes, max_size=30)


@then("each process that is registered is used after as many requests as runs are registered")
def step_used(context):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given_examples(context.sequences, st.booleans())
    def holds(sequence, states_start):
        play = Play(states_start)
        for change in sequence:
            play.carry_out(*change)
        for address, living in play.living.items():
            if living.instance not in play.entries:
                continue
            for _ in play.entries:
                play.ask(address)
            assert play.world.used(address) == living.instance

    holds()


@then("no run without a registration is used at any time")
def step_never_gone(context):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given_examples(context.sequences, st.booleans())
    def holds(sequence, states_start):
        play = Play(states_start)
        for change in sequence:
            play.carry_out(*change)
            used = {one.instance for one in play.world.directory.all()}
            assert used <= set(play.entries), used

    holds()
