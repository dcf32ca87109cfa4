"""Steps of `gateway_leaving.feature`."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import MODEL
from features.support.platform_runner import RunnerStandIn
from features.support.speaking_back_ends import StatementSimulation
from weirscale.gateway.model.back_ends import BackEndState
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.ports.state_feed import BackEndRegistered, StateBatch, VersionedChange
from weirscale.gateway.state.leaving_runs import LeavingRuns

MANY_FAULTS = 200
"""Number of faults in a row, enough for as long as the back end makes its statement."""

HEAD_READ_S = 0.01
"""Seconds until the node has read the head of an answer that was sent."""

FAULTS = {
    "a complete stream": "none",
    "a complete body": "none",
    "a truncated stream": "break",
    "a truncated body": "break",
    "a refusal": "refuse",
    "a refusal without X-Not-Executed": "unproved",
    "an error response": "error",
    "an answer to another request": "cross",
    "an answer without a signature": "unsealed",
}

PATHS = {
    "the answer to a load order": "/v1/order",
    "the answer to a weights query": "/v1/report",
    "the answer to a health check": "/healthz",
}


@given("{num_nodes:d} node and {num_back_ends:d} scripted back ends of each service")
def step_one_node(context, num_nodes, num_back_ends):
    context.simulation = StatementSimulation(num_nodes, num_back_ends)


@given(
    "{num_nodes:d} nodes in {num_zones:d} zones and {num_back_ends:d} scripted back ends of each "
    "service"
)
def step_nodes(context, num_nodes, num_zones, num_back_ends):
    context.simulation = StatementSimulation(num_nodes, num_back_ends, num_zones)


@when(
    'the store does not respond for {seconds:g} seconds, and "{name}" starts to leave {later_s:g} '
    "second later"
)
def step_store_outage(context, seconds, name, later_s):
    simulation = context.simulation
    simulation.outage_s = seconds

    async def outage():
        simulation.fleet.store.is_silent = True
        await anyio.sleep(seconds)
        simulation.fleet.store.is_silent = False

    async def start_to_leave():
        await anyio.sleep(later_s)
        simulation.back_ends[name].is_leaving = True

    simulation.background += [outage, start_to_leave]


@when("each node gets a request every {interval_s:g} seconds throughout the outage")
def step_send(context, interval_s):
    simulation = context.simulation
    simulation.actions.append(lambda: simulation.send_to_all_nodes(interval_s, simulation.outage_s))


@when('one answer of "{name}", "{answer}", states that it is leaving')
def step_one_answer(context, name, answer):
    simulation = context.simulation
    back_end = simulation.back_ends[name]

    async def make_statement():
        path = "/s/1" if name.startswith("o-") else "/a/1"
        if answer in FAULTS:
            back_end.faults = [FAULTS[answer]] * MANY_FAULTS
            await simulation.send_until_leaving(name, path=path)
            back_end.faults = []
        elif answer == "a stream whose caller disconnects":
            await state_to_disconnecting_caller(simulation, name)
        else:
            await state_in_other_answer(simulation, back_end, PATHS[answer])

    simulation.actions.append(make_statement)


async def state_to_disconnecting_caller(simulation, name):
    """Send requests whose callers disconnect as soon as the head of the answer has arrived."""
    back_end = simulation.back_ends[name]
    back_end.is_leaving = True
    while name not in simulation.last_leaving_s:
        await simulation.send_request(simulation.node_names()[0], leave_after_s=HEAD_READ_S)
        await anyio.sleep(0.1)
    back_end.is_leaving = False


async def state_in_other_answer(simulation, back_end, path):
    """Let a back end make the statement in the answer to a call that is not a request."""
    back_end.is_leaving = True
    back_end.leaving_path = path
    if path == "/healthz":
        back_end.faults = ["connect"] * 2
    else:
        simulation.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
    while back_end.instance not in simulation.last_leaving_s:
        await simulation.send_request(simulation.node_names()[0])
        await anyio.sleep(0.05)
    back_end.is_leaving = False
    await anyio.sleep(HEAD_READ_S)


@when('each node gets a request for "{path}" every {interval_s:g} seconds for {for_s:g} seconds')
def step_send_for_path(context, path, interval_s, for_s):
    simulation = context.simulation
    simulation.path = path
    simulation.actions.append(lambda: simulation.send_to_all_nodes(interval_s, for_s))


@when(
    "after {later_s:g} more seconds each node gets a request every {interval_s:g} seconds for "
    "{for_s:g} seconds"
)
def step_send_later(context, later_s, interval_s, for_s):
    simulation = context.simulation

    async def send_later():
        await anyio.sleep(later_s)
        await simulation.send_to_all_nodes(interval_s, for_s)

    simulation.actions.append(send_later)


async def write_as_ready(simulation, back_end):
    simulation.fleet.store.put(f"servers/{back_end.instance}", back_end.entry() | {"seq": 2})


async def end_and_write_as_ready(simulation, back_end):
    simulation.fleet.store.delete(f"servers/{back_end.instance}")
    await anyio.sleep(1.0)
    await write_as_ready(simulation, back_end)


async def read_full_state(simulation, back_end):
    simulation.fleet.store.compact()


async def expire_during_outage(simulation, back_end):
    store = simulation.fleet.store
    store.is_silent = True
    await anyio.sleep(4.0)
    store.delete(f"servers/{back_end.instance}")
    store.is_silent = False
    store.cut_watches()


async def apply_state_of_peer(simulation, back_end):
    """Apply a state, later than any that the node has, in which the back end is ready."""
    cluster = simulation.all_nodes()[0].cluster
    ready = next(entry for entry in cluster.directory.all() if entry.instance == back_end.instance)
    ready = type(ready)(
        instance=ready.instance, service=ready.service, address=ready.address, zone=ready.zone,
        state=BackEndState.READY, slots=ready.slots, models=ready.models,
    )  # fmt: skip
    revision = cluster.revision + 1
    key = f"servers/{back_end.instance}"
    change = VersionedChange(key, revision, BackEndRegistered(ready))
    cluster.apply(StateBatch(revision, (change,)), anyio.current_time())


async def restart(simulation, back_end):
    back_end.born_ms = 1_700_000_000_000
    await write_as_ready(simulation, back_end)


async def register_another(simulation, back_end):
    another = RunnerStandIn("another", back_end.address, back_end.service)
    simulation.fleet.add_runner(another)
    simulation.back_ends["another"] = another
    simulation.successor = "another"
    simulation.record_traffic(another)


async def request_new_weights(simulation, back_end):
    simulation.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})


EVENTS = {
    "its registration is written again as ready": write_as_ready,
    "its registration ends and returns as ready": end_and_write_as_ready,
    "the node reads the full state from the store": read_full_state,
    "its registration expires during a store outage": expire_during_outage,
    "a peer sends a state in which it is ready": apply_state_of_peer,
    "its process restarts under the same name": restart,
    "another process registers at its address": register_another,
    "a new weight version is requested": request_new_weights,
}


@when('"{name}" states once that it is leaving, and then {event}')
def step_leaves_and_then(context, name, event):
    simulation = context.simulation
    simulation.successor = name

    async def act():
        await simulation.send_until_leaving(name)
        await EVENTS[event](simulation, simulation.back_ends[name])

    simulation.actions.append(act)


@when('"{names}" state once that they are leaving')
def step_all_leave(context, names):
    simulation = context.simulation

    async def act():
        for name in names.split(","):
            await simulation.send_until_leaving(name)

    simulation.actions.append(act)


@when('"{name}" states to {node} only that it is leaving')
def step_to_one_node(context, name, node):
    simulation = context.simulation
    simulation.actions.append(lambda: simulation.send_until_leaving(name, node))


@when('"{node}" exchanges no datagrams with the other nodes')
def step_isolate(context, node):
    simulation = context.simulation

    async def isolate():
        simulation.fleet.mute.add(node)

    simulation.actions.append(isolate)


@when('a long stream runs at "{name}" while it states that it is leaving')
def step_long_stream(context, name):
    simulation = context.simulation
    back_end = simulation.back_ends[name]

    async def act():
        back_end.event_interval_s = 0.5
        simulation.fleet.tasks.start_soon(simulation.send_request, "node-1")
        await anyio.sleep(0.3)
        await simulation.send_until_leaving(name)
        await anyio.sleep(5.0)

    simulation.actions.append(act)


@then(
    '"{name}" gets no request from a node later than {bound_s:g} seconds after its first leaving '
    "statement to that node"
)
def step_none_later(context, name, bound_s):
    simulation = context.simulation.play()
    stated_s = {
        node: at_s
        for (node, instance), at_s in simulation.first_leaving_s.items()
        if instance == name
    }
    assert stated_s, "no answer stated it"
    for node, at_s in stated_s.items():
        late = [
            arrived_s - at_s
            for arrived_s in simulation.arrived_s[node, name]
            if arrived_s > at_s + bound_s
        ]
        assert not late, (node, late)


@then('"{name}" gets no request after that answer')
def step_none_after(context, name):
    simulation = context.simulation.play()
    late = [
        at_s - simulation.last_leaving_s[name]
        for at_s in simulation.arrivals_s(name)
        if at_s > simulation.last_leaving_s[name]
    ]
    assert not late, late
    others = [other for other in simulation.back_ends if other != name]
    assert any(
        at_s > simulation.last_leaving_s[name]
        for other in others
        for at_s in simulation.arrivals_s(other)
    )


@then('the successor of "{name}" gets requests from {later_s:g} seconds after that answer on')
def step_successor(context, name, later_s):
    simulation = context.simulation.play()
    from_s = simulation.last_leaving_s[name] + later_s
    assert any(at_s > from_s for at_s in simulation.arrivals_s(simulation.successor))


@then("all requests are answered")
def step_all_answered(context):
    answers = context.simulation.play().answers
    assert len(answers) > 20, len(answers)
    assert {answer.status for answer in answers} == {200}, [a.status for a in answers]
    assert all(answer.is_complete for answer in answers)


@then('each node logs once that "{name}" is leaving, one of them because of an answer')
def step_logged(context, name):
    simulation = context.simulation.play()
    sources = []
    for node, lines in simulation.logged("back_end_leaving").items():
        sources_of_node = [line["source"] for line in lines if line["instance"] == name]
        assert len(sources_of_node) == 1, (node, sources_of_node)
        sources += sources_of_node
    assert sources.count("answer") == 1, sources
    assert sources.count("peer") == len(sources) - 1, sources


@then("that stream is complete")
def step_stream_complete(context):
    first = context.simulation.play().answers[0]
    assert first.took_s > 1.0, first.took_s
    assert first.is_complete and first.body.count(b"id: ") == 5, first.body


@then("the last {num:d} callers get 503 within {bound_s:g} seconds, with a Retry-After")
def step_refused(context, num, bound_s):
    for answer in context.simulation.play().answers[-num:]:
        assert answer.status == 503, answer
        assert answer.took_s <= bound_s, answer.took_s
        assert float(answer.header("retry-after")) > 0.0


@then('"{name}" gets no order, and "{other}" gets one')
def step_no_order(context, name, other):
    simulation = context.simulation.play()
    assert not simulation.back_ends[name].orders
    assert simulation.back_ends[other].orders


@given("{num:d} runs of back ends that stated that they are leaving")
def step_runs(context, num):
    context.runs = [RunId(f"lm-{number}@0") for number in range(num)]
    context.leaving = LeavingRuns()
    for run in context.runs:
        assert context.leaving.add(run)


@then("the latest {num:d} of them are remembered")
def step_remembered(context, num):
    remembered = [run for run in context.runs if run in context.leaving]
    assert remembered == context.runs[-num:], len(remembered)
