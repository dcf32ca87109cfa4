import anyio
import msgspec
from behave import given, then, when

from features.support.backend_fleet import MODEL
from features.support.rollout_fleet import Rollout, observed, rolling_model
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.placement.model import DesiredEngine, PlacementRules
from weirscale.domain.placement.plan import plan_loads
from weirscale.domain.placement.served import served_versions
from weirscale.domain.placement.settle import settle_loads
from weirscale.messages.placement import FailedLoad, LoadInProgress, PlacementRecord, ServedVersion


@given("a load of v2 with token 7 on run 2 that is {age:d} s old and may take 300 s")
def step_load(context, age):
    context.age_s = age
    context.load = LoadInProgress("qalam-1", 2, MODEL, "v2", 7)


@given("the load was given up before")
def step_given_up(context):
    context.load = LoadInProgress("qalam-1", 2, MODEL, "v2", 7, is_given_up=True)


def settle(context, version, **fields):
    observation = observed("qalam-1", version, **fields)
    context.settlement = settle_loads(
        PlacementRecord(8, (context.load,)),
        {MODEL: rolling_model(weight_version="v2", load_timeout_s=300.0)},
        {"qalam-1": DesiredEngine("qalam-1", MODEL, "v2", (), EngineRole.BOTH)},
        {"qalam-1": observation},
        {7: context.age_s},
    )


@when("the engine reports run {run:d}, version {version}, token {token:d} and leaving {leaving}")
def step_settle(context, run, version, token, leaving):
    served = None if version == "none" else version
    is_leaving = leaving == "yes"
    settle(context, served, incarnation=run, order_token=token, is_leaving=is_leaving)


@when("the engine reports run {run:d} without weights, loading {loading:d} and failed {failed:d}")
def step_settle_words(context, run, loading, failed):
    tokens = {"loading_token": loading, "failed_load_token": failed}
    settle(context, None, incarnation=run, **tokens)


OUTCOMES = {
    "finished": (1, 0, 0, 0),
    "failed": (0, 1, 0, 0),
    "loading": (0, 0, 1, 0),
    "given up": (0, 1, 1, 0),
    "held": (0, 0, 1, 0),
    "freed": (0, 0, 0, 1),
}
"""Number of loads that finished, failed, hold a slot, and were freed."""


@then("the load is {outcome}")
def step_load_outcome(context, outcome):
    settlement = context.settlement
    held = settlement.record.loads
    groups = (settlement.finished, settlement.failed, held, settlement.freed)
    assert tuple(map(len, groups)) == OUTCOMES[outcome], groups
    assert settlement.record.failures == settlement.failed
    assert all(load.is_given_up == (outcome in ("given up", "held")) for load in held)


@given("6 engines of which 4 must stay ready, and {version} was served last")
def step_served_before(context, version):
    served = () if version == "nothing" else (ServedVersion(MODEL, version),)
    context.record = PlacementRecord(served=served)


@when("the engines serve {versions} while v2 is the declared version")
def step_versions(context, versions):
    model = rolling_model(weight_version="v2")
    observations = [
        observed(f"qalam-{index}", None if version == "-" else version)
        for index, version in enumerate(versions.split())
    ]
    context.served = served_versions(context.record, {MODEL: model}, observations)


@then("the version served last is {version}")
def step_served_after(context, version):
    expected = () if version == "nothing" else (ServedVersion(MODEL, version),)
    assert context.served == expected, context.served


@when(
    "v2 has failed on two other engines and one that serves {version} is {treatment}, "
    "{failed} having failed on it"
)
def step_plan_stopped(context, version, treatment, failed):
    bounds = {"min_ready_engines": 0, "restores_failed_engines": treatment == "restored"}
    model = rolling_model(weight_version="v2", **bounds)
    failures = [FailedLoad(f"qalam-{index}", MODEL, "v2", "failed by the test") for index in (2, 3)]
    if failed != "nothing":
        failures.append(FailedLoad("qalam-1", MODEL, failed, "too", is_restoring=failed == "v1"))
    observation = observed("qalam-1", None if version == "nothing" else version)
    plan = plan_loads(
        msgspec.structs.replace(context.record, failures=tuple(failures)),
        {MODEL: model},
        {"qalam-1": DesiredEngine("qalam-1", MODEL, "v2", (), EngineRole.BOTH)},
        {"qalam-1": observation},
        PlacementRules(),
    )
    context.ordered = [load.weight_version for load in plan.ordered]


@then("the engine is ordered to load {version}")
def step_ordered(context, version):
    assert context.ordered == ([] if version == "nothing" else [version]), context.ordered


@given("two planners that have both read the placement record and both hold the lease")
def step_two_planners(context):
    pass


@when("another version is declared and each planner runs one round")
def step_one_round_each(context):
    async def main():
        rollout = Rollout(6, rolling_model(min_ready_engines=2), num_planners=2)
        async with rollout.observing():
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


@then("the first planner gives an order and the second gives none")
def step_orders_of_each(context):
    assert context.num_orders == [1, 0], context.num_orders
