import json
import re
from collections import Counter
from types import SimpleNamespace

import anyio
import msgspec
from behave import given, then, when

from features.support.backend_fleet import (
    MODEL,
    ZONES,
    Fleet,
    declare,
    declare_service,
    make_request,
)
from features.support.claims_fleet import LinkFleet
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.choice.policy import CandidateEstimate, Choice
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.domain.prefix.chain import chain_seed, extend_chain
from weirscale.node.backends.observations import EngineAttemptEnded
from weirscale.node.interfaces import AttemptOutcome, Peer, PeerState
from weirscale.node.routing.decisions import DecisionLog
from weirscale.node.routing.explain import Explainer
from weirscale.node.routing.explain_text import render_json, render_text
from weirscale.node.routing.load_estimate import LoadEstimate
from weirscale.ports.engine import EngineFailure, EngineFailureKind
from weirscale.ports.machines import Machine
from weirscale.ports.service import ServiceFailure, ServiceFailureKind
from weirscale.standins.faults import EngineFaults

NO_EXCLUSIONS = frozenset()
SETTLE_S = 3.0


def run_in_fleet(fleet, function):
    """Run a function while a fleet runs, after its first load reports."""

    async def main():
        async with fleet.running():
            await anyio.sleep(SETTLE_S)
            return await function()

    return run_in_virtual_time(main)


def choose(fleet, request, excluded=NO_EXCLUSIONS, required_version=None):
    return fleet.router.choose(request, 0, excluded, required_version)


async def choose_and_report(fleet, number, **outcome):
    """Choose an engine for a request and report the attempt, by default as a success."""
    request = make_request(number)
    chosen = await choose(fleet, request)
    fleet.router.report(outcome_of(request, chosen, **outcome))


def outcome_of(request, chosen, failure=None, duration_s=1.0):
    engine = chosen.ok_value.choice.engine
    return AttemptOutcome(request, 0, engine, 1, failure, 100, 40, 0.25, duration_s)


@given("a node with {count:d} engines that take {limit:d} requests each")
def step_node(context, count, limit):
    context.deployment = declare(count, max_concurrent_requests=limit)


ALL_NAMES = frozenset(f"qalam-{index}" for index in range(3))
CALLS = {
    "every engine is excluded": {"excluded": ALL_NAMES},
    "no engine has the adapter": {"adapter": "amharic"},
    "no engine has the version of a continued answer": {"required_version": "v0"},
    "the model is not declared": {"model": "other"},
}


async def fill_all(fleet, duration_s):
    for number in range(3):
        await choose_and_report(fleet, number, duration_s=duration_s)
    for number in range(3, 9):
        assert (await choose(fleet, make_request(number))).is_ok()


async def refuse_all(fleet, pause_s):
    busy = EngineFailure(EngineFailureKind.REFUSED_BUSY, "full", pause_s)
    for number in range(3):
        await choose_and_report(fleet, number, failure=busy)
        await anyio.sleep(0.01)


async def leave_all(fleet):
    for engine in fleet.engines.values():
        engine.leave()
    await anyio.sleep(SETTLE_S)


async def cause_situation(fleet, situation):
    """Cause a situation of the table; return the options and fields of the next request."""
    duration_s = re.search(r" (\d+) s$", situation)
    if situation.startswith("every engine is full"):
        await fill_all(fleet, float(duration_s[1]))
    elif situation.startswith("every engine refused as busy"):
        await refuse_all(fleet, float(duration_s[1]))
    elif situation == "every engine is leaving":
        await leave_all(fleet)
    else:
        return dict(CALLS[situation])
    return {}


@then(
    "if {situation}, the next request is refused as {code}, not run, with a retry between"
    " {least:g} and {most:g} s"
)
def step_refused(context, situation, code, least, most):
    fleet = Fleet(context.deployment)
    has_configuration = situation != "no configuration was ever received"
    if not has_configuration:
        fleet.configuration.changed_after = lambda revision: anyio.sleep_forever()

    async def send_request():
        call = await cause_situation(fleet, situation) if has_configuration else {}
        options = {key: call.pop(key) for key in ("excluded", "required_version") if key in call}
        return await choose(fleet, make_request(99, **call), **options)

    refusal = run_in_fleet(fleet, send_request).err_value
    assert (refusal.code.value, refusal.run_status.value) == (code, "not_run"), refusal
    assert least <= (refusal.retry_after_s or 0.0) <= most, refusal
    assert refusal.remedy


@when("a request arrives {early_s:g} s before the engines are reachable")
def step_early_request(context, early_s):
    async def main():
        fleet = Fleet(context.deployment)
        for engine in fleet.engines.values():
            engine.faults.set(EngineFaults(load_report_delay_s=early_s))
        async with fleet.running():
            chosen = await choose(fleet, make_request())
            return chosen, anyio.current_time()

    context.chosen, context.waited_s = run_in_virtual_time(main)


@then("the request is routed to an engine after {least:g} to {most:g} s")
def step_routed_after(context, least, most):
    assert context.chosen.is_ok() and least <= context.waited_s <= most, context.waited_s


async def choose_many(fleet, count):
    chosen = [await choose(fleet, make_request(number)) for number in range(count)]
    return Counter(result.ok_value.choice.engine for result in chosen)


@when("{count:d} requests arrive at once")
def step_concurrent_requests(context, count):
    if "services" in context:
        context.chosen = run_in_fleet(context.services, lambda: choose_services(context, count))
    else:
        fleet = Fleet(context.deployment)
        context.counts = run_in_fleet(fleet, lambda: choose_many(fleet, count))


@then("each engine gets {count:d} requests")
def step_each_gets(context, count):
    assert set(context.counts.values()) == {count}, context.counts


@given(
    "a load estimate at {speed:d} tokens/s with a report of {requests:d} requests and"
    " {tokens:d} tokens made at {at:g} s"
)
def step_estimate(context, speed, requests, tokens, at):
    context.speed = speed
    context.estimate = LoadEstimate()
    context.estimate.record_report(1, at, requests, tokens, speed)


@when("nothing is sent")
def step_nothing_sent(context):
    pass


@when("a of {events}")
def step_sent(context, events):
    estimate = context.estimate
    for event in f"a of {events}".split(", "):
        words = event.split()
        if words[0] == "report":
            estimate.record_report(2, float(words[6]), int(words[2]), int(words[4]), context.speed)
        elif words[1] == "ends":
            estimate.record_end((words[0], 0), 1.0)
        else:
            estimate.record_send((words[0], 0), int(words[2]), float(words[5]), context.speed)


@then("the estimate is {requests:d} requests and {tokens:d} tokens at {at:g} s")
def step_estimate_is(context, requests, tokens, at):
    estimate = context.estimate
    load = (estimate.num_outstanding(), estimate.num_waiting_prefill_tokens(at, context.speed))
    assert load[0] == requests and abs(load[1] - tokens) <= 1, load


class RecordingPolicy:
    """Record the arguments of each choice; the engine with the highest name costs least."""

    def __init__(self):
        self.choice_calls = []

    def choose(self, request, candidates, now_s, random):
        self.choice_calls.append((request, candidates))
        best = max(candidate.engine for candidate in candidates)
        cost = -float(best[-1])
        return Choice(best, (CandidateEstimate(best, cost),))

    def record_send(self, *arguments):
        pass

    record_completion = record_send


@when("two engines load v2 and 30 requests arrive at once")
def step_two_versions(context):
    context.policy = RecordingPolicy()
    fleet = Fleet(context.deployment, policy=context.policy)
    for name in ("qalam-0", "qalam-1"):
        fleet.engines[name].model.weight_version = "v2"
    context.counts = run_in_fleet(fleet, lambda: choose_many(fleet, 30))


@then("the policy chose separately for each version, with block hashes of that version")
def step_separate_choices(context):
    versions = set()
    for request, candidates in context.policy.choice_calls:
        (version,) = {candidate.weight_version for candidate in candidates}
        seed = chain_seed(request.tenant, MODEL, version, None)
        assert request.block_hashes == extend_chain(seed, make_prompt(), 0, 64)
        versions.add(version)
    assert versions == {"v1", "v2"}


def make_prompt():
    return make_request(deadline_s=0.0).prompt


@then("the cheaper of the two choices was used")
def step_cheaper(context):
    assert context.counts == {"qalam-2": 30}, context.counts


@when("the least preferred engine has failed and 20 requests a second arrive that are {kind}")
def step_failed_least(context, kind):
    fleet = Fleet(context.deployment, policy=RecordingPolicy())
    broken = EngineFailure(EngineFailureKind.BROKEN, "reset")

    async def run():
        for _ in range(3):
            fleet.directory.post(EngineAttemptEnded("qalam-0", "10.0.0.0:8000", 1, broken))
        context.engines = []
        for number in range(200):
            request = make_request(number, repeatable=kind == "repeatable")
            chosen = await choose(fleet, request)
            context.engines.append(chosen.ok_value.choice.engine)
            await anyio.sleep(0.05)
            fleet.router.report(outcome_of(request, chosen))

    run_in_fleet(fleet, run)


@then("the least preferred engine has got {trials} after 10 s")
def step_trials(context, trials):
    num_trials = context.engines.count("qalam-0")
    assert num_trials == {"one trial": 1, "no trial": 0}[trials], num_trials


@when("{count:d} callers disconnect during the choice")
def step_callers_disconnect(context, count):
    fleet = Fleet(context.deployment, seed=5)
    fleet.configuration.change(
        msgspec.structs.replace(context.deployment, services=(declare_service(3),))
    )

    async def choose_engine(request):
        chosen = await choose(fleet, request)
        fleet.router.report(outcome_of(request, chosen))

    async def choose_service():
        chosen = await fleet.services.choose("matemia", NO_EXCLUSIONS)
        fleet.services.report("matemia", chosen.ok_value.backend, None, 200, 0.1)

    async def disconnect_callers():
        for number in range(count):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(choose_engine, make_request(number))
                tasks.start_soon(choose_service)
                await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()
        await anyio.sleep(1.0)
        estimates = [
            fleet.router._estimates.of(facts).num_own_outstanding
            for facts in fleet.directory.snapshot().engines.values()
        ]
        decided = [fleet.decisions.find(f"request-{n}") is not None for n in range(count)]
        return sum(estimates), len(fleet.router._running), fleet.services._num_outstanding, decided

    context.counted = run_in_fleet(fleet, disconnect_callers)


@then("no engine and no service back end counts a request")
def step_nothing_counted(context):
    num_outstanding, num_running, services, decided = context.counted
    assert any(decided), (
        "no choice was made before its caller disconnected, so the case was not tested"
    )
    assert (num_outstanding, num_running, services) == (0, 0, {}), context.counted


@given("a service with {count:d} back ends in 3 zones")
def step_service(context, count):
    context.services = Fleet(declare(1, services=(declare_service(count),)))


async def choose_services(context, count, excluded=NO_EXCLUSIONS):
    services = context.services.services
    chosen = [await services.choose("matemia", excluded) for _ in range(count)]
    return [result.ok_value.backend for result in chosen]


@then("the first {count:d} go to the node's zone and every back end gets some")
def step_zone_first(context, count):
    own = {f"matemia-{index}" for index in range(6) if ZONES[index % 3] == ZONES[0]}
    assert set(context.chosen[:count]) <= own, context.chosen
    assert len(set(context.chosen)) == 6, context.chosen


SERVICE_OUTCOMES = {
    "breaks connections": (ServiceFailure(ServiceFailureKind.BROKEN, "reset"), None, 3),
    "answers 503 to every request": (None, 503, 3),
    "answers 500 to every request": (None, 500, 3),
    "answers another request": (ServiceFailure(ServiceFailureKind.CORRUPT, "crossed"), None, 1),
}


@when("a back end of the node's zone {fault}")
def step_service_fault(context, fault):
    fleet = context.services

    async def run():
        if fault == "was tried by the request":
            return await choose_services(context, 50, frozenset({"matemia-0"}))
        if fault == "is listed as leaving":
            fleet.machines.machines_now = (Machine("10.0.1.0", True),)
            await anyio.sleep(SETTLE_S)
        else:
            failure, status, times = SERVICE_OUTCOMES[fault]
            for _ in range(times):
                fleet.services.report("matemia", "matemia-0", failure, status, 0.1)
            await anyio.sleep(0.01)
        return await choose_services(context, 50)

    context.chosen = run_in_fleet(fleet, run)


@then("that back end gets {share} of the next 50 requests")
def step_service_share(context, share):
    assert ("matemia-0" in context.chosen) == (share == "some"), Counter(context.chosen)


@given("three nodes that each keep the decisions of {count:d} requests")
def step_three_nodes(context, count):
    context.logs = [DecisionLog(f"node-{index}", count) for index in range(3)]
    fleet, context.explainers = LinkFleet(), []
    peers = tuple(
        Peer(NodeId(f"node-{index}", 1), NodeAddress("10.0.0.1", index), "zone", PeerState.ALIVE)
        for index in range(3)
    )
    for peer, log in zip(peers, context.logs, strict=True):
        view = SimpleNamespace(self_id=peer.node, peers=lambda: peers)
        context.explainers.append(Explainer(log, fleet.start(peer.address), view))


@when("the first node has served {count:d} requests")
def step_served(context, count):
    fleet = Fleet(declare(3), policy=RecordingPolicy())
    fleet.router._decisions = context.logs[0]

    async def serve():
        for number in range(count):
            await choose_and_report(fleet, number)
        await anyio.sleep(1.0)

    run_in_fleet(fleet, serve)
    context.last_request_id = f"request-{count - 1}"


def explain(context, request_id):
    return run_in_virtual_time(context.explainers[2].explain, request_id)


@then("the third node explains the last request with its outcome, as text and as JSON")
def step_explained(context):
    record = explain(context, context.last_request_id)
    attempt = record.attempts[0]
    assert (record.node, attempt.engine, attempt.num_candidates) == ("node-0", "qalam-2", 3)
    assert attempt.result.num_cached_tokens == 40
    assert json.loads(render_json(record))["attempts"][0]["result"]["num_cached_tokens"] == 40
    text = render_text(record)
    for part in (
        context.last_request_id,
        "node-0",
        "qalam-2",
        "cost",
        "40 of 100 prompt tokens cached",
    ):
        assert part in text, text


@then("the third node has no explanation of the first request or of a request that no node served")
def step_not_explained(context):
    assert explain(context, "request-0") is None
    assert explain(context, "request-77") is None
    assert len(context.logs[0]) == 4
