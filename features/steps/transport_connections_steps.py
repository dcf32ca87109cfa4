"""Steps of `transport_connections.feature`."""

from random import Random

import anyio
import anyio.lowlevel
import httpx
from behave import given, then, when

from features.support.loop_watch import LoopWatch
from features.support.loopback import free_address
from features.support.scripted_server import ScriptedServer, in_chunks, with_length
from weirscale.ports.h11_transport import H11Transport
from weirscale.ports.http_client import was_never_sent

TIMEOUTS = {"connect": 0.5, "read": 0.4, "write": 0.4, "pool": 0.2}
SETTLE_S = 0.15
FAIL_AFTER_S = 10.0
KEEP_S = 5.0
HUGE_BYTES = 32 * 1024 * 1024


def run(script, behaviour=None, **options):
    """Run `script(server, transport)` with a scripted server; `options` are the transport's."""
    watch = LoopWatch()

    async def main():
        server = ScriptedServer(behaviour)
        transport = H11Transport(options.get("max_connections", 4), options.get("keep_s", KEEP_S))
        with anyio.fail_after(FAIL_AFTER_S):
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.run)
                tasks.start_soon(watch.run)
                try:
                    return await script(server, transport)
                except httpx.HTTPError as error:
                    error.add_note(str(watch))
                    raise
                finally:
                    await transport.aclose()
                    tasks.cancel_scope.cancel()

    return anyio.run(main, backend_options={"use_uvloop": True})


def request_to(address, body=b"question"):
    url = f"http://{address}/path"
    return httpx.Request("POST", url, content=body, extensions={"timeout": TIMEOUTS})


async def ask(transport, address, body=b"question"):
    """Return the body of the answer, or the name of the error."""
    try:
        response = await transport.handle_async_request(request_to(address, body))
    except httpx.HTTPError as error:
        return type(error).__name__
    try:
        return (await response.aread()).decode()
    except httpx.ReadTimeout:
        return "ReadTimeout"
    except httpx.HTTPError:
        return "broken"
    finally:
        await response.aclose()


@given('a server that "{behaviour}"')
def step_server(context, behaviour):
    context.behaviour = behaviour


@when("two requests are sent to it, one after the other")
def step_two_requests(context):
    async def script(server, transport):
        first = await ask(transport, server.address)
        await anyio.sleep(SETTLE_S)
        context.answers = [first, await ask(transport, server.address)]
        context.server = server

    run(script, context.behaviour)


@then('the answers are "{first}" and "{second}" over {count:d} connections')
def step_answers(context, first, second, count):
    assert context.answers == [first, second], context.answers
    assert context.server.num_connections == count, context.server.num_connections


@when("a request of 32 MB is sent to it")
def step_huge(context):
    async def script(server, transport):
        context.outcome = await ask(transport, server.address, bytes(HUGE_BYTES))
        context.num_used = len(transport._in_use)

    run(script, context.behaviour)


@then('the request ends with "{outcome}" and its connection is closed')
def step_ends_closed(context, outcome):
    assert context.outcome == outcome, context.outcome
    assert context.num_used == 0


@given("an address without a listening socket")
def step_no_listener(context):
    context.address = str(free_address())


@when("a request is sent to it")
def step_send(context):
    async def script(_server, transport):
        try:
            await transport.handle_async_request(request_to(context.address))
        except httpx.HTTPError as error:
            context.error = error

    run(script, "answers with a length")


@then('the request ends with "{name}", which proves that it was never sent')
@then('one request ends with "{name}", which proves that it was never sent')
def step_never_sent(context, name):
    assert type(context.error).__name__ == name, context.error
    assert was_never_sent(context.error)


@when("three requests are sent at once over two connections")
def step_three_at_once(context):
    context.bodies = []

    async def send(transport, address):
        try:
            response = await transport.handle_async_request(request_to(address))
            context.bodies.append((await response.aread()).decode())
        except httpx.PoolTimeout as error:
            context.error = error

    async def script(server, transport):
        context.server = server
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(send, transport, server.address)
            await anyio.sleep(TIMEOUTS["pool"] + 0.1)
            server.may_answer.set()

    run(script, context.behaviour, max_connections=2)


@then("the two others are answered once the server may answer, over 2 connections")
def step_two_answered(context):
    assert sorted(context.bodies) == ["answer 1", "answer 2"], context.bodies
    assert context.server.num_connections == 2


async def abandon(transport, address, how):
    """Send a request and abandon it."""
    if how == "by cancellation":
        response = None
        with anyio.move_on_after(0.02):
            response = await transport.handle_async_request(request_to(address))
            await response.aread()
            raise AssertionError("it was answered")
        # On a busy machine the cancellation may precede the head; then there is no response to close.
        if response is not None:
            await response.aclose()
        return
    response = await transport.handle_async_request(request_to(address))
    if how == "after a part of the body":
        async for _ in response.stream:
            break
    if how == "by closing the transport":
        await transport.aclose()
    await response.aclose()


@when("forty requests over two connections are abandoned, some before and some during their answer")
def step_many_abandoned(context):
    async def script(server, transport):
        for number in range(40):
            times = ("by cancellation", "after the head", "after a part of the body")
            await abandon(transport, server.address, times[number % 3])
        server.may_answer.set()
        context.answers = []
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(collect, transport, server.address)

    async def collect(transport, address):
        context.answers.append(await ask(transport, address))

    run(script, context.behaviour, max_connections=2)


@then("two more requests can be sent at once")
def step_two_more(context):
    assert all(answer.startswith("answer") for answer in context.answers), context.answers


@when('a request is abandoned "{how}"')
def step_abandoned(context, how):
    async def script(server, transport):
        await abandon(transport, server.address, how)
        abandoned_at_s = anyio.current_time()
        await anyio.sleep(0.3)
        context.ended_after_s = [ended_at_s - abandoned_at_s for ended_at_s in server.ended_at_s]

    run(script, context.behaviour)


@then("the server sees the end of its connection within {most_s:f} seconds")
def step_sees_end(context, most_s):
    assert len(context.ended_after_s) == 1, context.ended_after_s
    assert context.ended_after_s[0] <= most_s, context.ended_after_s


@when(
    "two requests are sent to it {apart_s:f} seconds apart by a transport that keeps connections "
    "for {keep_s:f} seconds"
)
def step_apart(context, apart_s, keep_s):
    async def script(server, transport):
        first = await ask(transport, server.address)
        await anyio.sleep(apart_s)
        context.answers = [first, await ask(transport, server.address)]
        await anyio.sleep(SETTLE_S)
        context.server = server

    run(script, context.behaviour, keep_s=keep_s)


@then("the server saw the first connection end before the second request")
def step_first_ended(context):
    server = context.server
    assert server.ended_at_s, "no connection ended"
    assert server.ended_at_s[0] <= server.requested_at_s[1] + SETTLE_S


class ResetStream:
    """A stream whose socket the event loop has dropped, with the error that anyio raises then."""

    def __init__(self, stream):
        self._stream = stream
        self.is_closed = False

    def extra(self, _attribute):
        raise AttributeError("'NoneType' object has no attribute 'getpeername'")

    async def aclose(self):
        self.is_closed = True
        await self._stream.aclose()


@when("a connection to it is reset while it is opened")
def step_reset_while_opened(context):
    connect, opened = anyio.connect_tcp, []

    async def connect_once(*address):
        opened.append(ResetStream(await connect(*address)))
        anyio.connect_tcp = connect
        return opened[0]

    async def script(server, transport):
        anyio.connect_tcp = connect_once
        try:
            await transport.handle_async_request(request_to(server.address))
        except httpx.HTTPError as error:
            context.error = error
        finally:
            anyio.connect_tcp = connect
        context.answers = [await ask(transport, server.address)]

    run(script, context.behaviour)
    context.is_closed = opened[0].is_closed


@then("the request was never sent, the connection is closed, and the next request is answered")
def step_reset_error(context):
    assert was_never_sent(context.error), context.error
    assert context.is_closed
    assert context.answers[0].startswith("answer"), context.answers


@given("200 random answers, each split into random pieces")
def step_random_answers(context):
    random = Random(7)
    context.bodies = []
    context.pieces = []
    for _ in range(200):
        body = random.randbytes(random.choice((0, 1, 60, 5_000, 70_000)))
        cuts = sorted(random.randrange(len(body) + 1) for _ in range(random.randrange(4)))
        parts = [body[a:b] for a, b in zip([0, *cuts], [*cuts, len(body)], strict=True) if a < b]
        wire = in_chunks(parts) if random.random() < 0.6 else with_length(body)
        cuts = sorted(random.randrange(1, len(wire)) for _ in range(random.randrange(6)))
        context.bodies.append(body)
        context.pieces.append(
            [wire[a:b] for a, b in zip([0, *cuts], [*cuts, len(wire)], strict=True)]
        )


@when("these answers are read over one connection")
def step_read_all(context):
    class PieceServer(ScriptedServer):
        async def _serve_one(self, stream):
            await self._read_request(stream)
            for piece in context.pieces[self.num_requests]:
                await stream.send(piece)
                await anyio.lowlevel.checkpoint()
            self.num_requests += 1
            return True

    async def main():
        server, transport = PieceServer("drawn"), H11Transport(1, KEEP_S)
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            context.read = []
            for _ in context.pieces:
                response = await transport.handle_async_request(request_to(server.address))
                context.read.append(await response.aread())
            await transport.aclose()
            tasks.cancel_scope.cancel()
        context.num_connections = server.num_connections

    anyio.run(main, backend_options={"use_uvloop": True})


@then("each body equals the one that was sent")
def step_bodies_equal(context):
    assert context.read == context.bodies
    assert context.num_connections == 1


async def read_rest(response):
    return b"".join([part async for part in response.stream])


@when("an answer is read to its end and closed only while the next one is {state}")
def step_closed_late(context, state):
    async def script(server, transport):
        first = await transport.handle_async_request(request_to(server.address))
        await read_rest(first)
        second = await transport.handle_async_request(request_to(server.address))
        body = await read_rest(second) if state == "at its end but not closed" else b""
        context.surplus = await read_rest(first)
        await first.stream.aclose()
        body += await read_rest(second)
        await second.stream.aclose()
        context.body = body.decode()
        context.third = await ask(transport, server.address)
        context.num_connections = server.num_connections

    run(script, context.behaviour)


@then("the next answer is whole, over the same connection, and the first one has no more bytes")
def step_next_whole(context):
    assert context.body == "answer 2", context.body
    assert context.surplus == b"", context.surplus


@then("the connection is used once more")
def step_used_again(context):
    assert context.third == "answer 3", context.third
    assert context.num_connections == 1, context.num_connections
