from collections import namedtuple
from functools import partial

import anyio
import msgspec
from behave import given, then, when

from features.support.backend_fleet import ZONES, Fleet, declare, declare_engine, make_request
from features.support.virtual_time import run_in_virtual_time
from weirscale.messages.cache import LoadReport
from weirscale.node.interfaces import AttemptOutcome
from weirscale.ports.engine import EngineFailure, EngineFailureKind
from weirscale.ports.machines import Machine
from weirscale.standins.faults import EngineFaults

NUM_ENGINES = 4
REQUESTS_PER_S = 40
SERVICE_S = 0.05
LEAVING_BOUND_S = 2.0
LEAVES_AT_S = 3.0
ENGINE = "qalam-1"
ADDRESS = "10.0.0.1:8000"

Sent = namedtuple("Sent", "at_s engine incarnation failure")


class Traffic:
    """Send attempts at a steady rate and record the engine of each."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = []
        self.num_refused = 0
        self.failing = {}

    async def run(self, tasks, duration_s):
        for number in range(int(duration_s * REQUESTS_PER_S)):
            await anyio.sleep_until((number + 1) / REQUESTS_PER_S)
            tasks.start_soon(self._attempt, number)

    async def _attempt(self, number):
        request = make_request(number)
        chosen = await self.fleet.router.choose(request, 0, frozenset(), None)
        if chosen.is_err():
            self.num_refused += 1
            return
        choice = chosen.ok_value
        engine = choice.choice.engine
        failure = self._failure(engine, choice.incarnation)
        self.sent.append(Sent(anyio.current_time(), engine, choice.incarnation, failure))
        await anyio.sleep(0.0 if failure else SERVICE_S)
        self.fleet.router.report(
            AttemptOutcome(request, 0, engine, choice.incarnation, failure, 100, 0, None, SERVICE_S)
        )

    def _failure(self, engine, incarnation):
        stand_in = self.fleet.engines[engine]
        kind = self.failing.get(engine)
        if not stand_in.is_reachable:
            kind = EngineFailureKind.UNREACHABLE
        elif stand_in.model.is_leaving:
            kind = EngineFailureKind.REFUSED_LEAVING
        elif incarnation != stand_in.model.incarnation:
            kind = EngineFailureKind.REFUSED_MISMATCH
        return EngineFailure(kind, "a failure scripted by the test") if kind else None

    def num_sent(self, engine, start_s, end_s):
        return sum(sent.engine == engine and start_s <= sent.at_s < end_s for sent in self.sent)


async def run_events(events, fleet, traffic):
    for at_s, action in sorted(events, key=lambda event: event[0]):
        await anyio.sleep_until(at_s)
        action(fleet, traffic)


def run_traffic(context, duration_s):
    async def main():
        fleet = Fleet(declare(NUM_ENGINES))
        traffic = Traffic(fleet)
        async with fleet.running(), anyio.create_task_group() as tasks:
            tasks.start_soon(run_events, context.events, fleet, traffic)
            await traffic.run(tasks, duration_s)
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        return traffic

    if "traffic" not in context:
        context.traffic = run_in_virtual_time(main)
    return context.traffic


def list_leaving(fleet, is_leaving):
    fleet.machines.machines_now = (Machine(ADDRESS, is_leaving), Machine("10.0.0.2:8000", False))


def report_by_home(fleet, traffic):
    report = fleet.engines[ENGINE].model.load_report(anyio.current_time())
    fleet.directory.record_load_report(msgspec.structs.replace(report, is_leaving=True), 0.0)


def fail_with(kind):
    return lambda fleet, traffic: traffic.failing.update({ENGINE: kind})


def refuse_connections(fleet, traffic, names=(ENGINE,)):
    for name in names:
        fleet.engines[name].faults.set(EngineFaults(refuse_connections=True))


def stop_failing(fleet, traffic):
    traffic.failing.clear()
    for engine in fleet.engines.values():
        engine.faults.clear()


def stop_leaving(fleet, traffic):
    fleet.engines[ENGINE].model.is_leaving = False
    list_leaving(fleet, False)


def restart_at_once(fleet, traffic):
    engine = fleet.engines[ENGINE]
    engine.settings = msgspec.structs.replace(engine.settings, restart_s=0.0)
    engine.crash()


LEAVE_BY = {
    "its load report": lambda fleet, traffic: fleet.engines[ENGINE].leave(),
    "a refusal": fail_with(EngineFailureKind.REFUSED_LEAVING),
    "the machine list": lambda fleet, traffic: list_leaving(fleet, True),
    "its home node": report_by_home,
}
FAULTS = {
    "refuses connections": refuse_connections,
    "breaks every stream": fail_with(EngineFailureKind.BROKEN),
    "answers wrongly": fail_with(EngineFailureKind.CORRUPT),
    "refuses as if it had another weight version": fail_with(EngineFailureKind.REFUSED_MISMATCH),
    "restarts under another run": lambda fleet, traffic: fleet.engines[ENGINE].crash(),
}
LONG_FAULTS = {"answers wrongly": 60.0}
"""Traffic durations in seconds for faults after which recovery takes more than 30 s."""


@given("a node that routes 40 requests a second to 4 engines")
def step_traffic(context):
    context.events = []
    context.duration_s = 30.0


@when("after 3 s engine 1 leaves according to {source}")
def step_leaves(context, source):
    context.events.append((LEAVES_AT_S, LEAVE_BY[source]))


@when("after 8 s the engine states that it stays, {run_kind}")
def step_stays(context, run_kind):
    context.events.append((8.0, stop_leaving))
    if run_kind == "in a new run":
        context.events.append((8.0, FAULTS["restarts under another run"]))


@then("engine 1 had work before and gets none from 2 s after the statement")
def step_no_work_after_bound(context):
    traffic = run_traffic(context, 20.0)
    assert traffic.num_sent(ENGINE, 0.0, LEAVES_AT_S) > 15
    assert traffic.num_sent(ENGINE, LEAVES_AT_S + LEAVING_BOUND_S, 99.0) == 0


@then("the other engines still get work")
def step_others_work(context):
    assert context.traffic.num_refused == 0
    for index in (0, 2, 3):
        assert context.traffic.num_sent(f"qalam-{index}", 15.0, 20.0) > 40


@then("engine 1 gets {work} in the last 5 s")
def step_work_at_end(context, work):
    num_sent = run_traffic(context, 30.0).num_sent(ENGINE, 25.0, 30.0)
    assert (num_sent > 30) if work == "work" else (num_sent == 0), num_sent


@when("from 3 s to 6 s engine 1 {fault}")
def step_fault(context, fault):
    context.events += [(3.0, FAULTS[fault]), (6.0, stop_failing)]
    context.duration_s = LONG_FAULTS.get(fault, context.duration_s)


@then("engine 1 gets at most {most:d} attempts from 5 s to 6 s")
def step_few_attempts(context, most):
    num_sent = run_traffic(context, context.duration_s).num_sent(ENGINE, 5.0, 6.0)
    assert num_sent <= most, num_sent


@then("engine 1 gets between {least:d} and {most:d} attempts from {start_s:d} s on for 5 s")
def step_back_to_normal(context, least, most, start_s):
    num_sent = context.traffic.num_sent(ENGINE, start_s, start_s + 5.0)
    assert least <= num_sent <= most, num_sent


@when("from 3 s to 6 s every engine refuses connections")
def step_all_refuse(context):
    all_refuse = partial(
        refuse_connections, names=[f"qalam-{index}" for index in range(NUM_ENGINES)]
    )
    context.events += [(3.0, all_refuse), (6.0, stop_failing)]


@then("at least 30 requests a second are still routed to an engine from 4 s to 6 s")
def step_still_routed(context):
    traffic = run_traffic(context, 25.0)
    assert sum(4.0 <= sent.at_s < 6.0 for sent in traffic.sent) >= 60


@then("every engine gets work again from 20 s to 25 s")
def step_all_recovered(context):
    counts = [context.traffic.num_sent(f"qalam-{i}", 20.0, 25.0) for i in range(NUM_ENGINES)]
    assert min(counts) > 25, counts


@when("at 3 s engine 1 restarts at once")
def step_restart_at_once(context):
    context.events.append((3.0, restart_at_once))


@then("at most {most:d} requests are refused because they name the old run")
def step_old_run_refused(context, most):
    traffic = run_traffic(context, 20.0)
    mismatch = EngineFailureKind.REFUSED_MISMATCH
    num = sum(sent.failure is not None and sent.failure.kind is mismatch for sent in traffic.sent)
    assert num <= most, num


@then("engine 1 gets work under run 2")
def step_new_run(context):
    runs = {sent.incarnation for sent in context.traffic.sent if sent.engine == ENGINE}
    assert runs == {1, 2}, runs


@when("the machine list marks engine 1 as leaving and is then unavailable")
def step_list_down(context):
    context.events.append((0.0, LEAVE_BY["the machine list"]))
    context.events.append((5.0, lambda fleet, traffic: setattr(fleet.machines, "is_down", True)))


@given("a configuration of {count:d} engines")
def step_some_engines(context, count):
    context.deployment = declare(count)


@when(
    "an engine with a request in flight for 20 s is removed from the configuration and another is added"
)
def step_swap_engines(context):
    async def main():
        fleet = Fleet(context.deployment)
        added_engine = declare_engine(7)
        fleet.add_engine(added_engine)
        closed = context.closed = []
        for name, engine in fleet.engines.items():
            engine.aclose = lambda name=name: record_closed(name)

        async def record_closed(name):
            closed.append((name, anyio.current_time()))

        async with fleet.running():
            chosen = await fleet.router.choose(make_request(), 0, frozenset(), None)
            removed = context.removed = chosen.ok_value.choice.engine
            engines = [engine for engine in context.deployment.engines if engine.name != removed]
            fleet.configuration.change(
                msgspec.structs.replace(context.deployment, engines=(*engines, added_engine))
            )
            await anyio.sleep(20.0)
            fleet.router.report(
                AttemptOutcome(make_request(), 0, removed, 1, None, 1, 0, 0.1, 20.0)
            )
            await anyio.sleep(300.0)
        return fleet

    context.fleet = run_in_virtual_time(main)


@then("one port was created for each engine")
def step_one_port_each(context):
    assert sorted(context.fleet.ports_made) == ["qalam-0", "qalam-1", "qalam-2", "qalam-7"]


@then("only the port of the removed engine was closed, after 20 s")
def step_port_closed(context):
    ((name, at_s),) = context.closed
    assert name == context.removed
    assert 20.0 <= at_s <= 22.0, at_s


@when("a report of run {run:d} that is {age:g} s old states that version {version} is loaded")
def step_report_arrives(context, run, age, version):
    async def main():
        fleet = Fleet(context.deployment)
        async with fleet.running():
            await anyio.sleep(5.0)
            report = LoadReport(ENGINE, run, "qalam", version, (), 0, 0, 0, 0, 4096, False, 0)
            fleet.directory.record_load_report(report, age)
            await anyio.sleep(0.01)
            return fleet.directory.snapshot().engines[ENGINE].report

    context.report = run_in_virtual_time(main)


@then("the directory holds run {run:d} with version {version}")
def step_known_report(context, run, version):
    assert (context.report.incarnation, context.report.weight_version) == (run, version)


def run_recording_probes(context, script):
    """Run a script on a fleet; record the engine and time of each load probe."""

    async def main():
        fleet = Fleet(context.deployment, zone=context.zone if "zone" in context else None)
        for name, engine in fleet.engines.items():
            engine.load = lambda name=name, load=engine.load: record_probe(name, load)

        async def record_probe(name, load):
            context.probes.append((name, anyio.current_time()))
            return await load()

        async with fleet.running():
            await script(fleet)

    context.probes = []
    run_in_virtual_time(main)


@when("the home node of engine 1 reports its load every {interval_s:d} s from 10 s to {end_s:d} s")
def step_home_reports(context, interval_s, end_s):
    async def report(fleet):
        await anyio.sleep(10.0)
        while anyio.current_time() <= end_s + 0.5:
            load = fleet.engines[ENGINE].model.load_report(anyio.current_time())
            fleet.directory.record_load_report(load, 0.5)
            await anyio.sleep(interval_s)
        await anyio.sleep_until(end_s + 34.0)

    run_recording_probes(context, report)


@when("the node has run for {duration_s:d} s")
def step_node_has_run(context, duration_s):
    run_recording_probes(context, lambda fleet: anyio.sleep(duration_s))


@then("each engine was probed within 1 s of the start")
def step_probed_at_start(context):
    assert {name for name, at_s in context.probes if at_s <= 1.0} == {
        engine.name for engine in context.deployment.engines
    }


@then("the node probed between {least:g} and {most:g} times a second from 20 s on")
def step_probe_rate(context, least, most):
    rate = sum(at_s >= 20.0 for _, at_s in context.probes) / 40.0
    assert least <= rate <= most, rate


def num_probes(context, engine, start_s, end_s):
    return sum(name == engine and start_s <= at_s < end_s for name, at_s in context.probes)


@then(
    "engine 1 was probed every second before, "
    "not once from {start_s:d} s to {end_s:d} s, and again from {again_s:d} s"
)
def step_probed_without_reports(context, start_s, end_s, again_s):
    periods = ((0, 10), (start_s, end_s), (again_s, again_s + 10))
    counts = [num_probes(context, ENGINE, *period) for period in periods]
    assert 8 <= counts[0] <= 12 and counts[1] == 0 and 8 <= counts[2] <= 12, counts


@then("the other engines were probed all the time")
def step_others_probed(context):
    assert all(num_probes(context, f"qalam-{index}", 12, 30) >= 14 for index in (0, 2))


@given("a node in zone 0 of {count:d} engines in 3 zones")
def step_node_in_zone(context, count):
    context.deployment = declare(count)
    context.zone = ZONES[0]


@when("from 30 s to 90 s {fault}")
def step_zone_fault(context, fault):
    async def cause_fault(fleet):
        await anyio.sleep(30.0)
        zone = [engine.name for engine in context.deployment.engines if engine.zone == ZONES[0]]
        refuse_connections(
            fleet, None, zone if fault == "the engines of its zone refuse connections" else ()
        )
        await anyio.sleep(60.0)

    run_recording_probes(context, cause_fault)


@then(
    "from 60 s on the node probed {own:g} to {own_most:g} times a second in its zone "
    "and {other:g} to {other_most:g} in other zones"
)
def step_zone_rates(context, own, own_most, other, other_most):
    own_names = {engine.name for engine in context.deployment.engines if engine.zone == ZONES[0]}
    names = [name for name, at_s in context.probes if at_s >= 60.0]
    num_own = sum(name in own_names for name in names)
    rates = num_own / 30.0, (len(names) - num_own) / 30.0
    assert own <= rates[0] <= own_most and other <= rates[1] <= other_most, rates


@then(
    "before 30 s the node probed each engine of its zone within 1 s "
    "and {other:g} to {other_most:g} others a second"
)
def step_zone_start(context, other, other_most):
    own_names = {engine.name for engine in context.deployment.engines if engine.zone == ZONES[0]}
    assert {name for name, at_s in context.probes if at_s <= 1.0} >= own_names
    num_other = sum(name not in own_names for name, at_s in context.probes if at_s < 30.0)
    assert other <= num_other / 30.0 <= other_most, num_other
