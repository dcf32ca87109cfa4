"""Steps of `gateway_leaving.feature`."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import MODEL
from features.support.platform_runner import RunnerStandIn
from features.support.speaking_back_ends import SpeakingBackEnds
from weirscale.gateway.model.back_ends import BackEndState
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.ports.state_feed import BackEndRegistered, StateBatch, VersionedChange
from weirscale.gateway.state.leaving_runs import LeavingRuns

MANY_FAULTS = 200
"""Faults in a row: as long as the back end speaks."""

HEARD_S = 0.01
"""Until the node has read the head of an answer that was sent."""

FAULTS = {
    "a stream that ends well": "none",
    "a whole answer": "none",
    "a stream that breaks off": "break",
    "a body that breaks off": "break",
    "a refusal": "refuse",
    "a refusal without proof": "unproved",
    "a failure": "error",
    "one that belongs to another request": "cross",
    "one without a signature": "unsealed",
}

PATHS = {
    "to an order": "/v1/order",
    "to a question for its weights": "/v1/report",
    "to a health check": "/healthz",
}


@given("{num_nodes:d} node before {num_back_ends:d} back ends that speak")
def step_one_node(context, num_nodes, num_back_ends):
    context.play = SpeakingBackEnds(num_nodes, num_back_ends)


@given("{num_nodes:d} nodes of {num_zones:d} zones before {num_back_ends:d} back ends that speak")
def step_nodes(context, num_nodes, num_zones, num_back_ends):
    context.play = SpeakingBackEnds(num_nodes, num_back_ends, num_zones)


@when('the store is silent for {seconds:g} seconds, and "{name}" leaves {later_s:g} second later')
def step_silent(context, seconds, name, later_s):
    play = context.play
    play.for_s = seconds

    async def silence():
        play.fleet.store.is_silent = True
        await anyio.sleep(seconds)
        play.fleet.store.is_silent = False

    async def leave():
        await anyio.sleep(later_s)
        play.back_ends[name].is_leaving = True

    play.background += [silence, leave]


@when("each node is asked each {interval_s:g} seconds all the while")
def step_ask(context, interval_s):
    play = context.play
    play.actions.append(lambda: play.ask_nodes(interval_s, play.for_s))


@when('one answer of "{name}" says that it leaves, "{answer}"')
def step_one_answer(context, name, answer):
    play = context.play
    back_end = play.back_ends[name]

    async def says():
        path = "/s/1" if name.startswith("o-") else "/a/1"
        if answer in FAULTS:
            back_end.faults = [FAULTS[answer]] * MANY_FAULTS
            await play.until_said(name, path=path)
            back_end.faults = []
        elif answer == "a stream whose caller leaves":
            await says_to_a_caller_that_leaves(play, name)
        else:
            await says_elsewhere(play, back_end, PATHS[answer])

    play.actions.append(says)


async def says_to_a_caller_that_leaves(play, name):
    """Have the caller go as soon as the head of the answer, and nothing more, is here."""
    back_end = play.back_ends[name]
    back_end.is_leaving = True
    while name not in play.said_s:
        await play.ask_node(play.node_names()[0], leave_after_s=HEARD_S)
        await anyio.sleep(0.1)
    back_end.is_leaving = False


async def says_elsewhere(play, back_end, path):
    """Have a back end say it in the answer to another call than a request."""
    back_end.is_leaving = True
    back_end.leaving_path = path
    if path == "/healthz":
        back_end.faults = ["connect"] * 2
    else:
        play.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
    while back_end.instance not in play.said_s:
        await play.ask_node(play.node_names()[0])
        await anyio.sleep(0.05)
    back_end.is_leaving = False
    await anyio.sleep(HEARD_S)


@when('each node is asked at "{path}" each {interval_s:g} seconds for {for_s:g} seconds')
def step_ask_at(context, path, interval_s, for_s):
    play = context.play
    play.path = path
    play.actions.append(lambda: play.ask_nodes(interval_s, for_s))


@when(
    "{later_s:g} seconds later each node is asked each {interval_s:g} seconds for {for_s:g} seconds"
)
def step_ask_later(context, later_s, interval_s, for_s):
    play = context.play

    async def later():
        await anyio.sleep(later_s)
        await play.ask_nodes(interval_s, for_s)

    play.actions.append(later)


async def write_as_ready(play, back_end):
    play.fleet.store.put(f"servers/{back_end.instance}", back_end.entry() | {"seq": 2})


async def end_and_write(play, back_end):
    play.fleet.store.delete(f"servers/{back_end.instance}")
    await anyio.sleep(1.0)
    await write_as_ready(play, back_end)


async def read_anew(play, back_end):
    play.fleet.store.compact()


async def lapse(play, back_end):
    store = play.fleet.store
    store.is_silent = True
    await anyio.sleep(4.0)
    store.delete(f"servers/{back_end.instance}")
    store.is_silent = False
    store.cut_watches()


async def told_by_peer(play, back_end):
    """Have a state arrive, later than all that is known, in which the back end is ready."""
    cluster = play.all_nodes()[0].cluster
    ready = next(one for one in cluster.directory.all() if one.instance == back_end.instance)
    ready = type(ready)(
        instance=ready.instance, service=ready.service, address=ready.address, zone=ready.zone,
        state=BackEndState.READY, slots=ready.slots, models=ready.models,
    )  # fmt: skip
    revision = cluster.revision + 1
    key = f"servers/{back_end.instance}"
    change = VersionedChange(key, revision, BackEndRegistered(ready))
    cluster.apply(StateBatch(revision, (change,)), anyio.current_time())


async def start_again(play, back_end):
    back_end.born_ms = 1_700_000_000_000
    await write_as_ready(play, back_end)


async def register_another(play, back_end):
    another = RunnerStandIn("another", back_end.address, back_end.service)
    play.fleet.add_runner(another)
    play.back_ends["another"] = another
    play.successor = "another"
    play.watch(another)


async def name_weights(play, back_end):
    play.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})


AFTERWARDS = {
    "its registration is written again as ready": write_as_ready,
    "its registration ends and comes again as ready": end_and_write,
    "everything is read anew from the store": read_anew,
    "the store goes away and its registration lapses": lapse,
    "a peer tells the state with it as ready": told_by_peer,
    "its process starts again under its name": start_again,
    "another process registers at its address": register_another,
    "new weights are named": name_weights,
}


@when('"{name}" says once that it leaves, and then {what}')
def step_then(context, name, what):
    play = context.play
    play.successor = name

    async def act():
        await play.until_said(name)
        await AFTERWARDS[what](play, play.back_ends[name])

    play.actions.append(act)


@when('"{names}" say once that they leave')
def step_all_leave(context, names):
    play = context.play

    async def act():
        for name in names.split(","):
            await play.until_said(name)

    play.actions.append(act)


@when('"{name}" says to {node} alone that it leaves')
def step_alone(context, name, node):
    play = context.play
    play.actions.append(lambda: play.until_said(name, node))


@when('"{node}" hears nothing of the others')
def step_mute(context, node):
    play = context.play

    async def mute():
        play.fleet.mute.add(node)

    play.actions.append(mute)


@when('a long stream runs at "{name}" while it says that it leaves')
def step_long(context, name):
    play = context.play
    back_end = play.back_ends[name]

    async def act():
        back_end.event_interval_s = 0.5
        play.fleet.tasks.start_soon(play.ask_node, "node-1")
        await anyio.sleep(0.3)
        await play.until_said(name)
        await anyio.sleep(5.0)

    play.actions.append(act)


@then(
    '"{name}" gets no request later than {bound_s:g} seconds after a node passed on that it leaves'
)
def step_none_later(context, name, bound_s):
    play = context.play.play()
    told_s = {node: at_s for (node, instance), at_s in play.told_s.items() if instance == name}
    assert told_s, "no answer said so"
    for node, at_s in told_s.items():
        late = [one - at_s for one in play.arrived_s[node, name] if one > at_s + bound_s]
        assert not late, (node, late)


@then('"{name}" gets no request after that answer')
def step_none_after(context, name):
    play = context.play.play()
    late = [at_s - play.said_s[name] for at_s in play.arrivals_s(name) if at_s > play.said_s[name]]
    assert not late, late
    others = [one for one in play.back_ends if one != name]
    assert any(at_s > play.said_s[name] for one in others for at_s in play.arrivals_s(one))


@then('"{name}" gets requests from {later_s:g} seconds after that answer on')
def step_comes_back(context, name, later_s):
    play = context.play.play()
    from_s = play.said_s[name] + later_s
    assert any(at_s > from_s for at_s in play.arrivals_s(play.successor))


@then("all requests are answered")
def step_all_answered(context):
    answers = context.play.play().answers
    assert len(answers) > 20, len(answers)
    assert {answer.status for answer in answers} == {200}, [a.status for a in answers]
    assert all(answer.is_complete for answer in answers)


@then('each node logs once that "{name}" leaves, one of them by an answer')
def step_logged(context, name):
    play = context.play.play()
    sources = []
    for node, lines in play.logged("back_end_leaving").items():
        of_it = [line["source"] for line in lines if line["instance"] == name]
        assert len(of_it) == 1, (node, of_it)
        sources += of_it
    assert sources.count("answer") == 1, sources
    assert sources.count("peer") == len(sources) - 1, sources


@then("that stream is whole")
def step_whole(context):
    first = context.play.play().answers[0]
    assert first.took_s > 1.0, first.took_s
    assert first.is_complete and first.body.count(b"id: ") == 5, first.body


@then("the last {num:d} callers get 503 within {bound_s:g} seconds, with a time to come back")
def step_refused(context, num, bound_s):
    for answer in context.play.play().answers[-num:]:
        assert answer.status == 503, answer
        assert answer.took_s <= bound_s, answer.took_s
        assert float(answer.header("retry-after")) > 0.0


@then('"{name}" gets no order, and "{other}" gets one')
def step_no_order(context, name, other):
    play = context.play.play()
    assert not play.back_ends[name].orders
    assert play.back_ends[other].orders


@given("{num:d} runs of back ends that said that they leave")
def step_runs(context, num):
    context.runs = [RunId(f"lm-{number}@0") for number in range(num)]
    context.leaving = LeavingRuns()
    for run in context.runs:
        assert context.leaving.add(run)


@then("the latest {num:d} of them are remembered")
def step_remembered(context, num):
    known = [run for run in context.runs if run in context.leaving]
    assert known == context.runs[-num:], len(known)
