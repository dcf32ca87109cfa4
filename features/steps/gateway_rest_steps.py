"""Steps of `gateway_rest.feature`."""

from random import Random

import anyio
import httpx
from behave import given, then, when

from weirscale.gateway.model.identifiers import InstanceId, RunId
from weirscale.gateway.routing.back_end_rests import BackEndRests
from weirscale_platform.answer_notices import read_notice

ROUNDING_S = 1e-6

FIRST_S = 0.1
"""Between two requests, until the back end has turned one away."""


def rests_of(text):
    """Return the header values of a table's cell."""
    return ("",) if text == "nothing" else tuple(text.split(" and "))


@when('"{name}" turns everything away and asks for "{rest}" seconds of rest')
def step_turns_away(context, name, rest):
    context.play.back_ends[name].rests = (rest,)


@when('"{name}" turns everything away, {how}, and asks for "{rest}" seconds of rest')
def step_turns_away_how(context, name, how, rest):
    context.play.back_ends[name].rests = (rest,)
    context.play.back_ends[name].proves_refusals = how == "proved unrun"


@when("each node is asked each {interval_s:g} seconds for {for_s:g} seconds")
def step_ask_for(context, interval_s, for_s):
    play = context.play
    play.actions.append(lambda: play.ask_nodes(interval_s, for_s))


async def until_turned_away(play, name, rests):
    """Ask the first node until a back end has turned one request away; then it takes all."""
    play.back_ends[name].rests = rests
    node = play.node_names()[0]
    while (node, name) not in play.rests_s:
        await play.ask_node(node)
        await anyio.sleep(FIRST_S)
    play.back_ends[name].rests = ()


@when('"{name}" turns everything away once and asks for "{rests}"')
def step_once(context, name, rests):
    play = context.play
    play.actions.append(lambda: until_turned_away(play, name, rests_of(rests)))


@when('"{name}" turns everything away once with 429 and asks for "{rest}"')
def step_once_429(context, name, rest):
    play = context.play
    play.back_ends[name].refusal_status = 429
    play.actions.append(lambda: until_turned_away(play, name, (rest,)))


@when('"{name}" and "{other}" turn everything away once and ask for "{rest}"')
def step_both(context, name, other, rest):
    play = context.play

    async def both():
        play.back_ends[name].rests = play.back_ends[other].rests = (rest,)
        while len(play.rests_s) < 2:
            await play.ask_node("node-1")
        play.back_ends[name].rests = play.back_ends[other].rests = ()
        play.rested_from_s = anyio.current_time()

    play.actions.append(both)


@when('the circuit of "{name}" opens, and a probe is answered with a rest of "{rest}"')
def step_probe(context, name, rest):
    play = context.play
    back_end = play.back_ends[name]

    async def open_circuit():
        back_end.faults = ["connect"] * 2
        back_end.probe_rests = (rest,)
        while not back_end.probed_s:
            await play.ask_node("node-1")
            await anyio.sleep(FIRST_S)
        back_end.probe_rests = ()

    play.actions.append(open_circuit)


async def start_again(play, back_end):
    back_end.born_ms = 1_700_000_000_000
    play.fleet.store.put(f"servers/{back_end.instance}", back_end.entry())


async def end_and_come_again(play, back_end):
    play.fleet.store.delete(f"servers/{back_end.instance}")
    await anyio.sleep(0.5)
    play.fleet.store.put(f"servers/{back_end.instance}", back_end.entry())


async def suspend(play, back_end):
    play.fleet.suspend("node-1", 6.0)


async def ask_another_node(play, back_end):
    await play.fleet.start_node("node-2", is_first_start=False)


AFTERWARDS = {
    "its process starts again under its name": start_again,
    "its registration ends and comes again as ready": end_and_come_again,
    "the node's machine is suspended for 6 seconds": suspend,
    "another node is asked": ask_another_node,
}


@when('"{name}" turns everything away once, asks for "{rest}", and then {what}')
def step_then(context, name, rest, what):
    play = context.play

    async def act():
        await until_turned_away(play, name, (rest,))
        await AFTERWARDS[what](play, play.back_ends[name])

    play.actions.append(act)


@then(
    '"{name}" gets at most {most:d} requests from a node between {slack_s:g} seconds after such an '
    "answer and the end of its rest"
)
def step_rests(context, name, most, slack_s):
    play = context.play.play()
    rest_s = float(play.back_ends[name].rests[0])
    rests = {key: asked for key, asked in play.rests_s.items() if key[1] == name}
    assert rests, "it turned nobody away"
    for key, asked in rests.items():
        for asked_s in asked:
            began_s, ends_s = asked_s + slack_s, asked_s + rest_s
            early = [one - asked_s for one in play.arrived_s[key] if began_s < one < ends_s]
            assert len(early) <= most, (key, early)


@then("at most {most:d} requests are not answered")
def step_few_refused(context, most):
    answers = context.play.play().answers
    assert len(answers) > 20, len(answers)
    refused = [answer.status for answer in answers if answer.status != 200]
    assert len(refused) <= most, refused


def after_first_rest_s(play, name):
    """Return when requests arrived at a back end, counted from its first answer with a rest."""
    asked_s = min(all_s[0] for (_, to), all_s in play.rests_s.items() if to == name)
    return [at_s - asked_s for at_s in play.arrivals_s(name) if at_s > asked_s]


@then('"{name}" gets nothing for {for_s:g} seconds, and something within {latest_s:g} seconds')
def step_span(context, name, for_s, latest_s):
    next_s = after_first_rest_s(context.play.play(), name)[0]
    assert for_s - ROUNDING_S <= next_s <= latest_s, next_s


@then('"{name}" gets something within {within_s:g} seconds: {gets}')
def step_gets(context, name, within_s, gets):
    arrived = [at_s for at_s in after_first_rest_s(context.play.play(), name) if at_s < within_s]
    assert bool(arrived) == (gets == "yes"), arrived


@then('the log tells "{value}" as unreadable')
def step_unreadable(context, value):
    play = context.play.play()
    [line] = play.logged("back_end_rest_unreadable")["node-1"]
    assert line["value"] == value, line
    assert not play.logged("back_end_rest")["node-1"]


@given('a rest of "{rest}" seconds that is asked for')
def step_long(context, rest):
    response = httpx.Response(503, headers={"Retry-After": rest})
    context.rests = BackEndRests(Random(1))
    notice = read_notice(response, InstanceId("lm-1"), is_version_expected=True)
    context.rests.begin(RunId("lm-1@0"), notice.rest_s, 0.0)


@when('a rest of "{rest}" seconds is asked for {later_s:g} second later')
def step_once_more(context, rest, later_s):
    context.rests.begin(RunId("lm-1@0"), float(rest), later_s)


@then("the run has its rest from {from_s:g} to {to_s:g} seconds")
def step_lasts(context, from_s, to_s):
    assert from_s <= context.rests.left_s(RunId("lm-1@0"), 0.0) <= to_s


@then(
    "from {from_s:g} to {to_s:g} seconds callers get 503 within {bound_s:g} seconds, with the time "
    "that is left"
)
def step_all_rest(context, from_s, to_s, bound_s):
    play = context.play.play()
    asked = [(answer.at_s - play.rested_from_s, answer) for answer in play.answers]
    refused = [(at_s, answer) for at_s, answer in asked if from_s < at_s < to_s]
    assert len(refused) > 10, len(refused)
    for at_s, answer in refused:
        assert answer.status == 503 and answer.took_s <= bound_s, (at_s, answer)
        left_s = float(answer.header("retry-after"))
        # The rest that ends first, with up to a quarter more; it was asked for up to 0.2 s before.
        assert 2.8 <= at_s + left_s <= 3.75, (at_s, left_s)


@then('these are told as "{cause}" in the log')
def step_cause(context, cause):
    lines = context.play.play().logged("request_ended")["node-1"]
    assert sum(cause in str(line.get("causes")) for line in lines) > 10


@then("the last {num:d} callers are answered")
def step_last(context, num):
    assert {answer.status for answer in context.play.play().answers[-num:]} == {200}


@then("no circuit opens, and at most {most:d} retries are spent")
def step_no_fault(context, most):
    play = context.play.play()
    assert not play.logged("back_end_suspected")["node-1"]
    attempts = sum(line["attempts"] for line in play.logged("request_ended")["node-1"])
    assert 0 < attempts - len(play.answers) <= most, (attempts, len(play.answers))


@then('"{name}" gets no probe until the rest has passed')
def step_no_probe(context, name):
    first_s, *later_s = context.play.play().back_ends[name].probed_s
    assert later_s and all(at_s >= first_s + 3.0 for at_s in later_s), (first_s, later_s)


@given("{num:d} runs that are told at one moment to rest for {rest_s:g} seconds")
def step_many(context, num, rest_s):
    # Each node draws by itself: one owner of rests a node.
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
        together = [one for one in ends_s if began_s <= one <= began_s + span_s]
        assert len(together) <= most, together
