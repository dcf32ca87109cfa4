"""Steps of `gateway_store_restored.feature`."""

from itertools import pairwise

import anyio
import httpx
from behave import given, then, when
from result import Err, Ok

from features.support.platform_fleet import MODEL, STORE_ADDRESS, EventRecorder
from features.support.platform_store import StoreStandIn, reply
from features.support.restored_store import RestoreRun, keyed_configuration
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.store_positions import StoreEra, position
from weirscale.gateway.ports.state_feed import (
    RecordChanged,
    RolloutOrdered,
    StateBatch,
    VersionedChange,
)
from weirscale.gateway.quarantine.fingerprint import read_fingerprint
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.key_value import KeyValueFailureKind
from weirscale_platform.key_value import KeyValueAdapter
from weirscale_platform.state_feed import StateFeedAdapter
from weirscale_platform.store_client import StoreClient

FINGERPRINT = read_fingerprint("0123456789abcdef0123456789abcdef")
GAP_S = 3.0
AFTER_ORDER_S = 0.3
FENCE_LIFE_S = 8.0
"""Seconds within which the fence record of a node that sends no more orders expires."""
LATE_CALLS = {
    "full read": "/v1/kv-range",
    "revision query": "/v1/kv-range",
    "conditional write": "/v1/kv-txn",
}
"""Path of each call whose answer comes late."""


@given("3 nodes and a store that was backed up")
def step_nodes(context):
    context.restore_run = RestoreRun()


REQUEST_PAUSE_S = 0.1


@when("{lost:d} changes later the store is restored from the backup")
def step_restore(context, lost):
    restore_run = context.restore_run

    async def act():
        restore_run.write_unrelated_key(lost)
        await anyio.sleep(1.0)
        await restore_run.restore()

    restore_run.actions.append(act)


@when("1 second later the store is restored once more")
def step_again(context):
    restore_run = context.restore_run

    async def act():
        await anyio.sleep(1.0)
        await restore_run.restore()

    restore_run.actions.append(act)


@when("{later:d} changes later the operator writes configuration {version:d}")
def step_write(context, later, version):
    restore_run = context.restore_run

    async def act():
        await anyio.sleep(0.5)
        restore_run.write_unrelated_key(later)
        restore_run.write_configuration(version)
        await anyio.sleep(3.0)

    restore_run.actions.append(act)


@when(
    "the operator writes configuration {version:d}, which revokes an API key, and the store is "
    "restored from the backup"
)
def step_revoke(context, version):
    restore_run = context.restore_run

    async def act():
        restore_run.fleet.store.put("op/config", keyed_configuration(version, ("other",)))
        await anyio.sleep(1.0)
        await restore_run.restore()

    restore_run.actions.append(act)


@when("callers send requests with that key for {for_s:d} seconds")
def step_send_with_key(context, for_s):
    restore_run = context.restore_run
    restore_run.actions.append(lambda: restore_run.send_requests(for_s, "good"))


@when("callers send requests for {for_s:d} seconds")
def step_send(context, for_s):
    restore_run = context.restore_run
    restore_run.actions.append(lambda: restore_run.send_requests(for_s))


@when('"{name}" registers, and the store is restored from the backup')
def step_register(context, name):
    restore_run = context.restore_run

    async def act():
        context.runner = restore_run.add_back_end(name, "10.3.0.9:8080", "lm", MODEL)
        await anyio.sleep(1.0)
        await restore_run.restore()

    restore_run.actions.append(act)


@when("the back end registers again {later_s:g} seconds after the restore")
def step_register_again(context, later_s):
    restore_run = context.restore_run

    async def act():
        await anyio.sleep(later_s)
        runner = context.runner
        restore_run.fleet.store.put(f"servers/{runner.instance}", runner.entry())
        await anyio.sleep(3.0)

    restore_run.actions.append(act)


@when('"{name}" registers as leaving, and the store is restored from the backup')
def step_leaving(context, name):
    restore_run = context.restore_run

    async def act():
        runner = next(runner for runner in restore_run.fleet.runners if runner.instance == name)
        restore_run.fleet.store.put(f"servers/{name}", runner.entry("draining"))
        await anyio.sleep(1.0)
        await restore_run.restore()

    restore_run.actions.append(act)


@when("the store is restored from the backup, which holds no node registrations")
def step_nodes_registered(context):
    restore_run = context.restore_run

    async def act():
        # The backup has no node registrations, because they depend on leases.
        assert not [
            key for key in restore_run.fleet.store.backup[0] if key.startswith("weirscale/nodes/")
        ]
        await restore_run.restore()

    restore_run.actions.append(act)


@when("the store's history is compacted {first_s:g} and {second_s:g} seconds later")
def step_compact(context, first_s, second_s):
    restore_run = context.restore_run

    async def act():
        await anyio.sleep(first_s)
        restore_run.fleet.store.compact()
        await anyio.sleep(second_s - first_s)
        restore_run.fleet.store.compact()

    restore_run.actions.append(act)


@when("target version 2 is set and ordered, and the store is restored from the backup")
def step_set_target(context):
    restore_run = context.restore_run

    async def act():
        set_target_version(restore_run, 2)
        while not restore_run.orders():  # noqa: ASYNC110 - engines signal no orders
            await anyio.sleep(0.02)
        await anyio.sleep(AFTER_ORDER_S)
        await restore_run.restore()

    restore_run.actions.append(act)


def set_target_version(restore_run, version):
    restore_run.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})


@when("target version 3 is set at once")
def step_set_target_again(context):
    restore_run = context.restore_run

    async def act():
        set_target_version(restore_run, 3)
        await anyio.sleep(15.0)

    restore_run.actions.append(act)


@when(
    "all nodes are cut off from the store, a new node starts, and target version 3 is set at once"
)
def step_new_node(context):
    restore_run = context.restore_run

    async def act():
        for name in list(restore_run.fleet.nodes):
            restore_run.cut_off(name)
        await restore_run.fleet.start_node("node-9", is_first_start=False)
        set_target_version(restore_run, 3)
        await anyio.sleep(15.0)

    restore_run.actions.append(act)


@when("a node keeps asking whether it may send orders")
def step_may_order(context):
    restore_run = context.restore_run

    async def act():
        first, second, _ = restore_run.fleet.nodes.values()
        while not await first.order_fence.acquire():  # noqa: ASYNC110 - the fence signals no change
            await anyio.sleep(0.1)
        restore_run.first_permitted_s = anyio.current_time() - restore_run.restored_s
        # The second node finds the first node's record, which expires once it is not renewed.
        await anyio.sleep(FENCE_LIFE_S)
        assert second.order_fence.is_era_settled()
        assert await second.order_fence.acquire()

    restore_run.actions.append(act)


@then(
    "the node first may between {from_s:g} and {to_s:g} seconds after the restore, and a node that asks "
    "later may at once"
)
def step_first_permitted(context, from_s, to_s):
    restore_run = context.restore_run.play()
    assert from_s <= restore_run.first_permitted_s <= to_s, restore_run.first_permitted_s


@when("all nodes are killed, a new node starts, and target version 4 is set at once")
def step_killed(context):
    restore_run = context.restore_run

    async def act():
        for name in list(restore_run.fleet.nodes):
            restore_run.fleet.kill(name)
        await restore_run.fleet.start_node("node-9", is_first_start=False)
        set_target_version(restore_run, 4)
        restore_run.written_s = anyio.current_time()
        await anyio.sleep(12.0)

    restore_run.actions.append(act)


@then("the first order of version 4 comes within {within_s:g} seconds of that")
def step_first_order(context, within_s):
    restore_run = context.restore_run.play()
    at_s = next(at_s for at_s, order in restore_run.orders() if order["version"] == 4)
    assert at_s - restore_run.written_s <= within_s, at_s - restore_run.written_s


ORDER_KEY = "op/rollout/lm"


class NodeState:
    """The cluster state of one node, with a clock that tests set."""

    def __init__(self):
        self.now_s = 100.0
        self.cluster = ClusterState(EventRecorder(), lambda: self.now_s)

    def apply_full_read(self, revision, *changes):
        """Apply a full read."""
        self.cluster.replace_all(StateBatch(revision, changes), self.now_s)


def rollout_order(revision):
    change = RolloutOrdered(ServiceName("lm"), SoftwareVersion("v2"), 60.0)
    return VersionedChange(ORDER_KEY, revision, change)


@given('a node that knows an order to roll out "v2"')
def step_rollout_order(context):
    context.node_state = NodeState()
    context.node_state.apply_full_read(7, rollout_order(7))


RECORD_KEY = "weirscale/x"


@given("a node that knows a gateway record")
def step_known_record(context):
    context.node_state = NodeState()
    context.node_state.apply_full_read(
        7, VersionedChange(RECORD_KEY, 7, RecordChanged(RECORD_KEY, b"value"))
    )


@then("the gateway record {outcome}")
def step_record_outcome(context, outcome):
    is_known = RECORD_KEY in context.node_state.cluster.records
    assert is_known == (outcome == "is still valid")


@when("the store is restored from a backup without it")
def step_without_it(context):
    context.node_state.apply_full_read(position(StoreEra(1), 3))


@when("{later_s:g} seconds after the restore {event}")
def step_later(context, later_s, event):
    node_state = context.node_state
    node_state.now_s += later_s
    node_state.cluster.forget_lost()
    if event == "a full read follows":
        node_state.apply_full_read(position(StoreEra(1), 4))
        node_state.cluster.forget_lost()
    if event == "it is written again":
        revision = position(StoreEra(1), 4)
        node_state.cluster.apply(StateBatch(revision, (rollout_order(revision),)), node_state.now_s)
        node_state.now_s += 10.0
        node_state.cluster.forget_lost()


@then("the rollout order {outcome}")
def step_rollout_order_outcome(context, outcome):
    order = context.node_state.cluster.rollouts.orders.get(ServiceName("lm"))
    assert (order is None) == (outcome == "is withdrawn"), order


@when("a request is quarantined, and the store is restored from the backup")
def step_quarantine(context):
    restore_run = context.restore_run

    async def act():
        node = next(iter(restore_run.fleet.nodes.values()))
        for number in (1, 2, 3):
            node.quarantine.note_crash(FINGERPRINT, RunId(f"lm-{number}@0"), number > 1)
        await anyio.sleep(2.0)
        assert quarantine_key() in restore_run.fleet.store.items, "no record was written"
        await restore_run.restore()
        restore_run.fleet.tasks.start_soon(watch_quarantine, restore_run)

    restore_run.actions.append(act)


def quarantine_key():
    return f"weirscale/quarantine/{FINGERPRINT}"


async def watch_quarantine(restore_run):
    restore_run.remaining = []
    while True:
        for node in restore_run.fleet.nodes.values():
            restore_run.remaining.append(node.quarantine.remaining_s(FINGERPRINT))
        await anyio.sleep(0.1)


@then("each node uses configuration {version:d} within {within_s:g} seconds of the write")
def step_in_force(context, version, within_s):
    restore_run = context.restore_run.play()
    for name in restore_run.fleet.nodes:
        versions = [
            view_version
            for at_s, node, _, _, view_version in restore_run.views
            if node == name and at_s >= restore_run.written_s + within_s
        ]
        assert versions and set(versions) == {version}, (name, set(versions))


@then("each node uses configuration {version:d}")
def step_has(context, version):
    restore_run = context.restore_run.play()
    for name, node in restore_run.fleet.nodes.items():
        assert node.cluster.table.version == version, (name, node.cluster.table.version)


@then("none of the requests is served")
def step_none_served(context):
    answers = context.restore_run.play().answers
    assert len(answers) > 20
    assert 200 not in {answer.status for answer in answers}


@then('after the restore every node has back ends at all times, and "{name}" is one of them')
def step_used_on(context, name):
    restore_run = context.restore_run.play()
    views = [view for view in restore_run.views if view[0] >= restore_run.restored_s]
    assert views
    for at_s, node, back_ends, _, _ in views:
        assert back_ends and name in back_ends, (at_s - restore_run.restored_s, node, back_ends)


@then('no node has "{name}" from {later_s:g} seconds after the restore on')
def step_forgotten(context, name, later_s):
    restore_run = context.restore_run.play()
    views = [view for view in restore_run.views if view[0] >= restore_run.restored_s + later_s]
    assert views
    assert not [view for view in views if name in view[2]]


@then('"{name}" gets no request after the restore')
def step_no_request(context, name):
    restore_run = context.restore_run.play()
    runner = next(runner for runner in restore_run.fleet.runners if runner.instance == name)
    arrivals_s = [at_s for at_s, _, _ in runner.arrivals if at_s > restore_run.restored_s]
    assert not arrivals_s, arrivals_s
    assert {answer.status for answer in restore_run.answers} == {200}


@then("each node knows {num:d} nodes at all times after the restore")
def step_known(context, num):
    restore_run = context.restore_run.play()
    views = [view for view in restore_run.views if view[0] >= restore_run.restored_s]
    assert {num_nodes for _, _, _, num_nodes, _ in views} == {num}, {view[3] for view in views}


@then("each node has registered again")
def step_registered(context):
    restore_run = context.restore_run.play()
    for name in restore_run.fleet.nodes:
        assert f"weirscale/nodes/{name}" in restore_run.fleet.store.items, name


@then("all engines have version 3 within {within_s:g} seconds")
def step_weights(context, within_s):
    restore_run = context.restore_run.play()
    versions = [runner.version for runner in restore_run.fleet.runners if runner.model == MODEL]
    assert set(versions) == {3}, versions


@then("no order has a lower fencing token than the order before it")
def step_tokens(context):
    tokens = [order["fence_token"] for _, order in context.restore_run.play().orders()]
    assert len(tokens) > 3, tokens
    assert tokens == sorted(tokens), tokens


@then("orders of different nodes are at least {gap_s:g} seconds apart")
def step_gap(context, gap_s):
    orders = context.restore_run.play().orders()
    assert len({order["holder"] for _, order in orders}) > 1 or len(orders) > 3, orders
    for (before_s, before), (at_s, order) in pairwise(orders):
        if before["holder"] != order["holder"]:
            assert at_s - before_s >= gap_s, (before, order, at_s - before_s)


@then("that request stays quarantined after the restore")
def step_stays_quarantined(context):
    remaining = context.restore_run.play().remaining
    assert len(remaining) > 50
    assert all(remaining_s is not None for remaining_s in remaining)


@then("the store holds the request's quarantine record")
def step_record(context):
    assert quarantine_key() in context.restore_run.play().fleet.store.items


@then("each node logs once that the store was restored")
def step_logged(context):
    for node, log in context.restore_run.play().fleet.logs.items():
        lines = log.named("store_restored")
        assert [line["era"] for line in lines] == [1], (node, lines)


class ClientFixture:
    """A store client and its stand-in store."""

    def __init__(self):
        self.store = StoreStandIn()
        self.store.put("op/config", {"version": 1})
        self.store.take_backup()
        client = StoreClient(
            STORE_ADDRESS, lambda _max_connections, _keepalive_s: StoreTransport(self.store)
        )
        self.keys = KeyValueAdapter(client)
        self.feed = StateFeedAdapter(client)
        self.outcome = None

    def run(self, script):
        """Run a coroutine function in virtual time."""
        run_in_virtual_time(script)


class StoreTransport(httpx.AsyncBaseTransport):
    """Passes requests to the stand-in store."""

    def __init__(self, store):
        self._store = store

    async def handle_async_request(self, request):
        return await self._store.handle(request)


@given("a client of a store that was backed up")
def step_client(context):
    context.client_fixture = ClientFixture()


@when(
    "a {call} is sent, the store is restored from the backup, a read reports the restore, and the "
    "{same} is answered"
)
def step_late(context, call, same):
    assert call == same
    fixture = context.client_fixture
    calls = {
        "full read": fixture.feed.read_all,
        "revision query": fixture.feed.current_revision,
        "conditional write": lambda: fixture.keys.compare_and_swap("weirscale/x", 0, b"value"),
    }

    async def script():
        fixture.store.withheld_answers.append(LATE_CALLS[call])

        async def send_call():
            fixture.outcome = await calls[call]()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_call)
            await anyio.sleep(0.1)
            fixture.store.restore()
            assert isinstance(await fixture.feed.current_revision(), Ok)
            fixture.store.release_answers()

    fixture.run(script)


@then("the client treats the {call} as unanswered")
def step_unanswered(context, call):
    outcome = context.client_fixture.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.AMBIGUOUS, outcome


@when(
    "a key is written, the store is restored from the backup, and the key gets the same revision "
    "again"
)
def step_same_revision(context):
    context.client_fixture.setup = True


@when("{noticed} restore, the client {does}")
def step_does(context, noticed, does):
    fixture = context.client_fixture
    has_noticed = not noticed.startswith("without")

    async def script():
        written = (await fixture.keys.compare_and_swap("weirscale/x", 0, b"first")).ok_value
        lease = (await fixture.keys.grant_lease(60.0)).ok_value
        revision = written.current.mod_revision
        fixture.store.restore()
        fixture.store.put("weirscale/x", b"another")
        assert fixture.store.items["weirscale/x"]["revision"] == revision
        fixture.store.leases[lease] = anyio.current_time() + 60.0
        fixture.store.lives_ms[lease] = 60_000
        if has_noticed:
            await fixture.feed.current_revision()
        actions = {
            "changes the key if its revision is the same": lambda: fixture.keys.compare_and_swap(
                "weirscale/x", revision, b"second"
            ),
            "watches from its revision": lambda: fixture.feed.follow(revision, 0.5),
            "renews its lease": lambda: fixture.keys.keep_lease_alive(lease),
        }
        fixture.has_noticed = has_noticed
        fixture.num_calls = len(fixture.store.calls)
        lease_ends_s, began_s = fixture.store.leases[lease], anyio.current_time()
        fixture.outcome = await actions[does]()
        fixture.took_s = anyio.current_time() - began_s
        fixture.keeps_lease = fixture.store.leases[lease] == lease_ends_s

    fixture.run(script)


@then("if the client had noticed the restore, it knows at once and changes nothing in the store")
def step_nothing_changed(context):
    fixture = context.client_fixture
    if fixture.has_noticed:
        assert fixture.took_s < 0.1, fixture.took_s
        assert fixture.keeps_lease
        paths = [path for _, path in fixture.store.calls[fixture.num_calls :]]
        assert "/v1/kv-txn" not in paths, paths


@then("the key is unchanged")
def step_key_unchanged(context):
    outcome = context.client_fixture.outcome
    assert isinstance(outcome, Ok) and not outcome.ok_value.succeeded, outcome
    assert outcome.ok_value.current.value == b"another", outcome


@then("the change has an unknown outcome")
def step_unknown_outcome(context):
    outcome = context.client_fixture.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.AMBIGUOUS, outcome


@then("the client must do a full read")
def step_full_read(context):
    outcome = context.client_fixture.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.COMPACTED, outcome


@then("the client's lease is lost")
def step_lease_lost(context):
    outcome = context.client_fixture.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.LEASE_LOST, outcome


@when('the answers state the era "{era}"')
def step_era(context, era):
    fixture = context.client_fixture

    class TransportWithEra(httpx.AsyncBaseTransport):
        async def handle_async_request(self, request):
            response = reply(200, {"items": [], "more": False, "at": 7})
            if era != "nothing":
                response.headers["Store-Era"] = era
            return response

    client = StoreClient(STORE_ADDRESS, lambda _max_connections, _keepalive_s: TransportWithEra())

    async def script():
        fixture.outcome = await StateFeedAdapter(client).current_revision()

    fixture.run(script)


@then("the client reads revision 7 unchanged")
def step_revision_unchanged(context):
    assert context.client_fixture.outcome == Ok(7), context.client_fixture.outcome


@then("the client reads revision 7 as a later position")
def step_later_position(context):
    outcome = context.client_fixture.outcome
    assert isinstance(outcome, Ok) and outcome.ok_value > 1_000_000_000, outcome


@then("the client treats the answer as unreadable")
def step_unreadable(context):
    outcome = context.client_fixture.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.AMBIGUOUS, outcome


NEW_NODE = "node-9"
MAX_ACCEPT_S = 9.0


async def start_new_node(restore_run):
    return await restore_run.fleet.start_node(NEW_NODE, is_first_start=False)


async def ask_with_key(restore_run, node, key):
    """Send a request with a key to one node, and return its answer."""
    await restore_run._send_request(node, key)
    return restore_run.answers.pop()


@when("a new node starts at once, and gets requests with that key for {for_s:d} seconds")
def step_new_node_asked(context, for_s):
    restore_run = context.restore_run

    async def act():
        node = restore_run.new_node = await start_new_node(restore_run)
        until_s = anyio.current_time() + for_s
        while anyio.current_time() < until_s:
            restore_run.answers.append(await ask_with_key(restore_run, node, "good"))
            await anyio.sleep(REQUEST_PAUSE_S)
        restore_run.write_configuration(5, ("other",))
        await anyio.sleep(1.0)
        restore_run.other_answer = await ask_with_key(restore_run, node, "other")
        restore_run.revoked_answer = await ask_with_key(restore_run, node, "good")

    restore_run.actions.append(act)


@when("the operator writes configuration 5 again, which has another key")
def step_written_again(context):
    """The action of the step before has done it."""


@then("the new node serves that key within 1 second, and refuses the revoked one as unknown")
def step_new_key(context):
    restore_run = context.restore_run.play()
    assert restore_run.other_answer.status == 200, restore_run.other_answer
    assert restore_run.revoked_answer.status == 401, restore_run.revoked_answer


@when("the store is restored from the backup, and a new node starts at once")
def step_restore_and_start(context):
    measure_acceptance(context, 0.0)


@when("the store is restored from the backup, and a new node starts {later_s:d} seconds later")
def step_restore_and_start_later(context, later_s):
    measure_acceptance(context, later_s)


@when(
    "the store is restored from the backup twice, {pause_s:d} seconds apart, and a new node starts "
    "{later_s:d} seconds later"
)
def step_restore_twice(context, pause_s, later_s):
    measure_acceptance(context, later_s, (pause_s,))


def measure_acceptance(context, later_s, pauses_s=()):
    """Measure after which time a node that starts after a restore serves a key.

    Before the last restore there is one before each of the pauses.
    """
    restore_run = context.restore_run

    async def act():
        for pause_s in pauses_s:
            await restore_run.restore()
            await anyio.sleep(pause_s)
        await restore_run.restore()
        await anyio.sleep(later_s)
        node = await start_new_node(restore_run)
        began_s = anyio.current_time()
        while anyio.current_time() < began_s + MAX_ACCEPT_S:
            answer = await ask_with_key(restore_run, node, "good")
            if answer.status == 200:
                break
            await anyio.sleep(REQUEST_PAUSE_S)
        restore_run.accepted_after_s = anyio.current_time() - began_s

    restore_run.actions.append(act)


@then("the new node accepts keys between {from_s:g} and {to_s:g} seconds later")
def step_accepts(context, from_s, to_s):
    restore_run = context.restore_run.play()
    assert from_s <= restore_run.accepted_after_s <= to_s, restore_run.accepted_after_s
