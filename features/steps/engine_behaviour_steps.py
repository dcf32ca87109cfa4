from random import Random

import anyio
import msgspec
from behave import given, then, when
from result import Err, Ok

from features.support.async_steps import async_when
from features.support.engine_calls import collect, make_call
from features.support.faulty_stores import FaultyKeptKvStore, FaultyWeightStore, StoreFaults
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.prefix.chain import chain_seed, extend_chain
from weirscale.ports.engine import EngineOrder, LoadModel
from weirscale.standins.engine.answer import expected_text
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.kept_kv.in_process import KeptKvSettings
from weirscale.standins.weight_store.in_process import InProcessWeightStore, WeightStoreSettings

PROMPT = b"twenty bytes of text" * 1000
OTHER_PROMPT = b"another twenty bytes" * 1000
SETTINGS = EngineSettings(
    name="runner-1",
    model="qalam",
    weight_version="v1",
    adapters=("amharic",),
    num_total_blocks=400,
    weight_bytes=2_000_000_000,
)
# After the eviction, 400 - 313 blocks of 16 tokens remain: deep blocks are evicted first.
CHANGES = {
    "another tenant": {"cache_salt": "kirkos-school"},
    "another adapter": {"adapter": "amharic"},
    "longer prompt": {"prompt": PROMPT + b"and a new page"},
}
TENANTS = ("bole-school", "kirkos-school")
LOAD_V2 = EngineOrder(1, LoadModel("qalam", "v2"))


def run_with_engine(engine, scenario):
    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            answer = await scenario(engine)
            tasks.cancel_scope.cancel()
        return answer

    return run_in_virtual_time(main)


def on_engine(context, scenario):
    run_with_engine(context.engine, scenario)


async def last_chunk(engine, call):
    return (await collect(engine.generate(call)))[-1].ok_value


async def apply_change(engine, change):
    if change == "a crash":
        engine.crash()
        await anyio.sleep(SETTINGS.restart_s)
    elif change == "another version":
        await engine.order(LOAD_V2)
        await anyio.sleep(1)
    elif change == "eviction":
        await last_chunk(engine, make_call(prompt=OTHER_PROMPT, attempt=7))


@given("a stand-in engine that has answered a prompt of {size:d} bytes")
def step_answered(context, size):
    assert len(PROMPT) == size


@when('"{change}" happens and the prompt is sent again')
def step_again(context, change):
    async def scenario(engine):
        first = await last_chunk(engine, make_call(prompt=PROMPT))
        assert first.num_cached_tokens == 0
        await apply_change(engine, change)
        call = make_call(attempt=1, prompt=PROMPT)
        return await last_chunk(engine, msgspec.structs.replace(call, **CHANGES.get(change, {})))

    context.chunk = run_with_engine(InProcessEngine(SETTINGS, Random(1)), scenario)


@then("{count:d} prompt tokens come from the cache")
def step_cached(context, count):
    assert context.chunk.num_cached_tokens == count, context.chunk


@given('a kept-KV store that holds a prompt\'s prefix for tenant "{tenant}"')
def step_store(context, tenant):
    context.hashes = extend_chain(chain_seed(tenant, "qalam", "v1", None), PROMPT, 0, 64)


async def time_to_first_chunk(engine, call):
    started_s = anyio.current_time()
    async with engine.generate(call) as chunks:
        async for _ in chunks:
            break
    return anyio.current_time() - started_s


@when('an empty engine imports it for tenant "{tenant}" with the store "{fault}"')
def step_import(context, tenant, fault):
    own_hashes = extend_chain(chain_seed(tenant, "qalam", "v1", None), PROMPT, 0, 64)
    call = make_call(
        prompt=PROMPT,
        cache_salt=tenant,
        kept_kv_store="mezgeb:1",
        kept_kv_block_hash=own_hashes[-1],
    )

    async def scenario(engine):
        store = engine._block_stores["mezgeb:1"]
        await store.export_blocks(context.hashes)
        store.faults.set(StoreFaults() if fault == "none" else StoreFaults(**{fault: True}))
        with_store_s = await time_to_first_chunk(engine, call)
        return with_store_s, engine.model.ledger.records()[0]

    async def without_store(engine):
        return await time_to_first_chunk(engine, call)

    store = FaultyKeptKvStore(KeptKvSettings(name="mezgeb"))
    engine = InProcessEngine(SETTINGS, Random(1), block_stores={"mezgeb:1": store})
    with_store_s, context.chunk = run_with_engine(engine, scenario)
    without_store_s = run_with_engine(InProcessEngine(SETTINGS, Random(1)), without_store)
    context.extra_s = with_store_s - without_store_s


@then("the first chunk comes within {wait_s:f} s of an engine without a store")
def step_wait(context, wait_s):
    assert context.extra_s <= wait_s, context.extra_s


@given("a weight store of {rate:d} MB/s and engines with weights of {size:d} MB")
def step_weight_store(context, rate, size):
    assert size * 1_000_000 == SETTINGS.weight_bytes
    context.store_settings = WeightStoreSettings(bytes_per_s=rate * 1_000_000.0)


@given("a weight store that starts one read every {interval_s:d} s")
def step_rate_limit(context, interval_s):
    context.store_settings = WeightStoreSettings(min_start_interval_s=interval_s)


@then("the reads start 0, 5 and 10 s after the orders")
def step_starts(context):
    starts = [round(start_s, 3) for start_s in context.starts]
    assert starts == [0, 5, 10], starts


@given('a kept-KV store and a weight store with the fault "{fault}"')
def step_both_stores(context, fault):
    context.faults = StoreFaults() if fault == "none" else StoreFaults(**{fault: True})


async def use_stores(faults):
    kept = FaultyKeptKvStore(KeptKvSettings(name="mezgeb"))
    weights = FaultyWeightStore(WeightStoreSettings())
    await kept.export_blocks([1, 2, 3, 4, 5])
    kept.faults.set(faults)
    weights.faults.set(faults)
    blocks = await kept.import_blocks([1, 2, 3, 4, 5, 6, 7])
    read = await weights.fetch("runner-1", LoadModel("qalam", "v2"), 1000)
    return blocks, read


@when("a chain is exported and imported and weights are read")
def step_use_stores(context):
    context.blocks, context.read = run_in_virtual_time(use_stores, context.faults)


@then('the stores answer "{blocks}" blocks and weights "{weights}"')
def step_store_answers(context, blocks, weights):
    if blocks == "failed":
        assert isinstance(context.blocks, Err), context.blocks
    else:
        assert context.blocks == Ok(int(blocks)), context.blocks
    assert isinstance(context.read, Ok) == (weights == "read"), context.read


@when('{count:d} engines are ordered to load version "{version}" {gap_s:d} s after one another')
def step_load(context, count, version, gap_s):
    async def main():
        store = InProcessWeightStore(context.store_settings, {"damaged"})
        engines = [InProcessEngine(SETTINGS, Random(1), weight_source=store) for _ in range(count)]
        async with anyio.create_task_group() as tasks:
            for engine in engines:
                tasks.start_soon(engine.run)
            for engine in engines:
                await anyio.sleep(gap_s)
                assert await engine.order(EngineOrder(1, LoadModel("qalam", version))) == Ok(None)
            ordered_s = anyio.current_time()
            await anyio.sleep(60)
            context.starts = [load.started_at_s - ordered_s for load in store.loads]
            context.durations = [load.finished_at_s - load.started_at_s for load in store.loads]
            context.reports = [(await engine.load()).ok_value for engine in engines]
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


@then('each is done after {duration_s:d} s and serves "{served}"')
def step_loaded(context, duration_s, served):
    assert context.durations and context.reports
    assert all(abs(item - duration_s) < 0.01 for item in context.durations), context.durations
    version = None if served == "nothing" else served
    token = 0 if served == "nothing" else 1
    reported = {(report.weight_version, report.order_token) for report in context.reports}
    assert reported == {(version, token)}, reported


ENGINES = {
    "with room for two prompts": {"num_total_blocks": 800, "max_step_tokens": 20_000},
    "that runs one request at a time": {"max_running": 1},
}


@given("a stand-in engine for prompts, {kind}")
def step_engine(context, kind):
    settings = msgspec.structs.replace(SETTINGS, **ENGINES[kind])
    context.engine = InProcessEngine(settings, Random(1))


@async_when("two tenants send a prompt at once", on_engine)
async def step_two_tenants(context, engine):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(last_chunk, engine, make_call(prompt=b"short"))
        # The step of the short prompt takes longer than this: both prompts join the next step.
        await anyio.sleep(0.001)
        for tenant in TENANTS:
            call = make_call(request_id=tenant, prompt=PROMPT, cache_salt=tenant)
            tasks.start_soon(last_chunk, engine, call)
    async with engine.cache_events(None, 0) as batches:
        context.batch = (await anext(batches)).ok_value


@then("every stored event continues the chain of one tenant")
def step_parents(context):
    parents = {}
    for tenant in TENANTS:
        chain = extend_chain(chain_seed(tenant, "qalam", "v1", None), PROMPT, 0, 64)
        parents.update(zip(chain, [None, *chain], strict=False))
    event_parents = {}
    for event in context.batch.events:
        hashes = event.block_hashes
        event_parents.update(zip(hashes, [event.parent_block_hash, *hashes], strict=False))
    assert len(event_parents) == 2 * (len(PROMPT) // 64) and event_parents == parents


@when(
    'requests of priorities "{priorities}" and one with {left_s:f} s left wait behind a running request'
)
def step_priorities(context, priorities, left_s):
    calls = [make_call(request_id=number, priority=int(number)) for number in priorities.split()]
    calls.append(make_call(request_id="expired", priority=0, time_left_s=left_s))

    async def scenario(engine):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(last_chunk, engine, make_call(request_id="running"))
            await anyio.sleep(0.001)
            for call in calls[:-1]:
                tasks.start_soon(last_chunk, engine, call)
            context.expired = await collect(engine.generate(calls[-1]))

    run_with_engine(context.engine, scenario)


@then('they start in the order "{order}" and the expired request never starts')
def step_order(context, order):
    started = [record.request_id for record in context.engine.model.ledger.records()]
    assert started == ["running", *order.split()], started
    assert [item.err_value.kind.value for item in context.expired] == ["timed_out"]


@async_when("a new version is ordered while a request runs and another waits", on_engine)
async def step_order_while_running(context, engine):
    answers = {}

    async def record_answer(request_id):
        answers[request_id] = await collect(engine.generate(make_call(request_id=request_id)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(record_answer, "running")
        await anyio.sleep(0.001)
        tasks.start_soon(record_answer, "waiting")
        await anyio.sleep(0.001)
        await engine.order(LOAD_V2)
    await anyio.sleep(1)
    context.answers = answers


@then(
    'the running request is complete on "{version}" and the waiting request is refused as not run'
)
def step_versions(context, version):
    running = context.answers["running"]
    assert "".join(item.ok_value.text for item in running) == expected_text(make_call().prompt, 8)
    refused = [item.err_value for item in context.answers["waiting"]]
    assert [failure.kind.value for failure in refused] == ["refused_mismatch"]
    records = context.engine.model.ledger.records()
    assert [(record.request_id, record.weight_version) for record in records] == [
        ("running", version)
    ]
    assert context.engine.model.weight_version == "v2"
