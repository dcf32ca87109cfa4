"""Steps of `gateway_old_weights.feature`."""

import anyio
from behave import then, when

from features.steps.gateway_weights_rollout_steps import name_version
from features.support.platform_fleet import STORE_ADDRESS


def name_first(play, version):
    """Name a version; later ones are measured from it where a step says so."""
    name_version(play, version)
    play.first_named_s = play.named_s


@when('{wait_s:g} seconds later the store is out of reach for "{names}" for {seconds:g} seconds')
def step_out_of_reach(context, wait_s, names, seconds):
    async def action(play):
        await anyio.sleep(wait_s)
        cuts = {(name, STORE_ADDRESS) for name in names.split(",")}
        play.fleet.cuts |= cuts
        await anyio.sleep(seconds)
        play.fleet.cuts -= cuts

    context.play.actions.append(action)


@when('"{name}" stands still and version {version:d} is named, for {seconds:g} seconds')
def step_still_at_naming(context, name, version, seconds):
    async def action(play):
        play.fleet.freeze(name)
        name_first(play, version)
        await anyio.sleep(seconds)
        await play.fleet.thaw(name)

    context.play.actions.append(action)


@when(
    '"{name}" stands still, versions {first:d} and {second:d} are named {apart_s:g} seconds apart '
    "and it goes on"
)
def step_misses_first(context, name, first, second, apart_s):
    async def action(play):
        play.fleet.freeze(name)
        name_first(play, first)
        await anyio.sleep(apart_s)
        name_version(play, second)
        await anyio.sleep(1.0)
        # What a node hears of a key is its newest state.
        play.fleet.store.compact()
        await play.fleet.thaw(name)

    context.play.actions.append(action)


@then("their lines tell the newest version and a growing age of at most {seconds:g} seconds")
def step_lines(context, seconds):
    play = context.play.run()
    lines = [line for log in play.fleet.logs.values() for line in log.named("request_ended")]
    assert {line["newest"] for line in lines} == {2}, lines
    ages = [line["owed_ms"] for line in play.fleet.logs["node-1"].named("request_ended")]
    assert ages == sorted(ages) and 0 <= ages[0] < ages[-1] <= 1000 * seconds, ages
