"""Steps of `gateway_store_restored.feature`."""

from itertools import pairwise

import anyio
import httpx
from behave import given, then, when
from result import Err, Ok

from features.support.platform_fleet import MODEL, STORE_ADDRESS, EventRecorder
from features.support.platform_store import StoreStandIn, reply
from features.support.restored_store import RestoredStore, keyed_configuration
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
"""Within which the record of a node that orders no more is gone."""
LATE_CALLS = {"reading": "/v1/kv-range", "revision": "/v1/kv-range", "change": "/v1/kv-txn"}


@given("3 nodes before a store of which a copy was taken")
def step_nodes(context):
    context.play = RestoredStore()


@when("{lost:d} changes later the store comes back from the copy")
def step_restore(context, lost):
    play = context.play

    async def act():
        play.change_something(lost)
        await anyio.sleep(1.0)
        await play.restore()

    play.actions.append(act)


@when("1 second later it comes back from the copy once more")
def step_again(context):
    play = context.play

    async def act():
        await anyio.sleep(1.0)
        await play.restore()

    play.actions.append(act)


@when("{later:d} changes later the operator writes configuration {version:d}")
def step_write(context, later, version):
    play = context.play

    async def act():
        await anyio.sleep(0.5)
        play.change_something(later)
        play.write_configuration(version)
        await anyio.sleep(3.0)

    play.actions.append(act)


@when(
    "the operator writes configuration {version:d}, in which a key is taken away, and the store "
    "comes back from the copy"
)
def step_revoke(context, version):
    play = context.play

    async def act():
        play.fleet.store.put("op/config", keyed_configuration(version, ("other",)))
        await anyio.sleep(1.0)
        await play.restore()

    play.actions.append(act)


@when("callers ask with that key for {for_s:d} seconds")
def step_ask_with_key(context, for_s):
    play = context.play
    play.actions.append(lambda: play.ask_all(for_s, "good"))


@when("callers ask for {for_s:d} seconds")
def step_ask(context, for_s):
    play = context.play
    play.actions.append(lambda: play.ask_all(for_s))


@when('"{name}" registers, and the store comes back from the copy')
def step_register(context, name):
    play = context.play

    async def act():
        context.runner = play.add_back_end(name, "10.3.0.9:8080", "lm", MODEL)
        await anyio.sleep(1.0)
        await play.restore()

    play.actions.append(act)


@when("it registers again {later_s:g} seconds after that")
def step_register_again(context, later_s):
    play = context.play

    async def act():
        await anyio.sleep(later_s)
        runner = context.runner
        play.fleet.store.put(f"servers/{runner.instance}", runner.entry())
        await anyio.sleep(3.0)

    play.actions.append(act)


@when('"{name}" registers as leaving, and the store comes back from the copy')
def step_leaving(context, name):
    play = context.play

    async def act():
        runner = next(one for one in play.fleet.runners if one.instance == name)
        play.fleet.store.put(f"servers/{name}", runner.entry("draining"))
        await anyio.sleep(1.0)
        await play.restore()

    play.actions.append(act)


@when("the nodes register after the copy, and the store comes back from the copy")
def step_nodes_registered(context):
    play = context.play

    async def act():
        # The copy has no registration of a node: they hang on leases.
        assert not [key for key in play.fleet.store.backup[0] if key.startswith("weirscale/nodes/")]
        await play.restore()

    play.actions.append(act)


@when("the store forgets its history {first_s:g} and {second_s:g} seconds later")
def step_compact(context, first_s, second_s):
    play = context.play

    async def act():
        await anyio.sleep(first_s)
        play.fleet.store.compact()
        await anyio.sleep(second_s - first_s)
        play.fleet.store.compact()

    play.actions.append(act)


@when("weights 2 are named and ordered, and the store comes back from the copy")
def step_named(context):
    play = context.play

    async def act():
        name_weights(play, 2)
        while not play.orders():  # noqa: ASYNC110 - engines do not tell of orders
            await anyio.sleep(0.02)
        await anyio.sleep(AFTER_ORDER_S)
        await play.restore()

    play.actions.append(act)


def name_weights(play, version):
    play.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})


@when("weights 3 are named at once")
def step_named_again(context):
    play = context.play

    async def act():
        name_weights(play, 3)
        await anyio.sleep(15.0)

    play.actions.append(act)


@when("all other nodes are cut off from it, a node starts, and weights 3 are named at once")
def step_new_node(context):
    play = context.play

    async def act():
        for name in list(play.fleet.nodes):
            play.cut_off(name)
        await play.fleet.start_node("node-9", is_first_start=False)
        name_weights(play, 3)
        await anyio.sleep(15.0)

    play.actions.append(act)


@when("a node asks all the while whether it may order")
def step_may_order(context):
    play = context.play

    async def act():
        first, second, _ = play.fleet.nodes.values()
        while not await first.order_fence.acquire():  # noqa: ASYNC110 - the fence tells nobody
            await anyio.sleep(0.1)
        play.first_may_s = anyio.current_time() - play.restored_s
        # The second one finds the record of the first; that is gone once it is not renewed.
        await anyio.sleep(FENCE_LIFE_S)
        assert second.order_fence.is_era_settled()
        assert await second.order_fence.acquire()

    play.actions.append(act)


@then(
    "it may from {from_s:g} to {to_s:g} seconds after the copy on, and others that ask then at once"
)
def step_may_from(context, from_s, to_s):
    play = context.play.play()
    assert from_s <= play.first_may_s <= to_s, play.first_may_s


@when("all other nodes are killed, a node starts, and weights 4 are named at once")
def step_killed(context):
    play = context.play

    async def act():
        for name in list(play.fleet.nodes):
            play.fleet.kill(name)
        await play.fleet.start_node("node-9", is_first_start=False)
        name_weights(play, 4)
        play.written_s = anyio.current_time()
        await anyio.sleep(12.0)

    play.actions.append(act)


@then("the first order of weights 4 comes within {within_s:g} seconds of that")
def step_first_order(context, within_s):
    play = context.play.play()
    at_s = next(at_s for at_s, order in play.orders() if order["version"] == 4)
    assert at_s - play.written_s <= within_s, at_s - play.written_s


ORDER_KEY = "op/rollout/lm"


class OneClusterState:
    """A node's state, and its clock."""

    def __init__(self):
        self.now_s = 100.0
        self.cluster = ClusterState(EventRecorder(), lambda: self.now_s)

    def read(self, revision, *changes):
        """Take over a reading of everything."""
        self.cluster.replace_all(StateBatch(revision, changes), self.now_s)


def traffic_order(revision):
    change = RolloutOrdered(ServiceName("lm"), SoftwareVersion("v2"), 60.0)
    return VersionedChange(ORDER_KEY, revision, change)


@given('a node that knows an order to move traffic to "v2"')
def step_traffic_order(context):
    context.world = OneClusterState()
    context.world.read(7, traffic_order(7))


RECORD_KEY = "weirscale/x"


@given("a node that knows a record of the nodes")
def step_known_record(context):
    context.world = OneClusterState()
    context.world.read(7, VersionedChange(RECORD_KEY, 7, RecordChanged(RECORD_KEY, b"value")))


@then("the record {stands}")
def step_record_stands(context, stands):
    is_there = RECORD_KEY in context.world.cluster.records
    assert is_there == (stands == "still stands")


@when("the store comes back from a copy without it")
def step_without_it(context):
    context.world.read(position(StoreEra(1), 3))


@when("{later_s:g} seconds later {what}")
def step_later(context, later_s, what):
    world = context.world
    world.now_s += later_s
    world.cluster.forget_lost()
    if what == "everything is read again":
        world.read(position(StoreEra(1), 4))
        world.cluster.forget_lost()
    if what == "it is written again":
        revision = position(StoreEra(1), 4)
        world.cluster.apply(StateBatch(revision, (traffic_order(revision),)), world.now_s)
        world.now_s += 10.0
        world.cluster.forget_lost()


@then("the order to move traffic {stands}")
def step_stands(context, stands):
    order = context.world.cluster.rollouts.orders.get(ServiceName("lm"))
    assert (order is None) == (stands == "is withdrawn"), order


@when("a request is quarantined, and the store comes back from the copy")
def step_quarantine(context):
    play = context.play

    async def act():
        node = next(iter(play.fleet.nodes.values()))
        for number in (1, 2, 3):
            node.quarantine.note_crash(FINGERPRINT, RunId(f"lm-{number}@0"), number > 1)
        await anyio.sleep(2.0)
        assert context_key() in play.fleet.store.items, "no record was written"
        await play.restore()
        play.fleet.tasks.start_soon(watch_quarantine, play)

    play.actions.append(act)


def context_key():
    return f"weirscale/quarantine/{FINGERPRINT}"


async def watch_quarantine(play):
    play.remaining = []
    while True:
        for node in play.fleet.nodes.values():
            play.remaining.append(node.quarantine.remaining_s(FINGERPRINT))
        await anyio.sleep(0.1)


@then("each node has configuration {version:d} within {within_s:g} seconds of that")
def step_in_force(context, version, within_s):
    play = context.play.play()
    for name in play.fleet.nodes:
        late = [
            known
            for at_s, node, _, _, known in play.views
            if node == name and at_s >= play.written_s + within_s
        ]
        assert late and set(late) == {version}, (name, set(late))


@then("each node has configuration {version:d}")
def step_has(context, version):
    play = context.play.play()
    for name, node in play.fleet.nodes.items():
        assert node.cluster.table.version == version, (name, node.cluster.table.version)


@then("none of them is served")
def step_none_served(context):
    answers = context.play.play().answers
    assert len(answers) > 20
    assert 200 not in {answer.status for answer in answers}


@then('at no moment a node has no back end, and each has "{name}" to the end')
def step_used_on(context, name):
    play = context.play.play()
    after = [one for one in play.views if one[0] >= play.restored_s]
    assert after
    for at_s, node, back_ends, _, _ in after:
        assert back_ends and name in back_ends, (at_s - play.restored_s, node, back_ends)


@then('no node has "{name}" {later_s:g} seconds after the copy')
def step_forgotten(context, name, later_s):
    play = context.play.play()
    late = [one for one in play.views if one[0] >= play.restored_s + later_s]
    assert late
    assert not [one for one in late if name in one[2]]


@then('"{name}" gets no request after the copy')
def step_no_request(context, name):
    play = context.play.play()
    runner = next(one for one in play.fleet.runners if one.instance == name)
    late = [at_s for at_s, _, _ in runner.arrivals if at_s > play.restored_s]
    assert not late, late
    assert {answer.status for answer in play.answers} == {200}


@then("each node knows {num:d} nodes all the while")
def step_known(context, num):
    play = context.play.play()
    after = [one for one in play.views if one[0] >= play.restored_s]
    assert {num_nodes for _, _, _, num_nodes, _ in after} == {num}, {one[3] for one in after}


@then("each node has registered again")
def step_registered(context):
    play = context.play.play()
    for name in play.fleet.nodes:
        assert f"weirscale/nodes/{name}" in play.fleet.store.items, name


@then("all engines have weights 3 within {within_s:g} seconds")
def step_weights(context, within_s):
    play = context.play.play()
    versions = [runner.version for runner in play.fleet.runners if runner.model == MODEL]
    assert set(versions) == {3}, versions


@then("no order has a lower fencing token than the one before it")
def step_tokens(context):
    tokens = [order["fence_token"] for _, order in context.play.play().orders()]
    assert len(tokens) > 3, tokens
    assert tokens == sorted(tokens), tokens


@then("no two nodes order within {gap_s:g} seconds")
def step_gap(context, gap_s):
    orders = context.play.play().orders()
    assert len({order["holder"] for _, order in orders}) > 1 or len(orders) > 3, orders
    for (before_s, before), (at_s, order) in pairwise(orders):
        if before["holder"] != order["holder"]:
            assert at_s - before_s >= gap_s, (before, order, at_s - before_s)


@then("that request is refused all the while")
def step_refused(context):
    remaining = context.play.play().remaining
    assert len(remaining) > 50
    assert all(left_s is not None for left_s in remaining)


@then("one record of it is in the store")
def step_record(context):
    assert context_key() in context.play.play().fleet.store.items


@then("each node logs once that the store came back from a copy")
def step_logged(context):
    for node, log in context.play.play().fleet.logs.items():
        lines = log.named("store_restored")
        assert [line["era"] for line in lines] == [1], (node, lines)


class OneClient:
    """A client and the store that it asks."""

    def __init__(self):
        self.store = StoreStandIn()
        self.store.put("op/config", {"version": 1})
        self.store.take_backup()
        client = StoreClient(STORE_ADDRESS, lambda _most, _keep_s: StoreTransport(self.store))
        self.keys = KeyValueAdapter(client)
        self.feed = StateFeedAdapter(client)
        self.outcome = None

    def run(self, script):
        """Run a script in virtual time."""
        run_in_virtual_time(script)


class StoreTransport(httpx.AsyncBaseTransport):
    """Hands calls to the stand-in."""

    def __init__(self, store):
        self._store = store

    async def handle_async_request(self, request):
        return await self._store.handle(request)


@given("a client of a store of which a copy was taken")
def step_client(context):
    context.client = OneClient()


@when(
    "a {call} is asked, the store comes back from the copy, a reading tells of it, and the {same} "
    "is answered"
)
def step_late(context, call, same):
    assert call == same
    one = context.client
    calls = {
        "reading": one.feed.read_all,
        "revision": one.feed.current_revision,
        "change": lambda: one.keys.compare_and_swap("weirscale/x", 0, b"value"),
    }

    async def script():
        one.store.withheld_answers.append(LATE_CALLS[call])

        async def late():
            one.outcome = await calls[call]()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(late)
            await anyio.sleep(0.1)
            one.store.restore()
            assert isinstance(await one.feed.current_revision(), Ok)
            one.store.release_answers()

    one.run(script)


@then("the client takes the {call} for unanswered")
def step_unanswered(context, call):
    outcome = context.client.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.AMBIGUOUS, outcome


@when(
    "a key is written, the store comes back from the copy, and the key has the same revision again"
)
def step_same_revision(context):
    context.client.setup = True


@when("{seen} copy, the client {does}")
def step_does(context, seen, does):
    one = context.client
    has_seen = not seen.startswith("without")

    async def script():
        written = (await one.keys.compare_and_swap("weirscale/x", 0, b"first")).ok_value
        lease = (await one.keys.grant_lease(60.0)).ok_value
        known = written.current.mod_revision
        one.store.restore()
        one.store.put("weirscale/x", b"another")
        assert one.store.items["weirscale/x"]["revision"] == known
        one.store.leases[lease] = anyio.current_time() + 60.0
        one.store.lives_ms[lease] = 60_000
        if has_seen:
            await one.feed.current_revision()
        actions = {
            "changes the key by its revision": lambda: one.keys.compare_and_swap(
                "weirscale/x", known, b"second"
            ),
            "watches from its revision": lambda: one.feed.follow(known, 0.5),
            "renews its lease": lambda: one.keys.keep_lease_alive(lease),
        }
        one.has_seen = has_seen
        one.num_calls = len(one.store.calls)
        lease_ends_s, began_s = one.store.leases[lease], anyio.current_time()
        one.outcome = await actions[does]()
        one.took_s = anyio.current_time() - began_s
        one.keeps_lease = one.store.leases[lease] == lease_ends_s

    one.run(script)


@then("where it had seen the copy, it knows at once and changes nothing in the store")
def step_nothing_changed(context):
    one = context.client
    if one.has_seen:
        assert one.took_s < 0.1, one.took_s
        assert one.keeps_lease
        paths = [path for _, path in one.store.calls[one.num_calls :]]
        assert "/v1/kv-txn" not in paths, paths


@then("the key is as it was")
def step_as_it_was(context):
    outcome = context.client.outcome
    assert isinstance(outcome, Ok) and not outcome.ok_value.succeeded, outcome
    assert outcome.ok_value.current.value == b"another", outcome


@then("the change is taken for unsure")
def step_unsure(context):
    outcome = context.client.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.AMBIGUOUS, outcome


@then("it is told to read everything")
def step_read_all(context):
    outcome = context.client.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.COMPACTED, outcome


@then("its lease is lost")
def step_lease_lost(context):
    outcome = context.client.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.LEASE_LOST, outcome


@when('its answers name the copy as "{era}"')
def step_era(context, era):
    one = context.client

    class Named(httpx.AsyncBaseTransport):
        async def handle_async_request(self, request):
            response = reply(200, {"items": [], "more": False, "at": 7})
            if era != "nothing":
                response.headers["Store-Era"] = era
            return response

    client = StoreClient(STORE_ADDRESS, lambda _most, _keep_s: Named())

    async def script():
        one.outcome = await StateFeedAdapter(client).current_revision()

    one.run(script)


@then("the client takes revision 7 as it is")
def step_as_it_is(context):
    assert context.client.outcome == Ok(7), context.client.outcome


@then("the client takes revision 7 for a later one")
def step_later_one(context):
    outcome = context.client.outcome
    assert isinstance(outcome, Ok) and outcome.ok_value > 1_000_000_000, outcome


@then("the client takes the answer for unreadable")
def step_unreadable(context):
    outcome = context.client.outcome
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.kind is KeyValueFailureKind.AMBIGUOUS, outcome
