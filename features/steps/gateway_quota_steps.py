"""Steps of `gateway_quota.feature` and `gateway_quota_schedules.feature`."""

import json
from random import Random

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    Fleet,
    ask,
    configuration,
    generation_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.quota_fleet import (
    BOUNDS,
    ORDINARY,
    URGENT,
    QuotaFleet,
    max_usage,
    max_window_usage,
)
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.limits.quota_rules import cost_of
from weirscale.gateway.model.configuration import Quota, QuotaUnit, Tenant
from weirscale_platform.configuration import read_configuration
from weirscale_platform.request_codec import HeaderCodec

USUAL_SHARE = 0.55
"""Share of its rate that a tenant usually sends."""

MEAN_COST = 0.65 * 875 + 0.35 * 9200
BUCKETS_FILLED_S = 5.0
LOAD_AT_S, END_S = 10.0, 40.0
FINAL_S = 10.0
PARTITION_AT_S, HEALED_AT_S = 9.0, 25.0
LOWERED_RATE = 15_000.0
APPLIED_WITHIN_S = 3.0
NUM_SCHEDULES = 50


def make_tenant(name, rate, burst):
    return Tenant(name, (name,), quota=Quota(rate, burst, QuotaUnit.TOKENS, 200))


def usual_per_s(tenant):
    return tenant.quota.rate_per_s * USUAL_SHARE / MEAN_COST


def make_fleet(nodes, zones, tenants, seed=1):
    fleet = QuotaFleet(nodes, zones, tenants, BOUNDS, seed)
    # Buckets are empty at first, because what was spent before the start is unknown.
    fleet.run_until(BUCKETS_FILLED_S)
    for tenant in tenants:
        fleet.traffic[tenant.name] = (usual_per_s(tenant), None)
    return fleet


def increase_load(fleet, tenant, times, names=None):
    fleet.schedule(
        LOAD_AT_S,
        lambda: fleet.traffic.__setitem__(tenant.name, (times * usual_per_s(tenant), names)),
    )


@given(
    "{nodes:d} nodes in {zones:d} zones and a tenant with {rate:d} tokens a second"
    " and a burst of {burst:d}"
)
def step_fleet(context, nodes, zones, rate, burst):
    context.tenant = make_tenant("a", rate, burst)
    context.fleet = make_fleet(nodes, zones, [context.tenant])


@when("it sends {times:g} times its usual load through {where}")
def step_load(context, times, where):
    names = ["node-3"] if where == "one node" else None
    increase_load(context.fleet, context.tenant, times, names)
    context.fleet.run_until(END_S)


def draw_nodes(fleet, share):
    return fleet.random.sample(list(fleet.nodes), int(share * len(fleet.nodes)))


def isolate_each(fleet, names):
    for number, name in enumerate(names):
        fleet.move_to_partition([name], number + 1)


def kill_repeatedly(fleet):
    for at_s in (11.0, 14.0, 17.0):
        fleet.schedule(at_s, lambda: fleet.kill(draw_nodes(fleet, 0.6)))


def heal(fleet):
    fleet.schedule(HEALED_AT_S, lambda: fleet.move_to_partition(list(fleet.nodes), 0))


def cut_off_together(fleet):
    fleet.schedule(PARTITION_AT_S, lambda: fleet.move_to_partition(draw_nodes(fleet, 1 / 3), 1))
    heal(fleet)


def cut_off_each_alone(fleet):
    fleet.schedule(PARTITION_AT_S, lambda: isolate_each(fleet, draw_nodes(fleet, 1 / 3)))
    heal(fleet)


DISRUPTIONS = {
    "all nodes are killed and restart": lambda fleet: fleet.schedule(
        13.0, lambda: fleet.kill(list(fleet.nodes))
    ),
    "nodes are killed repeatedly": kill_repeatedly,
    "every group head is suspended for 8 s": lambda fleet: fleet.schedule(
        12.0, lambda: fleet.suspend(fleet.heads(), 8.0)
    ),
    "a third of the nodes are suspended for 8 s": lambda fleet: fleet.schedule(
        12.0, lambda: fleet.suspend(draw_nodes(fleet, 1 / 3), 8.0)
    ),
    "a third of the nodes are cut off together": cut_off_together,
    "a third of the nodes are cut off, each alone": cut_off_each_alone,
}


@when('it sends {times:g} times its usual load to all nodes while "{disruption}"')
def step_disruption(context, times, disruption):
    increase_load(context.fleet, context.tenant, times)
    DISRUPTIONS[disruption](context.fleet)
    context.fleet.run_until(END_S)


@then("usage exceeds the maximum in no window")
def step_within(context):
    usage = max_window_usage(context.fleet.spent["a"], BOUNDS.window_s)
    assert usage <= max_usage(context.tenant.quota, BOUNDS), usage


@then("no request was refused before the load increased")
def step_nothing_refused(context):
    early = [refusal for refusal in context.fleet.refused["a"] if refusal[0] < LOAD_AT_S]
    assert not early, early


@then("under the load it uses between {least:g} and {most:g} of what each window allows")
def step_use(context, least, most):
    spent = sum(cost for at_s, cost, _ in context.fleet.spent["a"] if at_s > END_S - 2 * FINAL_S)
    quota = context.tenant.quota
    # In each window the quota allows the rate and the burst.
    share = spent / (2 * FINAL_S * (quota.rate_per_s + quota.burst / BOUNDS.window_s))
    assert least <= share <= most, share


@then("its urgent requests are admitted more than twice as often as the others")
def step_urgent(context):
    def admitted_share(priority):
        fleet = context.fleet
        spent = [
            request
            for request in fleet.spent["a"]
            if request[0] > LOAD_AT_S and request[2] == priority
        ]
        refused = [
            request
            for request in fleet.refused["a"]
            if request[0] > LOAD_AT_S and request[2] == priority
        ]
        return len(spent) / (len(spent) + len(refused))

    assert admitted_share(URGENT) > 2 * admitted_share(ORDINARY), (
        admitted_share(URGENT),
        admitted_share(ORDINARY),
    )


@then("the tenant's requests are admitted afterwards")
def step_admitted_after(context):
    spent = sum(cost for at_s, cost, _ in context.fleet.spent["a"] if at_s > END_S - FINAL_S)
    assert spent > 0.7 * FINAL_S * context.tenant.quota.rate_per_s, spent


LOWERING_CONDITIONS = {
    "while all nodes are in contact": lambda fleet: None,
    "while a third is cut off": cut_off_together,
    "shortly after it was raised": lambda fleet: fleet.schedule(
        LOAD_AT_S - 0.4,
        lambda: fleet.configure([make_tenant("a", 180_000, 90_000)], APPLIED_WITHIN_S / 4),
    ),
}


@when("it sends its usual load and its rate is lowered to {rate:d} tokens a second {when}")
def step_lowered(context, rate, when):
    fleet = context.fleet
    context.lower = make_tenant("a", rate, context.tenant.quota.burst)
    LOWERING_CONDITIONS[when](fleet)
    fleet.schedule(LOAD_AT_S + 1.0, lambda: fleet.configure([context.lower], APPLIED_WITHIN_S))
    fleet.run_until(END_S)


@then("usage exceeds the lower maximum in no window that begins after all nodes have applied it")
def step_lower_applies(context):
    applied_at_s = LOAD_AT_S + 1.0 + APPLIED_WITHIN_S
    usage = max_window_usage(context.fleet.spent["a"], BOUNDS.window_s, applied_at_s)
    assert 0.0 < usage <= max_usage(context.lower.quota, BOUNDS), usage


def draw_schedule(seed):
    """Return a fleet with random load and disruptions, and its tenant."""
    random = Random(seed)
    rate = random.choice((15_000, 29_000, 60_000, 150_000))
    tenant = make_tenant("a", rate, max(69_000, rate))
    fleet = make_fleet(random.randint(6, 40), random.randint(1, 4), [tenant], seed)
    loaded_nodes = [next(iter(fleet.nodes))] if random.random() < 0.2 else None
    increase_load(fleet, tenant, random.uniform(1.0, 8.0), loaded_nodes)
    for _ in range(random.randint(1, 4)):
        draw_disruption(fleet, random)
    return fleet, tenant


def draw_disruption(fleet, random):
    at_s = random.uniform(6.0, 22.0)
    share = random.uniform(0.05, 0.4)
    kind = random.choice(("kill", "kill all", "freeze", "cut", "alone", "heal", "heads"))
    actions = {
        "kill": lambda: fleet.kill(draw_nodes(fleet, share)),
        "kill all": lambda: fleet.kill(list(fleet.nodes)),
        "freeze": lambda: fleet.suspend(draw_nodes(fleet, share), random.uniform(1.0, 9.0)),
        "cut": lambda: fleet.move_to_partition(draw_nodes(fleet, share), 1),
        "alone": lambda: isolate_each(fleet, draw_nodes(fleet, share)),
        "heal": lambda: fleet.move_to_partition(list(fleet.nodes), 0),
        "heads": lambda: fleet.suspend(fleet.heads(), 8.0),
    }
    fleet.schedule(at_s, actions[kind])


@then("in {count:d} random schedules over 6 to 40 nodes usage exceeds the maximum in no window")
def step_schedules(context, count):
    excesses = {}
    for seed in range(count):
        fleet, tenant = draw_schedule(seed)
        fleet.run_until(30.0)
        usage = max_window_usage(fleet.spent["a"], BOUNDS.window_s)
        if usage > max_usage(tenant.quota, BOUNDS):
            excesses[seed] = usage / max_usage(tenant.quota, BOUNDS)
    assert not excesses, excesses


@given(
    "{nodes:d} nodes in {zones:d} zones and {count:d} tenants of which the first sends"
    " {times:g} times its usual load"
)
def step_tenants(context, nodes, zones, count, times):
    tenants = [make_tenant(name, 40_000, 69_000) for name in "abcdefgh"[:count]]
    context.fleet = make_fleet(nodes, zones, tenants)
    increase_load(context.fleet, tenants[0], times)


@then("no request of the other tenants is refused")
def step_others(context):
    context.fleet.run_until(25.0)
    assert context.fleet.refused.pop("a")
    assert not any(context.fleet.refused.values()), context.fleet.refused


@given(
    "{nodes:d} nodes in {zones:d} zones and {count:d} tenants of which each sends its usual load"
)
def step_many_tenants(context, nodes, zones, count):
    tenants = [make_tenant(f"t{number}", 12_000, 69_000) for number in range(count)]
    context.fleet = make_fleet(nodes, zones, tenants)


@then("nodes other than group heads send on average at most {most:d} bytes a second about quotas")
def step_bytes(context, most):
    fleet, seconds = context.fleet, 2.0
    fleet.run_until(BUCKETS_FILLED_S + seconds)
    heads = set(fleet.heads())
    fleet.bytes_by_sender.clear()
    fleet.run_until(BUCKETS_FILLED_S + 2 * seconds)
    sent = [fleet.bytes_by_sender[name] / seconds for name in fleet.nodes if name not in heads]
    assert sum(sent) / len(sent) <= most, sum(sent) / len(sent)


class SingleNode:
    """The ledger of the only node of a fleet, and its clock."""

    def __init__(self, tenant):
        self.now_s = 50.0
        self.tenant = tenant
        self.ledger = QuotaLedger(BOUNDS, lambda: 1, lambda: 0.05, Random(1), lambda: self.now_s)
        self.ledger.set_tenants((tenant,))

    def pass_time(self, seconds):
        """Run the node for some seconds."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.05
            self.ledger.tick()

    def num_admitted(self, count, cost):
        """Send requests at once and return how many were admitted."""
        num_admitted = 0
        for _ in range(count):
            if self.ledger.admit(self.tenant, cost, ORDINARY).is_admitted:
                self.ledger.spend(self.tenant, cost)
                num_admitted += 1
        return num_admitted


@given("a single node and a tenant with {rate:d} tokens a second and a burst of {burst:d}")
def step_single_node(context, rate, burst):
    context.node = SingleNode(make_tenant("a", rate, burst))


@when("it starts")
def step_starts(context):
    pass


@when("it is suspended for {seconds:g} s with a full bucket")
def step_suspended(context, seconds):
    context.node.pass_time(20.0)
    assert context.node.ledger.levels()["a"] == context.node.tenant.quota.burst
    context.node.now_s += seconds


@then("of {count:d} requests of {cost:d} tokens at once none is admitted")
def step_none_admitted(context, count, cost):
    context.cost = cost
    assert context.node.num_admitted(count, cost) == 0


@then("{seconds:g} seconds later {least:d} to {most:d} of {count:d} are admitted")
def step_admitted_later(context, seconds, least, most, count):
    context.node.pass_time(seconds)
    num_admitted = context.node.num_admitted(count, context.cost)
    assert least <= num_admitted <= most, num_admitted


@when(
    "half of its requests are urgent, all cost {cost:d} tokens, and it sends {times:g} times"
    " its usual load"
)
def step_same_cost(context, cost, times):
    fleet, tenant = context.fleet, context.tenant
    fleet.costs = ((0.5, cost, URGENT), (0.5, cost, ORDINARY))
    usual = tenant.quota.rate_per_s * USUAL_SHARE / cost
    fleet.traffic[tenant.name] = (usual, None)
    fleet.schedule(LOAD_AT_S, lambda: fleet.traffic.__setitem__(tenant.name, (times * usual, None)))
    fleet.run_until(END_S)


@given("a tenant's quota that counts {unit}, with {unnamed:d} for a request that names no tokens")
def step_quota(context, unit, unnamed):
    context.quota = Quota(1000.0, 0.0, QuotaUnit(unit), unnamed)


@then("a request that names {named} costs {cost:d}")
def step_cost(context, named, cost):
    headers = [] if named == "nothing" else [(b"x-token-usage", named.encode())]
    scope = {
        "http_version": "1.1", "headers": headers, "raw_path": b"/a/", "query_string": b"",
        "method": "POST",
    }  # fmt: skip
    assert cost_of(context.quota, HeaderCodec().parse(scope).num_tokens) == cost


@given("a tenant that is configured with {fields}")
def step_configured(context, fields):
    tenant = {"name": "a", "api_keys": ["k"], **json.loads(fields)}
    entry = configuration(tenants=[tenant])
    context.quota = read_configuration(json.dumps(entry).encode()).tenants[0].quota


@then("its quota is {text}")
def step_quota_is(context, text):
    quota = context.quota
    if quota is None:
        assert text == "none"
        return
    actual = f"{quota.rate_per_s:g} {quota.unit.value}/s, burst {quota.burst:g}"
    assert actual == text, actual


@given("a gateway whose tenant may spend {rate:d} tokens a second and a burst of {burst:d}")
def step_gateway(context, rate, burst):
    limits = {"rate_per_s": rate, "burst": burst, "unit": "token_stream", "uncached_tokens": 200}
    context.configuration = configuration(
        routes=[route("draft", "/a/", "streaming", service="lm", max_attempts=1, public=False)],
        tenants=[
            {"name": "a", "api_keys": ["key-a"], **limits},
            {"name": "b", "api_keys": ["key-b"]},
        ],
    )
    context.faults = []


@given("its back ends refuse every request with proof that it was not run")
def step_refusing(context):
    context.faults = ["refuse"] * 1000


def send_requests(context, count, key, at_once):
    fleet = context.fleet = Fleet()
    context.answers = {}

    async def send_one(node, request_id):
        headers = generation_headers(request_id, key=key)
        context.answers[request_id] = await ask(node, "/a/1", headers=headers)

    async def body():
        fleet.store.put("op/config", context.configuration)
        for number in (1, 2):
            fleet.add_runner(
                RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm", faults=context.faults)
            )
        node = await fleet.start_node()
        await anyio.sleep(5.0)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                if at_once:
                    tasks.start_soon(send_one, node, f"q{number}")
                else:
                    await send_one(node, f"q{number}")
        context.metrics_text = node.metrics_text().decode()

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@when("{count:d} requests of 1020 tokens arrive at once after 5 seconds")
def step_at_once(context, count):
    send_requests(context, count, "key-a", at_once=True)


@when("{count:d} requests of 1020 tokens arrive one after the other after 5 seconds")
def step_one_by_one(context, count):
    send_requests(context, count, "key-a", at_once=False)


@when("{count:d} requests of another tenant without a quota arrive")
def step_others_arrive(context, count):
    send_requests(context, count, "key-b", at_once=True)


def refused(context):
    return {name: answer for name, answer in context.answers.items() if answer.status == 429}


@then(
    "{least:d} or {most:d} are answered, and the others get 429 with a Retry-After between"
    " {first:g} and {last:g} seconds"
)
def step_some(context, least, most, first, last):
    answered = [answer for answer in context.answers.values() if answer.status == 200]
    assert least <= len(answered) <= most, len(answered)
    assert len(refused(context)) == len(context.answers) - len(answered)
    for answer in refused(context).values():
        assert first <= float(answer.header("retry-after")) <= last, answer


@then("no back end ran a refused request")
def step_not_run(context):
    run_ids = {run.request_id for runner in context.fleet.runners for run in runner.runs}
    assert run_ids and not run_ids & set(refused(context)), run_ids


@then("the log lines of the refusals give cost, remaining quota, share and age")
def step_lines(context):
    lines = {line["id"]: line for line in context.fleet.logs["node-1"].named("request_ended")}
    for name in refused(context):
        line = lines[name]
        assert line["causes"] == "over_quota" and line["status"] == 429, line
        assert line["tenant"] == "a" and line["quota_cost"] == 1020, line
        assert line["quota_left"] < 2040 and line["quota_share"] == 1.0, line
        assert line["quota_age_ms"] == 0, line


@then("the metrics count the refusals for the tenant")
def step_metrics(context):
    text = f'weirscale_quota_refusals_total{{tenant="a"}} {len(refused(context)):.1f}'
    assert text in context.metrics_text, context.metrics_text
    assert 'weirscale_quota_left{tenant="a"}' in context.metrics_text


@then("it gets 429 without a Retry-After")
def step_never(context):
    answer = context.answers["q0"]
    assert answer.status == 429 and answer.header("retry-after") is None, answer
    line = context.fleet.logs["node-1"].named("request_ended")[-1]
    assert line["causes"] == "never_in_quota", line


@then("none of them gets 429")
def step_none_refused(context):
    statuses = {answer.status for answer in context.answers.values()}
    assert statuses == {503}, statuses


@then("every one of them is answered")
def step_all_answered(context):
    statuses = {answer.status for answer in context.answers.values()}
    assert statuses == {200}, statuses
