"""Steps of `gateway_rest.feature`."""

from random import Random

import anyio
import httpx
from behave import given, then, when

from weirscale.gateway.model.identifiers import InstanceId, RunId
from weirscale.gateway.routing.back_end_rests import BackEndRests
from weirscale_platform.answer_notices import read_notice

ROUNDING_S = 1e-6

REQUEST_INTERVAL_S = 0.1
"""Seconds between two requests, until the back end has refused one."""


def parse_rests(text):
    """Return the header values that a table cell stands for."""
    return ("",) if text == "nothing" else tuple(text.split(" and "))


@when('"{name}" refuses all requests and asks for "{rest}" seconds of rest')
def step_refuses_all(context, name, rest):
    context.simulation.back_ends[name].rests = (rest,)


@when('"{name}" refuses all requests, {how}, and asks for "{rest}" seconds of rest')
def step_refuses_all_how(context, name, how, rest):
    context.simulation.back_ends[name].rests = (rest,)
    context.simulation.back_ends[name].proves_refusals = how == "with proof that they were not run"


@when("each node gets a request every {interval_s:g} seconds for {for_s:g} seconds")
def step_send(context, interval_s, for_s):
    simulation = context.simulation
    simulation.actions.append(lambda: simulation.send_to_all_nodes(interval_s, for_s))


async def send_until_refused(simulation, name, rests):
    """Send requests until a back end has refused one with this rest; then it accepts all."""
    simulation.back_ends[name].rests = rests
    node = simulation.node_names()[0]
    while (node, name) not in simulation.rest_requests_s:
        await simulation.send_request(node)
        await anyio.sleep(REQUEST_INTERVAL_S)
    simulation.back_ends[name].rests = ()


@when('"{name}" refuses one request and asks for a rest of "{rests}"')
def step_once(context, name, rests):
    simulation = context.simulation
    simulation.actions.append(lambda: send_until_refused(simulation, name, parse_rests(rests)))


@when('"{name}" refuses one request with 429 and asks for a rest of "{rest}"')
def step_once_429(context, name, rest):
    simulation = context.simulation
    simulation.back_ends[name].refusal_status = 429
    simulation.actions.append(lambda: send_until_refused(simulation, name, (rest,)))


@when('"{name}" and "{other}" refuse requests until each has asked for a rest of "{rest}"')
def step_both(context, name, other, rest):
    simulation = context.simulation

    async def refuse_both():
        simulation.back_ends[name].rests = simulation.back_ends[other].rests = (rest,)
        while len(simulation.rest_requests_s) < 2:
            await simulation.send_request("node-1")
        simulation.back_ends[name].rests = simulation.back_ends[other].rests = ()
        simulation.rests_began_s = anyio.current_time()

    simulation.actions.append(refuse_both)


@when('the circuit of "{name}" opens, and the answer to a probe asks for a rest of "{rest}"')
def step_probe(context, name, rest):
    simulation = context.simulation
    back_end = simulation.back_ends[name]

    async def open_circuit():
        back_end.faults = ["connect"] * 2
        back_end.probe_rests = (rest,)
        while not back_end.probed_s:
            await simulation.send_request("node-1")
            await anyio.sleep(REQUEST_INTERVAL_S)
        back_end.probe_rests = ()

    simulation.actions.append(open_circuit)


async def restart(simulation, back_end):
    back_end.born_ms = 1_700_000_000_000
    simulation.fleet.store.put(f"servers/{back_end.instance}", back_end.entry())


async def end_and_return(simulation, back_end):
    simulation.fleet.store.delete(f"servers/{back_end.instance}")
    await anyio.sleep(0.5)
    simulation.fleet.store.put(f"servers/{back_end.instance}", back_end.entry())


async def suspend_node(simulation, back_end):
    simulation.fleet.suspend("node-1", 6.0)


async def start_other_node(simulation, back_end):
    await simulation.fleet.start_node("node-2", is_first_start=False)


EVENTS = {
    "its process restarts under the same name": restart,
    "its registration ends and returns as ready": end_and_return,
    "the node's machine is suspended for 6 seconds": suspend_node,
    "requests go to another node": start_other_node,
}


@when('"{name}" refuses one request, asks for a rest of "{rest}", and then {event}')
def step_rests_and_then(context, name, rest, event):
    simulation = context.simulation

    async def act():
        await send_until_refused(simulation, name, (rest,))
        await EVENTS[event](simulation, simulation.back_ends[name])

    simulation.actions.append(act)


@then(
    '"{name}" gets at most {most:d} requests from a node between {slack_s:g} seconds after such a '
    "refusal and the end of its rest"
)
def step_rests(context, name, most, slack_s):
    simulation = context.simulation.play()
    rest_s = float(simulation.back_ends[name].rests[0])
    rests = {key: times_s for key, times_s in simulation.rest_requests_s.items() if key[1] == name}
    assert rests, "it refused no request"
    for key, times_s in rests.items():
        for asked_s in times_s:
            began_s, ends_s = asked_s + slack_s, asked_s + rest_s
            early = [
                at_s - asked_s for at_s in simulation.arrived_s[key] if began_s < at_s < ends_s
            ]
            assert len(early) <= most, (key, early)


@then("at most {most:d} requests are not answered with 200")
def step_few_refused(context, most):
    answers = context.simulation.play().answers
    assert len(answers) > 20, len(answers)
    refused = [answer.status for answer in answers if answer.status != 200]
    assert len(refused) <= most, refused


def after_first_rest_s(simulation, name):
    """Return when requests arrived at a back end, in seconds after its first answer with a rest."""
    asked_s = min(
        times_s[0]
        for (_, back_end), times_s in simulation.rest_requests_s.items()
        if back_end == name
    )
    return [at_s - asked_s for at_s in simulation.arrivals_s(name) if at_s > asked_s]


@then('"{name}" gets no request for {for_s:g} seconds, and one within {latest_s:g} seconds')
def step_span(context, name, for_s, latest_s):
    next_s = after_first_rest_s(context.simulation.play(), name)[0]
    assert for_s - ROUNDING_S <= next_s <= latest_s, next_s


@then('"{name}" gets a request within {within_s:g} seconds: {gets}')
def step_gets(context, name, within_s, gets):
    arrived = [
        at_s for at_s in after_first_rest_s(context.simulation.play(), name) if at_s < within_s
    ]
    assert bool(arrived) == (gets == "yes"), arrived


@then('the log reports "{value}" as an unreadable rest')
def step_unreadable(context, value):
    simulation = context.simulation.play()
    [line] = simulation.logged("back_end_rest_unreadable")["node-1"]
    assert line["value"] == value, line
    assert not simulation.logged("back_end_rest")["node-1"]


@given('a run that asks for a rest of "{rest}" seconds')
def step_asks(context, rest):
    response = httpx.Response(503, headers={"Retry-After": rest})
    context.rests = BackEndRests(Random(1))
    notice = read_notice(response, InstanceId("lm-1"), is_version_expected=True)
    context.rests.begin(RunId("lm-1@0"), notice.rest_s, 0.0)


@when('it asks for a rest of "{rest}" seconds {later_s:g} second later')
def step_asks_again(context, rest, later_s):
    context.rests.begin(RunId("lm-1@0"), float(rest), later_s)


@then("the run rests for {from_s:g} to {to_s:g} seconds")
def step_lasts(context, from_s, to_s):
    assert from_s <= context.rests.left_s(RunId("lm-1@0"), 0.0) <= to_s


@then(
    "from {from_s:g} to {to_s:g} seconds callers get 503 within {bound_s:g} seconds, with the "
    "remaining time"
)
def step_all_rest(context, from_s, to_s, bound_s):
    simulation = context.simulation.play()
    answers = [(answer.at_s - simulation.rests_began_s, answer) for answer in simulation.answers]
    refused = [(at_s, answer) for at_s, answer in answers if from_s < at_s < to_s]
    assert len(refused) > 10, len(refused)
    for at_s, answer in refused:
        assert answer.status == 503 and answer.took_s <= bound_s, (at_s, answer)
        left_s = float(answer.header("retry-after"))
        # The rest that ends first, with up to a quarter of jitter. It began up to 0.2 s earlier.
        assert 2.8 <= at_s + left_s <= 3.75, (at_s, left_s)


@then('the log gives "{cause}" as the cause of these refusals')
def step_cause(context, cause):
    lines = context.simulation.play().logged("request_ended")["node-1"]
    assert sum(cause in str(line.get("causes")) for line in lines) > 10


@then("the last {num:d} callers are answered")
def step_last(context, num):
    assert {answer.status for answer in context.simulation.play().answers[-num:]} == {200}


@then("no circuit opens, and at most {most:d} retries are used")
def step_no_fault(context, most):
    simulation = context.simulation.play()
    assert not simulation.logged("back_end_suspected")["node-1"]
    attempts = sum(line["attempts"] for line in simulation.logged("request_ended")["node-1"])
    assert 0 < attempts - len(simulation.answers) <= most, (attempts, len(simulation.answers))


@then('"{name}" gets no probe until the rest has passed')
def step_no_probe(context, name):
    first_s, *later_s = context.simulation.play().back_ends[name].probed_s
    assert later_s and all(at_s >= first_s + 3.0 for at_s in later_s), (first_s, later_s)


@given("a back end that asks {num:d} nodes at the same time for a rest of {rest_s:g} seconds")
def step_many(context, num, rest_s):
    # Each node has its own `BackEndRests`, which draws its own jitter.
    context.left_s = []
    for number in range(num):
        rests = BackEndRests(Random(number))
        rests.begin(RunId("lm-1@0"), rest_s, 0.0)
        context.left_s.append(rests.left_s(RunId("lm-1@0"), 0.0))


@then(
    "their rests end from {from_s:g} to {to_s:g} seconds later, at most {most:d} of them within "
    "{span_s:g} seconds"
)
def step_spread(context, from_s, to_s, most, span_s):
    ends_s = sorted(context.left_s)
    assert from_s <= ends_s[0] and ends_s[-1] <= to_s, ends_s
    for began_s in ends_s:
        together = [end_s for end_s in ends_s if began_s <= end_s <= began_s + span_s]
        assert len(together) <= most, together
