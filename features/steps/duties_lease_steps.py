import random
from collections import Counter

import anyio
from behave import given, then, when

from features.support.lease_model import LeaseModel, PropertyViolated
from features.support.token_fence import TokenFence
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.duties.assignment import (
    Duty,
    DutyCandidate,
    DutyKind,
    engine_home,
    holders,
)
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.node.duties.view import DutyView
from weirscale.node.interfaces import Peer, PeerState
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

PLANNER = Duty(DutyKind.PLACEMENT_PLANNER)
FAULT_AT_S = 30.0


@when("every interleaving of the lease protocol is explored with late calls")
def step_explore_late(context):
    context.model = LeaseModel(nodes_with_late_calls=(0,), has_orders=False)
    context.num_states = context.model.explore()


@then("no property is violated and the duty was held and handed over")
def step_held_and_handed(context):
    assert context.model.num_held > 1000, context.model.num_held
    assert context.model.num_handed_over > 100, context.model.num_handed_over


@when("every interleaving of the lease protocol is explored with an order in flight")
def step_explore_orders(context):
    context.model = LeaseModel(nodes_with_late_calls=(), lossy_nodes=(0,))
    context.num_states = context.model.explore()


@then("no property is violated and late orders were refused")
def step_refused(context):
    assert context.model.num_refused > 100, context.model.num_refused


@when("the lease protocol is explored with the fault that {rule}")
def step_explore_with_fault(context, rule):
    context.finding = None
    try:
        LeaseModel(rule).explore()
    except PropertyViolated as violation:
        context.finding = str(violation)


@then("the exploration finds that {finding}")
def step_finding(context, finding):
    assert context.finding == finding, context.finding


class FixedMembership:
    """A membership view that never changes."""

    def __init__(self, self_id, peers):
        self.self_id = self_id
        self._peers = peers

    def peers(self):
        return self._peers

    def version(self):
        return 0


class Contender:
    """A node that may take the lease, with a sleep that can be paused and its own store client."""

    def __init__(self, server, node, membership, seed):
        self.node = node
        self.store = InProcessKeyValue(server)
        self.resumed = anyio.Event()
        self.resumed.set()
        self.lease = DutyLeaseTask(
            PLANNER,
            node,
            self.store,
            DutyView(membership),
            random.Random(f"{seed} {node.name}"),
            sleep=self.sleep,
        )
        self.scope = anyio.CancelScope()

    async def sleep(self, duration_s):
        await anyio.sleep(duration_s)
        await self.resumed.wait()

    async def run(self):
        with self.scope:
            await self.lease.run()


class Contest:
    """Several nodes that compete for one lease; tokens, double holders and calls are recorded."""

    def __init__(self, tasks, seed):
        self.server = KeyValueServer(random.Random(seed))
        self.server.faults.delay_s = 0.01
        peers = tuple(
            Peer(NodeId(f"n{number}", 1), NodeAddress("10.0.0.1", number), "z", PeerState.ALIVE)
            for number in range(5)
        )
        self.contenders = [
            Contender(self.server, peer.node, FixedMembership(peer.node, peers), seed)
            for peer in peers
        ]
        self.tokens = []
        self.num_double_holders = 0
        self.calls_by_second = Counter()
        for contender in self.contenders:
            tasks.start_soon(contender.run)
        tasks.start_soon(self.watch)

    def holder(self):
        holders = [node for node in self.contenders if node.lease.is_held()]
        self.num_double_holders += len(holders) > 1
        return holders[0] if holders else None

    async def watch(self):
        num_calls = 0
        while True:
            holder = self.holder()
            if holder is not None:
                token = holder.lease.token()
                if not self.tokens or self.tokens[-1] != token:
                    self.tokens.append(token)
            now_s = anyio.current_time()
            self.calls_by_second[int(now_s)] += self.server.num_calls - num_calls
            num_calls = self.server.num_calls
            await anyio.sleep(0.05)

    def set_down(self, is_down):
        self.server.faults.is_down = is_down


def run_contest(context, script):
    async def main():
        async with anyio.create_task_group() as tasks:
            context.contest = Contest(tasks, context.seed)
            await anyio.sleep(FAULT_AT_S)
            await script(context.contest)
            context.is_held_at_end = context.contest.holder() is not None
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


@given("5 nodes that may take the planner's lease, seed {seed:d}")
def step_contest(context, seed):
    context.seed = seed


async def cause_lease_fault(contest, fault):
    holder = contest.holder()
    if fault == "the holder paused for 30 s":
        holder.resumed = anyio.Event()
        await anyio.sleep(30)
        holder.resumed.set()
    elif fault == "the holder stopped permanently":
        holder.scope.cancel()
    elif fault == "the store losing a third of answers":
        contest.server.faults.lost_answer_probability = 0.33
    elif fault == "the store down for 60 s":
        contest.set_down(True)
        await anyio.sleep(60)
        contest.set_down(False)
    elif fault == "the holder releasing the lease":
        await holder.lease.release()
    else:
        assert fault == "no fault"


@when("the nodes run for 120 s with {fault}")
def step_nodes_run(context, fault):
    async def script(contest):
        with anyio.move_on_after(90):
            await cause_lease_fault(contest, fault)
            await anyio.sleep_forever()

    run_contest(context, script)


@then("no two nodes ever held the lease at once and tokens never decreased")
def step_one_holder(context):
    contest = context.contest
    assert contest.num_double_holders == 0, contest.num_double_holders
    assert contest.tokens == sorted(contest.tokens), contest.tokens


@then("the lease was held at the end and moved {moves}")
def step_moved(context, moves):
    assert context.is_held_at_end, "no node holds the lease at the end"
    num_moves = len(context.contest.tokens) - 1
    is_expected = {
        "never": num_moves == 0,
        "at least once": num_moves >= 1,
        "any number of times": num_moves >= 0,
    }
    assert is_expected[moves], num_moves


@when("the holder is paused past its lease while its order is in flight")
def step_pause_with_order(context):
    async def script(contest):
        context.old_holder = contest.holder()
        context.late_token = context.old_holder.lease.token()
        context.old_holder.resumed = anyio.Event()
        await anyio.sleep(40)
        context.new_token = contest.holder().lease.token()
        context.old_holder.resumed.set()
        context.is_held_on_resuming = context.old_holder.lease.is_held()

    run_contest(context, script)


@then("the resumed node does not hold the lease")
def step_resumed(context):
    assert not context.is_held_on_resuming
    assert context.contest.num_double_holders == 0


@then("the late order is refused by a receiver that has admitted an order of the new holder")
def step_late_order(context):
    fence = TokenFence()
    assert fence.admit(PLANNER, context.new_token)
    assert not fence.admit(PLANNER, context.late_token)


@when("the store is down for {length:d} s")
def step_store_down(context, length):
    async def script(contest):
        contest.set_down(True)
        await anyio.sleep(length)
        contest.set_down(False)
        await anyio.sleep(60)

    run_contest(context, script)


@then("at most {limit:d} calls reach the store in any 10 s of the outage and of the minute after")
def step_call_rate(context, limit):
    calls = context.contest.calls_by_second
    seconds = range(int(FAULT_AT_S), max(calls) - 9)
    max_calls = max(sum(calls[start + offset] for offset in range(10)) for start in seconds)
    assert 0 < max_calls <= limit, max_calls
    assert context.is_held_at_end


@then("only {count:d} of the nodes ever called the store")
def step_only_some_called(context, count):
    states = [node.lease.state for node in context.contest.contenders]
    assert sum(state.token != 0 or state.other_holder != b"" for state in states) == count


@given("400 nodes in 18 zones and 1700 engines")
def step_fleet_of_duties(context):
    context.candidates = [
        DutyCandidate(NodeId(f"node-{index}", 1), f"zone-{index % 18}") for index in range(400)
    ]
    context.engines = [(f"engine-{index}", f"zone-{index % 18}") for index in range(1700)]
    context.homes_before = engine_homes(context)


def engine_homes(context):
    by_zone = {}
    for candidate in context.candidates:
        by_zone.setdefault(candidate.zone, []).append(candidate)
    return {engine: engine_home(engine, zone, by_zone[zone]) for engine, zone in context.engines}


@when("{change} changes the fleet")
def step_change_fleet(context, change):
    if change == "a crash":
        context.changed_node = context.candidates.pop(7).node
    else:
        context.changed_node = NodeId("node-new", 1)
        context.candidates.append(DutyCandidate(context.changed_node, "zone-7"))
    context.homes_after = engine_homes(context)


@then("every engine's home node is in the engine's zone")
def step_home_zone(context):
    zones = {candidate.node: candidate.zone for candidate in context.candidates}
    assert all(zones[context.homes_after[engine]] == zone for engine, zone in context.engines)
    home = engine_home("engine-0", "zone-none", context.candidates)
    assert home in zones, "an engine of a zone without nodes needs a home node in another zone"


@then("no duty moves except those of the changed node")
def step_stable(context):
    moved = [
        engine
        for engine in context.homes_before
        if context.homes_before[engine] != context.homes_after[engine]
    ]
    assert moved, "no duty of the changed node moved"
    for engine in moved:
        assert context.changed_node in (context.homes_before[engine], context.homes_after[engine])


@then("no node is home to more than {factor:d} times the mean number of engines")
def step_balanced(context, factor):
    counts = Counter(context.homes_after.values())
    assert max(counts.values()) <= factor * 1700 / 400, max(counts.values())


@given('candidates "{text}"')
def step_candidates(context, text):
    context.candidates = []
    for item in text.split():
        name, zone, *leaving = item.split(":")
        context.candidates.append(DutyCandidate(NodeId(name, 1), zone, bool(leaving)))


@then("{count:d} nodes hold a duty and none of them is leaving")
def step_no_leaving(context, count):
    leaving = {candidate.node for candidate in context.candidates if candidate.is_leaving}
    chosen = holders(PLANNER, context.candidates, count)
    assert len(set(chosen)) == count and not leaving & set(chosen), chosen
