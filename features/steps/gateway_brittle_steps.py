"""Steps of `gateway_brittle.feature`."""

from random import Random

import anyio
from behave import given, then, when

from features.steps.path_state_steps import Clock
from features.support.brittle_back_ends import BrittleSimulation
from features.support.platform_fleet import EventRecorder
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.request_limits.brittle import ONLY_NODE, BrittleBackEnds

MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1
HTTP_OK = 200


@given(
    "{num_nodes:d} nodes in {num_zones:d} zones and {num_back_ends:d} back ends of each service "
    "that may be brittle"
)
def step_nodes(context, num_nodes, num_zones, num_back_ends):
    context.simulation = BrittleSimulation(num_nodes, num_back_ends, num_zones)


@when(
    'after {after_s:g} seconds those of "{service}" state that they bear "{refusals}" refusals a '
    "second, with room for {room:d}"
)
def step_brittle(context, after_s, service, refusals, room):
    simulation = context.simulation

    async def begin():
        await anyio.sleep(after_s)
        context.brittle_from_s = anyio.current_time()
        simulation.make_brittle(service, refusals, None)
        await anyio.sleep(3.0)
        simulation.make_brittle(service, refusals, room)

    context.num_back_ends = len(simulation.back_ends) // 2
    simulation.background.append(begin)


@then(
    "from {after_s:g} seconds after the statement at most 2 of them and a tenth of their number "
    "fall over"
)
def step_falls(context, after_s):
    simulation = context.simulation.play()
    since_s = context.brittle_from_s + after_s
    falls = [name for at_s, name in simulation.falls if at_s >= since_s]
    allowed = MAX_FALLS + MAX_FALLS_SHARE * context.num_back_ends
    assert len(falls) <= allowed, (falls, allowed, simulation.num_refused())


@then("at least {share:d} in 100 requests are answered")
def step_served(context, share):
    answers = context.simulation.play().answers
    served = sum(answer.status == HTTP_OK and answer.is_complete for answer in answers)
    assert served >= share / 100.0 * len(answers), (served, len(answers))


SETTLED_S = 3.0
RUN = RunId("lm-1@0")


def knows(node, run=RUN):
    """Return whether a node holds a run for brittle."""
    return node.dispatcher.back_pressure.brittle._current(run) is not None


@then(
    'the back ends of "{service}" count as brittle {at}, and "{unreadable}" is logged as unreadable'
)
def step_parsed(context, service, at, unreadable):
    simulation = context.simulation.play()
    (begun,) = simulation.logged("back_end_brittle").values()
    stated = {line["refusals_per_s"] for line in begun}
    assert stated == (set() if at == "not" else {float(at.removeprefix("with "))}), stated
    (logged,) = simulation.logged("back_end_brittle_unreadable").values()
    values = {line["value"] for line in logged}
    assert values == (set() if unreadable == "nothing" else {unreadable}), values
    assert len(logged) <= sum(one.service == service for one in simulation.back_ends.values())


@when('"lm-1" states to node-1 alone that it is brittle, for {seconds:g} seconds')
def step_states_to_one(context, seconds):
    simulation = context.simulation
    context.known = []

    async def act():
        back_end = simulation.back_ends["lm-1"]
        back_end.brittle = "2"
        until_s = anyio.current_time() + seconds
        while anyio.current_time() < until_s:
            await simulation.send_request("node-1")
            await anyio.sleep(0.1)
            context.known.append([knows(node) for node in simulation.all_nodes()])
        back_end.brittle = None
        await anyio.sleep(6.0)
        context.known_later = [knows(node) for node in simulation.all_nodes()]

    simulation.actions.append(act)


@then("all nodes know it within a second, and none does 6 seconds after the last statement")
def step_known(context):
    context.simulation.play()
    assert all(context.known[len(context.known) // 4]), context.known
    assert all(map(all, context.known[len(context.known) // 4 :])), context.known
    assert not any(context.known_later)


@when("an answer without the statement arrives that was asked for before it")
def step_early_answer(context):
    clock = Clock()
    context.brittle = BrittleBackEnds(
        lambda: ONLY_NODE, lambda _instance: (0, 0), EventRecorder(), Random(1), clock
    )
    asked_at_s = clock.now_s
    clock.now_s += 1.0
    context.brittle.stated(RUN, 2.0)
    clock.now_s += 1.0
    context.brittle.not_stated(RUN, asked_at_s)
    context.clock = clock


@then("the back end is still brittle, until a later answer does without")
def step_still_brittle(context):
    assert context.brittle._current(RUN) is not None
    context.brittle.not_stated(RUN, context.clock.now_s - 0.5)
    assert context.brittle._current(RUN) is None


@then(
    "some callers get 503 within {seconds:g} seconds with a Retry-After of {retry_s:g} and the "
    'cause "{cause}"'
)
def step_refused_at_once(context, seconds, retry_s, cause):
    simulation = context.simulation.play()
    lines = simulation.logged("request_ended")["node-1"]
    context.refused = [line["id"] for line in lines if cause in line.get("causes", "")]
    assert context.refused
    refused = [answer for answer in simulation.answers if answer.status == 503]
    assert len(refused) >= len(context.refused)
    waits = {float(answer.header("retry-after")) for answer in refused}
    assert retry_s in waits, waits
    assert all(answer.took_s <= seconds for answer in refused), max(a.took_s for a in refused)


@then("no request that was refused so has run")
def step_refused_did_not_run(context):
    runs = {run.request_id for one in context.simulation.back_ends.values() for run in one.runs}
    assert not runs & set(context.refused)
