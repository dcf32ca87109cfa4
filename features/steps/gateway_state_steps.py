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
UPDATE_INTERVAL_S = 0.4
"""Interval at which a node updates its outage detector. A longer pause counts as a suspension."""


def keyed_configuration(version, keys=("good",)):
    routes = [
        route("keyed", "/k/", "idempotent", public=False),
        route("deep", "/k/deep/", "idempotent"),
    ]
    return configuration(version, routes, [TENANT | {"api_keys": list(keys)}])


class NodeRun:
    """A node and the actions of a scenario, run in virtual time when a `then` step needs results."""

    def __init__(self, stored_configuration):
        self.stored_configuration = stored_configuration
        self.actions = []
        self.answers = []
        self.has_run = None

    def run(self):
        if self.has_run is None:
            self.fleet = Fleet()
            run_in_virtual_time(self._main)
            self.has_run = True
        return self

    async def _main(self):
        async def body():
            if self.stored_configuration is not None:
                self.fleet.store.put("op/config", self.stored_configuration)
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
    context.node_run = NodeRun(configuration(version))


@given("a node that has configuration {version:d} with a tenant")
def step_node_tenant(context, version):
    context.node_run = NodeRun(keyed_configuration(version))


@given("a node whose store holds no configuration")
def step_node_without(context):
    context.node_run = NodeRun(None)


@given("a node that has configuration {version:d} and two back ends")
def step_node_back_ends(context, version):
    context.node_run = NodeRun(configuration(version))


@given(
    'a node whose route splits requests with weight {first_weight:d} to "{first}" and '
    '{second_weight:d} to "{second}"'
)
def step_split(context, first_weight, first, second_weight, second):
    parts = [
        {"service": first, "weight": first_weight},
        {"service": second, "weight": second_weight},
    ]
    entry = route("split", "/o/", "mutating", service=None, split=parts)
    services = [{"name": first}, {"name": second}]
    context.node_run = NodeRun(configuration(1, [entry], services=services))

    async def add(node_run):
        node_run.fleet.add_runner(back_end(1, second))
        await anyio.sleep(SETTLE_S)

    context.node_run.actions.append(add)


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


@when('configuration {version:d} is written during the store fault "{fault}"')
def step_fault_write(context, fault, version):
    async def action(node_run):
        store = node_run.fleet.store
        await begin_fault(store, fault)
        if fault == "compaction":
            store.withholds_events = True
        store.put("op/config", b"{" if fault == "bad JSON" else configuration(version))
        node_run.written_s = anyio.current_time()
        if fault in ("outage", "silence"):
            await anyio.sleep(2.0)
        if fault == "compaction":
            await anyio.sleep(1.0)
            store.withholds_events = False
            store.compact()
        end_fault(store)

    context.node_run.actions.append(action)


@then("within {seconds:g} seconds configuration {version:d} is in force at the node")
def step_has_version(context, seconds, version):
    async def action(node_run):
        remaining_s = seconds - (anyio.current_time() - node_run.written_s)
        await anyio.sleep(max(0.0, remaining_s))
        node_run.version = node_run.node.cluster.table.version

    context.node_run.actions.append(action)
    assert context.node_run.run().version == version, context.node_run.version


@when('the store has the fault "{fault}" for {seconds:g} seconds')
def step_fault_for(context, fault, seconds):
    async def action(node_run):
        await begin_fault(node_run.fleet.store, fault)
        await anyio.sleep(seconds)

    context.node_run.actions.append(action)


@when("a request with the tenant's API key is sent")
def step_keyed_request(context):
    add_request(context, "/k/x", "h.example", "good")


@when('a request for "{path}" on host "{host}" with API key "{key}" is sent')
def step_request(context, path, host, key):
    add_request(context, path, host, key)


@when('a request for "{path}" on host "{host}" with API key "" is sent')
def step_request_no_key(context, path, host):
    add_request(context, path, host, "")


def add_request(context, path, host, key):
    async def action(node_run):
        headers = request_headers()
        if key:
            headers.append((b"authorization", f"Bearer {key}".encode()))
        answer = await ask(node_run.node, path, "GET", headers, b"", host)
        node_run.answers.append((anyio.current_time(), answer))

    context.node_run.actions.append(action)


@when(
    "the API key is revoked while watches report nothing for 1 second, and then the store's "
    "history is compacted"
)
def step_watch_gap(context):
    async def action(node_run):
        store = node_run.fleet.store
        store.withholds_events = True
        await anyio.sleep(0.3)
        store.put("op/config", keyed_configuration(4, keys=["other"]))
        node_run.changed_s = anyio.current_time()

        async def end_gap():
            await anyio.sleep(0.7)
            store.withholds_events = False
            store.compact()

        node_run.fleet.tasks.start_soon(end_gap)

    context.node_run.actions.append(action)


@when("the API key is revoked while watches report nothing any more")
def step_watch_lost(context):
    async def action(node_run):
        node_run.fleet.store.withholds_events = True
        await anyio.sleep(0.3)
        node_run.fleet.store.put("op/config", keyed_configuration(4, keys=["other"]))
        node_run.changed_s = anyio.current_time()

    context.node_run.actions.append(action)


@when("requests with the tenant's API key are sent for {seconds:g} seconds")
def step_requests_for(context, seconds):
    async def action(node_run):
        end_s = anyio.current_time() + seconds
        while anyio.current_time() < end_s:
            headers = [*request_headers(), (b"authorization", b"Bearer good")]
            sent_s = anyio.current_time()
            answer = await ask(node_run.node, "/k/x", "GET", headers, b"")
            node_run.answers.append((sent_s, answer))
            await anyio.sleep(0.05)

    context.node_run.actions.append(action)


@then("no request sent {seconds:g} seconds or more after the change is served")
def step_none_served(context, seconds):
    node_run = context.node_run.run()
    late = [
        answer.status
        for sent_s, answer in node_run.answers
        if sent_s >= node_run.changed_s + seconds
    ]
    assert late and 200 not in late, late
    assert 200 in [answer.status for _, answer in node_run.answers]


@then("the caller gets status {status:d}")
def step_status(context, status):
    answers = context.node_run.run().answers
    assert [answer.status for _, answer in answers] == [status], answers


@then("the node is not ready")
def step_not_ready(context):
    assert not context.node_run.run().node.is_ready()


@when("the first back end is {change}")
def step_change(context, change):
    async def action(node_run):
        store = node_run.fleet.store
        first = node_run.fleet.runners[0]
        node_run.first = first
        if change == "leaving":
            store.put(f"servers/{first.instance}", first.entry("draining"))
        elif change == "deregistered":
            store.delete(f"servers/{first.instance}")
        else:
            other = back_end(1, instance="later")
            store.put("servers/later", other.entry() | {"service": "another"})

    context.node_run.actions.append(action)


@when("the store is {fault} starting {seconds:g} seconds later")
def step_store_fault(context, fault, seconds):
    async def action(node_run):
        await anyio.sleep(seconds)
        node_run.fleet.store.is_down = fault == "down"
        node_run.fleet.store.is_silent = fault == "silent"

    context.node_run.actions.append(action)


@when("all registrations lapse while the store is down for {seconds:g} seconds")
def step_lapse(context, seconds):
    async def action(node_run):
        store = node_run.fleet.store
        store.is_down = True
        for runner in node_run.fleet.runners:
            store.delete(f"servers/{runner.instance}")
        await anyio.sleep(seconds)
        store.is_down = False

    context.node_run.actions.append(action)


@given("a node with a ready and a leaving back end")
def step_ready_and_leaving(context):
    context.now_s = 100.0
    context.cluster = ClusterState(EventRecorder(), lambda: context.now_s)
    states = {"o-1": BackEndState.READY, "o-2": BackEndState.LEAVING}
    back_ends = [
        BackEnd(name, "orders", f"10.2.0.{number}:8080", "hall-a", state, 4)
        for number, (name, state) in enumerate(states.items())
    ]
    changes = tuple(
        VersionedChange(back_end.instance, 1, BackEndRegistered(back_end)) for back_end in back_ends
    )
    context.cluster.apply(StateBatch(1, changes), context.now_s)


@when("both registrations end {seconds:g} seconds into a store outage")
def step_both_end(context, seconds):
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        context.now_s += UPDATE_INTERVAL_S
        context.cluster.store_outages.update(context.now_s)
    changes = tuple(VersionedChange(name, 2, BackEndGone(name)) for name in ("o-1", "o-2"))
    context.cluster.apply(StateBatch(2, changes), float("-inf"))


@then("the ready back end is kept as lapsed, and the leaving one is removed")
def step_only_ready_kept(context):
    ready = context.cluster.directory.get("o-1")
    assert ready is not None
    assert ready.state is BackEndState.LAPSED, ready
    assert context.cluster.directory.get("o-2") is None


@when('the registration of the first back end, "{state}" before, ends {when}')
def step_ends(context, state, when):
    async def action(node_run):
        store = node_run.fleet.store
        first = node_run.first = node_run.fleet.runners[0]
        store.put(f"servers/{first.instance}", first.entry(state))
        await anyio.sleep(1.0)
        store.is_down = when != "while the store is up"
        # After this time no watch call is left that could report the end.
        await anyio.sleep(1.5)
        if when == "while the store is down":
            store.delete(f"servers/{first.instance}")
        await anyio.sleep(0.5)
        store.is_down = False
        if when == "a while after the store's recovery":
            await anyio.sleep(5.0)
        store.delete(f"servers/{first.instance}")

    context.node_run.actions.append(action)


@then("the first back end gets some of the requests")
def step_some_requests(context):
    node_run = context.node_run.run()
    assert node_run.first.arrivals
    assert {answer.status for _, answer in node_run.answers} == {200}


@given("a fleet of {count:d} nodes with a tenant's route")
def step_keyed_fleet(context, count):
    context.fleet = Fleet()
    context.num_nodes = count


@when("{nodes} cannot reach {target} for {seconds:g} seconds")
def step_cut(context, nodes, target, seconds):
    fleet = context.fleet

    async def body():
        fleet.store.put("op/config", keyed_configuration(1))
        fleet.add_runner(back_end(1))
        for number in range(context.num_nodes):
            await fleet.start_node(f"node-{number + 1}")
        await anyio.sleep(5.0)
        cut = ["node-1"] if nodes == "the first node" else list(fleet.nodes)
        if "store" in target:
            fleet.cuts |= {(name, STORE_ADDRESS) for name in cut}
        if "other nodes" in target:
            fleet.mute |= set(cut)
        await anyio.sleep(seconds)
        context.state_at_end = await ask_keyed(fleet.nodes["node-1"])
        fleet.cuts.clear()
        fleet.mute.clear()
        await anyio.sleep(1.5)
        context.state_after = await ask_keyed(fleet.nodes["node-1"])

    run_in_virtual_time(lambda: with_fleet(fleet, body))


async def ask_keyed(node):
    """Return whether a node is ready, and its answer to a request with an API key."""
    headers = [*request_headers("q1"), (b"authorization", b"Bearer good")]
    return node.is_ready(), await ask(node, "/k/1", headers=headers)


@then(
    "the first node is not ready and closes connections at the end, and a request with an API key "
    "gets {status:d} there"
)
def step_closes_connections(context, status):
    is_ready, answer = context.state_at_end
    assert not is_ready
    assert answer.status == status and answer.header("connection") == b"close", answer
    if status == 503:
        assert float(answer.header("retry-after")) <= 0.05, answer


@then(
    "the first node is ready and keeps connections open at the end, and a request with an API key "
    "gets {status:d} there"
)
def step_keeps_connections(context, status):
    is_ready, answer = context.state_at_end
    assert is_ready
    assert answer.status == status and answer.header("connection") is None, answer
    if status == 503:
        assert float(answer.header("retry-after")) >= 0.2, answer


@then("one second after that the first node is ready and serves again")
def step_serves_again(context):
    is_ready, answer = context.state_after
    assert is_ready and answer.status == 200, answer


@when("the first back end registers {count:d} times with a new sequence number each time")
def step_sequence(context, count):
    async def action(node_run):
        first = node_run.fleet.runners[0]
        node_run.log = node_run.fleet.logs[node_run.node.settings.name]
        node_run.events_before = list(node_run.log.events)
        node_run.record_before = node_run.node.cluster.directory.get(first.instance)
        for number in range(count):
            entry = first.entry() | {"seq": 2 + number}
            node_run.fleet.store.put(f"servers/{first.instance}", entry)
            await anyio.sleep(0.2)
        node_run.record_after = node_run.node.cluster.directory.get(first.instance)

    context.node_run.actions.append(action)


@then("the node logs no change of a back end and keeps the back end's record")
def step_no_change(context):
    node_run = context.node_run.run()
    assert node_run.record_before is not None
    assert node_run.record_after == node_run.record_before
    events = [name for name, _ in node_run.log.events[len(node_run.events_before) :]]
    assert not [name for name in events if name.startswith("back_end")], events


@when("the back ends register again {seconds:g} seconds later")
def step_register_again(context, seconds):
    async def action(node_run):
        await anyio.sleep(seconds)
        for runner in node_run.fleet.runners:
            node_run.fleet.store.put(f"servers/{runner.instance}", runner.entry())

    context.node_run.actions.append(action)


@then("all requests are answered with status 200")
def step_all_answered(context):
    answers = context.node_run.run().answers
    assert [answer.status for _, answer in answers] == [200] * len(answers), answers


@when("{count:d} requests are sent after {seconds:g} seconds")
def step_requests(context, count, seconds):
    async def action(node_run):
        await anyio.sleep(seconds)
        for number in range(count):
            answer = await ask(node_run.node, "/o/1", headers=request_headers(f"q{number}"))
            node_run.answers.append((anyio.current_time(), answer))

    context.node_run.actions.append(action)


@then("the first back end gets none of the requests")
def step_no_requests(context):
    node_run = context.node_run.run()
    assert not node_run.first.arrivals
    assert {answer.status for _, answer in node_run.answers} == {200}


@then('the back end received the tenant name "{tenant}" and no API key')
def step_tenant(context, tenant):
    node_run = context.node_run.run()
    received = [arrival[2] for runner in node_run.fleet.runners for arrival in runner.arrivals]
    assert [headers.get("x-tenant") for headers in received] == [tenant], received
    assert not any("authorization" in headers for headers in received)


@then('"{first}" gets {first_count:d} and "{second}" {second_count:d} of the requests')
def step_shares(context, first, first_count, second, second_count):
    node_run = context.node_run.run()
    counts = {first: 0, second: 0}
    for runner in node_run.fleet.runners:
        counts[runner.service] += len(runner.arrivals)
    assert counts == {first: first_count, second: second_count}, counts


class OvertakenFeed:
    """A feed with slow full reads: the first returns an outdated state, later ones the current state."""

    def __init__(self, outdated, current):
        self._batches = [outdated, current]
        self.num_full_reads = 0

    async def read_all(self):
        self.num_full_reads += 1
        await anyio.sleep(0.2)
        return Ok(self._batches[min(self.num_full_reads, 2) - 1])

    async def follow(self, revision, wait_s):
        await anyio.sleep(wait_s)
        return Ok(StateBatch(revision, ()))

    async def current_revision(self):
        return Ok(12)


@given("a node that does a full read while a reader reports a new back end")
def step_overtaken(context):
    back_end = BackEnd("o-1", "orders", "10.2.0.1:8080", "hall-a", BackEndState.READY, 4)
    context.reported = StateBatch(12, (VersionedChange("b", 12, BackEndRegistered(back_end)),))
    context.feed = OvertakenFeed(StateBatch(10, ()), context.reported)


@when("the full read returns the state from before the registration")
def step_full_read_ends(context):
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
            cluster.apply(context.reported, anyio.current_time())
            for _ in range(10):
                context.is_known.append(cluster.directory.get("o-1") is not None)
                await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(body)


@then("the back end stays known throughout, and the full read is repeated once")
def step_known(context):
    assert all(context.is_known), context.is_known
    assert context.feed.num_full_reads == 2


@when("{count:d} back ends register within {seconds:g} seconds")
def step_register_many(context, count, seconds):
    async def action(node_run):
        node_run.num_watch_calls = count_watch_calls(node_run.fleet.store)
        for number in range(count):
            node_run.fleet.add_runner(back_end(number + 10))
            await anyio.sleep(seconds / count)
        await anyio.sleep(0.2)
        node_run.num_watch_calls = (
            count_watch_calls(node_run.fleet.store) - node_run.num_watch_calls
        )
        node_run.num_known = len(node_run.node.cluster.directory.instances())

    context.node_run.actions.append(action)
    context.num_registered = count + 2


def count_watch_calls(store):
    return sum(path == "/v1/kv-watch" for _, path in store.calls)


@then(
    "the node knows all back ends {seconds:g} seconds later, after at most {watches:d} watch calls"
)
def step_known_soon(context, seconds, watches):
    node_run = context.node_run.run()
    assert node_run.num_known == context.num_registered, node_run.num_known
    assert node_run.num_watch_calls <= watches, node_run.num_watch_calls
