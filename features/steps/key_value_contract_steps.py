"""Steps of `key_value_contract.feature`."""

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
    """The store's clock, which tests advance."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class StoreUnderTest:
    """A store with its clock, its faults and a port to it."""

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

    async def write_leased(self):
        lease = (await self.port.grant_lease(10)).unwrap()
        (await self.write(0, b"one", lease=lease)).unwrap()
        return lease

    async def presence(self):
        return "present" if (await self.port.read("a")).unwrap().values else "absent"


def describe(result):
    """Describe a failure or the outcome of a swap."""
    if isinstance(result, Err):
        failure = result.err_value
        wait = f" after {failure.retry_after_s:.1f} s" if failure.retry_after_s else ""
        return failure.kind.value + wait
    swap = result.ok_value
    if not swap.succeeded:
        current = swap.current
        return f"refused, {current.key}={current.value.decode()} at {current.mod_revision}"
    return f"{'written' if swap.current else 'deleted'} at revision {swap.revision}"


def stored_value(store):
    """Describe the value of key a inside the store."""
    values = store.model.range(b"a", b"", store.clock())
    return f"a={values[0].value.decode()}" if values else "a absent"


async def watch_events(store, start_revision, num_events, after_first=None):
    """Describe the events of a watch until `num_events` arrived or it failed.

    `after_first` is called after the first event.
    """
    descriptions = []
    with anyio.fail_after(5):
        async with store.port.watch("a", start_revision) as events:
            async for event in events:
                if isinstance(event, Err):
                    descriptions.append(event.err_value.kind.value)
                    break
                value = event.ok_value.value
                text = value.value.decode() if value else "none"
                descriptions.append(f"{event.ok_value.key}={text}@{event.ok_value.revision}")
                if after_first:
                    after_first()
                    after_first = None
                if len(descriptions) == num_events:
                    break
    return " ".join(descriptions)


STEPS = {}


def contract_step(name):
    """Register a step of the contract under the name that the table gives it."""
    return lambda function: STEPS.setdefault(name, function)


def define_writes(name, *swaps):
    """Register a step that swaps key a, from a revision to a value, for each of `swaps`."""

    @contract_step(name)
    async def write_in_turn(store):
        for revision, value in swaps:
            answer = await store.write(revision, value)
        return describe(answer)


define_writes("creation", (0, b"one"))
define_writes("creation twice", (0, b"one"), (0, b"two"))
define_writes("swap from the right revision", (0, b"one"), (2, b"two"))
define_writes("swap from an old revision", (0, b"one"), (2, b"two"), (2, b"three"))
define_writes("deletion", (0, b"one"), (2, None))


@contract_step("read of an empty store")
async def read_empty(store):
    answer = (await store.port.read("a")).unwrap()
    return f"{len(answer.values) or 'no'} keys at revision {answer.revision}"


@contract_step("read by prefix")
async def read_by_prefix(store):
    for key, value in (("a/2", b"y"), ("b", b"z"), ("a/1", b"x")):
        await store.write(0, value, key)
    answer = (await store.port.read("a/")).unwrap()
    pairs = [f"{value.key}={value.value.decode()}" for value in answer.values]
    return f"{' '.join(pairs)} at revision {answer.revision}"


@contract_step("bytes of any value")
async def write_all_bytes(store):
    value = bytes(range(256))
    await store.write(0, value)
    read = (await store.port.read("a")).unwrap().values[0].value
    return f"{len(read)} bytes kept" if read == value else "other bytes"


@contract_step("lease kept alive")
async def lease_kept_alive(store):
    lease = await store.write_leased()
    store.advance(7)
    time_to_live_s = (await store.port.keep_lease_alive(lease)).unwrap()
    store.advance(8)
    return f"{time_to_live_s:.0f} s, key {await store.presence()} after 15 s"


@contract_step("lease expired")
async def lease_expired(store):
    lease = await store.write_leased()
    store.advance(10)
    renewal = await store.port.keep_lease_alive(lease)
    return f"{describe(renewal)}, key {await store.presence()}"


@contract_step("lease revoked")
async def lease_revoked(store):
    lease = await store.write_leased()
    (await store.port.revoke_lease(lease)).unwrap()
    renewal = await store.port.keep_lease_alive(lease)
    return f"{describe(renewal)}, key {await store.presence()}"


@contract_step("write under a lost lease")
async def write_under_lost_lease(store):
    lease = await store.write_leased()
    store.advance(10)
    outcome = describe(await store.write(0, b"two", lease=lease))
    return f"{outcome}, key {'absent' if stored_value(store) == 'a absent' else 'present'}"


@contract_step("watch from a past revision")
async def watch_from_past(store):
    await STEPS["swap from the right revision"](store)
    await store.write(0, b"other", "b")
    await store.write(3, None)
    events = await watch_events(store, 2, 3)
    return events.replace("@5", "@4")


@contract_step("watch of an expiring lease")
async def watch_expiring_lease(store):
    await store.write_leased()
    return await watch_events(store, 2, 2, lambda: store.advance(10))


@contract_step("watch cut")
async def watch_cut(store):
    await store.write(0, b"one")
    return await watch_events(store, 2, 9, store.server.cut_watches)


@contract_step("watch from a compacted revision")
async def watch_compacted(store):
    await STEPS["swap from the right revision"](store)
    store.model.compact(2)
    return await watch_events(store, 2, 9)


@contract_step("repeated swap after a lost answer")
async def repeat_after_lost_answer(store):
    store.faults.num_answers_to_lose = 1
    outcome = await store.write(0, b"one")
    assert isinstance(outcome, Err), outcome
    return describe(await store.write(0, b"one"))


async def take_down(store):
    store.faults.is_down = True


async def lose_answer(store):
    store.faults.num_answers_to_lose = 1


async def use_up_rate_limit(store):
    store.faults.requests_per_s, store.faults.burst_requests = 2.0, 1
    (await store.port.read("a")).unwrap()


def define_calls_under(suffix, inject_fault, calls):
    """Register a step for each call that injects a fault and then makes the call."""

    def define(call):
        @contract_step(f"{call} {suffix}")
        async def call_under_fault(store):
            await inject_fault(store)
            if call == "watch":
                return await watch_events(store, 2, 9)
            result = store.write(0, b"one") if call == "write" else store.port.read("a")
            return f"{describe(await result)}, {stored_value(store)}"

    for call in calls:
        define(call)


define_calls_under("while down", take_down, ("write", "read", "watch"))
define_calls_under("with a lost answer", lose_answer, ("write", "read"))
define_calls_under("over the rate limit", use_up_rate_limit, ("write", "watch"))


def run_contract_step(step, adapter):
    async def in_process():
        server = KeyValueServer(random.Random(1), Clock())
        return await step(StoreUnderTest(InProcessKeyValue(server), server))

    async def over_http():
        server = KeyValueServer(random.Random(1), Clock())
        async with served(KeyValueApp(server)) as address:
            port = EtcdKeyValue([address])
            try:
                return await step(StoreUnderTest(port, server))
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
    "a JSON body of another form": (
        200,
        b'{"kvs": 7, "responses": [], "result": {"events": [{}]}}',
    ),
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
    """Write with two addresses, of which the first raises `error`.

    Return the number of requests that the second one gets.
    """
    requests = []

    def handle(request):
        if request.url.port == 1:
            raise error("broken", request=request)
        requests.append(request)
        return httpx.Response(500)

    async def main():
        transport = httpx.MockTransport(handle)
        port = EtcdKeyValue(["127.0.0.1:1", "127.0.0.1:2"], transport=transport)
        await port.compare_and_swap("a", 0, b"x")

    anyio.run(main)
    return len(requests)


@when("the first of two etcd addresses refuses connections")
def step_two_addresses(context):
    context.num_reached = write_to_two_addresses(httpx.ConnectError)


@then("a write reaches the second address once")
def step_second_reached(context):
    assert context.num_reached == 1


@then("when the first address resets the connection while reading, the second gets no request")
def step_second_not_reached(context):
    assert write_to_two_addresses(httpx.ReadError) == 0


@when("a write with a timeout of {timeout:g} s waits for a store that takes {delay:g} s")
def step_slow_write(context, delay, timeout):
    async def main():
        server = KeyValueServer(random.Random(1))
        server.faults.delay_s = delay
        start_s = anyio.current_time()
        result = await InProcessKeyValue(server, timeout).compare_and_swap("a", 0, b"x")
        context.waited_s = anyio.current_time() - start_s
        is_written = bool(server.model.range(b"a", b"", start_s))
        if isinstance(result, Ok):
            return "written"
        return f"{result.err_value.kind.value} and {'written' if is_written else 'absent'}"

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
            valid = await client.post(f"http://{address}/v3/kv/range", json={"key": key})
            malformed = await client.post(f"http://{address}/v3/kv/range", content=b"[")
            unknown = await client.post(f"http://{address}/v3/kv/fold", json={})
        return valid.json(), malformed, unknown

    context.raw = anyio.run(main)


@then("the reply has base64 keys and 64-bit numbers as strings")
def step_raw_reply(context):
    stored = {"key": "YQ==", "value": "b25l", "version": "1"}
    stored |= {"create_revision": "2", "mod_revision": "2"}
    assert context.raw[0] == {"header": {"revision": "2"}, "kvs": [stored], "count": "1"}


@then("a request that is not JSON, or to an unknown path, gets an error with a gRPC code")
def step_raw_errors(context):
    _, malformed, unknown = context.raw
    assert (malformed.status_code, malformed.json()["code"]) == (400, 3)
    assert (unknown.status_code, unknown.json()["code"]) == (404, 12)
