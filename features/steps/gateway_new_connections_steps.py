"""Steps of `gateway_new_connections.feature`."""

import asyncio
import socket
import threading
import time
from dataclasses import dataclass

import anyio
from behave import given, then, when

from features.support.platform_fleet import EventRecorder
from weirscale.gateway.requests.connection_shedding import ConnectionShedder
from weirscale.ports import limited_connections  # noqa: F401 - so that no import delays the loop
from weirscale.ports.http_server import serve_on_listeners
from weirscale.ports.listeners import open_listener, port_of

LOOPBACK = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
BODY = b"whole"
FINISH_S = 3.0
CALLER_TIMEOUT_S = 8.0
SETTLE_S = 0.3


class WorkingApp:
    """Answers each request after work that blocks the event loop."""

    def __init__(self, work_s=0.0):
        self.work_s = work_s
        self.num_begun = 0

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        self.num_begun += 1
        time.sleep(self.work_s)  # noqa: ASYNC251 - stands for the processor time of a request
        headers = [(b"content-length", str(len(BODY)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": BODY, "more_body": False})


@given("a listener whose queue is watched")
def step_listener(context):
    context.log = EventRecorder()
    context.shed = []
    context.listener = open_listener(LOOPBACK, 0)
    context.shedder = ConnectionShedder(
        context.listener, context.log, lambda: context.shed.append(1), lambda: 7
    )


@when('its queue is "{queue}" at successive ticks')
def step_queue(context, queue):
    for state in queue.split():
        context.shedder.observe(state == "+")


@then("new connections are closed: {closed}")
def step_closed(context, closed):
    assert context.shedder.is_shedding == (closed == "yes")


@when("{num:d} callers connect and send a request, and nobody accepts them for {seconds:g} seconds")
def step_waiting(context, num, seconds):
    port = port_of(context.listener)
    callers = [socket.create_connection((LOOPBACK, port)) for _ in range(num)]
    for caller in callers:
        caller.sendall(REQUEST)

    async def main():
        with anyio.move_on_after(seconds):
            await context.shedder.run(anyio.Event())

    anyio.run(main)
    context.results = [receive_all(caller) for caller in callers]


def receive_all(caller):
    """Return what a connection received until its end, or "reset"."""
    caller.settimeout(CALLER_TIMEOUT_S)
    received = b""
    try:
        while data := caller.recv(4096):
            received += data
    except ConnectionResetError:
        return "reset"
    finally:
        caller.close()
    return received


@then("each connection is reset")
def step_reset(context):
    # The kernel resets a connection that is closed while bytes in it are unread.
    assert set(context.results) == {"reset"}, context.results


@then('"{name}" is logged, and {num:d} connections are counted')
def step_logged(context, name, num):
    (line,) = context.log.named(name)
    assert line["running"] == 7
    assert len(context.shed) == num


@dataclass
class Call:
    """One call of a caller: when it began, how long it took, and what came of it."""

    began_s: float
    took_s: float
    result: object


@given("a server that works for {work_ms:d} milliseconds on each request, one at a time")
def step_working(context, work_ms):
    context.app = WorkingApp(work_ms / 1000.0)
    context.log = EventRecorder()
    context.calls = []


@when(
    "{few:d} new connections a second arrive for {few_s:g} seconds, then {many:d} a second for "
    "{many_s:g} seconds"
)
def step_load(context, few, few_s, many, many_s):
    context.grew_s = few_s
    sent_s = [number / few for number in range(int(few * few_s))]
    sent_s += [few_s + number / many for number in range(int(many * many_s))]

    async def main():
        listener = open_listener(LOOPBACK, 0)
        port = port_of(listener)
        shedder = ConnectionShedder(listener, context.log, lambda: None, lambda: 0)
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(shedder.run, stop)
            tasks.start_soon(serve_on_listeners, context.app, [listener], stop, FINISH_S)
            await asyncio.to_thread(call_at, context.calls, port, sent_s)
            stop.set()
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})


def call_at(calls, port, times_s):
    """Make a call at each time, and wait for their ends."""
    began_s = time.monotonic()
    threads = []
    for at_s in times_s:
        time.sleep(max(0.0, began_s + at_s - time.monotonic()))
        threads.append(threading.Thread(target=call_once, args=(calls, port, at_s)))
        threads[-1].start()
    for thread in threads:
        thread.join()


def call_once(calls, port, at_s):
    """Make one call, and record it."""
    began_s = time.monotonic()
    try:
        caller = socket.create_connection((LOOPBACK, port), CALLER_TIMEOUT_S)
        caller.sendall(REQUEST)
        result = receive_all(caller)
    except ConnectionError:
        result = "reset"
    except TimeoutError:
        result = "timeout"
    calls.append(Call(at_s, time.monotonic() - began_s, result))


def read_calls(context):
    return [call for call in context.calls if call.result not in ("reset", b"")]


@then("each request that was read is answered")
def step_all_answered(context):
    others = [call for call in read_calls(context) if not call.result.endswith(BODY)]
    assert not others, others[:3]
    assert context.app.num_begun == len(read_calls(context))


@then("at least three quarters of those read are answered within {seconds:g} seconds, as before")
def step_in_time(context, seconds):
    during = [call for call in read_calls(context) if call.began_s >= context.grew_s + SETTLE_S]
    in_time = [call for call in during if call.took_s <= seconds]
    assert len(during) >= 100, len(during)
    assert len(in_time) >= 0.75 * len(during), (len(in_time), len(during))


@then("at least {per_s:d} a second are read, as before")
def step_read_rate(context, per_s):
    until_s = max(call.began_s for call in context.calls)
    during = [call for call in read_calls(context) if call.began_s >= context.grew_s]
    assert len(during) >= per_s * (until_s - context.grew_s), len(during)


@then("some connections were closed unread, none before the load grew")
def step_some_closed(context):
    closed = [call for call in context.calls if call.result in ("reset", b"")]
    assert closed
    assert all(call.began_s >= context.grew_s for call in closed)
