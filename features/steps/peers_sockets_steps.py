import anyio
from behave import given, then, when

from features.support.loopback import free_address
from weirscale.ports.peers_network import UdpHttpPeerNetwork

FAIL_AFTER_S = 10.0


@given("a UDP and HTTP network on a loopback port")
def step_network(context):
    context.address = free_address()


@when("{count:d} tasks cast to the network concurrently")
def step_cast_concurrently(context, count):
    context.payloads = set()

    async def receive(network):
        async for datagram in network.datagrams():
            context.payloads.add(datagram.payload)
            if len(context.payloads) == count:
                return

    async def main():
        network = UdpHttpPeerNetwork(context.address)
        async with anyio.create_task_group() as tasks:
            await tasks.start(network.run)
            async with anyio.create_task_group() as casting:
                for number in range(count):
                    casting.start_soon(network.cast, context.address, b"%d" % number)
            with anyio.fail_after(FAIL_AFTER_S):
                await receive(network)
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})


@then("the network receives {count:d} different datagrams")
def step_received(context, count):
    assert len(context.payloads) == count, context.payloads
