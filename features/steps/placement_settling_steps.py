import anyio
from behave import given, then, when

from features.support.backend_fleet import MODEL
from features.support.rollout_fleet import Rollout, rolling_model
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.placement.model import DesiredEngine, EngineObservation
from weirscale.domain.placement.settle import settle_loads
from weirscale.messages.placement import LoadInProgress, PlacementRecord


@given("a load of v2 with token 7 on run 2 that is {age:d} s old and may take 300 s")
def step_load(context, age):
    context.age_s = age


@when("the engine reports run {run:d}, version {version}, token {token:d} and leaving {leaving}")
def step_settle(context, run, version, token, leaving):
    load = LoadInProgress("qalam-1", 2, MODEL, "v2", 7)
    serves = version != "none"
    seen = EngineObservation(
        engine="qalam-1",
        incarnation=run,
        model=MODEL if serves else None,
        weight_version=version if serves else None,
        adapters=frozenset(),
        num_running=0,
        order_token=token,
        is_up=True,
        is_leaving=leaving == "yes",
    )
    context.settlement = settle_loads(
        PlacementRecord(8, (load,)),
        {MODEL: rolling_model(weight_version="v2", load_timeout_s=300.0)},
        {"qalam-1": DesiredEngine("qalam-1", MODEL, "v2", (), EngineRole.BOTH)},
        {"qalam-1": seen},
        {7: context.age_s},
    )


@then("the load is {outcome}")
def step_load_outcome(context, outcome):
    settlement = context.settlement
    counts = {
        "finished": len(settlement.finished),
        "failed": len(settlement.failed),
        "loading": len(settlement.record.loads),
    }
    assert counts == {name: int(name == outcome) for name in counts}, counts
    assert settlement.record.failures == settlement.failed


@given("two planners that have both read the placement record and both hold the lease")
def step_two_planners(context):
    pass


@when("another version is declared and each plans one round")
def step_one_round_each(context):
    async def main():
        rollout = Rollout(6, rolling_model(min_ready_engines=2), num_planners=2)
        async with super(Rollout, rollout).running():
            await anyio.sleep(5.0)
            for planner, lease in zip(rollout.planners, rollout.leases, strict=True):
                lease.held = True
                await planner.run_round()
            await anyio.sleep(5.0)
            rollout.declare_version("v2")
            for planner in rollout.planners:
                await planner.run_round()
        return [lease.num_orders for lease in rollout.leases]

    context.num_orders = run_in_virtual_time(main)


@then("the first one gives an order and the second one gives none")
def step_orders_of_each(context):
    assert context.num_orders == [1, 0], context.num_orders
