import random
from types import SimpleNamespace

import anyio
from behave import given, then, when
from hypothesis import strategies as st

from features.support.claims_fleet import LinkFleet
from features.support.generated import for_all
from features.support.limits_fleet import SharingFleet, limited_tenant
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import Deployment, Region
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.domain.limits.homes import Member
from weirscale.domain.limits.share_pool import SharePool
from weirscale.domain.limits.zone_share import ZoneShare, standing_requests, standing_slots
from weirscale.messages.limits import TenantDemand
from weirscale.node.interfaces import ConfigurationInForce, Peer, PeerState
from weirscale.node.limits.fleet import FleetAdmissionTask

ZONES = ("a", "b", "c")
RATE_PER_S, BURST, SLOTS = 20.0, 12, 9
LIMITS = {
    "20 requests/s": {"requests_per_s": RATE_PER_S, "burst_requests": BURST},
    "20 requests/s and burst 40": {"requests_per_s": RATE_PER_S, "burst_requests": 40},
    "9 slots": {"max_concurrent_requests": SLOTS},
    "40 slots": {"max_concurrent_requests": 40},
}
LOADS = {"one node": {0: 60.0}, "one zone": dict.fromkeys(range(3), 20.0)}
LOADS["all nodes"] = dict.fromkeys(range(9), 10.0)


def make_fleet(context, seed=1):
    return SharingFleet(limited_tenant(**LIMITS[context.limit]), ZONES, 3, seed)


@given("3 zones of 3 nodes that share {limit}")
def step_sharing(context, limit):
    context.limit = limit


@when('the load is "{load}" for 20 seconds')
def step_load(context, load):
    fleet = make_fleet(context)
    load, _, fault = load.partition(", ")
    fleet.duplication_probability = 0.5 if fault == "duplicated messages" else 0.0
    fleet.arrivals_per_s = LOADS[load]
    fleet.run(5.0)
    before = {number: node.num_started for number, node in fleet.nodes.items()}
    fleet.run(20.0)
    context.started = [fleet.nodes[number].num_started - before[number] for number in LOADS[load]]


@then("between {least:g} and {most:g} requests a second are admitted in all")
def step_rate(context, least, most):
    assert least * 20 <= sum(context.started) <= most * 20, context.started


@then("no loaded node gets less than half of an equal part")
def step_fair(context):
    equal = sum(context.started) / len(context.started)
    assert min(context.started) >= equal / 2, context.started


def run_schedule(fleet, rng):
    """Run twelve periods in which load, losses and cuts change, drawn from a seeded source."""
    fleet.loss_probability = rng.choice([0.0, 0.0, 0.1, 0.4])
    fleet.duplication_probability = rng.choice([0.0, 0.5])
    fleet.max_delay_s = rng.choice([0.002, 0.03, 0.1, 0.5])
    fleet.hold_s = rng.choice([0.05, 0.3, 1.0])
    for _ in range(12):
        loaded_nodes = rng.choice([range(9), range(3), range(3, 6), [rng.randrange(9)], []])
        fleet.arrivals_per_s = {number: rng.choice([0.0, 20.0, 50.0]) for number in loaded_nodes}
        has_cut = rng.random() < 0.3
        fleet.cut_zones = set(rng.sample(ZONES, rng.randrange(3))) if has_cut else set()
        fleet.isolated = set(rng.sample(range(9), rng.randrange(3))) if has_cut else set()
        fleet.run(rng.choice([0.5, 1.0, 2.5]))
        if rng.random() < 0.4:
            for node in fleet.nodes.values():
                node.num_waiting = 0


@when("{count:d} schedules of lost, duplicated, late and cut messages are run")
def step_schedules(context, count):
    context.excess, context.most_slots = [], []
    for seed in range(count):
        fleet = make_fleet(context, seed)
        run_schedule(fleet, random.Random(seed))
        context.excess.append(fleet.num_started() - RATE_PER_S * fleet.now_s)
        context.most_slots.append(fleet.most_slots)


@then("no schedule admits more than the rate and one burst")
def step_rate_bound(context):
    assert max(context.excess) <= LIMITS[context.limit]["burst_requests"], max(context.excess)


@then("never more than {slots:d} slots are usable in all")
def step_never_more(context, slots):
    assert context.most_slots == slots, context.most_slots


@then("no schedule has more usable slots than the limit, and one comes within {gap:d} of it")
def step_slots_bound(context, gap):
    limit = LIMITS[context.limit]["max_concurrent_requests"]
    assert limit - gap <= max(context.most_slots) <= limit, context.most_slots


@when("limits, zones and fleet sizes are drawn at random and every zone grants all it has")
def step_parts(context):
    context.parts = []

    limits = st.integers(1, 5000)

    @for_all(300, limits, limits, st.integers(1, 18), st.integers(1, 512))
    def draw(burst, limit, num_zones, max_nodes):
        tenant = limited_tenant(
            requests_per_s=RATE_PER_S, burst_requests=burst, max_concurrent_requests=limit
        )
        demand = TenantDemand(1, 10**6, 0, 0, 10**6)
        shares = [ZoneShare(index, num_zones, max_nodes) for index in range(num_zones)]
        pools = [SharePool(tenant, share, 0.0) for share in shares]
        source = NodeAddress("10.0.0.1", 1)
        grants = [pool.grant(source, False, demand, 10_000.0) for pool in pools]
        requests = sum(grant.num_requests for grant in grants)
        slots = sum(grant.slots for grant in grants)
        requests += standing_requests(tenant, shares[0]) * max_nodes
        slots += standing_slots(tenant, shares[0]) * max_nodes
        context.parts.append((requests, max(burst, num_zones), slots, limit))


@then("the slots granted and owned are exactly the limit")
def step_all_slots(context):
    assert len(context.parts) >= 300
    assert all(slots == limit for _, _, slots, limit in context.parts)


@then("the requests granted and on credit are at most the burst, or one for each zone")
def step_all_requests(context):
    assert all(requests <= burst for requests, burst, _, _ in context.parts)


@when("all nodes are idle for 10 seconds and flooded for 2 seconds")
def step_flood_after_pause(context):
    fleet = make_fleet(context)
    fleet.run(10.0)
    fleet.arrivals_per_s = dict.fromkeys(range(9), 50.0)
    fleet.run(2.0)
    context.num_started = fleet.num_started()


@then("between {least:d} and {most:d} requests are admitted in the flood")
def step_burst(context, least, most):
    assert least <= context.num_started <= most, context.num_started


@when("one node is cut off from all others and gets one request at a time")
def step_standing(context):
    fleet = make_fleet(context)
    fleet.isolated = {4}
    fleet.hold_s = 0.02
    fleet.arrivals_per_s = {4: 2.0}
    fleet.run(10.0)
    context.num_started = fleet.nodes[4].num_started


@then("the node continues to admit them")
def step_continues(context):
    assert context.num_started >= 10, context.num_started


@when("{num_alone:d} nodes of one zone lose contact with all others under load")
def step_alone(context, num_alone):
    fleet = make_fleet(context)
    fleet.arrivals_per_s = dict.fromkeys(range(9), 10.0)
    fleet.run(5.0)
    context.alone = [fleet.nodes[number] for number in range(num_alone)]
    fleet.isolated = set(range(num_alone))
    others = [node.member for number, node in fleet.nodes.items() if number >= num_alone]
    for node in fleet.nodes.values():
        visible = [node.member] if node in context.alone else others
        node.exchange.set_members(
            [Member(each.address, each.zone) for each in visible], fleet.now_s
        )
    fleet.run(4.0)
    before = [node.num_started for node in context.alone]
    fleet.run(10.0)
    context.most_slots = fleet.most_slots
    context.admitted = [
        node.num_started - count for node, count in zip(context.alone, before, strict=True)
    ]


@then("at most {slots:d} slots are usable at any time")
def step_bound_alone(context, slots):
    assert SLOTS <= context.most_slots <= slots, context.most_slots


@then("the nodes that lost contact still admit requests")
def step_alone_admits(context):
    assert min(context.admitted) > 0, context.admitted


@when("one zone is cut off for 20 seconds under load")
def step_cut(context):
    fleet = make_fleet(context)
    fleet.arrivals_per_s = dict.fromkeys(range(3), 20.0)
    fleet.run(10.0)
    assert fleet.most_slots == SLOTS  # the zone has borrowed the parts of the others
    fleet.cut_zones = {"a"}
    fleet.arrivals_per_s = dict.fromkeys(range(9), 10.0)
    fleet.run(20.0)
    context.most_slots = fleet.most_slots
    context.slots = sum(fleet.nodes[number].holding.slots(fleet.now_s) for number in range(3))


@then("its nodes hold {count:d} slots at the end")
def step_own_part(context, count):
    assert context.slots == count, context.slots


@given("3 nodes with admission tasks that share 20 requests/s")
def step_admission_fleet(context):
    tenant = limited_tenant(**LIMITS["20 requests/s"])
    regions = (Region("region", ZONES),)
    in_force = ConfigurationInForce(1, Deployment(1, "test", regions, (), (), (tenant,)))
    peers = tuple(
        Peer(NodeId(f"node-{zone}", 1), NodeAddress("10.0.0.1", number), zone, PeerState.ALIVE)
        for number, zone in enumerate(ZONES)
    )

    def start(tasks):
        fleet = LinkFleet(tasks)
        admissions = []
        for peer in peers:
            link = fleet.start(peer.address)
            view = SimpleNamespace(self_id=peer.node, peers=lambda: peers, version=lambda: 1)
            configuration = SimpleNamespace(current=lambda: in_force)
            admission = FleetAdmissionTask(
                link, view, configuration, peer.address, peer.zone, random.Random(1)
            )
            tasks.start_soon(admission.run)
            admissions.append(admission)
        return admissions

    context.start, context.tenant = start, tenant


@when("callers flood one of the nodes for 20 seconds")
def step_flood(context):
    times_s = []

    async def main():
        async with anyio.create_task_group() as tasks:
            flooded = context.start(tasks)[0]

            async def repeat():
                while anyio.current_time() < start_s + 25.0:
                    deadline_s = anyio.current_time() + 5.0
                    answer = await flooded.admit(context.tenant, "request", 1, 10, deadline_s)
                    await anyio.sleep(0.05)
                    if answer.is_ok():
                        times_s.append(anyio.current_time() - start_s)
                        flooded.release(answer.ok_value)

            start_s = anyio.current_time()
            async with anyio.create_task_group() as callers:
                for _ in range(10):
                    callers.start_soon(repeat)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)
    context.num_admitted = sum(1 for at_s in times_s if 5.0 <= at_s < 25.0)


@then("the flooded node admits between {least:d} and {most:d} requests a second and one burst")
def step_flooded_rate(context, least, most):
    assert least * 20 <= context.num_admitted <= most * 20 + BURST, context.num_admitted
