"""Steps of `gateway_group_places.feature`."""

import anyio
from behave import given, then, when

from features.steps.gateway_groups_steps import RegisteredNodes, make_members
from features.support.attempt_records import attempt_records
from features.support.loopback import free_address
from features.support.platform_fleet import EventRecorder
from weirscale.gateway.gossip.gossip_task import GossipTask
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.peers.gossip_entries import LoadGossip
from weirscale.gateway.peers.groups import divide
from weirscale.gateway.peers.messages import decode_message
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.replication.readers import choose_readers
from weirscale.gateway.routing.candidate import Candidate, Choice
from weirscale.gateway.routing.load import FleetLoad, Load
from weirscale.gateway.settings import ListenAddress
from weirscale.ports.unexpected_errors import UnexpectedErrors


class TestDirectory(RegisteredNodes):
    """A directory whose registrations and clock the test sets."""

    def __init__(self, members):
        super().__init__(members, 100.0)
        own = members[0]
        self.peers = PeerDirectory(
            own.name, self.cluster, lambda: self.now_s, own.zone, own.capacity
        )

    def unregister(self, members):
        for member in members:
            self.remove(member.name)

    def register_again(self, members):
        for member in members:
            self.register(member, self.members.index(member))


@given("a directory of {nodes:d} nodes in {zones:d} zones")
def step_directory(context, nodes, zones):
    context.directory = TestDirectory(make_members(nodes, zones))


@when("{count:d} of them lose their registrations and register again {seconds:g} seconds later")
def step_unregister(context, count, seconds):
    directory = context.directory
    unregistered = directory.members[1 : 1 + count]
    context.divisions = [directory.peers.division()]
    directory.unregister(unregistered)
    context.divisions.append(directory.peers.division())
    directory.now_s += seconds
    context.divisions.append(directory.peers.division())
    context.num_nodes_meanwhile = directory.peers.num_nodes(1.0)
    context.readers_meanwhile = choose_readers(directory.peers.members())
    context.unregistered = {member.name for member in unregistered}
    directory.register_again(unregistered)
    context.divisions.append(directory.peers.division())


@then("the groups stay the same throughout")
def step_same_groups(context):
    assert all(division == context.divisions[0] for division in context.divisions)
    assert len(context.divisions[0].groups) > 3


@then("the unregistered nodes are no readers and are not counted after a second")
def step_not_counted(context):
    assert not context.unregistered & set(context.readers_meanwhile)
    assert context.num_nodes_meanwhile == len(context.directory.members) - len(context.unregistered)


@when("{count:d} of them lose their registrations for good")
def step_unregister_for_good(context, count):
    context.directory.unregister(context.directory.members[1 : 1 + count])
    context.num_unregistered = count
    context.directory.peers.division()


@then("{seconds:g} seconds later the groups are those of the remaining nodes")
def step_new_groups(context, seconds):
    directory = context.directory
    directory.now_s += seconds
    remaining = [directory.members[0], *directory.members[1 + context.num_unregistered :]]
    assert directory.peers.division() == divide(remaining)


class SlowGroupRelay:
    """A relay in a group of two nodes with a long gossip interval."""

    def interval_s(self):
        return 5.0

    def group_peers(self):
        return ("other",)

    def is_heartbeat_due(self, timer):
        return False

    async def forward_own(self, gossip):
        """Do nothing, because there is only one group."""


class SingleOtherNode:
    """A directory with one other node."""

    def __init__(self, address):
        self.address = address

    def group_addresses(self):
        return {"other": self.address}


@given("a gateway in a group of two nodes that send gossip every 5 seconds")
def step_slow_group(context):
    context.own_address = listen_address(free_address())
    context.other_address = listen_address(free_address())


def listen_address(address):
    return ListenAddress(address.host, address.port)


@when("the gateway sends a prompt of which {tokens:d} tokens must be read")
def step_sends_prompt(context, tokens):
    load, outbox = FleetLoad(), GossipOutbox("node")

    def gather(_must_refresh):
        for instance, changed in load.take_changed().items():
            outbox.add_load(
                LoadGossip(
                    instance, changed.num_requests, changed.waiting_tokens, changed.held_tokens
                )
            )

    async def main():
        directory = SingleOtherNode(context.other_address)
        gossip_task = GossipTask(
            context.own_address, directory, SlowGroupRelay(), outbox, None, gather,
            UnexpectedErrors(EventRecorder()),
        )  # fmt: skip
        back_end = BackEnd("r-1", "lm", "10.3.0.1:1", "hall-0", BackEndState.READY, 16)
        choice = Choice(Candidate(back_end, Load(), False), read_tokens=tokens)
        records = attempt_records(load, gossip_task.request_flush)
        async with (
            await anyio.create_udp_socket(
                local_host=context.other_address.host, local_port=context.other_address.port
            ) as socket,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(gossip_task.run)
            await anyio.sleep(0.1)
            records.record_start(choice, None, is_unreached=False)
            context.received = None
            with anyio.move_on_after(1.0):
                while context.received is None or not context.received.loads:
                    datagram, _ = await socket.receive()
                    context.received = decode_message(datagram)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("the other node learns of the prompt within a second")
def step_learns_at_once(context):
    assert context.received is not None and context.received.loads[0].instance == "r-1", (
        context.received
    )


@then("the other node learns of the prompt not within a second")
def step_learns_later(context):
    assert context.received is None or not context.received.loads, context.received
