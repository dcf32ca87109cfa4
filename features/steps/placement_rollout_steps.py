import anyio
from behave import given, then, when

from features.support.rollout_fleet import SAMPLE_INTERVAL_S, RecordedEngine, Rollout, rolling_model
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import EngineRole
from weirscale.messages.placement import FailedLoad
from weirscale.ports.engine import ChangeRole, LoadModel
from weirscale.standins.faults import EngineFaults

SLOW_FACTOR = 2.0
CUT_S = 15.0
OUTAGE_S = 30.0
REFUSAL_S = 45.0
"""Longer than a load may take."""
LEASE_TURN_S = 4.0


async def nothing_fails(rollout):
    pass


async def weight_store_is_slow(rollout):
    rollout.weights.load_s *= SLOW_FACTOR


async def crash_loading(rollout):
    (await rollout.wait_for_loading()).crash()


async def crash_serving(rollout):
    loading = await rollout.wait_for_loading()
    next(engine for engine in rollout.engines.values() if engine is not loading).crash()


async def cut_engine_off(rollout):
    engine = rollout.engines["qalam-0"]
    engine.faults.set(EngineFaults(refuse_connections=True))
    await anyio.sleep(CUT_S)
    engine.faults.clear()


async def refuse_orders(rollout):
    rollout.engines["qalam-0"].refuses_orders = True
    await anyio.sleep(REFUSAL_S)
    rollout.engines["qalam-0"].refuses_orders = False


async def refuse_orders_forever(rollout):
    rollout.engines["qalam-0"].refuses_orders = True


async def stick_one_load(rollout):
    rollout.weights.num_to_stick = 1


async def leave_loading(rollout):
    (await rollout.wait_for_loading()).leave()


async def leave_serving(rollout):
    loading = await rollout.wait_for_loading()
    next(engine for engine in rollout.engines.values() if engine is not loading).leave()


async def new_version_fails(rollout):
    rollout.weights.failing_versions.add("v2")


async def store_is_down(rollout):
    await rollout.wait_for_loading()
    rollout.store.faults.is_down = True
    await anyio.sleep(OUTAGE_S)
    rollout.store.faults.is_down = False


async def every_load_fails(rollout):
    """Make every load fail, also a load of the previous version."""
    rollout.weights.failing_versions |= {"v1", "v2"}


async def crash_while_restored(rollout):
    rollout.weights.failing_versions.add("v2")
    while not rollout.num_orders(LoadModel, weight_version="v1"):  # noqa: ASYNC110
        await anyio.sleep(SAMPLE_INTERVAL_S)
    (await rollout.wait_for_loading()).crash()


async def lose_store_answers(rollout):
    rollout.store.faults.num_answers_to_lose = 4


async def pause_planner(rollout):
    """Suspend the first planner during its write while the second takes over."""
    rollout.store.faults.delay_s = 4.0
    await anyio.sleep(3.5)
    rollout.leases[0].held = False
    rollout.store.faults.delay_s = 0.0
    rollout.leases[1].held = True


async def replace_planner(rollout):
    for turn in range(20):
        for index, lease in enumerate(rollout.leases):
            lease.held = index == turn % len(rollout.leases)
        await anyio.sleep(LEASE_TURN_S)


async def hold_both_leases(rollout):
    for lease in rollout.leases:
        lease.held = True


async def cut_holder_off(rollout):
    """Cut the lease holder off from the store, with loads running, until its lease has expired."""
    await rollout.wait_for_loading()
    client = next(
        client for client, lease in zip(rollout.clients, rollout.leases, strict=True) if lease.held
    )
    client.is_cut_off = True
    await anyio.sleep(OUTAGE_S)
    rollout.holders_after_cut = [lease.held for lease in rollout.leases]
    client.is_cut_off = False


async def delete_record(rollout):
    await rollout.wait_for_loading()
    model = rollout.store.model
    assert model.delete(b"weirscale/placement", anyio.current_time())


FAULTS = {
    "nothing fails": nothing_fails,
    "the weight store is slow": weight_store_is_slow,
    "an engine crashes while it loads": crash_loading,
    "an engine crashes while it serves": crash_serving,
    "an engine cannot be reached for a while": cut_engine_off,
    "an engine refuses orders for a while": refuse_orders,
    "an engine refuses orders forever": refuse_orders_forever,
    "one load is stuck": stick_one_load,
    "an engine leaves while it loads": leave_loading,
    "an engine leaves while it serves": leave_serving,
    "every load of v2 fails": new_version_fails,
    "every load of any version fails": every_load_fails,
    "every load of v2 fails and an engine crashes while it is restored": crash_while_restored,
    "the key-value service is down for a while": store_is_down,
    "answers of the key-value service are lost": lose_store_answers,
    "the planner is paused past its lease and resumes": pause_planner,
    "the planner is replaced repeatedly": replace_planner,
    "two planners both consider the lease theirs": hold_both_leases,
    "the placement record is deleted": delete_record,
    "the holder is cut off from the key-value service": cut_holder_off,
}

NUM_HALFWAY = 3
VERSIONS = ("v1", "v2", "v3")
POLL_S = 0.5
LAST_S = 20
"""Seconds at the end of a rollout in which its states are recorded."""


def rollout_after(context, seconds):
    """Run the rollout that the previous steps describe, once, and return it."""

    async def main():
        bounds = {"min_ready_engines": context.floor, "max_concurrent_loads": context.most}
        model = rolling_model(**bounds, **context.fields)
        rollout = Rollout(6, model, num_planners=2, fenced=context.fenced)
        async with rollout.running(), anyio.create_task_group() as tasks:
            tasks.start_soon(context.fault, rollout)
            rollout.declare_version("v2")
            await anyio.sleep(seconds - LAST_S)
            rollout.last_states = set()
            for _ in range(LAST_S):
                await anyio.sleep(1.0)
                states = {each.state for task in rollout.planners for each in task.progress()}
                rollout.last_states |= states
            rollout.progress = {each for task in rollout.planners for each in task.progress()}
            rollout.counts = {version: rollout.count_at(version) for version in VERSIONS}
            tasks.cancel_scope.cancel()
        return rollout

    if "rollout" not in context:
        context.rollout = run_in_virtual_time(main)
    return context.rollout


@given("{count:d} engines serve v1, {floor:d} must stay ready and {most:d} may load at once")
def step_engines_serve(context, count, floor, most):
    context.floor = floor
    context.most = most
    context.fenced = False
    context.fields = {}


@when("v2 is declared and {moment} {version:w} is declared")
def step_declare_again(context, moment, version):
    async def change(rollout):
        if moment == "while the first load runs":
            await rollout.wait_for_loading()
            await anyio.sleep(1.0)
        elif moment == "while the first load is stuck":
            rollout.weights.num_to_stick = 1
            await rollout.wait_for_loading()
            await anyio.sleep(8.0)
        elif moment == "halfway":
            while rollout.count_at("v2") < NUM_HALFWAY:  # noqa: ASYNC110 - engines send no event
                await anyio.sleep(POLL_S)
        elif moment == "after v2 has been stopped":
            rollout.weights.failing_versions.add("v2")
            await anyio.sleep(90.0)
        else:
            raise AssertionError(moment)
        rollout.declare_version(version)

    context.fault = change


@when("v2 is declared and {fault}")
def step_declare_with_fault(context, fault):
    context.fault = FAULTS[fault]


@then("after {seconds:d} seconds {count:d} engines serve {version} and the rollout is {state}")
def step_rollout_state(context, seconds, count, version, state):
    rollout = rollout_after(context, seconds)
    states = {progress.state for progress in rollout.progress}
    assert (rollout.counts[version], states) == (count, {state}), rollout.progress


@then("never more than {most:d} engines loaded at once")
def step_most_loading(context, most):
    assert 1 <= context.rollout.most_loading() <= most, context.rollout.most_loading()


@then("never fewer than {floor:d} engines were ready, counting those lost to the fault as ready")
def step_fewest_ready(context, floor):
    assert context.rollout.fewest_ready() >= floor, context.rollout.fewest_ready()


@then("no engine carried out a token below an earlier one")
def step_token_order(context):
    assert any(engine.accepted_tokens for engine in context.rollout.engines.values())
    assert not context.rollout.token_order_broken()


@then("no token was used for two orders")
def step_tokens_unique(context):
    assert not context.rollout.tokens_given_twice()


@then("no planner gave an order without its lease")
def step_lease_held(context):
    assert [lease.num_orders_without for lease in context.rollout.leases] == [0, 0]


@given("the planner's lease comes from the key-value service")
def step_fenced(context):
    context.fenced = True


@then("the other planner held the lease at the end of the cut")
def step_other_holder(context):
    rollout = context.rollout
    assert sorted(rollout.holders_after_cut) == [False, True], rollout.holders_after_cut
    assert all(lease.num_orders > 0 for lease in rollout.leases)


@then("the rollout stayed in this state for the last 20 s")
def step_steady_state(context):
    rollout = context.rollout
    assert rollout.last_states == {each.state for each in rollout.progress}, rollout.last_states


@then("no load counted as failed")
def step_no_failed_loads(context):
    assert all(not progress.failures for progress in context.rollout.progress)


@then("every request in flight before finished on v1")
def step_answers_finished(context):
    assert context.rollout.long_answers() == [("finished", "v1")] * 6


@then("{count:d} engines still serve v1")
def step_still_serving(context, count):
    assert context.rollout.counts["v1"] == count


@then("{count:d} loads of {version} were ordered")
def step_loads_ordered(context, count, version):
    assert context.rollout.num_orders(LoadModel, weight_version=version) == count


@then("never more than {count:d} engines read weights at once")
def step_most_reading(context, count):
    assert context.rollout.weights.most_reading <= count, context.rollout.weights.most_reading


@given("engines that fail to load are {treatment} when the rollout has stopped")
def step_restoring(context, treatment):
    context.fields = {"restores_failed_engines": {"restored": True, "left": False}[treatment]}


@then("the progress names {count:d} failed loads")
def step_progress_failures(context, count):
    (progress,) = context.rollout.progress
    assert len(progress.failures) == count
    assert all(isinstance(failure, FailedLoad) and failure.reason for failure in progress.failures)


@then("the progress names {count:d} stuck loads")
def step_progress_stuck(context, count):
    (progress,) = context.rollout.progress
    assert len(progress.stuck) == count


@then("the progress names a remedy")
def step_progress_remedy(context):
    (progress,) = context.rollout.progress
    assert progress.remedy


@then("only {count:d} engine loaded until the first one served v2")
def step_canary(context, count):
    rollout_after(context, 50)
    first_ready = next(
        index
        for index, (num_loading, num_ready, _) in enumerate(context.rollout.samples)
        if num_ready == 6 and index and context.rollout.samples[index - 1][0]
    )
    assert max(sample[0] for sample in context.rollout.samples[:first_ready]) == count
    assert context.rollout.most_loading() > count


@given("{count:d} decode engines serve v1 with the adapter {adapter} declared")
def step_decode_engines(context, count, adapter):
    context.num_engines = count
    context.adapters = [adapter]


@when("an engine crashes after the first orders")
def step_crash_after_orders(context):
    context.crashes = True


@when("the adapter {adapter} is declared instead")
def step_other_adapter(context, adapter):
    context.adapters.append(adapter)


@then("every engine has the adapter {adapter} and the role {role}")
def step_adapter_and_role(context, adapter, role):
    async def main():
        model = rolling_model(adapters=tuple(context.adapters[:1]))
        rollout = Rollout(context.num_engines, model, role=EngineRole(role))
        async with rollout.running():
            await anyio.sleep(20.0)
            rollout.engines["qalam-1"].crash()
            await anyio.sleep(40.0)
            for name in context.adapters[1:]:
                rollout.declare_version("v1", adapters=(name,))
                await anyio.sleep(40.0)
            return [
                (engine.model.adapters, engine.model.role) for engine in rollout.engines.values()
            ]

    states = run_in_virtual_time(main)
    assert states == [({adapter}, role)] * context.num_engines, states


@when("the planner is replaced once all engines have their role")
def step_replace_after_roles(context):
    async def main():
        rollout = Rollout(3, rolling_model(), num_planners=2, role=EngineRole.DECODE)
        async with rollout.running():
            await anyio.sleep(30.0)
            rollout.leases[0].held, rollout.leases[1].held = False, True
            await anyio.sleep(30.0)
        return rollout

    context.rollout = run_in_virtual_time(main)


@then("each engine was ordered to its role once")
def step_roles_once(context):
    assert [engine.model.role for engine in context.rollout.engines.values()] == ["decode"] * 3
    assert context.rollout.num_orders(ChangeRole) == 3


@when("the order to load v2 arrives late and {fault} before")
def step_late_order(context, fault):
    """Hold the planner's order back, and deliver it to the engine later."""

    async def main():
        rollout = Rollout(6, rolling_model(min_ready_engines=2, max_concurrent_loads=1))
        async with rollout.observing():
            await anyio.sleep(5.0)
            rollout.declare_version("v2")
            held_orders = rollout.hold_orders()
            await rollout.planners[0].run_round()
            ((engine, order),) = held_orders
            if fault == "the engine restarts":
                engine.crash()
                await anyio.sleep(engine.settings.restart_s)
            context.answer = await super(RecordedEngine, engine).order(order)
            await anyio.sleep(10.0)
        return engine.model.weight_version

    context.version = run_in_virtual_time(main)


@then("the late order is {answer} and the engine serves {version}")
def step_late_answer(context, answer, version):
    kind = None if context.answer.is_ok() else context.answer.err_value.kind.value
    assert (kind or "accepted", context.version) == (answer, version), (kind, context.version)
