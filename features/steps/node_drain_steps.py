import random

import anyio
from behave import given, then, when

from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.experiments.memory_network import MemoryNetwork
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.assembly import Node
from weirscale.node.node_ports import NodeIdentity, NodePorts
from weirscale.ports.event_log import SilentEventLog
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

ADDRESS = NodeAddress("10.0.0.1", 7100)
KEYS = KeyRing((PeerKey(1, b"a secret of one node"),))
SCOPE = {
    "type": "http",
    "method": "GET",
    "path": "/services/orders/status",
    "query_string": b"",
    "headers": [(b"authorization", b"Bearer some-key")],
}


@given("a single node whose key-value service is down")
def step_single_node(context):
    def make_node(tasks):
        store = KeyValueServer(random.Random(1))
        store.faults.is_down = True
        endpoint = MemoryNetwork(tasks, random.Random(2)).attach(ADDRESS, "zone")
        ports = NodePorts(endpoint, InProcessKeyValue(store), None, None, None)
        identity = NodeIdentity(NodeId("node", 1), "zone", ADDRESS)
        return Node(identity, ports, KEYS, random.Random(3), SilentEventLog())

    context.make_node = make_node


@when("its planned stop begins while a request waits for the first configuration")
def step_stop_while_waiting(context):
    context.sent = []

    async def receive():
        await anyio.sleep_forever()

    async def send(message):
        context.sent.append(message)

    async def stop_during_request():
        async with anyio.create_task_group() as tasks:
            node = context.make_node(tasks)
            tasks.start_soon(node.run)
            tasks.start_soon(node.caller_app, SCOPE, receive, send)
            await anyio.sleep(0.02)
            context.was_clean = await node.drain()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(stop_during_request)


@then('the request has the complete answer "{code}" and the stop was clean')
def step_complete_answer(context, code):
    body = b"".join(message.get("body", b"") for message in context.sent)
    assert context.sent and not context.sent[-1].get("more_body"), context.sent
    assert code.encode() in body, body
    assert context.was_clean
