"""Steps of `gateway_shared_blocks.feature`."""

from functools import partial

from behave import given, then, when

from features.support.fatal_blocks import CONTACT_S, BlockTraffic

FIRST_CRASH_S = 5.0


@given("{num_nodes:d} nodes and {num_runners:d} back ends that crash on a prompt block")
def step_nodes(context, num_nodes, num_runners):
    context.traffic = BlockTraffic(num_nodes, num_runners)


@when("callers send {per_s:g} sound requests a second for {seconds:g} seconds")
def step_sound(context, per_s, seconds):
    traffic = context.traffic
    traffic.seconds = seconds

    async def send():
        await traffic.send_sound(traffic.sound_parts())

    traffic.streams.append(partial(traffic.repeat, send, per_s, 0.0, seconds))


@when("{per_s:g} requests a second have the fatal block from second {from_s:g} on")
def step_fatal(context, per_s, from_s):
    traffic = context.traffic

    async def send():
        await traffic.send_fatal(traffic.fatal_parts())

    traffic.streams.append(partial(traffic.repeat, send, per_s, from_s, traffic.seconds))


@then(
    "at most {num:d} requests with it reach back ends from {seconds:g} seconds after the fifth "
    "crash on"
)
def step_arrivals(context, num, seconds):
    traffic = context.traffic.run()
    assert traffic.runners.crashes, "no back end crashed"
    num_arrivals = traffic.num_fatal_arrivals_after(traffic.crashed_s(5) + seconds)
    assert num_arrivals <= num, (num_arrivals, len(traffic.runners.crashes))


@then("sound requests are then answered at least half as often as before")
def step_sound_answered(context):
    traffic = context.traffic.run()
    before = traffic.sound_share(0.0, FIRST_CRASH_S)
    after = traffic.sound_share(traffic.crashed_s(5) + 2.0 * CONTACT_S, traffic.seconds - 2.0)
    assert after >= 0.5 * before, (before, after)
