"""Steps of `gateway_store_silence.feature`."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import STORE_ADDRESS
from weirscale.gateway.state.store_outages import NEVER_S, AvailabilitySpan, StoreOutageDetector

LOOK_INTERVAL_S = 0.4


@given("a node that knows of {others:d} others")
def step_continuity(context, others):
    context.store_outages = StoreOutageDetector()
    context.store_outages.num_others = lambda: others
    context.now_s = 0.0


def stay_awake(context, until_s):
    """Let the node look at the time as often as it does when it does not stand still."""
    while context.now_s < until_s:
        context.now_s = min(until_s, context.now_s + LOOK_INTERVAL_S)
        context.store_outages.update(context.now_s)


@when('it learns "{answers}"')
def step_learns(context, answers):
    for answer in answers.split(", "):
        at_s, who, what = answer.split(" ")
        if who == "still":
            # It looks at nothing until then.
            context.now_s = float(what)
            continue
        stay_awake(context, float(at_s))
        if who == "own":
            context.store_outages.record_answer(float(what), float(at_s))
        else:
            asked_at_s = float(at_s)
            if "@" in what:
                what, asked = what.split("@")
                asked_at_s = float(asked)
            context.store_outages.record_peer_span(who, read_span(what), asked_at_s, float(at_s))


def read_span(text):
    silent_from, _, span = text.rpartition("<")
    began, proved_at = span.split("-")
    return AvailabilitySpan(
        float(began), float(proved_at), float(silent_from) if silent_from else None
    )


@then('at {now_s:g} s the last outage has ended at "{ended}"')
def step_ended(context, now_s, ended):
    expected_s = NEVER_S if ended == "never" else float(ended)
    stay_awake(context, now_s)
    found_s = context.store_outages.outage_ended_s(now_s)
    assert found_s == expected_s, found_s


@when('the store and the others are out of reach for "{name}" for {seconds:g} seconds')
def step_cut_off(context, name, seconds):
    async def action(play):
        play.fleet.cuts.add((name, STORE_ADDRESS))
        play.fleet.mute.add(name)
        await anyio.sleep(seconds)
        play.fleet.cuts.clear()
        play.fleet.mute.clear()

    context.play.actions.append(action)


@then('node-1 tells the silence to be "{whose}"')
def step_whose(context, whose):
    log = context.play.run().fleet.logs["node-1"]
    assert [line["whose"] for line in log.named("store_silence_judged")] == [whose]
    assert len(log.named("store_silent")) == 1


@then('node-1 tells the silence to be ""')
def step_no_silence(context):
    log = context.play.run().fleet.logs["node-1"]
    assert not log.named("store_silence_judged") + log.named("store_silent")


@then('node-1 tells the silence to be "" with each seed from {first:d} to {last:d}')
def step_no_silence_with_seeds(context, first, last):
    for seed in range(first, last + 1):
        context.play.bounds = {"seed": seed}
        log = context.play.run().fleet.logs["node-1"]
        assert not log.named("store_silence_judged") + log.named("store_silent"), seed


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
