"""Steps of `gateway_instances.feature`."""

import anyio
from behave import given, then, when

from features.support.memory_connections import FleetDialer
from features.support.platform_fleet import (
    MODEL,
    EventRecorder,
    Fleet,
    Transport,
    ask,
    configuration,
    generation_headers,
    request_headers,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.configuration import GatewayConfiguration
from weirscale.gateway.ports.back_end import WeightOrder
from weirscale.gateway.ports.state_feed import (
    BackEndGone,
    BackEndRegistered,
    ConfigurationChanged,
    StateBatch,
    TargetVersionChanged,
    VersionedChange,
)
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale_platform.back_end_client import BackEndClientConnector

KEYS = {"configuration": "c", "weights": "w", "the": "b"}


def services():
    return [RunnerStandIn(f"o-{n}", f"10.2.0.{n}:8080", "orders", model=None) for n in (1, 2)]


@given("two back ends, of which the first's address now belongs to another service unnoticed")
def step_other_service(context):
    context.fleet = Fleet()
    context.back_ends = services()
    context.other_process = RunnerStandIn("another", "10.2.0.1:8080", "elsewhere", model=None)
    context.path = "/o/1"


@given("two engines, of which the first has loaded new weights unnoticed")
def step_new_weights(context):
    context.fleet = Fleet()
    context.back_ends = [RunnerStandIn(f"r-{n}", f"10.3.0.{n}:8080", "lm") for n in (1, 2)]
    context.other_process = None
    context.path = "/a/1"


@when("{count:d} requests are sent")
def step_sent(context, count):
    fleet = context.fleet
    context.answers = []

    async def body():
        fleet.store.put("op/config", configuration())
        for back_end in context.back_ends:
            fleet.add_runner(back_end)
        node = await fleet.start_node()
        if context.other_process is not None:
            fleet.targets[context.other_process.address] = context.other_process
        else:
            context.back_ends[0].version = 2
        for number in range(count):
            make_headers = request_headers if context.path == "/o/1" else generation_headers
            answer = await ask(node, context.path, headers=make_headers(f"q{number}"))
            context.answers.append(answer)
            await anyio.sleep(0.2)

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then("all requests are answered by the second back end")
def step_second(context):
    assert {answer.status for answer in context.answers} == {200}, context.answers
    assert {answer.body for answer in context.answers} == {b"done by o-2"}


@then("the process at the first's address ran none of the requests")
def step_none_ran(context):
    assert context.other_process.arrivals and not context.other_process.runs


@then("no request ran with the cache scope of weights that its engine did not have")
def step_scope(context):
    assert {answer.status for answer in context.answers} == {200}, context.answers
    for runner in context.fleet.runners:
        for run in runner.runs:
            assert run.salt == f"{MODEL}@{run.version}", run
            assert run.headers["x-expect-version"] == str(run.version), run


@given("{nodes:d} nodes and {engines:d} engines, all of which have loaded new weights unnoticed")
def step_all_new(context, nodes, engines):
    context.fleet = Fleet()
    context.num_nodes = nodes
    context.back_ends = [
        RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm") for number in range(engines)
    ]


@when("{count:d} generation requests that allow one attempt are sent to the nodes in turn")
def step_in_turn(context, count):
    fleet = context.fleet
    context.answers = []

    async def body():
        fleet.store.put("op/config", configuration())
        for back_end in context.back_ends:
            fleet.add_runner(back_end)
        nodes = [await fleet.start_node(f"node-{number}") for number in range(context.num_nodes)]
        await anyio.sleep(1.0)
        for back_end in context.back_ends:
            back_end.version = 2
        for number in range(count):
            headers = generation_headers(f"q{number}", parts=f"a{number}:800,b{number}:200")
            node = nodes[number % len(nodes)]
            context.answers.append(await ask(node, "/n/1", headers=headers))
            await anyio.sleep(0.1)

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then("at most {count:d} of them were refused")
def step_few_refused(context, count):
    arrivals = sum(len(back_end.arrivals) for back_end in context.back_ends)
    runs = sum(len(back_end.runs) for back_end in context.back_ends)
    assert 0 < arrivals - runs <= count, (arrivals, runs)


@then("the last {count:d} were answered")
def step_last_answered(context, count):
    assert {answer.status for answer in context.answers[-count:]} == {200}, context.answers


@given("an engine whose address now belongs to its next run")
def step_next_run(context):
    context.fleet = Fleet()
    context.runner = RunnerStandIn("next", "10.3.0.1:8080", "lm")
    context.fleet.add_runner(context.runner)


@when("an order for the earlier run is sent")
def step_order(context):
    def transport(_connections, _keepalive_s, source):
        return Transport(context.fleet, "n", source)

    async def main():
        back_end = BackEnd("earlier", "lm", "10.3.0.1:8080", "z", BackEndState.READY, 4)
        client = BackEndClientConnector(transport)(
            back_end, 4, lambda *_: None, FleetDialer(context.fleet, "n")
        )
        order = WeightOrder(MODEL, 2, "n", 7, 0, "earlier")
        context.outcome = await client.order(order, 1.0)

    run_in_virtual_time(main)


@then('the order is answered with "{outcome}" and no order was accepted')
def step_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome
    assert not context.runner.orders


def back_end(state):
    return BackEnd("i-1", "lm", "10.3.0.1:8080", "z", state, 4)


@given(
    "a node's state at revision 10 with configuration {version:d}, weights {weights:d} and a "
    "leaving back end"
)
def step_state(context, version, weights):
    context.cluster = ClusterState(EventRecorder(), lambda: 100.0)
    changes = (
        VersionedChange("c", 5, ConfigurationChanged(GatewayConfiguration(version))),
        VersionedChange("w", 6, TargetVersionChanged(MODEL, weights)),
        VersionedChange("b", 10, BackEndRegistered(back_end(BackEndState.LEAVING))),
    )
    context.cluster.replace_all(StateBatch(10, changes), 99.0)


@when('"{change}" arrives with revision {revision:d}')
def step_arrives(context, change, revision):
    words = change.split()
    if words[0] == "configuration":
        change_of_state = ConfigurationChanged(GatewayConfiguration(int(words[1])))
    elif words[0] == "weights":
        change_of_state = TargetVersionChanged(MODEL, int(words[1]))
    elif words[-1] == "removed":
        change_of_state = BackEndGone("i-1")
    else:
        change_of_state = BackEndRegistered(back_end(BackEndState.READY))
    batch = StateBatch(revision, (VersionedChange(KEYS[words[0]], revision, change_of_state),))
    context.cluster.apply(batch, 99.5)


@then(
    'the node has configuration {version:d}, weights {weights:d} and a back end that is "{state}"'
)
def step_has_state(context, version, weights, state):
    cluster = context.cluster
    listed = cluster.directory.get("i-1")
    assert cluster.table.version == version
    assert cluster.target_versions.newest(MODEL) == weights
    assert (listed.state.value if listed else "removed") == state
