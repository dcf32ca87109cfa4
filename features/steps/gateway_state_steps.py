"""Steps of `gateway_state.feature`."""

from random import Random
from types import SimpleNamespace

import anyio
from behave import given, then, when
from result import Ok

from features.support.platform_fleet import (
    STORE_ADDRESS,
    EventRecorder,
    Fleet,
    ask,
    configuration,
    request_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.ports.state_feed import (
    BackEndGone,
    BackEndRegistered,
    StateBatch,
    VersionedChange,
)
from weirscale.gateway.replication.follower import StateFollower
from weirscale.gateway.state.cluster_state import ClusterState

TENANT = {"name": "t1", "api_keys": ["good"]}
SETTLE_S = 0.3
LOOK_INTERVAL_S = 0.4
"""A node looks for silences of the store so often; one that does not stood still."""


def keyed_configuration(version, keys=("good",)):
    routes = [
        route("keyed", "/k/", "idempotent", public=False),
        route("deep", "/k/deep/", "idempotent"),
    ]
    return configuration(version, routes, [TENANT | {"api_keys": list(keys)}])


class Script:
    """Steps gathered by a scenario, played in one run once a then step asks."""

    def __init__(self, first):
        self.first = first
        self.actions = []
        self.answers = []
        self.played = None

    def play(self):
        if self.played is None:
            self.fleet = Fleet()
            run_in_virtual_time(self._main)
            self.played = True
        return self

    async def _main(self):
        async def body():
            if self.first is not None:
                self.fleet.store.put("op/config", self.first)
            for number in (1, 2):
                self.fleet.add_runner(back_end(number))
            self.node = await self.fleet.start_node()
            await anyio.sleep(SETTLE_S)
            for action in self.actions:
                await action(self)

        await with_fleet(self.fleet, body)


def back_end(number, service="orders", instance=None):
    name = instance or f"{service}-{number}"
    host = 2 if service == "orders" else 3
    return RunnerStandIn(name, f"10.{host}.0.{number}:8080", service, model=None, read_s=0.01)


@given("a node that has configuration {version:d}")
def step_node(context, version):
    context.script = Script(configuration(version))


@given("a node that has configuration {version:d} with a tenant")
def step_node_tenant(context, version):
    context.script = Script(keyed_configuration(version))


@given("a node and a store without a configuration")
def step_node_without(context):
    context.script = Script(None)


@given("a node that has configuration {version:d} and two back ends")
def step_node_back_ends(context, version):
    context.script = Script(configuration(version))


@given('a node whose route splits {first:d} to "{one}" and {second:d} to "{other}"')
def step_split(context, first, one, second, other):
    parts = [{"service": one, "weight": first}, {"service": other, "weight": second}]
    entry = route("split", "/o/", "mutating", service=None, split=parts)
    services = [{"name": one}, {"name": other}]
    context.script = Script(configuration(1, [entry], services=services))

    async def add(script):
        script.fleet.add_runner(back_end(1, other))
        await anyio.sleep(SETTLE_S)

    context.script.actions.append(add)


async def begin_fault(store, fault):
    if fault == "outage":
        store.is_down = True
    elif fault == "silence":
        store.is_silent = True
    elif fault == "a cut watch":
        store.cut_watches()


def end_fault(store):
    store.is_down = False
    store.is_silent = False


@when('the store suffers "{fault}" while configuration {version:d} is written')
def step_fault_write(context, fault, version):
    async def action(script):
        store = script.fleet.store
        await begin_fault(store, fault)
        if fault == "compaction":
            store.withholds_events = True
        store.put("op/config", b"{" if fault == "nonsense" else configuration(version))
        script.written_s = anyio.current_time()
        if fault in ("outage", "silence"):
            await anyio.sleep(2.0)
        if fault == "compaction":
            await anyio.sleep(1.0)
            store.withholds_events = False
            store.compact()
        end_fault(store)

    context.script.actions.append(action)


@then("within {seconds:g} seconds the node has configuration {version:d}")
def step_has_version(context, seconds, version):
    async def action(script):
        remaining_s = seconds - (anyio.current_time() - script.written_s)
        await anyio.sleep(max(0.0, remaining_s))
        script.version = script.node.cluster.table.version

    context.script.actions.append(action)
    assert context.script.play().version == version, context.script.version


@when('the store suffers "{fault}" for {seconds:g} seconds')
def step_fault_for(context, fault, seconds):
    async def action(script):
        await begin_fault(script.fleet.store, fault)
        await anyio.sleep(seconds)

    context.script.actions.append(action)


@when("a request with the tenant's key is sent")
def step_keyed_request(context):
    add_request(context, "/k/x", "h.example", "good")


@when('a request to "{path}" of "{host}" with key "{key}" is sent')
def step_request(context, path, host, key):
    add_request(context, path, host, key)


@when('a request to "{path}" of "{host}" with key "" is sent')
def step_request_no_key(context, path, host):
    add_request(context, path, host, "")


def add_request(context, path, host, key):
    async def action(script):
        headers = request_headers()
        if key:
            headers.append((b"authorization", f"Bearer {key}".encode()))
        answer = await ask(script.node, path, "GET", headers, b"", host)
        script.answers.append((anyio.current_time(), answer))

    context.script.actions.append(action)


@when("watches hear nothing for 1 second while the key is taken away, then history is dropped")
def step_deaf(context):
    async def action(script):
        store = script.fleet.store
        store.withholds_events = True
        await anyio.sleep(0.3)
        store.put("op/config", keyed_configuration(4, keys=["other"]))
        script.changed_s = anyio.current_time()

        async def heal():
            await anyio.sleep(0.7)
            store.withholds_events = False
            store.compact()

        script.fleet.tasks.start_soon(heal)

    context.script.actions.append(action)


@when("watches hear nothing for good while the key is taken away")
def step_deaf_for_good(context):
    async def action(script):
        script.fleet.store.withholds_events = True
        await anyio.sleep(0.3)
        script.fleet.store.put("op/config", keyed_configuration(4, keys=["other"]))
        script.changed_s = anyio.current_time()

    context.script.actions.append(action)


@when("requests with the tenant's key are sent for {seconds:g} seconds")
def step_requests_for(context, seconds):
    async def action(script):
        end_s = anyio.current_time() + seconds
        while anyio.current_time() < end_s:
            headers = [*request_headers(), (b"authorization", b"Bearer good")]
            sent_s = anyio.current_time()
            answer = await ask(script.node, "/k/x", "GET", headers, b"")
            script.answers.append((sent_s, answer))
            await anyio.sleep(0.05)

    context.script.actions.append(action)


@then("none that was sent {seconds:g} seconds after the change is served")
def step_none_served(context, seconds):
    script = context.script.play()
    late = [
        answer.status for sent_s, answer in script.answers if sent_s >= script.changed_s + seconds
    ]
    assert late and 200 not in late, late
    assert 200 in [answer.status for _, answer in script.answers]


@then("the caller gets status {status:d}")
def step_status(context, status):
    answers = context.script.play().answers
    assert [answer.status for _, answer in answers] == [status], answers


@then("the node is not ready")
def step_not_ready(context):
    assert not context.script.play().node.is_ready()


@when("the first back end is {change}")
def step_change(context, change):
    async def action(script):
        store = script.fleet.store
        first = script.fleet.runners[0]
        script.first = first
        if change == "leaving":
            store.put(f"servers/{first.instance}", first.entry("draining"))
        elif change == "gone":
            store.delete(f"servers/{first.instance}")
        else:
            other = back_end(1, instance="later")
            store.put("servers/later", other.entry() | {"service": "another"})

    context.script.actions.append(action)


@when("the store is {fault} from {seconds:g} seconds later")
def step_store_fault(context, fault, seconds):
    async def action(script):
        await anyio.sleep(seconds)
        script.fleet.store.is_down = fault == "down"
        script.fleet.store.is_silent = fault == "silent"

    context.script.actions.append(action)


@when("all registrations lapse while the store is down for {seconds:g} seconds")
def step_lapse(context, seconds):
    async def action(script):
        store = script.fleet.store
        store.is_down = True
        for runner in script.fleet.runners:
            store.delete(f"servers/{runner.instance}")
        await anyio.sleep(seconds)
        store.is_down = False

    context.script.actions.append(action)


@given("a node that knows a ready and a leaving back end")
def step_ready_and_leaving(context):
    context.now_s = 100.0
    context.cluster = ClusterState(EventRecorder(), lambda: context.now_s)
    states = {"o-1": BackEndState.READY, "o-2": BackEndState.LEAVING}
    ends = [
        BackEnd(name, "orders", f"10.2.0.{number}:8080", "hall-a", state, 4)
        for number, (name, state) in enumerate(states.items())
    ]
    changes = tuple(VersionedChange(end.instance, 1, BackEndRegistered(end)) for end in ends)
    context.cluster.apply(StateBatch(1, changes), context.now_s)


@when("both registrations end {seconds:g} seconds into an outage of the store")
def step_both_end(context, seconds):
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        context.now_s += LOOK_INTERVAL_S
        context.cluster.store_outages.update(context.now_s)
    changes = tuple(VersionedChange(name, 2, BackEndGone(name)) for name in ("o-1", "o-2"))
    context.cluster.apply(StateBatch(2, changes), float("-inf"))


@then("the ready one is kept as lapsed, and the leaving one is forgotten")
def step_only_ready_kept(context):
    ready = context.cluster.directory.get("o-1")
    assert ready is not None
    assert ready.state is BackEndState.LAPSED, ready
    assert context.cluster.directory.get("o-2") is None


@when('the registration of the first back end, "{state}" before, ends {when}')
def step_ends(context, state, when):
    async def action(script):
        store = script.fleet.store
        first = script.first = script.fleet.runners[0]
        store.put(f"servers/{first.instance}", first.entry(state))
        await anyio.sleep(1.0)
        store.is_down = when != "while the store is up"
        # By then no watch waits any more that could tell of it.
        await anyio.sleep(1.5)
        if when == "with the store away":
            store.delete(f"servers/{first.instance}")
        await anyio.sleep(0.5)
        store.is_down = False
        if when == "a while after the store's return":
            await anyio.sleep(5.0)
        store.delete(f"servers/{first.instance}")

    context.script.actions.append(action)


@then("the first back end gets some of them")
def step_some_of_them(context):
    script = context.script.play()
    assert script.first.arrivals
    assert {answer.status for _, answer in script.answers} == {200}


@given("a fleet of {count:d} nodes with a tenant's route")
def step_keyed_fleet(context, count):
    context.fleet = Fleet()
    context.num_nodes = count


@when("{who} cannot reach {what} for {seconds:g} seconds")
def step_cut(context, who, what, seconds):
    fleet = context.fleet

    async def body():
        fleet.store.put("op/config", keyed_configuration(1))
        fleet.add_runner(back_end(1))
        for number in range(context.num_nodes):
            await fleet.start_node(f"node-{number + 1}")
        await anyio.sleep(5.0)
        cut = ["node-1"] if who == "the first node" else list(fleet.nodes)
        if "store" in what:
            fleet.cuts |= {(name, STORE_ADDRESS) for name in cut}
        if "others" in what:
            fleet.mute |= set(cut)
        await anyio.sleep(seconds)
        context.at_end = await ask_keyed(fleet.nodes["node-1"])
        fleet.cuts.clear()
        fleet.mute.clear()
        await anyio.sleep(1.5)
        context.after = await ask_keyed(fleet.nodes["node-1"])

    run_in_virtual_time(lambda: with_fleet(fleet, body))


async def ask_keyed(node):
    """Return whether a node is ready, and its answer to a request with a key."""
    headers = [*request_headers("q1"), (b"authorization", b"Bearer good")]
    return node.is_ready(), await ask(node, "/k/1", headers=headers)


@then(
    "the first node is not ready and sends on at the end, and a keyed request there gets {status:d}"
)
def step_sends_on(context, status):
    is_ready, answer = context.at_end
    assert not is_ready
    assert answer.status == status and answer.header("connection") == b"close", answer
    if status == 503:
        assert float(answer.header("retry-after")) <= 0.05, answer


@then(
    "the first node is ready and keeps callers at the end, and a keyed request there gets {status:d}"
)
def step_keeps(context, status):
    is_ready, answer = context.at_end
    assert is_ready
    assert answer.status == status and answer.header("connection") is None, answer
    if status == 503:
        assert float(answer.header("retry-after")) >= 0.2, answer


@then("one second after that it is ready and serves again")
def step_serves_again(context):
    is_ready, answer = context.after
    assert is_ready and answer.status == 200, answer


@when("the first back end registers {count:d} times with another sequence number")
def step_sequence(context, count):
    async def action(script):
        first = script.fleet.runners[0]
        script.log = script.fleet.logs[script.node.settings.name]
        script.events_before = list(script.log.events)
        script.known_before = script.node.cluster.directory.get(first.instance)
        for number in range(count):
            entry = first.entry() | {"seq": 2 + number}
            script.fleet.store.put(f"servers/{first.instance}", entry)
            await anyio.sleep(0.2)
        script.known_after = script.node.cluster.directory.get(first.instance)

    context.script.actions.append(action)


@then("the node tells of no change and keeps what it knew")
def step_no_change(context):
    script = context.script.play()
    assert script.known_before is not None
    assert script.known_after == script.known_before
    told = [name for name, _ in script.log.events[len(script.events_before) :]]
    assert not [name for name in told if name.startswith("back_end")], told


@when("the back ends register again {seconds:g} seconds after it")
def step_register_again(context, seconds):
    async def action(script):
        await anyio.sleep(seconds)
        for runner in script.fleet.runners:
            script.fleet.store.put(f"servers/{runner.instance}", runner.entry())

    context.script.actions.append(action)


@then("all of them are answered")
def step_all_answered(context):
    answers = context.script.play().answers
    assert [answer.status for _, answer in answers] == [200] * len(answers), answers


@when("{count:d} requests are sent after {seconds:g} seconds")
def step_many(context, count, seconds):
    async def action(script):
        await anyio.sleep(seconds)
        for number in range(count):
            answer = await ask(script.node, "/o/1", headers=request_headers(f"q{number}"))
            script.answers.append((anyio.current_time(), answer))

    context.script.actions.append(action)


@then("the first back end gets none of them")
def step_none_of_them(context):
    script = context.script.play()
    assert not script.first.arrivals
    assert {answer.status for _, answer in script.answers} == {200}


@then('the back end saw the tenant "{tenant}" and no key')
def step_tenant(context, tenant):
    script = context.script.play()
    seen = [one[2] for runner in script.fleet.runners for one in runner.arrivals]
    assert [one.get("x-tenant") for one in seen] == [tenant], seen
    assert not any("authorization" in one for one in seen)


@then('"{one}" got {first:d} and "{other}" {second:d} of them')
def step_shares(context, one, first, other, second):
    script = context.script.play()
    counts = {one: 0, other: 0}
    for runner in script.fleet.runners:
        counts[runner.service] += len(runner.arrivals)
    assert counts == {one: first, other: second}, counts


class OvertakenFeed:
    """Reads everything slowly: first as it was before, then as it is."""

    def __init__(self, before, now):
        self._batches = [before, now]
        self.num_readings = 0

    async def read_all(self):
        self.num_readings += 1
        await anyio.sleep(0.2)
        return Ok(self._batches[min(self.num_readings, 2) - 1])

    async def follow(self, revision, wait_s):
        await anyio.sleep(wait_s)
        return Ok(StateBatch(revision, ()))

    async def current_revision(self):
        return Ok(12)


@given("a node that reads everything while a reader tells it of a new back end")
def step_overtaken(context):
    end = BackEnd("o-1", "orders", "10.2.0.1:8080", "hall-a", BackEndState.READY, 4)
    context.told = StateBatch(12, (VersionedChange("b", 12, BackEndRegistered(end)),))
    context.feed = OvertakenFeed(StateBatch(10, ()), context.told)


@when("the reading ends with the state of before")
def step_reading_ends(context):
    context.is_known = []

    async def do_nothing():
        pass

    async def body():
        cluster = ClusterState(EventRecorder(), anyio.current_time)
        publisher = SimpleNamespace(publish=do_nothing, has_subscribers=lambda: False)
        subscription = SimpleNamespace(
            is_current=lambda: False, is_full_read_due=lambda: False, record_full_read=lambda: None
        )
        follower = StateFollower(
            context.feed,
            cluster,
            EventRecorder(),
            Random(1),
            publisher,
            subscription,
            anyio.current_time,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.sleep(0.1)
            cluster.apply(context.told, anyio.current_time())
            for _ in range(10):
                context.is_known.append(cluster.directory.get("o-1") is not None)
                await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(body)


@then("the back end is known all along, and everything was read once more")
def step_known(context):
    assert all(context.is_known), context.is_known
    assert context.feed.num_readings == 2


@when("{count:d} back ends register within {seconds:g} seconds")
def step_register_many(context, count, seconds):
    async def action(script):
        script.num_watches = num_watches(script.fleet.store)
        for number in range(count):
            script.fleet.add_runner(back_end(number + 10))
            await anyio.sleep(seconds / count)
        await anyio.sleep(0.2)
        script.num_watches = num_watches(script.fleet.store) - script.num_watches
        script.num_known = len(script.node.cluster.directory.instances())

    context.script.actions.append(action)
    context.num_registered = count + 2


def num_watches(store):
    return sum(path == "/v1/kv-watch" for _, path in store.calls)


@then("the node knows them {seconds:g} seconds later, after at most {watches:d} watches")
def step_known_soon(context, seconds, watches):
    script = context.script.play()
    assert script.num_known == context.num_registered, script.num_known
    assert script.num_watches <= watches, script.num_watches
