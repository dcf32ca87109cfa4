"""Steps of `gateway_store_silence.feature`."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import STORE_ADDRESS
from weirscale.gateway.store_continuity import NEVER_S, Span, StoreContinuity


@given("a node that knows of {others:d} others")
def step_continuity(context, others):
    context.continuity = StoreContinuity()
    context.continuity.num_others = lambda: others


@when('it learns "{answers}"')
def step_learns(context, answers):
    for answer in answers.split(", "):
        at_s, who, what = answer.split(" ")
        if who == "own":
            context.continuity.prove(float(what), float(at_s))
        else:
            context.continuity.is_doubtful(float(at_s))
            began_s, proved_at_s = what.split("-")
            span = Span(float(began_s), float(proved_at_s))
            context.continuity.hear(who, span, float(at_s))


@then('at {now_s:g} s the last outage has ended at "{ended}"')
def step_ended(context, now_s, ended):
    expected_s = NEVER_S if ended == "never" else float(ended)
    found_s = context.continuity.outage_ended_s(now_s)
    assert found_s == expected_s, found_s


@then('node-1 tells the silence to be "{whose}"')
def step_whose(context, whose):
    log = context.play.run().fleet.logs["node-1"]
    assert [line["whose"] for line in log.named("store_silence_judged")] == [whose]
    assert len(log.named("store_silent")) == 1


@then('node-1 tells the silence to be ""')
def step_no_silence(context):
    log = context.play.run().fleet.logs["node-1"]
    assert not log.named("store_silence_judged") + log.named("store_silent")


@when(
    'the store is out of reach for "{names}" for {seconds:g} seconds and a runner\'s registration '
    "ends"
)
def step_registration_ends(context, names, seconds):
    async def action(play):
        fleet = play.fleet
        cuts = {(name, STORE_ADDRESS) for name in names.split(",")}
        fleet.cuts |= cuts
        await anyio.sleep(seconds)
        play.first = fleet.runners[0]
        # It lives on, as one does whose registration lapsed with the store.
        fleet.store.delete(f"servers/{play.first.instance}")
        fleet.cuts -= cuts
        await anyio.sleep(0.5)
        play.num_before = len(play.first.arrivals)

    context.play.actions.append(action)


@then("the runner gets {what} of them")
def step_runner_gets(context, what):
    play = context.play.run()
    num_arrivals = len(play.first.arrivals) - play.num_before
    assert (num_arrivals > 0) == (what == "some"), num_arrivals
    assert {answer.status for answer in play.answers} == {200}
