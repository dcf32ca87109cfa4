import time

import anyio
from behave import given, then, when

from features.support.loopback import free_address
from weirscale.gateway.peers.datagrams import DatagramSocket
from weirscale.gateway.settings import ListenAddress

FAIL_AFTER_S = 10.0
WORD = b"heard"
BAD_ADDRESS = {
    "is too large": None,
    "has an address that is none": ListenAddress("no address", 1),
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
    context.first, context.second = (DatagramSocket(one) for one in context.addresses)
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


@then("the second reads them in order within {most:d} turns, each from the first's address")
def step_read_many(context, most):
    read = [one for turn in context.turns for one in turn]
    assert len(context.turns) <= most, len(context.turns)
    assert [int(data) for data, _ in read] == list(range(context.count))
    assert {sender for _, sender in read} == {context.addresses[0]}


@when('the first sends one that "{cannot}", and then one to the second')
def step_send_lost(context, cannot):
    lost = bytes(70_000) if cannot == "is too large" else b"lost"
    address = BAD_ADDRESS.get(cannot, listen_address()) or context.addresses[1]

    async def main():
        context.first.send(lost, address)
        context.first.send(WORD, context.addresses[1])
        await anyio.sleep(0.05)
        context.read = context.second.receive()

    run(main)


@then("the second reads that one")
def step_read_one(context):
    assert [data for data, _ in context.read] == [WORD], context.read


@when("the first sends {count:d} datagrams of {size:d} bytes that nobody reads")
def step_flood(context, count, size):
    began_s = time.monotonic()
    for _ in range(count):
        context.first.send(bytes(size), context.addresses[1])
    context.took_s = time.monotonic() - began_s


@then("the sending took less than {most_s:d} seconds")
def step_took(context, most_s):
    assert context.took_s < most_s, context.took_s


@then("a second that reads when nothing has arrived reads nothing")
def step_read_nothing(context):
    assert context.second.receive() == []
