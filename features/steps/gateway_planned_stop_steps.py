"""Steps of `gateway_planned_stop.feature`."""

from random import Random
from types import SimpleNamespace

import anyio
import httpx
import msgspec
from behave import given, then, when

from features.steps.gateway_connection_limits_steps import LOOPBACK, START_S, free_port
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
from features.support.slow_back_end import BODY, SlowBackEnd
from weirscale.gateway.program import GatewayProgram
from weirscale.gateway.requests.planned_stop import PlannedStop
from weirscale.gateway.settings import GatewaySettings, Guarantees, ListenAddress

EARLY_S = 0.2
"""Seconds before the stop at which the first request is sent."""


def make_program(back_ends, stop_s, written=None):
    """Return the program of a node on loopback before back ends on real sockets."""
    fleet = Fleet()
    fleet.store.put("op/config", written or configuration())
    for back_end in back_ends:
        fleet.store.put(f"servers/{back_end.instance}", back_end.entry())

    def transport(_connections, _keepalive_s, source=None):
        return Transport(fleet, "node-1", source)

    store = StoreClient(STORE_ADDRESS, transport)
    callers, readiness, peers = (ListenAddress(LOOPBACK, free_port()) for _ in range(3))
    settings = GatewaySettings(
        "node-1", "hall-a", callers, readiness, peers=peers, bounds=Guarantees(stop_s=stop_s),
        is_first_start=True,
    )  # fmt: skip
    adapter = SimpleNamespace(
        settings=lambda: adapter.current, current=settings, feed=lambda: StateFeedAdapter(store),
        store=lambda: KeyValueAdapter(store), connector=BackEndClientConnector, codec=HeaderCodec,
    )  # fmt: skip
    program = GatewayProgram(adapter, settings, EventRecorder(), Random(1))
    program.adapter = adapter
    return program


@given(
    "a node on real sockets with {stop_s:g} s for its stop, before a back end that needs {work_s:g} s"
)
def step_node(context, stop_s, work_s):
    context.stop_s = stop_s
    context.back_end = SlowBackEnd("o-1", "orders", work_s)


def head_of(request_id, deadline_s, length):
    return (
        f"POST /o/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {int(1000 * deadline_s)}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


async def receive_answer(stream):
    """Return the status and body of the answer; None for a connection that ends without one."""
    data = b""
    try:
        while True:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    if not data:
        return None
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), body


async def send_in_two_parts(address, begin, rest, late):
    """Send the begin of a request now and its rest once it is late; return its answer."""
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        await stream.send(begin)
        await late.wait()
        await stream.send(rest)
        return await receive_answer(stream)


async def send_slow_body(address, deadline_s, late):
    return await send_in_two_parts(address, head_of("late", deadline_s, 2) + b"x", b"y", late)


async def send_slow_head(address, deadline_s, late):
    request = head_of("late", deadline_s, 2) + b"xy"
    return await send_in_two_parts(address, request[:40], request[40:], late)


async def send_over_http2(address, deadline_s, late):
    """Send a request on an HTTP/2 connection on which another one runs since before the stop."""
    headers = {"host": "h.example", "x-deadline-ms": "9000"}
    url = f"http://{address.host}:{address.port}/o/1"
    async with (
        httpx.AsyncClient(http1=False, http2=True, timeout=20.0) as client,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(post_again, client, url, headers, late)
        await late.wait()
        headers = headers | {"x-attempt-id": "late", "x-deadline-ms": f"{1000 * deadline_s:g}"}
        try:
            answer = await client.post(url, headers=headers, content=b"xy")
        except httpx.HTTPError:
            return None
        finally:
            tasks.cancel_scope.cancel()
    return answer.status_code, answer.content


async def post_again(client, url, headers, late):
    """Keep a stream of the connection open until the late request is sent."""

    async def body():
        yield b"x"
        await late.wait()
        await anyio.sleep(1.0)

    with anyio.move_on_after(20.0):
        try:
            await client.post(url, headers=headers | {"x-attempt-id": "open"}, content=body())
        except httpx.HTTPError:
            return


SENDERS = {
    "whose body was slow is complete": send_slow_body,
    "whose head was slow is complete": send_slow_head,
    "follows another one over HTTP/2": send_over_http2,
}


@when(
    "it is stopped, and a request {arrives} {late_s:g} s later with a deadline of {deadline_s:g} s"
)
def step_stop(context, arrives, late_s, deadline_s):
    stop, late = anyio.Event, anyio.Event

    async def main():
        stopping, is_late = stop(), late()
        async with anyio.create_task_group() as tasks:
            await tasks.start(context.back_end.run)
            program = make_program([context.back_end], context.stop_s)
            address = program.node.settings.callers

            async def run_program():
                await program.run(stopping)
                tasks.cancel_scope.cancel()

            async def keep(name, coroutine):
                setattr(context, name, await coroutine)

            tasks.start_soon(run_program)
            with anyio.fail_after(START_S):
                await program.node.cluster.first_read.wait()
            early = send_in_two_parts(address, head_of("early", 9.0, 1), b"x", AlreadySet())
            tasks.start_soon(keep, "early", early)
            tasks.start_soon(keep, "late", SENDERS[arrives](address, deadline_s, is_late))
            await anyio.sleep(EARLY_S)
            stopping.set()
            await anyio.sleep(late_s)
            is_late.set()
            await anyio.sleep_forever()

    context.early = context.late = None
    anyio.run(main, backend_options={"use_uvloop": True})


class AlreadySet:
    """An event that was set before."""

    async def wait(self):
        return


@then("it is refused with 503 as not run, and no back end has received it")
def step_refused(context):
    assert context.late is not None and context.late[0] == 503, context.late
    assert "late" not in context.back_end.received


@then("it gets no answer, and no back end has received it")
def step_unread(context):
    assert context.late is None, context.late
    assert "late" not in context.back_end.received


@then("the request that was sent before the stop is answered whole")
def step_early(context):
    assert context.early == (200, BODY), context.early


@then("it is answered whole")
def step_whole(context):
    assert context.late == (200, BODY), context.late


@given("a stop that begins at 100 s, late from {late_s:g} s and ends at {end_s:g} s")
def step_rules(context, late_s, end_s):
    context.clock = SimpleNamespace(now_s=100.0)
    context.stop = PlannedStop(lambda: context.clock.now_s)
    context.stop.begin(late_s, end_s)


@given("no stop")
def step_no_stop(context):
    context.clock = SimpleNamespace(now_s=100.0)
    context.stop = PlannedStop(lambda: context.clock.now_s)


@then(
    "a request that arrives at {now_s:g} s with a deadline of {deadline_s:g} s may begin: {answer}"
)
def step_may_begin(context, now_s, deadline_s, answer):
    context.clock.now_s = now_s
    assert context.stop.may_begin(deadline_s) == (answer == "yes")


@when("its settings name {named_s:g} s, and it is stopped")
def step_named(context, named_s):
    async def main():
        stopping = anyio.Event()
        async with anyio.create_task_group() as tasks:
            await tasks.start(context.back_end.run)
            program = make_program([context.back_end], context.stop_s)
            address = program.node.settings.callers

            async def ask_early():
                request = head_of("early", 9.0, 1)
                context.early = await send_in_two_parts(address, request, b"x", AlreadySet())

            async def run_program():
                await program.run(stopping)
                context.ended_after_s = anyio.current_time() - began_s

            tasks.start_soon(run_program)
            with anyio.fail_after(START_S):
                await program.node.cluster.first_read.wait()
            tasks.start_soon(ask_early)
            await anyio.sleep(EARLY_S)
            began_s = anyio.current_time()
            settings = program.adapter.current
            bounds = msgspec.structs.replace(settings.bounds, stop_s=named_s)
            program.adapter.current = msgspec.structs.replace(settings, bounds=bounds)
            stopping.set()
            await anyio.sleep(max(named_s, context.stop_s))
            tasks.cancel_scope.cancel()

    context.early = None
    anyio.run(main, backend_options={"use_uvloop": True})


@then("the request that was sent before the stop is answered whole: {whole}")
def step_early_whole(context, whole):
    assert (context.early == (200, BODY)) == (whole == "yes"), context.early


@then("the process has ended within {most_s:g} s")
def step_ended_within(context, most_s):
    assert context.ended_after_s <= most_s, context.ended_after_s
