"""Steps of `server_stop.feature`."""

import asyncio
import contextlib

import anyio
import anyio.lowlevel
import httpx
from behave import given, then, when

from weirscale.ports.http_server import serve_on_listeners
from weirscale.ports.listeners import open_listener, port_of

LOOPBACK = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BODY = b"whole"
RUN_TIME_S = 0.05
FINISH_S = 3.0
SHORT_FINISH_S = 0.2


class SlowApp:
    """Answers after `RUN_TIME_S`, unless the caller disconnects before."""

    def __init__(self):
        self.num_begun = 0

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        self.num_begun += 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_disconnect, receive, tasks.cancel_scope)
            await anyio.sleep(RUN_TIME_S)
            headers = [(b"content-length", str(len(BODY)).encode())]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body", "body": BODY, "more_body": False})
            tasks.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, receive, scope):
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()


async def count_answers(connections):
    """Return how many connections receive a complete answer before they end."""
    answered = []

    async def read(connection):
        data = b""
        try:
            while not data.endswith(BODY):
                data += await connection.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        answered.append(connection)

    async with anyio.create_task_group() as tasks:
        for connection in connections:
            tasks.start_soon(read, connection)
    return len(answered)


async def stop_and_send(num_connections, num_turns):
    """Return how many requests were begun, and how many answered, of those sent after the stop."""
    app = SlowApp()
    listener = open_listener(LOOPBACK, 0)
    port = port_of(listener)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_on_listeners, app, [listener], stop, FINISH_S)
        connections = [await anyio.connect_tcp(LOOPBACK, port) for _ in range(num_connections)]
        for connection in connections:
            await connection.send(REQUEST)
        assert await count_answers(connections) == num_connections
        num_before = app.num_begun
        stop.set()
        for _ in range(num_turns):
            await anyio.lowlevel.checkpoint()
        for connection in connections:
            # The stream's own `send` would take one turn per connection.
            connection._transport.write(REQUEST)
        num_answered = await count_answers(connections)
        for connection in connections:
            await connection.aclose()
    return app.num_begun - num_before, num_answered


@given('a server with {num:d} kept-alive connections on the event loop "{loop}"')
def step_server(context, num, loop):
    context.num_connections = num
    context.options = {"use_uvloop": loop == "uvloop"}


@when(
    "it is stopped, and a request arrives on each connection after each number of turns "
    "from {first:d} to {last:d}"
)
def step_stop(context, first, last):
    context.ends = [
        anyio.run(stop_and_send, context.num_connections, turns, backend_options=context.options)
        for turns in range(first, last + 1)
    ]


@then("each request that was begun is answered completely")
def step_answered(context):
    assert all(begun == answered for begun, answered in context.ends), context.ends


@then("some requests were begun, and some were not")
def step_both(context):
    num_begun = [begun for begun, _ in context.ends]
    assert max(num_begun) == context.num_connections, context.ends
    assert min(num_begun) == 0, context.ends


async def endless_app(scope, receive, send):
    """Answer no request, and take no notice of its caller's end."""
    if scope["type"] == "http":
        await anyio.sleep_forever()


async def stop_while_busy(num_connections, reported):
    """Stop a server whose requests do not end, and add what the event loop reports."""
    loop = asyncio.get_running_loop()
    loop.default_exception_handler = reported.append
    listener = open_listener(LOOPBACK, 0)
    port = port_of(listener)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_on_listeners, endless_app, [listener], stop, SHORT_FINISH_S)
        connections = [await anyio.connect_tcp(LOOPBACK, port) for _ in range(num_connections)]
        for connection in connections:
            await connection.send(REQUEST)
        await anyio.sleep(SHORT_FINISH_S)
        stop.set()
    await anyio.sleep(SHORT_FINISH_S)


@when("it is stopped while each connection has a request that does not end")
def step_stop_busy(context):
    context.reported = []
    anyio.run(
        stop_while_busy, context.num_connections, context.reported, backend_options=context.options
    )


@then("the event loop reported no error")
def step_no_report(context):
    assert not context.reported, context.reported


async def stop_with_open_stream():
    """Stop a server while a stream of an HTTP/2 connection is open."""
    listener = open_listener(LOOPBACK, 0)
    port = port_of(listener)
    stop = anyio.Event()

    async def post_without_end(scope):
        with scope, contextlib.suppress(httpx.HTTPError):
            async with httpx.AsyncClient(http1=False, http2=True, timeout=20.0) as client:
                await client.post(f"http://{LOOPBACK}:{port}/", content=endless_body())

    scope = anyio.CancelScope()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(post_without_end, scope)
        tasks.start_soon(set_later, stop)
        await serve_on_listeners(endless_app, [listener], stop, SHORT_FINISH_S)
        scope.cancel()


async def endless_body():
    yield b"x"
    await anyio.sleep_forever()


async def set_later(stop):
    await anyio.sleep(2 * SHORT_FINISH_S)
    stop.set()


@given('a server on the event loop "{loop}" with an open stream of HTTP/2')
def step_open_stream(context, loop):
    context.options = {"use_uvloop": loop == "uvloop"}


@when("it is stopped, and the time for the stop is over")
def step_stop_open_stream(context):
    context.error = None
    try:
        anyio.run(stop_with_open_stream, backend_options=context.options)
    except Exception as error:
        context.error = error


@then("the server has ended without an error")
def step_ended(context):
    assert context.error is None, context.error
