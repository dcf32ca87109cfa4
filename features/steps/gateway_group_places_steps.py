"""Steps of `gateway_group_places.feature`."""

import anyio
from behave import given, then, when

from features.steps.gateway_groups_steps import RegisteredNodes, make_members
from features.support.attempt_records import attempt_records
from features.support.loopback import free_address
from weirscale.gateway.gossip.gossip_task import GossipTask
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.peers.groups import divide
from weirscale.gateway.peers.messages import LoadGossip, decode_message
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.replication.readers import choose_readers
from weirscale.gateway.routing.candidate import Candidate, Choice
from weirscale.gateway.routing.load import FleetLoad, Load
from weirscale.gateway.settings import ListenAddress


class Directory(RegisteredNodes):
    """A directory whose registrations and clock the test sets."""

    def __init__(self, members):
        super().__init__(members, 100.0)
        own = members[0]
        self.peers = PeerDirectory(
            own.name, self.cluster, lambda: self.now_s, own.zone, own.capacity
        )

    def leave(self, members):
        for member in members:
            self.remove(member.name)

    def come_back(self, members):
        for member in members:
            self.register(member, self.members.index(member))


@given("a directory of {nodes:d} nodes in {zones:d} zones")
def step_directory(context, nodes, zones):
    context.directory = Directory(make_members(nodes, zones))


@when("{count:d} of them leave the registrations and come back {seconds:g} seconds later")
def step_leave(context, count, seconds):
    directory = context.directory
    left = directory.members[1 : 1 + count]
    context.divisions = [directory.peers.division()]
    directory.leave(left)
    context.divisions.append(directory.peers.division())
    directory.now_s += seconds
    context.divisions.append(directory.peers.division())
    context.num_nodes_meanwhile = directory.peers.num_nodes(1.0)
    context.readers_meanwhile = choose_readers(directory.peers.members())
    context.left = {one.name for one in left}
    directory.come_back(left)
    context.divisions.append(directory.peers.division())


@then("the groups are the same all along")
def step_same_groups(context):
    assert all(one == context.divisions[0] for one in context.divisions)
    assert len(context.divisions[0].groups) > 3


@then("those that are gone are no readers and are not counted after a second")
def step_not_counted(context):
    assert not context.left & set(context.readers_meanwhile)
    assert context.num_nodes_meanwhile == len(context.directory.members) - len(context.left)


@when("{count:d} of them leave the registrations for good")
def step_leave_for_good(context, count):
    context.directory.leave(context.directory.members[1 : 1 + count])
    context.num_left = count
    context.directory.peers.division()


@then("{seconds:g} seconds later the groups are those of the nodes that are left")
def step_new_groups(context, seconds):
    directory = context.directory
    directory.now_s += seconds
    left = [directory.members[0], *directory.members[1 + context.num_left :]]
    assert directory.peers.division() == divide(left)


class SlowRelay:
    """A group of two whose regular messages are far apart."""

    def interval_s(self):
        return 5.0

    def group_peers(self):
        return ("other",)

    def is_heartbeat_due(self, timer):
        return False

    async def forward_own(self, gossip):
        """There is one group only."""


class OneOther:
    """A directory with one other node."""

    def __init__(self, address):
        self.address = address

    def group_addresses(self):
        return {"other": self.address}


@given("a gateway with a group of two whose messages go out each 5 seconds")
def step_slow_group(context):
    context.own_address = to_listen(free_address())
    context.other_address = to_listen(free_address())


def to_listen(address):
    return ListenAddress(address.host, address.port)


@when("it sends a prompt of which {tokens:d} tokens are to be read")
def step_sends_prompt(context, tokens):
    load, outbox = FleetLoad(), GossipOutbox("node")

    def gather(_must_refresh):
        for instance, one in load.take_changed().items():
            outbox.add_load(
                LoadGossip(instance, one.num_requests, one.waiting_tokens, one.held_tokens)
            )

    async def main():
        directory = OneOther(context.other_address)
        peers = GossipTask(context.own_address, directory, SlowRelay(), outbox, None, gather)
        end = BackEnd("r-1", "lm", "10.3.0.1:1", "hall-0", BackEndState.READY, 16)
        choice = Choice(Candidate(end, Load(), False), read_tokens=tokens)
        records = attempt_records(load, peers.request_flush)
        async with (
            await anyio.create_udp_socket(
                local_host=context.other_address.host, local_port=context.other_address.port
            ) as socket,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(peers.run)
            await anyio.sleep(0.1)
            records.record_start(choice, None, is_unreached=False)
            context.received = None
            with anyio.move_on_after(1.0):
                while context.received is None or not context.received.loads:
                    datagram, _ = await socket.receive()
                    context.received = decode_message(datagram)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("the other node hears of it within a second")
def step_hears_at_once(context):
    assert context.received is not None and context.received.loads[0].instance == "r-1", (
        context.received
    )


@then("the other node hears of it not within a second")
def step_hears_later(context):
    assert context.received is None or not context.received.loads, context.received
