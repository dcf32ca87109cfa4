"""Steps of `stream_origin_rules.feature`."""

from types import SimpleNamespace

import anyio
from behave import given, then, when

from features.support.platform_fleet import EventRecorder
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.configuration import RequestKind
from weirscale.gateway.peers.messages import OriginQuery, OriginReply
from weirscale.gateway.requests.stream_resumption import (
    StreamResumption,
    stream_key,
    takes_up_stream,
)
from weirscale.gateway.streams.keepers import OriginKeepers
from weirscale.gateway.streams.origin_exchange import OriginExchange
from weirscale.gateway.streams.origin_store import OriginStore, StreamOrigin
from weirscale.gateway.telemetry.node_metrics import NullMetrics

ORIGIN = StreamOrigin("lm", "v1")
KEY = 5
NUM_OTHERS = 8


class Network:
    """Delivers the queries of one node to others, which reply; some datagrams are lost."""

    def __init__(self, num_lost=0, replies=True):
        self.num_lost = num_lost
        self.replies = replies
        self.asked_keys = set()
        names = [f"node-{number}" for number in range(NUM_OTHERS + 1)]
        self.exchange = OriginExchange(
            names[0], OriginStore(anyio.current_time), OriginKeepers(names[0], lambda: names),
            lambda: {name: name for name in names}, self.send,
        )  # fmt: skip

    async def send(self, message, addresses):
        assert isinstance(message, OriginQuery)
        for name in addresses:
            self.asked_keys.add(message.key)
            self.num_lost -= 1
            if self.num_lost < 0 and self.replies:
                reply = OriginReply(name, message.key, ORIGIN.service, ORIGIN.version)
                self.exchange.receive(reply)


@given(
    "a node whose first {num:d} datagrams are lost, and {num_others:d} others that know an origin"
)
def step_lossy(context, num, num_others):
    assert num_others == NUM_OTHERS
    context.make_network = lambda: Network(num_lost=num)


@given("a node whose queries get no reply")
def step_silent(context):
    context.make_network = lambda: Network(replies=False)


@when("it looks the origin up")
def step_look_up(context):
    async def main():
        return await context.make_network().exchange.find(KEY)

    context.found = run_in_virtual_time(main)


@then("it is found")
def step_found(context):
    assert context.found == ORIGIN, context.found


@when("{num:d} lookups begin at once")
def step_at_once(context, num):
    async def main():
        network = context.make_network()
        async with anyio.create_task_group() as tasks:
            for key in range(num):
                tasks.start_soon(network.exchange.find, key)
        return network

    context.network, context.num = run_in_virtual_time(main), num


@when("{num:d} lookups follow one another")
def step_in_turn(context, num):
    async def main():
        network = context.make_network()
        for key in range(num):
            await network.exchange.find(key)
        return network

    context.network, context.num = run_in_virtual_time(main), num


@then("{num:d} of them send datagrams, and the others end at once")
def step_num_sent(context, num):
    assert len(context.network.asked_keys) == num, len(context.network.asked_keys)


@given("an origin that a node has stored")
def step_stored(context):
    context.now_s = 0.0
    context.store = OriginStore(lambda: context.now_s)
    context.store.put(KEY, ORIGIN)


@when("{seconds:g} seconds have passed")
def step_passed(context, seconds):
    context.now_s += seconds


@then("the node knows it: {known}")
def step_known(context, known):
    assert (context.store.get(KEY) == ORIGIN) == (known == "yes")


def admitted(tenant=None, num_services=1, resumes=None, after=None):
    route = SimpleNamespace(
        kind=RequestKind.STREAMING, is_resumable=True, parts=("lm", "l2")[:num_services],
        timeout_s=4.0,
    )  # fmt: skip
    request = SimpleNamespace(request_id="try-2", resumes=resumes, resume_after=after)
    owner = SimpleNamespace(name=tenant) if tenant else None
    return SimpleNamespace(request=request, route=route, service="lm", tenant=owner, deadline_s=4.0)


@given('a stream of the tenant "{tenant}" with the id "{request_id}"')
def step_stream(context, tenant, request_id):
    context.request_id = request_id
    context.key = stream_key(admitted(tenant), request_id)


@then('it has another key than the stream of the tenant "{tenant}" with this id')
def step_other_key(context, tenant):
    assert context.key != stream_key(admitted(tenant), context.request_id)


@then('it has the same key as the stream of the tenant "{tenant}" with this id')
def step_same_key(context, tenant):
    assert context.key == stream_key(admitted(tenant), context.request_id)


class SingleVersion:
    """Proves a single version for every service."""

    async def sole_version(self, service, life_s, max_wait_s):
        return "v1"


@given("a take-up on a route to {num:d} services, each of which has had a single version")
def step_take_up(context, num):
    context.admitted = admitted(num_services=num, after="3")


@when("its origin is looked up")
def step_origin(context):
    async def main():
        network = Network(replies=False)
        resumption = StreamResumption(
            OriginStore(anyio.current_time), network.exchange, SingleVersion(), EventRecorder(),
            NullMetrics(), anyio.current_time,
        )  # fmt: skip
        return await resumption.find(context.admitted)

    context.resumption = run_in_virtual_time(main)


@then("the stream may go on: {answer}")
def step_goes_on(context, answer):
    assert (context.resumption.origin is not None) == (answer == "yes"), context.resumption


@given('a try on a resumable route that names "{names}"')
def step_names(context, names):
    resumes = "try-1" if names in ("the first try", "both") else None
    after = "3" if names in ("the last event", "both") else None
    context.admitted = admitted(resumes=resumes, after=after)


@then("it takes a stream up: {answer}")
def step_takes_up(context, answer):
    assert takes_up_stream(context.admitted) == (answer == "yes")
