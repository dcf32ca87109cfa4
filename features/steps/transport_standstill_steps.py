"""Steps of `transport_standstill.feature`.

A blocked event loop simulates the suspension; the server runs in a thread, which is not blocked.
"""

import asyncio
import socket
import threading
import time

import anyio
import httpx
from behave import given, then, when

from weirscale.ports.h11_transport import H11Transport
from weirscale.standins.asgi_server import LOOPBACK

KEEP_S = 5.0
BODY = b"answer"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
FAIL_AFTER_S = 10.0
UNTIL_WAITING_S = 0.05
"""Time after which a task that has sent a request waits for its socket."""
DELAY_S = 0.1


class ThreadServer:
    """Answers one request on each connection, as `behaviour` states."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.has_ended = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self.has_ended.set()
        self.listener.close()

    def _serve(self):
        try:
            while not self.has_ended.is_set():
                connection, _ = self.listener.accept()
                threading.Thread(target=self._answer, args=(connection,), daemon=True).start()
        except OSError:
            return

    def _answer(self, connection):
        with connection:
            if not connection.recv(65536):
                return
            if self.behaviour == "answers 0.1 s later":
                time.sleep(DELAY_S)
            if self.behaviour != "never answers":
                connection.sendall(HEAD)
            if self.behaviour == "sends the body 0.1 s later":
                time.sleep(DELAY_S)
            if self.behaviour not in ("never answers", "sends only the head"):
                connection.sendall(BODY)
            self.has_ended.wait(FAIL_AFTER_S)


@given('a server in another thread that "{behaviour}"')
def step_server(context, behaviour):
    context.server = ThreadServer(behaviour)
    context.add_cleanup(context.server.close)


async def exchange(address, timeouts, suspend):
    """Send a request, and call `suspend` with the name of each stage at its beginning.

    Return the answer's body, or the name of the error.
    """
    transport = H11Transport(1, KEEP_S)
    request = httpx.Request("GET", f"http://{address}/path", extensions={"timeout": timeouts})
    connect = transport._connect

    async def connect_slowly(url, timeout_s):
        suspend("while it connects")
        connection = await connect(url, timeout_s)
        suspend("while it waits for the head")
        return connection

    transport._connect = connect_slowly
    try:
        response = await transport.handle_async_request(request)
        suspend("while it waits for the body")
        return (await response.aread()).decode()
    except httpx.HTTPError as error:
        return type(error).__name__
    finally:
        await transport.aclose()


def send_request(context, timeout_s, when, seconds):
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)

    def suspend(stage):
        if stage == when:
            delay_s = 0.0 if stage == "while it connects" else UNTIL_WAITING_S
            asyncio.get_running_loop().call_later(delay_s, time.sleep, seconds)

    async def main():
        with anyio.fail_after(FAIL_AFTER_S):
            began_s = time.monotonic()
            context.outcome = await exchange(context.server.address, timeouts, suspend)
            context.took_s = time.monotonic() - began_s

    anyio.run(main, backend_options={"use_uvloop": True})


@when(
    "the process is suspended for {seconds:g} seconds {when}, with timeouts of {timeout_s:g} seconds"
)
def step_suspended(context, seconds, when, timeout_s):
    send_request(context, timeout_s, when, seconds)


@when("a request is sent to it with timeouts of {timeout_s:g} seconds")
def step_send(context, timeout_s):
    send_request(context, timeout_s, None, 0.0)


@then('the request ends with "{outcome}" within {seconds:g} seconds')
def step_ends(context, outcome, seconds):
    assert context.outcome == outcome, context.outcome
    assert context.took_s <= seconds, context.took_s
