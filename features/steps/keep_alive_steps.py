"""Steps of `keep_alive.feature`: a model of when Linux ends a silent connection."""

import socket

import anyio
import httpx
from behave import given, then, when

from features.support.platform_fleet import ADAPTER  # noqa: F401 (makes the adapter importable)
from features.support.scripted_server import ScriptedServer
from weirscale.gateway.paths.tcp_opener import TcpOpener
from weirscale.ports.h11_connection import raw_socket
from weirscale_platform import http

STEP_S = 0.05
LONGEST_S = 30.0
MS_PER_S = 1000.0
TIMEOUTS = {"connect": 0.5, "read": 0.5, "write": 0.5, "pool": 0.5}


def options_of(raw):
    """Return what is set on a socket."""
    names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
    options = {name: raw.getsockopt(socket.IPPROTO_TCP, getattr(socket, name)) for name in names}
    return options | {"SO_KEEPALIVE": raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)}


async def transport_options(server):
    """Return the options of a connection that the adapter's transport has opened."""
    transport = http.new_transport(4, 5.0)
    url = f"http://{server.address}/"
    response = await transport.handle_async_request(
        httpx.Request("GET", url, extensions={"timeout": TIMEOUTS})
    )
    await response.aread()
    (connection,) = transport._idle
    options = options_of(raw_socket(connection._stream))
    await transport.aclose()
    return options


async def opener_options(server):
    """Return the options of a connection that a relay opens to a back end, or a node to a relay."""
    async with await TcpOpener().open(server.address) as stream:
        return options_of(raw_socket(stream))


SERVERS = {
    "back ends": transport_options,
    "relays": opener_options,
    "the store": transport_options,
}


@given('the socket options of connections to "{server}"')
def step_options(context, server):
    async def main():
        stand_in = ScriptedServer("answers with a length")
        async with anyio.create_task_group() as tasks:
            await tasks.start(stand_in.run)
            context.options = await SERVERS[server](stand_in)
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
    assert context.options["SO_KEEPALIVE"] == 1


@when(
    "the other side is silent for {silence_s:g} seconds, beginning at any time after the last byte"
)
def step_silence(context, silence_s):
    num_steps = int(LONGEST_S / STEP_S / 6)
    context.silences = [
        (number * STEP_S, number * STEP_S + silence_s) for number in range(num_steps)
    ]


def idle_end_s(options, silence):
    """Return when probes end an idle connection whose last byte came at 0; None if they do not."""
    idle_s = options["TCP_KEEPIDLE"]
    interval_s = options["TCP_KEEPINTVL"]
    limit = options["TCP_KEEPCNT"]
    user_timeout_s = options["TCP_USER_TIMEOUT"] / MS_PER_S
    heard_s, num_probes, at_s = 0.0, 0, float(idle_s)
    while at_s < LONGEST_S:
        elapsed_s = at_s - heard_s
        is_over = elapsed_s >= user_timeout_s if user_timeout_s else num_probes >= limit
        if num_probes and is_over:
            return at_s
        if silence[0] <= at_s < silence[1]:
            num_probes += 1
            at_s += interval_s
        else:
            heard_s, num_probes = at_s, 0
            at_s += idle_s
    return None


def unacknowledged_end_s(options, silence):
    """Return when a connection ends whose bytes were sent as the silence began."""
    user_timeout_s = options["TCP_USER_TIMEOUT"] / MS_PER_S
    is_over = user_timeout_s and silence[1] - silence[0] >= user_timeout_s
    return silence[0] + user_timeout_s if is_over else None


@then("the connection survives each of these silences, also with sent bytes unacknowledged")
def step_survives(context):
    for silence in context.silences:
        ended_s = idle_end_s(context.options, silence)
        assert ended_s is None, (silence, ended_s)
        assert unacknowledged_end_s(context.options, silence) is None, silence


@then("the connection ends within {seconds:g} seconds of the last byte or of the silence")
def step_ends(context, seconds):
    for silence in context.silences:
        ended_s = idle_end_s(context.options, silence)
        assert ended_s is not None and ended_s <= silence[0] + seconds, (silence, ended_s)
        sent_end_s = unacknowledged_end_s(context.options, silence)
        assert sent_end_s is not None and sent_end_s <= silence[0] + seconds, silence
