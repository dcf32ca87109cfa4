"""Steps of `endless_answers.feature`."""

import tracemalloc

import anyio
from behave import given, then, when

from features.steps.platform_adapter_steps import outbound_request
from features.support.endless_server import EndlessServer
from features.support.platform_fleet import (
    Fleet,
    ask,
    configuration,
    generation_headers,
    request_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.scripted_server import ScriptedServer
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState, ServedModel
from weirscale.gateway.paths.tcp_opener import TcpOpener
from weirscale.gateway.ports.back_end import OrderOutcome, RunState, WeightOrder
from weirscale_platform.back_end_client import BackEndClientConnector
from weirscale_platform.state_feed import StateFeedAdapter
from weirscale_platform.store_client import StoreClient

ANSWER_S = 0.4
REQUEST_S = 1.0
SETTLE_S = 0.2
STORE_S = 14.0
NUM_CALLERS = 24
ORDER = WeightOrder("m", 2, "node-1", 1, 0, "e-1")


class DirectDialer:
    """Opens direct connections."""

    async def open(self, address):
        return await TcpOpener().open(address)

    open_directly = open

    def generation(self, address):
        return 0


def port_to(address):
    back_end = BackEnd(
        "e-1", "lm", address, "hall-a", BackEndState.READY, 4, (ServedModel("m", 1),)
    )
    return BackEndClientConnector()(back_end, 4, lambda *_: None, DirectDialer())


async def send_request(port):
    """Send a request, and return whether the head of an answer came within its time."""
    with anyio.move_on_after(REQUEST_S):
        async with port.send(outbound_request(1)) as sent:
            return sent.is_ok()
    raise AssertionError("nothing but the caller's own time ended the call")


CALLS = {
    "a report": lambda port: port.report(ANSWER_S),
    "a health check": lambda port: port.is_healthy("/healthz", ANSWER_S),
    "an order": lambda port: port.order(ORDER, ANSWER_S),
    "a check of its run": lambda port: port.check_run("/healthz", ANSWER_S),
    "a request": send_request,
}
FAILED = (None, False, OrderOutcome.UNKNOWN, RunState.UNKNOWN)


@given('a server that "{behaviour} without end"')
def step_server(context, behaviour):
    context.behaviour = behaviour


def run_with_server(context, script, limit_s):
    """Run `script(server)`, and keep how long it took and what the server saw."""

    async def main():
        server = EndlessServer(context.behaviour)
        with anyio.fail_after(limit_s):
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.run)
                began_s = anyio.current_time()
                await script(server, tasks)
                context.took_s = anyio.current_time() - began_s
                await anyio.sleep(SETTLE_S)
                context.num_open, context.num_bytes = server.num_open, server.num_bytes
                tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})


@when("the gateway makes {call} to it, with 0.4 s for the answer")
def step_call(context, call):
    async def script(server, tasks):
        tracemalloc.start()
        context.outcome = await CALLS[call](port_to(server.address))
        _, context.peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()

    run_with_server(context, script, 5.0)


@then("the call has failed within {most_s:g} seconds")
def step_failed(context, most_s):
    assert context.outcome in FAILED, context.outcome
    assert context.took_s <= most_s, context.took_s


@then("it took at most {most_mb:d} MB of memory")
def step_memory(context, most_mb):
    assert context.peak_bytes <= most_mb * 1_000_000, context.peak_bytes


@then("the connection is closed, after at most {most_mb:d} MB")
def step_closed(context, most_mb):
    assert context.num_open == 0
    assert context.num_bytes <= most_mb * 1_000_000, context.num_bytes


@then("the next call, to a sound server, is answered")
def step_sound(context):
    async def main():
        server = ScriptedServer("answers with a length")
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            port = port_to(server.address)
            async with port.send(outbound_request(1)) as sent:
                assert sent.is_ok()
            await port.close()
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})


@when("the gateway reads the store")
def step_store(context):
    async def script(server, tasks):
        read = await StateFeedAdapter(StoreClient(server.address)).read_all()
        context.outcome = None if read.is_err() else read

    run_with_server(context, script, STORE_S)


@given("a node with a sound back end and one that answers with {what} without end")
def step_node(context, what):
    context.fault = {"a body": "endless_body", "one event": "endless_event"}[what]


@when("24 callers ask the second one on the {kind} route, and others the first one")
def step_callers(context, kind):
    prefix, service, model = {
        "whole": ("/w/", "orders", None),
        "stream": ("/t/", "lm", "m"),
    }[kind]
    sound_service = f"sound-{service}"
    context.fleet = Fleet()
    context.answers, context.others, context.held_bytes = [], [], [0]

    async def body():
        fleet = context.fleet
        route_kind = "streaming" if kind == "stream" else "mutating"
        routes = [
            route("endless", prefix, route_kind, service=service, max_attempts=1),
            route("sound", "/sound/", "idempotent", service=sound_service),
        ]
        entry = configuration(routes=routes)
        entry["services"].append({"name": sound_service, "max_conns": 100})
        fleet.add_runner(RunnerStandIn("bad", "10.2.0.1:9000", service, model=model))
        fleet.runners[0].faults = [context.fault] * NUM_CALLERS
        fleet.add_runner(RunnerStandIn("good", "10.2.0.2:9000", sound_service, model=None))
        fleet.store.put("op/config", entry)
        fleet.store.put("op/version/m", {"model": "m", "version": 1})
        node = await fleet.start_node()
        async with anyio.create_task_group() as tasks:
            for number in range(NUM_CALLERS):
                tasks.start_soon(ask_endless, context, node, prefix, number)
            for number in range(10):
                await anyio.sleep(0.1)
                headers = request_headers(f"s{number}")
                context.others.append(await ask(node, "/sound/x", headers=headers))
                buffers = node.context.answer_buffers
                context.held_bytes.append(buffers.num_bytes)

    run_in_virtual_time(lambda: with_fleet(context.fleet, body))


async def ask_endless(context, node, prefix, number):
    context.answers.append(await ask(node, f"{prefix}x", headers=generation_headers(f"q{number}")))


@then("the node never holds more than {most_mb:d} MB of answers")
def step_held(context, most_mb):
    runner = context.fleet.runners[0]
    assert max(context.held_bytes) <= most_mb * 1_000_000, max(context.held_bytes)
    assert runner.num_endless_bytes > 0


@then("each of the 24 gets a failure or a broken answer, and none looks complete")
def step_broken(context):
    assert len(context.answers) == NUM_CALLERS
    for answer in context.answers:
        assert answer.status != 200 or not answer.is_complete, answer


@then("the others are answered in time")
def step_others(context):
    assert [answer.status for answer in context.others] == [200] * 10
    assert max(answer.took_s for answer in context.others) < 0.5
