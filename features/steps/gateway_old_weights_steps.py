"""Steps of `gateway_old_weights.feature`."""

import anyio
from behave import given, then, when

from features.steps.gateway_weights_rollout_steps import (
    NEVER_TAKEN,
    name_version,
    restart_all,
)
from features.support.platform_fleet import MODEL, STORE_ADDRESS
from weirscale.gateway.state.target_versions import TargetVersions

LATE_S = 60.0
MOST_EARLY_S = 1.3
"""The longest time between two proofs at a node by itself."""

SEND_INTERVALS_S = 0.15
"""Each of three nodes is asked once in this time."""


def name_first(play, version):
    """Name a version; later ones are measured from it where a step says so."""
    name_version(play, version)
    play.first_named_s = play.named_s


@when('{wait_s:g} seconds later the store is out of reach for "{names}" for {seconds:g} seconds')
def step_out_of_reach(context, wait_s, names, seconds):
    async def action(play):
        await anyio.sleep(wait_s)
        cuts = {(name, STORE_ADDRESS) for name in names.split(",")}
        play.fleet.cuts |= cuts
        await anyio.sleep(seconds)
        play.fleet.cuts -= cuts
        play.outage_ended_s = anyio.current_time()

    context.play.actions.append(action)


@when('"{name}" stands still and version {version:d} is named, for {seconds:g} seconds')
def step_still_at_naming(context, name, version, seconds):
    async def action(play):
        play.fleet.freeze(name)
        name_first(play, version)
        await anyio.sleep(seconds)
        await play.fleet.thaw(name)

    context.play.actions.append(action)


@when('"{names}" stand still for {seconds:g} seconds')
def step_stand_still(context, names, seconds):
    async def action(play):
        for name in names.split(","):
            play.fleet.freeze(name)
        await anyio.sleep(seconds)
        for name in names.split(","):
            await play.fleet.thaw(name)

    context.play.actions.append(action)


@when('"{name}" stands still for {seconds:g} seconds while all others start anew')
def step_others_start_anew(context, name, seconds):
    async def action(play):
        fleet = play.fleet
        others = [one for one in fleet.nodes if one != name]
        fleet.freeze(name)
        for other in others:
            fleet.kill(other)
        await anyio.sleep(seconds - 1.0)
        for other in others:
            await fleet.start_node(other, is_first_start=False)
        await anyio.sleep(1.0 - 0.1 * len(others))
        await fleet.thaw(name)

    context.play.actions.append(action)


@when('"" stand still for {seconds:g} seconds')
def step_nobody_stands_still(context, seconds):
    """All nodes are sound."""


@when('{wait_s:g} seconds later the store is out of reach for "" for {seconds:g} seconds')
def step_in_reach(context, wait_s, seconds):
    """All nodes reach it."""


@when(
    '"{name}" stands still, versions {first:d} and {second:d} are named {apart_s:g} seconds apart '
    "and it goes on"
)
def step_misses_first(context, name, first, second, apart_s):
    async def action(play):
        play.fleet.freeze(name)
        name_first(play, first)
        await anyio.sleep(apart_s)
        name_version(play, second)
        await anyio.sleep(1.0)
        # What a node hears of a key is its newest state.
        play.fleet.store.compact()
        await play.fleet.thaw(name)

    context.play.actions.append(action)


@then(
    "their lines tell the newest version and an age that grows to {seconds:g} seconds, or up to "
    "{more_s:g} more"
)
def step_lines(context, seconds, more_s):
    play = context.play.run()
    lines = [line for log in play.fleet.logs.values() for line in log.named("request_ended")]
    assert {line["newest"] for line in lines} == {2}, lines
    for log in play.fleet.logs.values():
        ages_s = [line["owed_ms"] / 1000.0 for line in log.named("request_ended")]
        assert ages_s == sorted(ages_s), ages_s
        assert seconds - SEND_INTERVALS_S <= ages_s[-1] <= seconds + more_s, ages_s


@given("no order reaches a runner")
def step_no_orders(context):
    async def action(play):
        for runner in play.fleet.runners:
            runner.late_orders_s = LATE_S

    context.play.actions.append(action)


@given("the lease of a naming's record comes {late_s:g} seconds late")
def step_late_lease(context, late_s):
    async def action(play):
        for node in play.fleet.nodes.values():
            node._weights_rollout._age_markers._store = LateLeases(
                node._weights_rollout._age_markers._store, late_s
            )

    context.play.actions.append(action)


class LateLeases:
    """Passes calls to the store on, those for leases late."""

    def __init__(self, store, late_s):
        self._store = store
        self._late_s = late_s

    async def grant_lease(self, life_s):
        await anyio.sleep(self._late_s)
        return await self._store.grant_lease(life_s)

    def __getattr__(self, name):
        return getattr(self._store, name)


@when("all nodes start anew after {seconds:g} seconds")
def step_all_anew(context, seconds):
    async def action(play):
        await anyio.sleep(seconds)
        await restart_all(play.fleet)

    context.play.actions.append(action)


def last_start_s(play, version):
    """Return when the last run on a version began; the time of the naming if none did."""
    runs = [run for runner in play.fleet.runners for run in runner.runs]
    return max((run.began_s for run in runs if run.version == version), default=play.named_s)


@then("the last run on version {version:d} began {least:g} to {most:g} seconds after the {moment}")
def step_last_run(context, version, least, most, moment):
    play = context.play.run()
    since_s = play.outage_ended_s if moment == "outage" else play.named_s
    took_s = last_start_s(play, version) - since_s
    assert least <= took_s <= most, took_s


@when("version {version:d} is named and an answer of the other node takes {delay_s:g} seconds")
def step_late_answer(context, version, delay_s):
    async def action(play):
        fleet = play.fleet
        # The answers of node-2 alone are delayed; node-1 hears the naming from the store.
        ages = fleet.nodes["node-1"].ages
        receive = ages.receive

        def hear_late(reply):
            play.num_answers += 1
            fleet.tasks.start_soon(hear_after, receive, reply, delay_s)

        play.num_answers = 0
        ages.receive = hear_late
        name_version(play, version)
        await anyio.sleep(delay_s + 3.0)
        play.set_after_s = fleet.nodes["node-1"].cluster.target_versions.newest_target(MODEL)

    context.play.actions.append(action)


async def hear_after(receive, reply, delay_s):
    await anyio.sleep(delay_s)
    receive(reply)


@then("node-1 takes version {version:d} to be named no later than it was")
def step_no_later(context, version):
    play = context.play.run()
    named = play.set_after_s
    assert play.num_answers > 0
    assert named.version == version
    assert play.named_s - MOST_EARLY_S <= named.set_after_s <= play.named_s, named


@given("runners that need {seconds:g} s to begin a request")
def step_slow_to_begin(context, seconds):
    async def action(play):
        for runner in play.fleet.runners:
            runner.read_s = seconds

    context.play.actions.append(action)


def runs_on(play, version):
    return [run for one in play.fleet.runners for run in one.runs if run.version == version]


@then(
    "no request on version {version:d} had its first event later than {seconds:g} seconds after "
    "the naming"
)
def step_no_late_event(context, version, seconds):
    play = context.play.run()
    took = [run.first_event_s - play.named_s for run in runs_on(play, version) if run.first_event_s]
    assert took and max(took) <= seconds, max(took)


@then("the last one on version {version:d} was sent {least:g} to {most:g} seconds after the naming")
def step_last_sent(context, version, least, most):
    play = context.play
    sent_s = max(run.began_s for run in runs_on(play, version)) - play.named_s
    assert least <= sent_s <= most, sent_s


@when('"{name}" starts anew after {seconds:g} seconds and gets the duty at once')
def step_start_as_holder(context, name, seconds):
    async def action(play):
        await anyio.sleep(seconds)
        play.fleet.kill(name)
        await play.fleet.start_node(name, is_first_start=False)
        # By now it has registered, and who registered last comes first.
        await anyio.sleep(0.4)
        play.fleet.store.delete(NEVER_TAKEN)

    context.play.actions.append(action)


@then("{name} has begun no load, as nobody needs the new weights yet")
def step_no_loads(context, name):
    log = context.play.run().fleet.logs[name]
    assert log.named("lease_won"), "it never got the duty"
    assert not log.named("load_begun"), log.named("load_begun")


@when("the store is away for {seconds:g} seconds, and version {version:d} is named as it returns")
def step_named_at_return(context, seconds, version):
    async def action(play):
        play.fleet.store.is_down = True
        await anyio.sleep(seconds)
        name_version(play, version)
        play.fleet.store.is_down = False
        note_loads(play)

    context.play.actions.append(action)


def note_loads(play):
    """Note when loads are begun from now on."""
    play.loads_s = []
    for log in play.fleet.logs.values():
        tell = log.event

        def event(name, tell=tell, **fields):
            if name == "load_begun":
                play.loads_s.append(anyio.current_time())
            tell(name, **fields)

        log.event = event


@then("at most {count:d} loads were begun within any {seconds:g} seconds")
def step_waves(context, count, seconds):
    loads_s = context.play.run().loads_s
    assert loads_s, "no load was begun"
    for begun_s in loads_s:
        num = sum(1 for one in loads_s if begun_s <= one <= begun_s + seconds)
        assert num <= count, loads_s


@when("the holder is killed after {seconds:g} seconds")
def step_holder_killed(context, seconds):
    async def action(play):
        await anyio.sleep(seconds)
        play.fleet.kill(play.holder().settings.name)

    context.play.actions.append(action)


@given("versions {first:d} and {second:d} that were named no earlier than {bound_s:g} s")
def step_book(context, first, second, bound_s):
    context.book = TargetVersions()
    for version in (first, second):
        context.book.add(MODEL, version, bound_s)


@when("version {version:d} turns out to have been named no earlier than {bound_s:g} s")
def step_narrow(context, version, bound_s):
    context.book.tighten_bound(MODEL, version, bound_s)


@then("version {version:d} was named no earlier than {bound_s:g} s")
def step_bound(context, version, bound_s):
    assert context.book.first_newer(MODEL, version - 1).set_after_s == bound_s


@when("{count:d} versions are named, one each {seconds:g} seconds")
def step_many_namings(context, count, seconds):
    async def action(play):
        play.early_s = {name: [] for name in play.fleet.nodes}
        for version in range(2, 2 + count):
            name_version(play, version)
            await anyio.sleep(seconds)
            for name, node in play.fleet.nodes.items():
                named = node.cluster.target_versions.newest_target(MODEL)
                assert named.version == version
                play.early_s[name].append(play.named_s - named.set_after_s)

    context.play.actions.append(action)


@then("each node takes them to be named at most {most_s:g} s too early on average")
def step_early(context, most_s):
    early_s = context.play.run().early_s
    means = {name: sum(found) / len(found) for name, found in early_s.items()}
    assert all(one >= 0.0 for found in early_s.values() for one in found), early_s
    assert max(means.values()) <= most_s, means
