"""Steps of `gateway_connection_limits.feature`."""

import json
from base64 import b64encode
from random import Random
from types import SimpleNamespace

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    STORE_ADDRESS,
    BackEndClientConnector,
    EventRecorder,
    Fleet,
    HeaderCodec,
    KeyValueAdapter,
    StateFeedAdapter,
    StoreClient,
    Transport,
    configuration,
)
from weirscale.gateway.ports.state_feed import StateBatch
from weirscale.gateway.program import GatewayProgram
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.ports.listeners import open_listener, port_of
from weirscale_platform.items import StoreItem, read_item

LOOPBACK = "127.0.0.1"
REQUEST = b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n"
START_S = 10.0
"""Real time within which the program must have read its configuration."""
WATCH_S = 1.8
"""Real time for which the connection is watched."""


def free_port():
    with open_listener(LOOPBACK, 0) as listener:
        return port_of(listener)


def make_program(limits):
    """Return the program of a node on loopback; the store has a configuration with these limits."""
    fleet = Fleet()
    fleet.store.put("op/config", configuration(limits=limits))

    def transport(_connections, _keepalive_s, source=None):
        return Transport(fleet, "node-1", source)

    store = StoreClient(STORE_ADDRESS, transport)
    adapter = SimpleNamespace(
        settings=None,
        feed=lambda: StateFeedAdapter(store),
        store=lambda: KeyValueAdapter(store),
        connector=lambda: BackEndClientConnector(transport),
        codec=HeaderCodec,
    )
    callers, readiness = (ListenAddress(LOOPBACK, free_port()) for _ in range(2))
    settings = GatewaySettings(
        "node-1", "hall-a", callers, readiness, peers=ListenAddress(LOOPBACK, 0)
    )
    adapter.settings = lambda: settings
    return GatewayProgram(adapter, settings, EventRecorder(), Random(1))


async def with_caller(limits, exchange):
    """Run a node's program, and return the result of `exchange(node, caller)` over a connection."""
    program = make_program(limits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(program.run, anyio.Event())
        with anyio.fail_after(START_S):
            await program.node.cluster.first_read.wait()
        caller = await anyio.connect_tcp(LOOPBACK, program.node.settings.callers.port)
        result = await exchange(program.node, caller)
        await caller.aclose()
        tasks.cancel_scope.cancel()
    return result


async def exchange_request(caller):
    await caller.send(REQUEST)
    answer = await caller.receive()
    assert answer.startswith(b"HTTP/1.1 404"), answer
    assert b"connection: close" not in answer.lower(), answer


async def time_until_close_s(caller):
    """Return after how many seconds a connection is closed; None for `WATCH_S` or more."""
    began_s = anyio.current_time()
    with anyio.move_on_after(WATCH_S):
        try:
            while True:
                await caller.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return anyio.current_time() - began_s
    return None


async def stay_idle(_, caller):
    await exchange_request(caller)
    return await time_until_close_s(caller)


def limits(**more):
    return {"max_body_bytes": 100, **more}


@given("a program of a node with a configured idle timeout of {seconds:g} s")
def step_idle_timeout(context, seconds):
    context.limits = limits(idle_timeout_ms=1000 * seconds)


@given("a program of a node with a configured header timeout of {seconds:g} s")
def step_header_timeout(context, seconds):
    context.limits = limits(header_timeout_ms=1000 * seconds)


@when("a caller is answered and then leaves its connection idle")
def step_idle_connection(context):
    context.closed_after_s = anyio.run(with_caller, context.limits, stay_idle)


@when("a caller is answered, and {later_s:g} s later the idle timeout becomes {seconds:g} s")
def step_longer(context, later_s, seconds):
    longer = configuration(version=2, limits=limits(idle_timeout_ms=1000 * seconds))

    async def exchange(node, caller):
        await exchange_request(caller)
        await anyio.sleep(later_s)
        item = StoreItem(
            "op/config", node.cluster.revision + 1, b64encode(json.dumps(longer).encode()).decode()
        )
        batch = StateBatch(item.revision, (read_item(item),))
        node.cluster.apply(batch, anyio.current_time())
        closed_after_s = await time_until_close_s(caller)
        return None if closed_after_s is None else later_s + closed_after_s

    context.closed_after_s = anyio.run(with_caller, context.limits, exchange)


@when("a caller sends one byte of a request head every {interval_s:g} s")
def step_slow_head(context, interval_s):
    async def exchange(_, caller):
        began_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_slowly, caller, interval_s)
            answer = await caller.receive()
            took_s = anyio.current_time() - began_s
            tasks.cancel_scope.cancel()
        return answer, took_s, await time_until_close_s(caller)

    context.answer, context.answered_s, context.closed_after_s = anyio.run(
        with_caller, context.limits, exchange
    )


async def send_slowly(caller, interval_s):
    for byte in REQUEST:
        await caller.send(bytes([byte]))
        await anyio.sleep(interval_s)


@then("the node closes the connection after {least:g} s to {most:g} s")
def step_closed(context, least, most):
    closed_after_s = context.closed_after_s
    assert closed_after_s is not None, f"the connection is still open after {WATCH_S} s"
    assert least <= closed_after_s <= most, closed_after_s


@then("the node keeps the connection open")
def step_open(context):
    assert context.closed_after_s is None, context.closed_after_s


@then("the caller gets {status:d} after {least:g} s to {most:g} s, and the connection is closed")
def step_status(context, status, least, most):
    assert context.answer.startswith(f"HTTP/1.1 {status}".encode()), context.answer
    assert least <= context.answered_s <= most, context.answered_s
    assert context.closed_after_s is not None
