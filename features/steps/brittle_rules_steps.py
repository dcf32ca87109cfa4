"""Steps of `brittle_rules.feature`."""

from random import Random

from behave import given, then, when

from features.steps.path_state_steps import Clock
from features.support.brittle_fleet import RUN_S, BrittleFleet
from features.support.platform_fleet import EventRecorder
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.request_limits.brittle import ONLY_NODE, BrittleBackEnds

SPREADS = {"evenly": None, "half at one node": 0.5}
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1


@given("{nodes:d} nodes before {back_ends:d} back ends with {slots:d} slots and room for {room:d}")
def step_fleet(context, nodes, back_ends, slots, room):
    context.arguments = (nodes, back_ends, slots, room)
    context.places = back_ends * min(slots, room)


@when("{per_s:g} requests of a second each arrive per second for {seconds:g} seconds, {spread}")
def step_arrive(context, per_s, seconds, spread):
    context.fleet = BrittleFleet(*context.arguments, share_of_first=SPREADS[spread])
    context.fleet.run(per_s, seconds)
    context.seconds = seconds


@then("at most 2 of them and a tenth of their number refuse more than {refusals:d} in a second")
def step_falls(context, refusals):
    fleet = context.fleet
    allowed = MAX_FALLS + MAX_FALLS_SHARE * len(fleet.back_ends)
    falls = fleet.num_falls(refusals)
    assert falls <= allowed, (falls, allowed, fleet.most_refused_in_a_second())


@then("at least {share:d} in 100 of their slots are used, or nobody is turned away")
def step_used(context, share):
    fleet = context.fleet
    used = fleet.num_sent * RUN_S / (context.places * context.seconds)
    assert used >= share / 100.0 or fleet.num_turned_away == 0, (used, fleet.num_turned_away)


@given("a brittle back end with {slots:d} slots and {present:d} requests")
def step_one(context, slots, present):
    context.clock = Clock()
    context.back_end = BackEnd("i-1", "s", "10.0.0.1:1", "z", BackEndState.READY, slots)
    context.present = present
    context.brittle = BrittleBackEnds(
        lambda: ONLY_NODE, lambda _: (context.present, context.present), EventRecorder(),
        Random(1), context.clock,
    )  # fmt: skip
    context.brittle.stated(context.back_end.run_id, 2.0)


@when("it refuses a request")
def step_refuses(context):
    context.brittle.refused(context.back_end)


def num_places(context, after_s):
    """Return how many requests a lone node may have at the back end, some time from now."""
    end_s = context.clock.now_s + after_s
    while context.clock.now_s < end_s:
        context.clock.now_s = min(end_s, context.clock.now_s + 1.0)
        context.brittle.stated(context.back_end.run_id, 2.0)
    for context.present in range(100):
        if not context.brittle.admits(context.back_end, [context.back_end]):
            return context.present
    raise AssertionError("any number")


@then(
    "it gets none for 1 second, then has {places:d} places, {later:d} after 10 seconds and "
    "{at_last:d} after 2 minutes"
)
def step_places(context, places, later, at_last):
    assert num_places(context, 0.99) == 0
    assert num_places(context, 0.6) == places
    assert num_places(context, 8.5) == later
    assert num_places(context, 110.0) == at_last
