"""Steps of `gateway_connection_limits.feature`."""

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
from weirscale.gateway.program import GatewayProgram
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.ports.listeners import open_listener, port_of

LOOPBACK = "127.0.0.1"
REQUEST = b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n"
START_S = 10.0
"""Real time within which the program must have read its configuration."""
MOST_S = 1.8
"""Real time for which the connection is watched."""


def free_port():
    with open_listener(LOOPBACK, 0) as listener:
        return port_of(listener)


def make_program(limits):
    """Return the program of a node on loopback, whose store holds a configuration with limits."""
    fleet = Fleet()
    fleet.store.put("op/config", configuration(limits=limits))

    def transport(_connections, _keepalive_s):
        return Transport(fleet, "node-1")

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


async def idle_s_before_close(limits):
    """Return for how long a node keeps a caller's unused connection; None for `MOST_S` or more."""
    program = make_program(limits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(program.run, anyio.Event())
        with anyio.fail_after(START_S):
            await program.node.cluster.wait_until_read()
        caller = await anyio.connect_tcp(LOOPBACK, program.node.settings.callers.port)
        await caller.send(REQUEST)
        answer = await caller.receive()
        assert answer.startswith(b"HTTP/1.1 404"), answer
        assert b"connection: close" not in answer.lower(), answer
        answered_s = anyio.current_time()
        closed_after_s = None
        with anyio.move_on_after(MOST_S):
            try:
                while True:
                    await caller.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                closed_after_s = anyio.current_time() - answered_s
        await caller.aclose()
        tasks.cancel_scope.cancel()
    return closed_after_s


@given("a node's program whose operators configure an idle timeout of {seconds:g} s")
def step_limits(context, seconds):
    context.limits = {"max_body_bytes": 100, "idle_timeout_ms": 1000 * seconds}


@when("a caller is answered and then leaves its connection unused")
def step_unused(context):
    context.closed_after_s = anyio.run(idle_s_before_close, context.limits)


@then("the node closes the connection after {least:g} s to {most:g} s")
def step_closed(context, least, most):
    closed_after_s = context.closed_after_s
    assert closed_after_s is not None, f"it is still open after {MOST_S} s"
    assert least <= closed_after_s <= most, closed_after_s
