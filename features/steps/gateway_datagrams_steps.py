"""Steps of `gateway_datagrams.feature`."""

import time

import anyio
from behave import given, then, when

from features.support.loopback import free_address
from weirscale.gateway.peers.datagrams import DatagramSocket
from weirscale.gateway.settings import ListenAddress

FAIL_AFTER_S = 10.0
PAYLOAD = b"heard"
FAILURE_ADDRESSES = {
    "is too large": None,
    "has an invalid address": ListenAddress("no address", 1),
}


def listen_address():
    address = free_address()
    return ListenAddress(address.host, address.port)


def run(main):
    async def bounded():
        with anyio.fail_after(FAIL_AFTER_S):
            await main()

    anyio.run(bounded, backend_options={"use_uvloop": True})


@given("two datagram sockets on loopback")
def step_sockets(context):
    context.addresses = [listen_address(), listen_address()]
    context.first, context.second = (DatagramSocket(address) for address in context.addresses)
    context.add_cleanup(context.first.close)
    context.add_cleanup(context.second.close)


@when("the first sends {count:d} datagrams before the second reads")
def step_send_many(context, count):
    async def main():
        for number in range(count):
            context.first.send(b"%d" % number, context.addresses[1])
        context.turns = []
        while sum(map(len, context.turns)) < count:
            await anyio.sleep(0.01)
            context.turns.append(context.second.receive())

    context.count = count
    run(main)


@then(
    "the second reads them in order within {most:d} turns, each with the first's address as sender"
)
def step_read_many(context, most):
    datagrams = [datagram for turn in context.turns for datagram in turn]
    assert len(context.turns) <= most, len(context.turns)
    assert [int(data) for data, _ in datagrams] == list(range(context.count))
    assert {sender for _, sender in datagrams} == {context.addresses[0]}


@when('the first sends a datagram that "{failure}", and then one to the second')
def step_send_lost(context, failure):
    lost = bytes(70_000) if failure == "is too large" else b"lost"
    address = FAILURE_ADDRESSES.get(failure, listen_address()) or context.addresses[1]

    async def main():
        context.first.send(lost, address)
        context.first.send(PAYLOAD, context.addresses[1])
        await anyio.sleep(0.05)
        context.read = context.second.receive()

    run(main)


@then("the second reads the datagram that was sent to it")
def step_read_one(context):
    assert [data for data, _ in context.read] == [PAYLOAD], context.read


@when("the first sends {count:d} datagrams of {size:d} bytes that are not read")
def step_flood(context, count, size):
    began_s = time.monotonic()
    for _ in range(count):
        context.first.send(bytes(size), context.addresses[1])
    context.took_s = time.monotonic() - began_s


@then("sending took less than {most_s:d} seconds")
def step_took(context, most_s):
    assert context.took_s < most_s, context.took_s


@then("the second reads no datagram when none has arrived")
def step_read_nothing(context):
    assert context.second.receive() == []
