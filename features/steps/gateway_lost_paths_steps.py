"""Steps of `gateway_lost_paths.feature`."""

import anyio
from behave import given, then, when

from features.support.lost_paths import LostPathSimulation
from features.support.path_losses import PathLoss
from features.support.platform_fleet import MODEL
from features.support.speaking_back_ends import StatementSimulation

SERVED_SHARE = 2.0 / 3.0
MAX_FAILED = 10
MAX_FAILED_SHARE = 1.0 / 50.0
HTTP_OK = 200


@given(
    "{num_nodes:d} nodes in {num_zones:d} zones and {num_back_ends:d} back ends of each service "
    "that nodes may lose"
)
def step_nodes(context, num_nodes, num_zones, num_back_ends):
    context.simulation = LostPathSimulation(num_nodes, num_back_ends, num_zones)


@when(
    'after {from_s:g} seconds "{names}" lose their paths to all back ends for {for_s:g} seconds, '
    '"{loss}"'
)
def step_lose_paths(context, names, from_s, for_s, loss):
    context.simulation.cut(names.split(), PathLoss(loss), from_s, for_s)


FLAPS = {
    "come back for a second each second": {"flap_s": 1.0},
    "come back for 3 seconds after 3 seconds": {"flap_s": 3.0},
    "are those to one service only": {"service": "orders"},
}


@when('after {from_s:g} seconds "{names}" lose their paths for {for_s:g} seconds, and these {how}')
def step_lose_in_turn(context, from_s, names, for_s, how):
    context.simulation.cut(names.split(), PathLoss.SILENT, from_s, for_s, **FLAPS[how])


@when('node-1 has had {num:d} requests for "{path}" at once')
def step_had_requests(context, num, path):
    simulation = context.simulation

    async def send_all():
        async with anyio.create_task_group() as tasks:
            for _ in range(num):
                tasks.start_soon(StatementSimulation.send_request, simulation, "node-1", path)

    simulation.background.append(send_all)


@when("nothing else happens")
def step_nothing(context):
    pass


@when("two of the other nodes are killed {later_s:g} seconds later")
def step_kill_others(context, later_s):
    simulation = context.simulation

    async def kill():
        await anyio.sleep(2.0 + later_s)
        for name in ("node-3", "node-4"):
            simulation.fleet.kill(name)

    simulation.background.append(kill)


@when("two of the other nodes freeze for {seconds:g} seconds")
def step_freeze_others(context, seconds):
    simulation = context.simulation

    async def freeze():
        await anyio.sleep(5.0)
        for name in ("node-3", "node-4"):
            simulation.fleet.freeze(name)
        await anyio.sleep(seconds)
        for name in ("node-3", "node-4"):
            await simulation.fleet.thaw(name)

    simulation.background.append(freeze)


@when('{later_s:g} seconds later the process of "{name}" ends')
def step_process_ends(context, later_s, name):
    simulation = context.simulation

    async def end():
        await anyio.sleep(2.0 + later_s)
        back_end = simulation.back_ends[name]
        back_end.is_crashed = True
        simulation.fleet.remove_runner(back_end)
        del simulation.fleet.targets[back_end.address]

    simulation.background.append(end)


@when("a caller of node-1 leaves in the middle of a relayed stream")
def step_caller_leaves(context):
    simulation = context.simulation
    for back_end in simulation.back_ends.values():
        back_end.event_interval_s = 0.5

    async def leave():
        await anyio.sleep(5.0)
        context.relayed_before = simulation.fleet.nodes["node-1"].paths.num_lost()
        context.left_at_s = anyio.current_time() + 1.0
        await simulation.send_request("node-1", "/a/1", leave_after_s=1.0)
        await anyio.sleep(1.0)

    simulation.actions.append(lambda: simulation.send_to_all_nodes(0.25, 3.0))
    simulation.actions.append(leave)


@then("its run ends with it")
def step_run_ends(context):
    simulation = context.simulation.play()
    cancelled_s = [at_s for one in simulation.back_ends.values() for at_s, _ in one.cancelled]
    assert context.relayed_before, "no path was lost"
    assert any(abs(at_s - context.left_at_s) < 0.1 for at_s in cancelled_s), cancelled_s


@when("the holder of the lease loses its paths for {for_s:g} seconds, and newer weights are named")
def step_holder_loses(context, for_s):
    simulation = context.simulation

    async def act():
        await anyio.sleep(3.0)
        (holder,) = (node for node in simulation.all_nodes() if node._lease.is_held())
        context.holder = holder.settings.name
        simulation.cut_nodes = [context.holder]
        simulation.lost_from_s = anyio.current_time()
        async with simulation._lost(PathLoss.SILENT, None):
            await simulation.send_to_all_nodes(0.25, 2.0)
            context.ordered_before = len(simulation.fleet.sent_requests)
            simulation.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
            await simulation.send_to_all_nodes(0.25, for_s - 2.0)

    simulation.actions.append(act)


@then("the holder gives up the lease, and another node orders all loads")
def step_lease_given_up(context):
    simulation = context.simulation.play()
    assert simulation.logged("lease_given_up")[context.holder], "the lease was kept"
    senders = {
        name
        for name, path in simulation.fleet.sent_requests[context.ordered_before :]
        if path == "/v1/order"
    }
    assert len(senders) == 1 and context.holder not in senders, senders
    engines = [one for one in simulation.back_ends.values() if one.model]
    assert all(one.version == 2 for one in engines), [one.version for one in engines]


@then("no request runs twice")
def step_once(context):
    simulation = context.simulation.play()
    runs = [run.request_id for one in simulation.back_ends.values() for run in one.runs]
    assert runs and len(runs) == len(set(runs))


@then("no request that a node refused has run")
def step_truthful(context):
    simulation = context.simulation.play()
    ran = {run.request_id for one in simulation.back_ends.values() for run in one.runs}
    refused = {
        line["id"]
        for lines in simulation.logged("request_ended").values()
        for line in lines
        if line["status"] in (429, 503)
    }
    assert not ran & refused, ran & refused


@then("each request is logged once, at the node that received it")
def step_logged_once(context):
    simulation = context.simulation.play()
    assert simulation.fleet.nodes["node-1"].metrics is not None
    logged = [
        (node, line["id"])
        for node, lines in simulation.logged("request_ended").items()
        for line in lines
    ]
    assert len(logged) == len(set(logged)) == len(simulation.answers)
    assert all(request_id.startswith(f"q{node}-") for node, request_id in logged)


@then("the sum of all loads is none at the end")
def step_no_load(context):
    simulation = context.simulation.play()
    for node in simulation.all_nodes():
        assert not any(node.load.own(name).num_requests for name in simulation.back_ends)


@then('all other nodes suspect "{name}" and no other back end')
def step_only_suspect(context, name):
    simulation = context.simulation.play()
    for node in simulation.sound_nodes():
        suspects = {line["instance"] for line in simulation.logged("back_end_suspected")[node]}
        assert suspects == {name}, (node, suspects)


@then(
    "no request is served from {from_s:g} to {to_s:g} seconds after the loss, and all are from "
    "{later_s:g} seconds on"
)
def step_all_cut(context, from_s, to_s, later_s):
    simulation = context.simulation.play()
    lost_s = simulation.lost_from_s
    answers = simulation.answers
    during = [a for a in answers if from_s <= a.at_s - lost_s < to_s and a.took_s < to_s - from_s]
    later = [a for a in answers if a.at_s - lost_s >= later_s]
    assert not any(a.at_s + a.took_s < lost_s + to_s and is_served(a) for a in during)
    assert later and all(map(is_served, later)), [a.status for a in later]


def is_served(answer):
    return answer.status == HTTP_OK and answer.is_complete


def served_share(answers):
    assert answers, "no request was sent"
    return sum(map(is_served, answers)) / len(answers)


@then(
    "{after_s:g} seconds after the loss the cut nodes serve at least two thirds as often as the others"
)
def step_served_like_others(context, after_s):
    simulation = context.simulation.play()
    cut = served_share(simulation.answers_while_lost(simulation.cut_nodes, after_s))
    others = served_share(simulation.answers_while_lost(simulation.sound_nodes(), after_s))
    assert cut >= SERVED_SHARE * others > 0.0, (cut, others)


@then("at most 10 requests and 1 in 50 fail {after_s:g} seconds after the loss")
def step_few_fail(context, after_s):
    simulation = context.simulation.play()
    answers = simulation.answers_while_lost(simulation.node_names(), after_s)
    failed = [answer.status for answer in answers if not is_served(answer)]
    assert len(failed) <= MAX_FAILED + MAX_FAILED_SHARE * len(answers), (failed, len(answers))


@then("no other node suspects a back end")
def step_no_suspects(context):
    simulation = context.simulation.play()
    suspected = simulation.logged("back_end_suspected")
    wrong = {name: suspected[name] for name in simulation.sound_nodes() if suspected[name]}
    assert not wrong, wrong


@then("no back end counts as crashed and no request as a cause of crashes")
def step_no_crash(context):
    simulation = context.simulation.play()
    for name in ("back_end_crashed", "crash_under_request", "request_quarantined"):
        logged = {node: events for node, events in simulation.logged(name).items() if events}
        assert not logged, (name, logged)
