"""Steps of `gateway_shared_blocks.feature`."""

from functools import partial

import anyio
from behave import given, then, when

from features.support.fatal_blocks import CONTACT_S, BlockTraffic
from features.support.platform_fleet import EventRecorder
from weirscale.gateway.peers.gossip_entries import AnsweredBlockGossip
from weirscale.gateway.peers.messages import Gossip
from weirscale.gateway.quarantine.block_keeper import BlockQuarantine, counted_blocks
from weirscale.gateway.quarantine.block_key import BlockKey, group_text
from weirscale.gateway.quarantine.block_suspects import BlocksCrash, BlockSuspects
from weirscale.gateway.quarantine.record import BLOCKS_PREFIX
from weirscale.gateway.state.cluster_state import ClusterState

FIRST_CRASH_S = 5.0
EVENT_INTERVAL_S = 0.5
LATER_S = 2.0


@given("{num_nodes:d} nodes and {num_runners:d} back ends that crash on a prompt block")
def step_nodes(context, num_nodes, num_runners):
    context.traffic = BlockTraffic(num_nodes, num_runners)


@when("callers send {per_s:g} sound requests a second for {seconds:g} seconds")
def step_sound(context, per_s, seconds):
    traffic = context.traffic
    traffic.seconds = seconds

    async def send():
        await traffic.send_sound(traffic.sound_parts())

    traffic.streams.append(partial(traffic.repeat, send, per_s, 0.0, seconds))


@when("{per_s:g} requests a second have the fatal block from second {from_s:g} on")
def step_fatal(context, per_s, from_s):
    traffic = context.traffic

    async def send():
        await traffic.send_fatal(traffic.fatal_parts())

    traffic.streams.append(partial(traffic.repeat, send, per_s, from_s, traffic.seconds))


@then(
    "at most {num:d} requests with it reach back ends from {seconds:g} seconds after the fifth "
    "crash on"
)
def step_arrivals(context, num, seconds):
    traffic = context.traffic.run()
    assert traffic.runners.crashes, "no back end crashed"
    num_arrivals = traffic.num_fatal_arrivals_after(traffic.crashed_s(5) + seconds)
    assert num_arrivals <= num, (num_arrivals, len(traffic.runners.crashes))


@then("sound requests are then answered at least half as often as before")
def step_sound_answered(context):
    traffic = context.traffic.run()
    before = traffic.sound_share(0.0, FIRST_CRASH_S)
    after = traffic.sound_share(traffic.crashed_s(5) + 2.0 * CONTACT_S, traffic.seconds - 2.0)
    assert after >= 0.5 * before, (before, after)


@given(
    "{num_nodes:d} nodes in {num_zones:d} zones and {num_runners:d} back ends that crash on a prompt block"
)
def step_zones(context, num_nodes, num_zones, num_runners):
    context.traffic = BlockTraffic(num_nodes, num_runners, num_zones=num_zones)


@given("the fatal block stands {place}")
def step_place(context, place):
    context.traffic.place = place


@when(
    "{per_s:g} requests a second have the fatal block from second {from_s:g} to second {until_s:g}"
)
def step_fatal_until(context, per_s, from_s, until_s):
    traffic = context.traffic

    async def send():
        await traffic.send_fatal(traffic.fatal_parts())

    traffic.streams.append(partial(traffic.repeat, send, per_s, from_s, until_s))


@then(
    'sound requests with the first block "{first}" are then answered at least half as often as '
    "before"
)
def step_sound_first(context, first):
    traffic = context.traffic.run()
    before = traffic.sound_share(0.0, FIRST_CRASH_S, first)
    from_s = traffic.crashed_s(5) + 2.0 * CONTACT_S
    after = traffic.sound_share(from_s, traffic.seconds - LATER_S, first)
    assert after >= 0.5 * before, (before, after)


@when("two nodes are killed after the third crash and start again")
def step_two_killed(context):
    context.traffic.streams.append(partial(kill_after, context.traffic, 3, 0.0, (1, 2)))


@when("a node starts after the fifth crash")
def step_node_starts(context):
    traffic = context.traffic

    async def start():
        await wait_for_crashes(traffic, 5)
        await traffic.start_node(traffic.num_nodes + 1)

    traffic.streams.append(start)


@when("all nodes are killed 2 seconds after the fifth crash and start again")
def step_all_killed(context):
    numbers = range(1, context.traffic.num_nodes + 1)
    context.traffic.streams.append(partial(kill_after, context.traffic, 5, 2.0, numbers))


async def kill_after(traffic, num_crashes, delay_s, numbers):
    await wait_for_crashes(traffic, num_crashes)
    await anyio.sleep(delay_s)
    for number in numbers:
        traffic.kill_node(number)
    for number in numbers:
        await traffic.start_node(number)


async def wait_for_crashes(traffic, num):
    while len(traffic.runners.crashes) < num:  # noqa: ASYNC110 - no event to wait for
        await anyio.sleep(0.01)


@when("the store does not respond from second {at_s:g} on")
def step_silent_store(context, at_s):
    traffic = context.traffic

    async def silence():
        await anyio.sleep(at_s)
        traffic.fleet.store.is_silent = True

    traffic.streams.append(silence)


@when("a fifth of the datagrams between nodes is lost")
def step_lossy(context):
    context.traffic.fleet.gossip_loss = 0.2


@when("a back end crashes each {interval_s:g} seconds for other reasons")
def step_series(context, interval_s):
    traffic = context.traffic

    async def crash_in_series():
        await anyio.sleep(FIRST_CRASH_S)
        while True:
            runner = traffic.random.choice(traffic.fleet.runners)
            traffic.fleet.tasks.start_soon(traffic.runners.crash_for_other_reasons, runner)
            await anyio.sleep(interval_s)

    traffic.streams.append(crash_in_series)


@then("no sound request is refused for its blocks")
def step_none_refused(context):
    traffic = context.traffic.run()
    assert len(traffic.runners.other_crashes) > 20, traffic.runners.other_crashes
    assert not traffic.logged("blocks_quarantined")


@then("the last {num:d} requests with it get 503 with a Retry-After of about 10 minutes")
def step_refused(context, num):
    traffic = context.traffic.run()
    for _, answer in traffic.fatal_answers[-num:]:
        assert answer.status == 503, answer.status
        assert 570.0 < float(answer.header("retry-after")) <= 600.0, answer.headers


@then('the log gives "{cause}" and the block as the cause of these refusals')
def step_logged(context, cause):
    traffic = context.traffic.run()
    refused = [line for line in traffic.logged("request_ended") if line.get("causes") == cause]
    assert len(refused) >= 10, len(refused)
    assert {line["blocks"] for line in refused} == {"dead"}
    assert len(traffic.logged("blocks_quarantined")) == traffic.num_nodes


@then("each node counts one quarantined group of blocks")
def step_counted(context):
    counts = [
        node.quarantines.blocks.num_quarantined() for node in context.traffic.fleet.nodes.values()
    ]
    assert counts == [1] * context.traffic.num_nodes, counts


@then('the store holds the record of one group of blocks, "{group}"')
def step_record(context, group):
    keys = [key for key in context.traffic.fleet.store.items if key.startswith(BLOCKS_PREFIX)]
    assert keys == [BLOCKS_PREFIX + group], keys


@when("the record stays")
def step_nothing(context):
    pass


@when("the record is deleted at second {at_s:g}")
def step_deleted(context, at_s):
    context.traffic.streams.append(partial(delete_record, context.traffic, at_s))


@when("the fault is fixed and the record is deleted at second {at_s:g}")
def step_fixed(context, at_s):
    context.traffic.streams.append(partial(delete_record, context.traffic, at_s, is_fixed=True))


async def delete_record(traffic, at_s, is_fixed=False):
    await anyio.sleep(at_s)
    traffic.runners.is_fixed = is_fixed
    keys = [key for key in traffic.fleet.store.items if key.startswith(BLOCKS_PREFIX)]
    assert keys
    for key in keys:
        traffic.fleet.store.delete(key)


@when("1 request a second has the fatal block in the last {seconds:g} seconds")
def step_last(context, seconds):
    traffic = context.traffic
    traffic.num_last = 0

    async def send_each_second():
        await anyio.sleep(traffic.seconds - seconds)
        traffic.arrivals_before = traffic.num_fatal_arrivals_after(0.0)
        for _ in range(int(seconds) - 1):
            traffic.num_last += 1
            traffic.fleet.tasks.start_soon(traffic.send_fatal, traffic.fatal_parts())
            await anyio.sleep(1.0)

    traffic.streams.append(send_each_second)


@then("{which} of the last requests reach back ends")
def step_last_reach(context, which):
    traffic = context.traffic.run()
    num_arrivals = traffic.num_fatal_arrivals_after(0.0) - traffic.arrivals_before
    expected = {"none": 0, "one": 1, "all": traffic.num_last}[which]
    assert num_arrivals == expected, num_arrivals


@given("a tracker of the blocks with which back ends crashed")
def step_tracker(context):
    context.suspects = BlockSuspects()
    context.now_s = 0.0


@when('it is told "{events}"')
def step_told(context, events):
    for number, event in enumerate(events.split()):
        context.now_s += EVENT_INTERVAL_S
        kind, _, block = event.rpartition(":")
        if kind == "ok":
            context.suspects.note_answered(BlockKey(block))
        elif kind == "before":
            context.suspects.note_answered_before(BlockKey(block))
        else:
            blocks, _, run = event.rstrip("+").partition("@")
            note_crash(context, run, f"request-{number}", blocks, event.endswith("+"))


def note_crash(context, run, request, blocks, was_sent_after_crash):
    keys = tuple(BlockKey(block) for block in blocks.split(","))
    crash = BlocksCrash(run, request, keys, was_sent_after_crash)
    context.suspects.note_crash(crash, context.now_s)


@when('it is told {num:d} crashes under one request with blocks "{blocks}"')
def step_told_one(context, num, blocks):
    for number in range(num):
        context.now_s += EVENT_INTERVAL_S
        note_crash(context, str(number), "request", blocks, number > 0)


@then('it blames "{groups}"')
def step_blames(context, groups):
    causes = context.suspects.causes(context.now_s + 1.0)
    assert sorted(group_text(group) for group in causes) == groups.split(), causes


@given('a node that refuses requests with the blocks "{blocks}" after {num:d} crashes')
def step_refusing(context, blocks, num):
    context.now_s = 0.0
    context.log = EventRecorder()
    cluster = ClusterState(context.log, lambda: context.now_s)
    context.keeper = BlockQuarantine(
        "node-1", cluster, None, lambda: 0.0, lambda: True, context.log, lambda: context.now_s
    )
    for number in range(num):
        context.now_s += EVENT_INTERVAL_S
        crash = BlocksCrash(
            f"i-{number}@0", f"{number:032x}", counted_blocks(blocks.split(",")), number > 0
        )
        context.keeper.note_crash(crash)
    refused = context.keeper.refusal(counted_blocks(blocks.split(",")))
    assert refused.group == frozenset(blocks.split(",")), refused
    context.log.events.clear()


@when('a request with the block "{block}" is answered')
def step_block_answered(context, block):
    context.keeper.note_answered(counted_blocks([block]))
    # Another report makes the node judge anew, as its task does five times a second.
    context.keeper.note_crash(BlocksCrash("i-9@0", f"{9:032x}", counted_blocks(["d"]), True))


@when('another node tells of answers with the blocks "{blocks}"')
def step_told_answers(context, blocks):
    answered = tuple(AnsweredBlockGossip(block) for block in blocks.split(","))
    context.keeper.receive(Gossip("node-2", answered_blocks=answered))


@then('requests with the blocks "{blocks}" are refused for "{group}"')
def step_refused_for(context, blocks, group):
    refused = context.keeper.refusal(counted_blocks(blocks.split(",")))
    assert refused is not None
    assert group_text(refused.group) == group


@then('requests with the blocks "{blocks}" are not refused')
def step_not_refused(context, blocks):
    assert context.keeper.refusal(counted_blocks(blocks.split(","))) is None


@then('"{first}" and then "{second}" are logged')
def step_logged_in_turn(context, first, second):
    names = [name for name, _ in context.log.events if name in (first, second)]
    assert names == [first, second], names


@then('it blames ""')
def step_blames_none(context):
    assert not context.suspects.causes(context.now_s + 1.0)
