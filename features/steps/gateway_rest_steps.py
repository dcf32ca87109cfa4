"""Steps of `gateway_rest.feature`."""

from behave import then, when


@when('"{name}" turns everything away and asks for "{rest}" seconds of rest')
def step_turns_away(context, name, rest):
    context.play.back_ends[name].rests = (rest,)


@when("each node is asked each {interval_s:g} seconds for {for_s:g} seconds")
def step_ask_for(context, interval_s, for_s):
    play = context.play
    play.actions.append(lambda: play.ask_nodes(interval_s, for_s))


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
