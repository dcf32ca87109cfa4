import random
import re

import anyio
import anyio.lowlevel
from behave import given, then, when

from features.support.deployments import small_deployment
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.encode import decode_stored
from weirscale.node.configuration.apply import CONFIGURATION_KEY, Applier
from weirscale.node.configuration.outcome import Accepted, Refused
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

KEY = CONFIGURATION_KEY.encode()
HOURS_S = 20_000


def held_name(server):
    entries = server.model.range(KEY, b"", 0.0)
    if not entries:
        return "-"
    decoded = decode_stored(entries[0].value)
    return decoded.unwrap().deployment.name if decoded.is_ok() else "?"


def describe(outcome):
    if isinstance(outcome, Accepted):
        return f"{'in place' if outcome.was_in_place else 'accepted'} at {outcome.revision}"
    if isinstance(outcome, Refused):
        assert outcome.remedy
        for word in ("unreadable", "unreachable"):
            if word in outcome.message:
                return f"refused, {word}"
        return f"refused, current {outcome.current_revision}"
    return "unknown"


async def apply(server, name, made_from, apply_id=None):
    port = InProcessKeyValue(server)
    seeded = random.Random(name)
    return await Applier(port, small_deployment(name), made_from, apply_id or name, seeded).run()


async def apply_in_sequence(server, names):
    """Apply files one after another, each made from the one before."""
    for name in names:
        base = server.model.mod_revision(KEY, 0.0) or None
        assert isinstance(await apply(server, name, base, f"{name}-{base}"), Accepted)


async def wait_for_swap(server, revision):
    async with InProcessKeyValue(server).watch(CONFIGURATION_KEY, revision) as events:
        (await anext(events)).unwrap()


async def prepare(server, store):
    """Put the store into the state that a table row names."""
    content = re.match(r"holds (\w)(?:, then (\w))?", store)
    if "foreign" in store:
        server.model.put(KEY, b"?", 0, 0.0)
    elif content:
        await apply_in_sequence(server, [name for name in content.groups() if name])


def start_faults(server, store, tasks):
    """Start the faults that a table row names."""
    lost = re.search(r"loses (\d) answers", store)
    if lost:
        server.faults.num_answers_to_lose = int(lost[1])
    if "takes" in store:
        server.faults.delay_s = float(re.search(r"takes (\d)", store)[1])
    if "one call in 4 s" in store:
        server.faults.requests_per_s, server.faults.burst_requests = 0.25, 1
    if "is down for" in store and "loses" not in store:
        tasks.start_soon(stop_store, server, 20 if "20 s" in store else HOURS_S)
    if "loses the answer" in store:
        tasks.start_soon(lose_swap, server, store)


async def stop_store(server, duration_s):
    server.faults.is_down = True
    await anyio.sleep(duration_s)
    server.faults.is_down = False


async def lose_swap(server, store):
    """Lose the answer to the swap, then let others overwrite the value or stop the store."""
    # The read, at time 0, must still be answered.
    server.faults.delay_s = 1.0
    await anyio.sleep(1.2)
    server.faults.num_answers_to_lose = 1
    await wait_for_swap(server, 3)
    # The answer is lost 0.5 s after the swap took effect; the retry takes effect much later.
    await anyio.sleep(0.505)
    assert server.faults.num_answers_to_lose == 0
    if "down" in store:
        await stop_store(server, HOURS_S)
    num_overtaken = 20 if "20 times" in store else 1
    if "overtaken" in store:
        server.faults.delay_s = 0.0
        names = ["c" if number % 2 else "d" for number in range(num_overtaken)]
        await apply_in_sequence(server, names if num_overtaken > 1 else ["c"])


@given("a store that {store}")
def step_store(context, store):
    context.store = store


@when('an operator applies the file "{name}" made from {base}')
def step_apply(context, name, base):
    made_from = None if base == "nothing" else int(base.split()[1])

    async def main():
        server = KeyValueServer(random.Random(1))
        await prepare(server, context.store)
        async with anyio.create_task_group() as tasks:
            start_faults(server, context.store, tasks)
            await anyio.lowlevel.checkpoint()
            outcome = await apply(server, name, made_from)
            tasks.cancel_scope.cancel()
        return describe(outcome), held_name(server)

    context.outcome = run_in_virtual_time(main)


@then('the answer is "{answer}" and the store holds "{name}"')
def step_answer(context, answer, name):
    assert context.outcome == (answer, name), context.outcome


@given('an apply of "{new}" on a store that holds "{old}" is killed {moment}')
def step_killed(context, new, old, moment):
    async def main():
        server = KeyValueServer(random.Random(1))
        await apply_in_sequence(server, [old])
        server.faults.delay_s = 1.0
        # The read takes effect at 0.5 s and is answered at 1 s, the swap takes effect at 1.5 s.
        with anyio.move_on_after(1.2 if moment == "before the swap" else 1.7):
            await apply(server, new, 2)
        return server, held_name(server)

    context.server, context.held = run_in_virtual_time(main)
    assert context.held == (old if moment == "before the swap" else new)


@when("the same command is run again")
def step_again(context):
    context.outcome = run_in_virtual_time(apply, context.server, "b", 2, "again")


@then('it answers accepted, the store holds "{name}", and it was written once')
def step_once(context, name):
    assert isinstance(context.outcome, Accepted), context.outcome
    assert held_name(context.server) == name
    assert context.server.model.mod_revision(KEY, 0.0) == context.outcome.revision == 3


def race(num_operators, fault, seed):
    async def main():
        rng = random.Random(seed)
        server = KeyValueServer(rng)
        await apply_in_sequence(server, ["a"])
        outcomes = {}

        async def apply_as_operator(name):
            await anyio.sleep(rng.random() * 0.02)
            outcomes[name] = await apply(server, name, 2)

        async def toggle_outages():
            while fault == "outages":
                server.faults.is_down = rng.random() < 0.6
                await anyio.sleep(0.2)

        server.faults.delay_s = 0.02
        if fault == "half of answers lost":
            server.faults.lost_answer_probability = 0.5
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(toggle_outages)
            async with anyio.create_task_group() as operators:
                for number in range(num_operators):
                    operators.start_soon(apply_as_operator, f"operator-{number}")
            tasks.cancel_scope.cancel()
        return outcomes, held_name(server)

    return run_in_virtual_time(main)


@when(
    "{operators:d} operators race with different files from one revision under {fault}, for seeds 1 to 20"
)
def step_race(context, operators, fault):
    context.races = [race(operators, fault, seed) for seed in range(1, 21)]


@then("in every race one file is accepted, and all others are refused with the accepted change")
def step_one_wins(context):
    for outcomes, name_held in context.races:
        winners = [name for name, answer in outcomes.items() if isinstance(answer, Accepted)]
        assert winners == [name_held], outcomes
        for name, answer in outcomes.items():
            if name != name_held:
                assert isinstance(answer, Refused), (name, answer)
                changes = [change.summary for change in answer.changes_since]
                assert changes == [f"~ name: value a → {name_held}"], changes
