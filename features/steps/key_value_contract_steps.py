import base64
import random

import anyio
import httpx
from behave import then, when
from result import Err, Ok

from features.support.http_exchange import broken_exchange
from features.support.loopback import served
from features.support.virtual_time import run_in_virtual_time
from weirscale.ports.key_value_etcd import EtcdKeyValue
from weirscale.standins.key_value.app import KeyValueApp
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer


class Clock:
    """The store's clock, moved by hand."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class Bench:
    """A store with its clock, and a port to it."""

    def __init__(self, port, server):
        self.port = port
        self.server = server
        self.model = server.model
        self.faults = server.faults
        self.clock = server.now

    def advance(self, duration_s):
        self.clock.now_s += duration_s
        self.server.notify()

    async def write(self, revision, value, key="a", lease=0):
        return await self.port.compare_and_swap(key, revision, value, lease)

    async def leased(self):
        lease = (await self.port.grant_lease(10)).unwrap()
        (await self.write(0, b"one", lease=lease)).unwrap()
        return lease

    async def presence(self):
        return "there" if (await self.port.read("a")).unwrap().values else "gone"


def shown(result):
    """Render a failure or an outcome of a swap."""
    if isinstance(result, Err):
        failure = result.err_value
        wait = f" after {failure.retry_after_s:.1f} s" if failure.retry_after_s else ""
        return failure.kind.value + wait
    swap = result.ok_value
    if not swap.succeeded:
        current = swap.current
        return f"refused, {current.key}={current.value.decode()} at {current.mod_revision}"
    return f"{'written' if swap.current else 'deleted'} at revision {swap.revision}"


def held(bench):
    """Render what the store really holds of key a."""
    found = bench.model.range(b"a", b"", bench.clock())
    return f"a={found[0].value.decode()}" if found else "a absent"


async def watched(bench, start_revision, num_events, meanwhile=None):
    """Collect events of a watch until enough came or it ended."""
    seen = []
    with anyio.fail_after(5):
        async with bench.port.watch("a", start_revision) as events:
            async for event in events:
                if isinstance(event, Err):
                    seen.append(event.err_value.kind.value)
                    break
                value = event.ok_value.value
                text = value.value.decode() if value else "none"
                seen.append(f"{event.ok_value.key}={text}@{event.ok_value.revision}")
                if meanwhile:
                    meanwhile()
                    meanwhile = None
                if len(seen) == num_events:
                    break
    return " ".join(seen)


STEPS = {}


def contract_step(name):
    """Register a step of the contract under the name that the table gives it."""
    return lambda function: STEPS.setdefault(name, function)


def define_writes(name, *swaps):
    """Register a step that swaps key a, each time from a revision to a value."""

    @contract_step(name)
    async def write_in_turn(bench):
        for revision, value in swaps:
            answer = await bench.write(revision, value)
        return shown(answer)


define_writes("creation", (0, b"one"))
define_writes("creation twice", (0, b"one"), (0, b"two"))
define_writes("swap from the right revision", (0, b"one"), (2, b"two"))
define_writes("swap from an old revision", (0, b"one"), (2, b"two"), (2, b"three"))
define_writes("deletion", (0, b"one"), (2, None))


@contract_step("read of nothing")
async def read_nothing(bench):
    answer = (await bench.port.read("a")).unwrap()
    return f"{len(answer.values) or 'no'} keys at revision {answer.revision}"


@contract_step("read by prefix")
async def read_by_prefix(bench):
    for key, value in (("a/2", b"y"), ("b", b"z"), ("a/1", b"x")):
        await bench.write(0, value, key)
    answer = (await bench.port.read("a/")).unwrap()
    pairs = [f"{value.key}={value.value.decode()}" for value in answer.values]
    return f"{' '.join(pairs)} at revision {answer.revision}"


@contract_step("bytes of any value")
async def any_bytes(bench):
    value = bytes(range(256))
    await bench.write(0, value)
    kept = (await bench.port.read("a")).unwrap().values[0].value
    return f"{len(kept)} bytes kept" if kept == value else "other bytes"


@contract_step("lease kept alive")
async def lease_alive(bench):
    lease = await bench.leased()
    bench.advance(7)
    lives_s = (await bench.port.keep_lease_alive(lease)).unwrap()
    bench.advance(8)
    return f"{lives_s:.0f} s, key {await bench.presence()} after 15 s"


@contract_step("lease run out")
async def lease_run_out(bench):
    lease = await bench.leased()
    bench.advance(10)
    kept = await bench.port.keep_lease_alive(lease)
    return f"{shown(kept)}, key {await bench.presence()}"


@contract_step("lease revoked")
async def lease_revoked(bench):
    lease = await bench.leased()
    (await bench.port.revoke_lease(lease)).unwrap()
    kept = await bench.port.keep_lease_alive(lease)
    return f"{shown(kept)}, key {await bench.presence()}"


@contract_step("write under a lost lease")
async def write_lost_lease(bench):
    lease = await bench.leased()
    bench.advance(10)
    written = shown(await bench.write(0, b"two", lease=lease))
    return f"{written}, key {'gone' if held(bench) == 'a absent' else 'there'}"


@contract_step("watch from a past revision")
async def watch_past(bench):
    await STEPS["swap from the right revision"](bench)
    await bench.write(0, b"other", "b")
    await bench.write(3, None)
    seen = await watched(bench, 2, 3)
    return seen.replace("@5", "@4")


@contract_step("watch sees a lease run out")
async def watch_lease(bench):
    await bench.leased()
    return await watched(bench, 2, 2, lambda: bench.advance(10))


@contract_step("watch cut")
async def watch_cut(bench):
    await bench.write(0, b"one")
    return await watched(bench, 2, 9, bench.server.cut_watches)


@contract_step("watch from a compacted revision")
async def watch_compacted(bench):
    await STEPS["swap from the right revision"](bench)
    bench.model.compact(2)
    return await watched(bench, 2, 9)


@contract_step("lost answer settled by the same swap")
async def lost_settled(bench):
    bench.faults.num_answers_to_lose = 1
    lost = await bench.write(0, b"one")
    assert isinstance(lost, Err), lost
    return shown(await bench.write(0, b"one"))


async def fall(bench):
    bench.faults.is_down = True


async def lose_answer(bench):
    bench.faults.num_answers_to_lose = 1


async def use_up_rate(bench):
    bench.faults.requests_per_s, bench.faults.burst_requests = 2.0, 1
    (await bench.port.read("a")).unwrap()


def define_calls_under(suffix, bring_about, calls):
    """Register a step for each call, made once a fault is in force."""

    def define(call):
        @contract_step(f"{call} {suffix}")
        async def call_under_fault(bench):
            await bring_about(bench)
            if call == "watch":
                return await watched(bench, 2, 9)
            result = bench.write(0, b"one") if call == "write" else bench.port.read("a")
            return f"{shown(await result)}, {held(bench)}"

    for call in calls:
        define(call)


define_calls_under("while down", fall, ("write", "read", "watch"))
define_calls_under("with a lost answer", lose_answer, ("write", "read"))
define_calls_under("over the rate limit", use_up_rate, ("write", "watch"))


def run_contract_step(step, adapter):
    async def in_process():
        server = KeyValueServer(random.Random(1), Clock())
        return await step(Bench(InProcessKeyValue(server), server))

    async def over_http():
        server = KeyValueServer(random.Random(1), Clock())
        async with served(KeyValueApp(server)) as address:
            port = EtcdKeyValue([address])
            try:
                return await step(Bench(port, server))
            finally:
                await port.aclose()

    return anyio.run(over_http) if adapter == "HTTP" else run_in_virtual_time(in_process)


@when('the key-value contract\'s "{step}" runs over the {adapter} adapter')
def step_contract(context, step, adapter):
    context.outcome = run_contract_step(STEPS[step], adapter)


@then('the key-value step ends with "{outcome}"')
def step_contract_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


RAISED = {
    "a refused connection": httpx.ConnectError,
    "a connection timeout": httpx.ConnectTimeout,
    "a reset while reading": httpx.ReadError,
    "a reset while writing": httpx.WriteError,
    "an answer timeout": httpx.ReadTimeout,
}
ANSWERS = {
    "status 500": (500, b"oops"),
    "status 503, timed out": (503, b'{"message": "etcdserver: request timed out"}'),
    "status 503, no leader": (503, b'{"message": "etcdserver: no leader"}'),
    "status 429": (429, b"{}"),
    "a body that is not JSON": (200, b"<html>"),
    "a JSON body of a stranger": (200, b'{"kvs": 7, "responses": [], "result": {"events": [{}]}}'),
}


@when('the etcd adapter\'s exchange ends in "{event}"')
def step_broken_exchange(context, event):
    async def main():
        transport = broken_exchange(RAISED.get(event), ANSWERS.get(event))
        port = EtcdKeyValue(["127.0.0.1:1"], transport=transport)
        write = await port.compare_and_swap("a", 0, b"x")
        read = await port.read("a")
        async with port.watch("a", 1) as events:
            watch = [event async for event in events]
        return [result.unwrap_err().kind.value for result in (write, read, watch[-1])]

    context.outcome = anyio.run(main)


@then("a write is {write}, a read is {read} and a watch ends {watch}")
def step_broken_outcome(context, write, read, watch):
    assert context.outcome == [write, read, watch], context.outcome


def write_to_two_addresses(error):
    """Write with two addresses, the first failing; return the second's number of requests."""
    reached = []

    def handle(request):
        if request.url.port == 1:
            raise error("broken", request=request)
        reached.append(request)
        return httpx.Response(500)

    async def main():
        transport = httpx.MockTransport(handle)
        port = EtcdKeyValue(["127.0.0.1:1", "127.0.0.1:2"], transport=transport)
        await port.compare_and_swap("a", 0, b"x")

    anyio.run(main)
    return len(reached)


@when("the first of two etcd addresses refuses connections")
def step_two_addresses(context):
    context.num_reached = write_to_two_addresses(httpx.ConnectError)


@then("a write reaches the second address once")
def step_second_reached(context):
    assert context.num_reached == 1


@then("when the first one resets the connection while reading, the second gets nothing")
def step_second_not_reached(context):
    assert write_to_two_addresses(httpx.ReadError) == 0


@when("a write waits on a store that takes {delay:g} s with a timeout of {timeout:g} s")
def step_slow_write(context, delay, timeout):
    async def main():
        server = KeyValueServer(random.Random(1))
        server.faults.delay_s = delay
        start_s = anyio.current_time()
        result = await InProcessKeyValue(server, timeout).compare_and_swap("a", 0, b"x")
        context.waited_s = anyio.current_time() - start_s
        is_there = bool(server.model.range(b"a", b"", start_s))
        if isinstance(result, Ok):
            return "written"
        return f"{result.err_value.kind.value} and {'written' if is_there else 'absent'}"

    context.outcome = run_in_virtual_time(main)


@then("the slow write is {outcome} after {waited:g} s")
def step_slow_outcome(context, outcome, waited):
    assert (context.outcome, context.waited_s) == (outcome, waited), context.outcome


@when("a raw etcd range request for a written key is posted")
def step_raw_range(context):
    async def main():
        server = KeyValueServer(random.Random(1), Clock())
        await InProcessKeyValue(server).compare_and_swap("a", 0, b"one")
        async with served(KeyValueApp(server)) as address, httpx.AsyncClient() as client:
            key = base64.b64encode(b"a").decode()
            found = await client.post(f"http://{address}/v3/kv/range", json={"key": key})
            broken = await client.post(f"http://{address}/v3/kv/range", content=b"[")
            unknown = await client.post(f"http://{address}/v3/kv/fold", json={})
        return found.json(), broken, unknown

    context.raw = anyio.run(main)


@then("the reply has base64 keys and 64-bit numbers as strings")
def step_raw_shape(context):
    stored = {"key": "YQ==", "value": "b25l", "version": "1"}
    stored |= {"create_revision": "2", "mod_revision": "2"}
    assert context.raw[0] == {"header": {"revision": "2"}, "kvs": [stored], "count": "1"}


@then("a request that is no JSON, or of an unknown path, is an error with a gRPC code")
def step_raw_errors(context):
    _, broken, unknown = context.raw
    assert (broken.status_code, broken.json()["code"]) == (400, 3)
    assert (unknown.status_code, unknown.json()["code"]) == (404, 12)
