"""Steps of `gateway_store_silence.feature`."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import STORE_ADDRESS
from weirscale.gateway.state.store_outages import NEVER_S, AvailabilitySpan, StoreOutageDetector

UPDATE_INTERVAL_S = 0.4


@given("a node that knows {others:d} other nodes")
def step_detector(context, others):
    context.store_outages = StoreOutageDetector()
    context.store_outages.num_others = lambda: others
    context.now_s = 0.0


def update_until(context, until_s):
    """Update the detector as often as a node does that is not paused."""
    while context.now_s < until_s:
        context.now_s = min(until_s, context.now_s + UPDATE_INTERVAL_S)
        context.store_outages.update(context.now_s)


@when('the node records "{records}"')
def step_records(context, records):
    for record in records.split(", "):
        at_s, source, value = record.split(" ")
        if source == "paused":
            # The detector is not updated until then.
            context.now_s = float(value)
            continue
        update_until(context, float(at_s))
        if source == "own":
            context.store_outages.record_answer(float(value), float(at_s))
        else:
            asked_at_s = float(at_s)
            if "@" in value:
                value, asked = value.split("@")
                asked_at_s = float(asked)
            context.store_outages.record_peer_span(
                source, read_span(value), asked_at_s, float(at_s)
            )


def read_span(text):
    silent_from, _, span = text.rpartition("<")
    began, last_answer = span.split("-")
    return AvailabilitySpan(
        float(began), float(last_answer), float(silent_from) if silent_from else None
    )


@then('at {now_s:g} s the last outage ended at "{ended}"')
def step_ended(context, now_s, ended):
    expected_s = NEVER_S if ended == "never" else float(ended)
    update_until(context, now_s)
    ended_s = context.store_outages.outage_ended_s(now_s)
    assert ended_s == expected_s, ended_s


@when('the store and the other nodes are unreachable for "{name}" for {seconds:g} seconds')
def step_cut_off(context, name, seconds):
    async def action(fleet_run):
        fleet_run.fleet.cuts.add((name, STORE_ADDRESS))
        fleet_run.fleet.mute.add(name)
        await anyio.sleep(seconds)
        fleet_run.fleet.cuts.clear()
        fleet_run.fleet.mute.clear()

    context.fleet_run.actions.append(action)


@then('node-1 logs the silence as "{whose}"')
def step_whose(context, whose):
    log = context.fleet_run.run().fleet.logs["node-1"]
    assert [line["whose"] for line in log.named("store_silence_judged")] == [whose]
    assert len(log.named("store_silent")) == 1


@then('node-1 logs the silence as ""')
def step_no_silence(context):
    log = context.fleet_run.run().fleet.logs["node-1"]
    assert not log.named("store_silence_judged") + log.named("store_silent")


@then('node-1 logs the silence as "" with each seed from {first:d} to {last:d}')
def step_no_silence_with_seeds(context, first, last):
    for seed in range(first, last + 1):
        context.fleet_run.fleet_options = {"seed": seed}
        log = context.fleet_run.run().fleet.logs["node-1"]
        assert not log.named("store_silence_judged") + log.named("store_silent"), seed


@when(
    'the store is unreachable for "{names}" for {seconds:g} seconds and an engine\'s registration '
    "ends"
)
def step_registration_ends(context, names, seconds):
    async def action(fleet_run):
        fleet = fleet_run.fleet
        cuts = {(name, STORE_ADDRESS) for name in names.split(",")}
        fleet.cuts |= cuts
        await anyio.sleep(seconds)
        fleet_run.first = fleet.runners[0]
        # The engine keeps running, like one whose registration lapsed in a store outage.
        fleet.store.delete(f"servers/{fleet_run.first.instance}")
        fleet.cuts -= cuts
        await anyio.sleep(0.5)
        fleet_run.num_before = len(fleet_run.first.arrivals)

    context.fleet_run.actions.append(action)


@then("the engine gets {share} of the requests")
def step_engine_gets(context, share):
    fleet_run = context.fleet_run.run()
    num_arrivals = len(fleet_run.first.arrivals) - fleet_run.num_before
    assert (num_arrivals > 0) == (share == "some"), num_arrivals
    assert {answer.status for answer in fleet_run.answers} == {200}
