from random import Random

import anyio
import msgspec
from behave import given, then, when
from result import Err, Ok

from features.support.engine_calls import PROMPT, collect, make_call, wait_until_closed
from features.support.served_stand_ins import serve_engine
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import Incarnation
from weirscale.messages.cache import AllBlocksCleared, BlockRemoved, BlockStored
from weirscale.ports.engine import (
    EngineOrder,
    LoadAdapter,
    UnloadAdapter,
)
from weirscale.ports.engine_http import HttpEngine
from weirscale.standins.engine.answer import expected_text
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.faults import EngineFaults

SETTINGS = EngineSettings(
    name="runner-1", model="qalam", weight_version="v1", num_total_blocks=100, restart_s=600.0
)
SHORT_S = 0.2


CHANGED_CALLS = {
    "other incarnation": {"expected_incarnation": Incarnation(7)},
    "other version": {"expected_weight_version": "v2"},
    "other model": {"model": "another"},
    "missing adapter": {"adapter": "amharic"},
    "too large": {"max_tokens": 16 * 101},
    "is_stalled": {"time_left_s": SHORT_S},
}


def parse_faults(condition):
    name, _, number = condition.partition("=")
    return EngineFaults(**{name: int(number) if number else True})


async def apply_condition(engine, port, condition):
    if condition in ("crashed", "leaving"):
        (engine.crash if condition == "crashed" else engine.leave)()
    elif condition == "sent before":
        await collect(port.generate(make_call()))
    elif condition in EngineFaults.__struct_fields__ or "=" in condition:
        engine.faults.set(parse_faults(condition))
    if isinstance(port, HttpEngine) and not engine.is_reachable:
        await wait_until_closed(port.address)


def run_engine(kind, settings, scenario, **options):
    async def main():
        engine = InProcessEngine(settings, Random(5), **options)
        async with anyio.create_task_group() as tasks:
            if kind == "HTTP":
                server = await tasks.start(serve_engine, engine)
                port = HttpEngine(server.address)
            else:
                tasks.start_soon(engine.run)
                port = engine
            answer = await scenario(engine, port)
            if kind == "HTTP":
                await port.aclose()
            tasks.cancel_scope.cancel()
        return answer

    return anyio.run(main) if kind == "HTTP" else run_in_virtual_time(main)


@given('an engine behind the "{port}" engine port with the condition "{condition}"')
def step_engine(context, port, condition):
    context.kind = port
    context.condition = condition


@when("a request for {num_tokens:d} tokens is sent to the engine")
def step_send(context, num_tokens):
    condition = context.condition
    settings = msgspec.structs.replace(SETTINGS, max_waiting=0 if condition == "full queue" else 9)

    async def scenario(engine, port):
        await apply_condition(engine, port, condition)
        num_before = engine.model.ledger.num_started
        changes = {"max_tokens": num_tokens, **CHANGED_CALLS.get(condition, {})}
        items = await collect(port.generate(make_call(**changes)))
        return items, engine.model.ledger.num_started - num_before

    context.items, context.num_runs = run_engine(context.kind, settings, scenario)


@then('the engine port gives {count:d} chunks and then "{outcome}"')
def step_outcome(context, count, outcome):
    chunks = [item.ok_value for item in context.items if isinstance(item, Ok)]
    failures = [item.err_value for item in context.items if isinstance(item, Err)]
    assert [chunk.sequence for chunk in chunks] == list(range(count)), context.items
    assert "".join(chunk.text for chunk in chunks) == expected_text(PROMPT, count)
    if outcome == "finished":
        assert not failures and chunks[-1].finish_reason == "length", context.items
        assert chunks[-1].num_prompt_tokens == len(PROMPT) // 4
        return
    assert [failure.kind.value for failure in failures] == [outcome], context.items
    assert isinstance(context.items[-1], Err)
    context.failure = failures[0]


@then("the engine's ledger shows {count:d} new runs")
def step_runs(context, count):
    assert context.num_runs == count, context.num_runs
    failure = getattr(context, "failure", None)
    assert failure is None or not (failure.provably_not_run and context.num_runs)


@then('the engine port gives the chunks "{expected}"')
def step_chunks(context, expected):
    chunks = [item.ok_value for item in context.items]
    foreign_marks = ["" if chunk.request_id == "request/1" else "!" for chunk in chunks]
    sequences = [
        f"{chunk.sequence}{mark}" for chunk, mark in zip(chunks, foreign_marks, strict=True)
    ]
    assert " ".join(sequences) == expected, sequences


async def make_other_calls(engine, port):
    answers = {"whole": await collect(port.generate(make_call()))}
    answers["rest"] = await collect(port.resume("request/1", 0, 5))
    answers["unknown"] = await collect(port.resume("request/2", 0, 0))
    continued = make_call(
        attempt=1,
        continue_text=expected_text(PROMPT, 5),
        continue_sequence=3,
        continue_num_tokens=5,
    )
    answers["continued"] = await collect(port.generate(continued))
    answers["cancel"] = await port.cancel("request/1", 0)
    answers["cancel unknown"] = await port.cancel("request/2", 0)
    load, unload = LoadAdapter("amharic"), UnloadAdapter("amharic")
    orders = [(3, load), (3, load), (3, unload), (2, load), (4, unload)]
    answers["orders"] = [await port.order(EngineOrder(token, action)) for token, action in orders]
    await collect(port.generate(make_call(attempt=2, cache_salt="kirkos-school")))
    answers["dump"] = (await port.cache_dump()).ok_value
    answers["events"] = await follow_until(port, answers["dump"].sequence)
    answers["other run"] = await collect(port.cache_events(Incarnation(9), 0))
    answers["too far"] = await collect(port.cache_events(None, 10_000))
    answers["load"] = await port.load()
    return answers


async def follow_until(port, sequence):
    batches = []
    async with port.cache_events(Incarnation(1), 0) as items:
        async for item in items:
            batches.append(item.ok_value)
            if batches[-1].sequence == sequence:
                break
    return batches


def replay(batches):
    blocks = set()
    for batch in batches:
        for event in batch.events:
            if isinstance(event, BlockStored):
                blocks.update(event.block_hashes)
            elif isinstance(event, BlockRemoved):
                blocks.difference_update(event.block_hashes)
            elif isinstance(event, AllBlocksCleared):
                blocks.clear()
    return blocks


def kinds_of(items):
    return [item.err_value.kind.value for item in items if isinstance(item, Err)]


def text_of(items):
    return "".join(item.ok_value.text for item in items)


@when("every other call of the engine port is made")
def step_everything(context):
    # 40 blocks hold only one prompt of 24 blocks: the second tenant's evicts the first's.
    settings = msgspec.structs.replace(SETTINGS, num_total_blocks=40)
    context.answers = run_engine(context.kind, settings, make_other_calls)


@then("resuming gives the rest of the answer and an unknown attempt is not found")
def step_resume(context):
    assert (
        context.answers["rest"] == context.answers["whole"][5:]
        and len(context.answers["rest"]) == 3
    )
    assert kinds_of(context.answers["unknown"]) == ["not_found"]


@then("continuing on another engine completes the answer")
def step_continue(context):
    chunks = context.answers["continued"]
    assert expected_text(PROMPT, 5) + text_of(chunks) == expected_text(PROMPT, 8)
    assert [chunk.ok_value.sequence for chunk in chunks] == [3, 4, 5]


@then("cancelling a known request is accepted and an unknown one is not found")
def step_cancel(context):
    assert context.answers["cancel"] == Ok(None)
    assert kinds_of([context.answers["cancel unknown"]]) == ["not_found"]


@then("orders below the last token are refused and identical repeats accepted")
def step_orders(context):
    accepted = [isinstance(item, Ok) for item in context.answers["orders"]]
    assert accepted == [True, True, False, False, True], context.answers["orders"]
    assert kinds_of(context.answers["orders"]) == ["refused_stale_order"] * 2


@then("the cache events lead to the blocks of the dump")
def step_events(context):
    batches = context.answers["events"]
    assert [batch.sequence for batch in batches] == list(range(1, len(batches) + 1))
    assert replay(batches) == set(context.answers["dump"].block_hashes)
    assert any(isinstance(event, BlockRemoved) for batch in batches for event in batch.events)


@then("events of another incarnation or beyond the window are not found")
def step_not_found(context):
    assert kinds_of(context.answers["other run"]) == ["not_found"]
    assert kinds_of(context.answers["too far"]) == ["not_found"]
    assert context.answers["load"].ok_value.engine == "runner-1"
