"""Steps of `gateway_leaving.feature`."""

import anyio
from behave import given, then, when

from features.support.speaking_back_ends import SpeakingBackEnds


@given("{num_nodes:d} node before {num_back_ends:d} back ends")
def step_one_node(context, num_nodes, num_back_ends):
    context.play = SpeakingBackEnds(num_nodes, num_back_ends)


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


@then("all requests are answered")
def step_all_answered(context):
    answers = context.play.play().answers
    assert len(answers) > 20, len(answers)
    assert {answer.status for answer in answers} == {200}, [a.status for a in answers]
    assert all(answer.is_complete for answer in answers)
