from types import SimpleNamespace

import anyio
import msgspec
from behave import given, then, when

from features.steps.choice_eligible_steps import make_request
from features.support.home_fleet import MemoryLink, Random
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import NodeAddress
from weirscale.node.home.notes_task import SendNotesTask
from weirscale.node.home.rules import HomeRules

ENGINE = "qalam-0"


@given("{count:d} nodes that announce sends to one another with {budget:d} bytes a second")
def step_nodes(context, count, budget):
    context.num_nodes = count
    context.rules = HomeRules(note_bytes_per_s=float(budget), min_announced_tokens=512)


@when("one node sends {count:d} prompts of {blocks:d} blocks with {missing:d} uncached tokens")
def step_send(context, count, blocks, missing):
    context.requests = [make_request(seed, num_blocks=blocks) for seed in range(count)]

    async def main():
        network = SimpleNamespace(nodes={}, random=Random(1), loss=0.0)
        for number in range(context.num_nodes):
            address = NodeAddress("10.0.0.1", number)
            link = MemoryLink(network, address)
            others = [NodeAddress("10.0.0.1", port) for port in range(context.num_nodes)]
            others.remove(address)
            notes = SendNotesTask(link, lambda others=others: others, context.rules)
            network.nodes[address] = SimpleNamespace(link=link, notes=notes)
        tasks_of = [node.notes for node in network.nodes.values()]
        async with anyio.create_task_group() as tasks:
            for notes in tasks_of:
                tasks.start_soon(notes.run)
            for request in context.requests:
                tasks_of[0].announce_send(request, ENGINE, missing)
            await anyio.sleep(0.1)
            context.now_s = anyio.current_time()
            tasks.cancel_scope.cancel()
        return tasks_of

    context.sender, *context.others = run_in_virtual_time(main)


def matched(notes, request, now_s):
    match = notes.peer_sends.match(request.block_hashes, now_s).get(ENGINE)
    return match.num_blocks if match else 0


@then("the other nodes have recorded {recorded:d} sends and {unsent:d} were not announced")
def step_recorded(context, recorded, unsent):
    for notes in context.others:
        are_recorded = [
            matched(notes, request, context.now_s) == 2000 for request in context.requests
        ]
        assert sum(are_recorded) == recorded, are_recorded
    assert not any(matched(context.sender, request, context.now_s) for request in context.requests)
    assert context.sender.num_unsent == unsent


@then(
    "the other nodes match between {least:d} and {most:d} blocks of a prompt that shares {shared:d} blocks"
)
def step_shares(context, least, most, shared):
    other = make_request(99, num_blocks=2000).block_hashes
    chain = context.requests[0].block_hashes[:shared] + other[shared:]
    request = msgspec.structs.replace(context.requests[0], block_hashes=chain)
    for notes in context.others:
        assert least <= matched(notes, request, context.now_s) <= most


@then("the other nodes match {depth:d} blocks of the same prompt")
def step_same(context, depth):
    for notes in context.others:
        assert matched(notes, context.requests[0], context.now_s) == depth


@then(
    "the other nodes count {tokens:d} waiting tokens at the engine, and {later:d} after {seconds:g} seconds"
)
def step_tokens(context, tokens, later, seconds):
    for notes in context.others:

        def waiting(since_s, now_s, noted=notes.peer_sends):
            return noted.num_waiting_tokens(ENGINE, since_s, 8000.0, now_s)

        recorded_at_s = context.now_s - 0.1
        assert abs(waiting(recorded_at_s - 1.0, recorded_at_s) - tokens) <= 10
        assert abs(waiting(recorded_at_s - 1.0, recorded_at_s + seconds) - later) <= 10
        assert waiting(recorded_at_s - 1.0, recorded_at_s + 10.0) == 0
        assert waiting(context.now_s, context.now_s) == 0


@then("after {seconds:d} seconds the other nodes match no blocks")
def step_expired(context, seconds):
    for notes in context.others:
        assert matched(notes, context.requests[0], context.now_s + seconds) == 0
