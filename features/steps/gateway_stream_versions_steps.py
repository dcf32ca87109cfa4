"""Steps of `gateway_stream_versions.feature`."""

import itertools

import anyio
from behave import given, then, when

from features.support.platform_fleet import configuration, route
from features.support.stream_callers import HTTP_OK, Stream, VersionedStreams

HTTP_REFUSED = 503
STREAMS_PER_S = 40
WAIT_S = 5.0
MAX_BEGINNINGS = 40
SETTLED_S = 1.5
"""Seconds after which nodes that came back serve as before."""

MIN_RATE_SHARE = 0.9
"""Streams taken up go on at least at this share of the rate at which new ones begin."""


@given('{num_nodes:d} nodes before back ends of the versions "{versions}"')
def step_nodes(context, num_nodes, versions):
    context.simulation = VersionedStreams(num_nodes, versions=versions)


@given(
    '{num_nodes:d} nodes before back ends of the versions "{versions}", of which {num_old:d} are of '
    "the release before"
)
def step_old_builds(context, num_nodes, versions, num_old):
    from weirscale.gateway.peers.messages import OriginQuery, OriginReply, StreamBegan

    context.simulation = simulation = VersionedStreams(num_nodes, versions=versions)
    simulation.fleet.deaf_to = (StreamBegan, OriginQuery, OriginReply)
    simulation.fleet.old_builds = set(simulation.node_names()[-num_old:])


@given("4 nodes before a route that is split evenly between two services")
def step_split(context):
    context.simulation = simulation = VersionedStreams(4, versions="v1 v1")
    for number in (2, 3):
        back_end = simulation.make_back_end("w1", number)
        back_end.service = "lm-2"
    parts = [{"service": name, "weight": 1} for name in ("lm", "lm-2")]
    split = route("draft", "/a/", "streaming", resumable=True, gap_slo_ms=500, split=parts)
    del split["service"]
    written = configuration(routes=[split])
    written["services"].append(written["services"][1] | {"name": "lm-2"})
    simulation.configuration = lambda: written


# What happens.


@when("{count:d} streams are sent and back ends break them off")
def step_break(context, count):
    simulation = context.simulation
    for back_end in simulation.back_ends:
        back_end.faults = ["break", "none", "none", "none"] * count
    simulation.max_tries = 1
    simulation.actions.append(lambda: simulation.send_streams(STREAMS_PER_S, count / STREAMS_PER_S))


@when("{count:d} streams are sent and back ends crash")
def step_crash(context, count):
    simulation = context.simulation

    simulation.max_tries = 1

    async def crash_some():
        for number in (0, 2):
            await anyio.sleep(1.0)
            await simulation.crash(simulation.back_ends[number])

    async def act():
        simulation.fleet.tasks.start_soon(crash_some)
        await simulation.send_streams(STREAMS_PER_S, count / STREAMS_PER_S)

    simulation.actions.append(act)


async def kill_each_second(simulation, names, restart=True):
    for name in names:
        await anyio.sleep(1.0)
        if restart:
            simulation.fleet.tasks.start_soon(simulation.restart_node, name)
        else:
            await simulation.kill_node(name)


async def kill_at_once(simulation, names):
    await anyio.sleep(1.5)
    for name in names:
        await simulation.kill_node(name)


def send_during(context, fault, for_s=6.0):
    simulation = context.simulation

    async def act():
        simulation.fleet.tasks.start_soon(fault)
        await simulation.send_streams(STREAMS_PER_S, for_s)

    simulation.actions.append(act)


@when("streams are sent to all nodes, and a node is killed every second")
def step_kill(context):
    simulation = context.simulation
    send_during(context, lambda: kill_each_second(simulation, simulation.node_names()[:5], False))


@when("streams are sent to all nodes, and nodes are restarted one after the other")
def step_restart(context):
    simulation = context.simulation
    send_during(context, lambda: kill_each_second(simulation, simulation.node_names()), 9.0)


@when("streams are sent to all nodes, and four of the nodes are killed at once")
def step_kill_four(context):
    simulation = context.simulation
    send_during(context, lambda: kill_at_once(simulation, simulation.node_names()[:4]), 3.0)


@when("streams are sent to all nodes, and nodes are killed while the store is down")
def step_kill_store_down(context):
    simulation = context.simulation

    async def fault():
        simulation.fleet.store.is_down = True
        await kill_each_second(simulation, simulation.node_names()[:3], False)

    send_during(context, fault)


@when("streams are sent to all nodes, and nodes are killed and a third of the datagrams is lost")
def step_kill_lossy(context):
    simulation = context.simulation
    simulation.fleet.datagram_loss = 1.0 / 3.0
    send_during(context, lambda: kill_each_second(simulation, simulation.node_names()[:4]))


@when("streams are sent to all nodes, and a node of this release is killed every second")
def step_kill_new(context):
    simulation = context.simulation
    names = simulation.node_names()[:4] * 2
    send_during(context, lambda: kill_each_second(simulation, names), 10.0)


async def restart_all(simulation, case):
    """Kill all nodes at once in the middle of their streams, and start them again."""
    fleet = simulation.fleet
    is_restored = "copy" in case
    if is_restored:
        fleet.store.take_backup()
        for back_end in simulation.back_ends[:2]:
            del fleet.store.backup[0][f"servers/{back_end.instance}"]
    await anyio.sleep(1.5)
    is_first_start = "first" in case
    if "has just left" in case:
        simulation.remove_version("v1")
    if is_restored:
        fleet.store.restore()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(simulation.restart_all, 0.5, is_first_start)
        if "meanwhile" in case:
            await anyio.sleep(0.2)
            simulation.remove_version("v1")
    if "twice" in case:
        await anyio.sleep(1.0)
        await simulation.restart_all()
    simulation.came_back_s = anyio.current_time()


@when("streams are sent to all nodes, and all nodes are killed at once and come back, {case}")
def step_restart_all(context, case):
    simulation = context.simulation
    send_during(context, lambda: restart_all(simulation, case), 7.0)


@then("streams that begin after that are complete")
def step_complete_later(context):
    simulation = context.simulation.play()
    later_s = simulation.came_back_s + SETTLED_S
    later = [
        stream for stream in simulation.streams if stream.tries and stream.tries[0].at_s >= later_s
    ]
    assert len(later) >= 10, len(later)
    num_complete = sum(stream.is_complete for stream in later)
    assert num_complete >= 0.9 * len(later), f"{num_complete} of {len(later)}"


@when('12 seconds later the back end is back as "v2" under its id, and its streams are taken up')
def step_reborn(context):
    simulation = context.simulation

    async def act():
        await anyio.sleep(12.0)
        for _ in range(4):
            await begin_and_cut(simulation)
        be_reborn(simulation, simulation.back_ends[0])
        await anyio.sleep(0.5)
        for stream in simulation.streams:
            stream.tries[0].request_id = "never-seen"
            await simulation.send_try(stream, "node-3")

    simulation.actions.append(act)


def be_reborn(simulation, old):
    """Replace a back end by one of version v2 that registers under its id."""
    reborn = simulation.make_back_end("v2", 0)
    reborn.instance, reborn.name_in_events = old.instance, "v2-0"
    old.is_crashed = True
    simulation.fleet.remove_runner(old)
    simulation.fleet.add_runner(reborn)


async def wait_for_events(stream):
    """Wait until a stream has two events."""
    with anyio.fail_after(WAIT_S):
        await stream.has_two_events.wait()


async def begin_and_cut(simulation, node="node-1", version=None):
    """Begin a stream at a node whose caller loses its connection after two events."""
    for _ in range(MAX_BEGINNINGS):
        stream = Stream()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(simulation.send_try, stream, node)
            await wait_for_events(stream)
            tasks.cancel_scope.cancel()
        if version is None or stream.versions == {version}:
            simulation.streams.append(stream)
            return stream
    raise AssertionError(f"no stream began at {version}")


def take_up(context, make_stream, node="node-2", extra=()):
    simulation = context.simulation

    async def act():
        stream = context.stream = await make_stream(simulation)
        context.take_up = await simulation.send_try(stream, node, extra)
        context.metrics_text = simulation.fleet.nodes[node].metrics_text().decode()

    simulation.actions.append(act)


def unseen(simulation):
    """Return a stream that seems to have been begun, by a try that no node has seen."""

    async def make():
        stream = Stream()
        one = await begin_and_cut(simulation)
        one.tries[0].request_id = "never-seen"
        simulation.streams.remove(one)
        stream.tries.append(one.tries[0])
        return stream

    return make()


@when("a stream is taken up that no node has seen")
def step_unseen(context):
    take_up(context, unseen)


@when("a stream is taken up without naming the try that began it")
def step_unnamed(context):
    context.simulation.names_first_try = False
    take_up(context, begin_and_cut)


@when("a stream is taken up at a node whose datagrams are all lost")
def step_muted(context):
    async def make(simulation):
        simulation.fleet.mute.add("node-2")
        return await begin_and_cut(simulation)

    take_up(context, make)


@when("a stream is taken up whose id another caller used at another version")
def step_conflict(context):
    async def make(simulation):
        first = await begin_and_cut(simulation, "node-1", "v1")
        number = int(first.tries[0].request_id[1:])
        simulation.numbers = itertools.chain(itertools.repeat(number, 20), itertools.count(1000))
        await begin_and_cut(simulation, "node-3", "v2")
        simulation.numbers = itertools.count(1000)
        return first

    take_up(context, make)


async def pass_time(simulation, seconds, after=None):
    await anyio.sleep(seconds)
    if after is not None:
        after()


async def restart(simulation, ago_s):
    await simulation.restart_node("node-2")
    await anyio.sleep(ago_s)


async def let_version_serve(simulation, ago_s):
    await anyio.sleep(12.0)
    back_end = simulation.make_back_end("v2", 9)
    simulation.fleet.add_runner(back_end)
    await anyio.sleep(2.0)
    simulation.fleet.remove_runner(back_end)
    simulation.fleet.store.delete(f"servers/{back_end.instance}")
    await anyio.sleep(ago_s)


BEFORE = {
    "12 seconds pass": lambda simulation: pass_time(simulation, 12.0),
    "1 second passes after the system's first start": lambda simulation: pass_time(simulation, 1.0),
    "1 second passes after a restart of the node": lambda simulation: restart(simulation, 1.0),
    "12 seconds pass after a restart of the node": lambda simulation: restart(simulation, 12.0),
    "12 seconds pass and the store is then down": lambda simulation: pass_time(
        simulation, 12.0, lambda: setattr(simulation.fleet.store, "is_down", True)
    ),
    "a v2 was there for 2 seconds, 5 seconds ago": lambda simulation: let_version_serve(
        simulation, 5.0
    ),
    "a v2 was there for 2 seconds, 12 seconds ago": lambda simulation: let_version_serve(
        simulation, 12.0
    ),
}


@when("{before}, and a stream is taken up that no node has seen")
def step_before(context, before):
    context.simulation.actions.append(lambda: BEFORE[before](context.simulation))
    take_up(context, unseen)


@when('a stream of "v1" loses the only back end of its version, within one answer')
def step_lose_within(context):
    simulation = context.simulation

    async def act():
        for _ in range(MAX_BEGINNINGS):
            stream = Stream()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(simulation.send_try, stream, "node-1")
                await wait_for_events(stream)
                if stream.versions == {"v1"}:
                    await simulation.crash(simulation.back_ends[0])
                    context.lost_s = anyio.current_time()
            if stream.versions == {"v1"}:
                break
        context.stream, context.take_up = stream, stream.tries[0]
        context.took_s = anyio.current_time() - context.lost_s
        simulation.streams.append(stream)

    simulation.actions.append(act)


@when('a stream of "v1" loses the only back end of its version, before its take-up')
def step_lose_before(context):
    async def make(simulation):
        stream = await begin_and_cut(simulation, "node-1", "v1")
        await simulation.crash(simulation.back_ends[0])
        simulation.fleet.store.delete(f"servers/{simulation.back_ends[0].instance}")
        await anyio.sleep(1.0)
        return stream

    take_up(context, make)


@when('the only back end of "v1" is silent for 2 seconds in the middle of a stream')
def step_silent(context):
    simulation = context.simulation
    simulation.back_ends[0].faults = ["pause:2.0"] * MAX_BEGINNINGS

    async def act():
        for _ in range(MAX_BEGINNINGS):
            stream = Stream()
            await simulation.send_try(stream, "node-1")
            if stream.versions == {"v1"}:
                context.stream = stream
                return

    simulation.actions.append(act)


@then("that stream is complete, and its back end has run it once")
def step_run_once(context):
    simulation = context.simulation.play()
    assert context.stream.is_complete, context.stream
    request_id = context.stream.tries[0].request_id
    runs = [run for run in simulation.back_ends[0].runs if run.request_id == request_id]
    assert len(runs) == 1, runs


@when("{count:d} streams are broken off by their node and taken up at another")
def step_split_streams(context, count):
    simulation = context.simulation

    async def act():
        for number in range(count):
            stream = await begin_and_cut(simulation)
            if number % 3 == 0:
                # Without it, the nodes would assign the services in step.
                await begin_and_cut(simulation, "node-2")
                simulation.streams.pop()
            await simulation.send_try(stream, "node-2")

    simulation.actions.append(act)


# What holds.


@then("no stream has events of two versions, or events missing or twice")
def step_one_version(context):
    streams = context.simulation.play().streams
    assert any(stream.began for stream in streams)
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    assert not mixed, f"{len(mixed)} of {len(streams)} streams: {mixed[0]}"
    for stream in streams:
        assert stream.numbers == list(range(1, len(stream.numbers) + 1)), stream


@then("no stream has events of two services")
def step_one_service(context):
    streams = context.simulation.play().streams
    assert {"v1"} in [stream.versions for stream in streams]
    assert {"w1"} in [stream.versions for stream in streams]
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    assert not mixed, f"{len(mixed)} of {len(streams)} streams"


@then("at least {share:g} of the streams are complete")
def step_complete(context, share):
    streams = context.simulation.play().streams
    num_complete = sum(stream.is_complete for stream in streams)
    assert num_complete >= share * len(streams), f"{num_complete} of {len(streams)}"


def goes_on(answer):
    """Return whether a take-up brought events, or the end of a stream that had them all."""
    return answer.status == HTTP_OK and (answer.body or answer.is_complete)


def rates(streams, counts=lambda one: True):
    """Return the share of first tries that began, and of take-ups that went on, and their number."""
    first = [stream.tries[0] for stream in streams if not stream.tries[0].was_cut]
    began = sum(1 for one in first if one.events()[0])
    later = [one for stream in streams for one in stream.take_ups() if counts(one)]
    later = [one for one in later if not one.was_cut]
    went_on = sum(1 for one in later if goes_on(one.answer))
    return began / len(first), went_on / max(1, len(later)), len(later)


@then("streams are taken up, and go on at nine tenths of the rate at which new ones begin")
def step_rate(context):
    begun, went_on, num = rates(context.simulation.play().streams)
    assert num >= 12, num
    assert went_on >= MIN_RATE_SHARE * begun, f"{went_on:.2f} of {num}, new ones {begun:.2f}"


@then("no stream that nodes of this release alone took part in has events of two versions")
def step_new_only(context):
    simulation = context.simulation.play()
    old = simulation.fleet.old_builds
    streams = [s for s in simulation.streams if not old & {one.node for one in s.tries}]
    assert any(stream.take_ups() for stream in streams)
    assert not [stream for stream in streams if len(stream.versions) > 1]


@then(
    "take-ups at nodes of this release of streams that they began go on at nine tenths of the rate of "
    "new ones"
)
def step_new_rate(context):
    simulation = context.simulation.play()
    old = simulation.fleet.old_builds
    streams = [s for s in simulation.streams if not old & {one.node for one in s.tries}]
    begun, went_on, num = rates(streams)
    assert num >= 12 and went_on >= MIN_RATE_SHARE * begun, (begun, went_on, num)


@then("the take-up is refused with 503 and Retry-After within {bound_s:g} seconds")
def step_refused(context, bound_s):
    context.simulation.play()
    answer = context.take_up.answer
    assert answer.status == HTTP_REFUSED and answer.header("retry-after"), answer
    assert answer.took_s <= bound_s, answer.took_s


@then("no back end has run the take-up")
def step_unrun(context):
    ids = {run.request_id for one in context.simulation.back_ends for run in one.runs}
    assert context.take_up.request_id not in ids


@then('a log line and a metric tell "{known_by}"')
def step_told(context, known_by):
    lines = context.simulation.fleet.logs["node-2"].named("stream_resumed")
    assert [line["known_by"] for line in lines] == [known_by], lines
    assert f'weirscale_streams_resumed_total{{known_by="{known_by}"}} 1.0' in context.metrics_text


@then("the take-up goes on")
def step_goes_on(context):
    context.simulation.play()
    answer = context.take_up.answer
    assert answer.status == HTTP_OK and answer.is_complete and context.stream.is_complete, answer


@then("the take-up is refused and not run")
def step_refused_unrun(context):
    context.simulation.play()
    assert context.take_up.answer.status == HTTP_REFUSED, context.take_up
    step_unrun(context)


@then("the stream is broken off visibly within {bound_s:g} seconds")
def step_broken(context, bound_s):
    answer = context.take_up.answer
    assert answer.status == HTTP_OK and not answer.is_complete, answer
    assert context.took_s <= bound_s, context.took_s


@then("the stream is refused with 503 and Retry-After, and unrun within {bound_s:g} seconds")
def step_refused_unrun_soon(context, bound_s):
    step_refused(context, bound_s)
    step_unrun(context)


# The store of origins alone.


@given("a store of stream origins")
def step_store(context):
    from weirscale.gateway.streams.origin_store import OriginStore

    context.now_s = 0.0
    context.store = OriginStore(lambda: context.now_s)


@when("{count:d} streams begin")
def step_many(context, count):
    from weirscale.gateway.streams.origin_store import StreamOrigin

    for key in range(count):
        context.now_s += 0.0001
        context.store.put(key, StreamOrigin("lm", "v1"))
    context.count = count


@then("at most {most:d} origins are stored, and they are the latest")
def step_bounded(context, most):
    stored = [key for key in range(context.count) if context.store.get(key) is not None]
    assert stored == list(range(context.count - len(stored), context.count))
    assert 1000 <= len(stored) <= most, len(stored)
