from pathlib import Path
from random import Random

import anyio
from behave import given, then, when

from features.support.scripted_nodes import ScriptedNode
from features.support.virtual_time import run_in_virtual_time
from weirscale.experiments.faults.kinds import FaultKind, PlannedFault
from weirscale.experiments.faults.schedule import random_schedule
from weirscale.experiments.history.records import (
    BackendChange,
    BackendChanged,
    ConfigurationAccepted,
    EngineRun,
    NodeChange,
    NodeChanged,
)
from weirscale.experiments.run.experiment import Experiment, WorkloadChoice
from weirscale.experiments.run.life import ProcessKilled, ProcessLife
from weirscale.experiments.run.load import with_shape
from weirscale.experiments.run.node_process import NodeProcess
from weirscale.experiments.run.virtual import VirtualRun, run_experiment
from weirscale.experiments.soak.experiments import PRESET_OF, read_deployment

DEPLOYMENTS = Path("deployments")
SHORT_S = 16.0
FAULT_AT_S = 3.0
FAULT_LASTS_S = 4.0
REQUESTS_PER_S = 5.0


def experiment(deployment, duration_s, faults=()):
    return with_shape(
        Experiment(
            format=1,
            name="short",
            deployment=deployment.name,
            workload=WorkloadChoice(PRESET_OF[deployment.name], requests_per_s=REQUESTS_PER_S),
            duration_s=duration_s,
            faults=faults,
        ),
        deployment,
    )


@given('a virtual fleet of scripted nodes that are "{behaviour}"')
def step_scripted(context, behaviour):
    def make_factory(platform, fleet, recorder, random):
        return lambda setup: ScriptedNode(platform, behaviour)

    context.make_factory = make_factory


@when('the scripted fleet runs the "yearbook" workload for {duration:g} s')
def step_run_scripted(context, duration):
    loaded = experiment(read_deployment(DEPLOYMENTS, "tsehay"), duration)
    run = VirtualRun(loaded, seed=3, make_factory=context.make_factory)
    context.figures = run_experiment(run).figures


@then('the scripted fleet\'s violations are of rules "{rules}"')
def step_scripted_rules(context, rules):
    violated_rules = {violation.rule for violation in context.figures.violations}
    assert violated_rules == (set() if rules == "none" else set(rules.split())), violated_rules


@then('the scripted fleet\'s requests count "{counted}"')
def step_scripted_counts(context, counted):
    requests = context.figures.requests
    assert requests.sent >= 20, requests
    assert getattr(requests, counted) >= 3, requests
    if counted == "answered_once":
        assert requests.answered_once + requests.left == requests.sent, requests
    raises = counted == "failed"
    assert (context.figures.num_internal_errors > 0) == raises, context.figures.internal_errors


@given("a process whose task counts at its gate each second, shielded from cancellation")
def step_counting(context):
    context.counted_at = []


async def count_in_process(counted_at, paused_s, resumed_s, killed_s, end_s):
    life = ProcessLife()

    async def record_time():
        counted_at.append(anyio.current_time())

    async def count():
        try:
            with anyio.CancelScope(shield=True):
                while True:
                    await life.guard(lambda: anyio.sleep(1.0))
                    await life.guard(record_time)
        except ProcessKilled:
            return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(count)
        await anyio.sleep_until(paused_s)
        life.pause()
        await anyio.sleep_until(resumed_s)
        life.resume()
        await anyio.sleep_until(killed_s)
        life.kill()
        tasks.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await anyio.sleep_until(end_s)


@when("it is paused from {paused:g} s to {resumed:g} s and killed at {killed:g} s")
def step_pause_and_kill(context, paused, resumed, killed):
    run_in_virtual_time(count_in_process, context.counted_at, paused, resumed, killed, 20.0)


@then('it has counted at "{times}" and never again by 20 s')
def step_counted(context, times):
    assert context.counted_at == [float(time) for time in times.split()], context.counted_at


class SlowlyDrainingNode:
    def __init__(self, life, num_gates):
        self._life = life
        self._num_gates = num_gates

    async def drain(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass_gates)

    async def _pass_gates(self):
        for _ in range(self._num_gates):
            await self._life.guard(lambda: anyio.sleep(1.0))


async def drain_and_kill(num_gates, start_s, killed_s):
    process = NodeProcess([])
    process.node = SlowlyDrainingNode(process.life, num_gates)
    ended_at = []

    async def drain():
        await anyio.sleep_until(start_s)
        await process.drain()
        ended_at.append(anyio.current_time())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drain)
        await anyio.sleep_until(killed_s)
        process.kill()
    return ended_at


@given("a process whose drain passes its gate each second for {num_gates:d} s")
def step_slow_drain(context, num_gates):
    context.num_gates = num_gates


@when("the drain starts at {begun:g} s and it is killed at {killed:g} s")
def step_kill_draining(context, begun, killed):
    context.ended_at = run_in_virtual_time(drain_and_kill, context.num_gates, begun, killed)


@then("the drain has ended without an exception by {by:g} s")
def step_drain_ended(context, by):
    assert context.ended_at and context.ended_at[0] <= by, context.ended_at


@given('a virtual run of "{name}" with the fault "{fault}"')
def step_product(context, name, fault):
    faults = (PlannedFault(kind=FaultKind(fault), at_s=FAULT_AT_S, lasts_s=FAULT_LASTS_S),)
    context.loaded = experiment(read_deployment(DEPLOYMENTS, name), SHORT_S, faults)


@when("the product's nodes run it in virtual time with seed {seed:d}")
def step_run_product(context, seed):
    context.outcome = run_experiment(VirtualRun(context.loaded, seed))


@then("no rule is broken and most requests are answered once")
def step_no_violation(context):
    figures = context.outcome.figures
    assert not figures.violations, figures.violations
    assert not figures.internal_errors, figures.internal_errors
    assert figures.requests.answered_once * 2 > figures.requests.sent >= 20, figures.requests


@then('the fault shows as "{trace}"')
def step_trace(context, trace):
    history = context.outcome.history
    changes = [changed.change for changed in history.of_type(NodeChanged)]
    runs = history.of_type(EngineRun)
    is_shown = {
        "a crash of an engine in use": any(
            changed.change is BackendChange.CRASHED
            and any(run.engine == changed.backend and run.at_s < changed.at_s for run in runs)
            for changed in history.of_type(BackendChanged)
        ),
        "attempts after the first": any(run.attempt > 0 for run in runs),
        "a node stopped and started": NodeChange.STOPPED in changes
        and changes.index(NodeChange.STOPPED) < len(changes) - 1
        and NodeChange.STARTED in changes[changes.index(NodeChange.STOPPED) :],
        "files of both operators": len(history.of_type(ConfigurationAccepted)) >= 3,
    }
    assert is_shown[trace]


@when("the product's nodes run it twice in virtual time with seed {seed:d}")
def step_run_twice(context, seed):
    context.outcomes = [run_experiment(VirtualRun(context.loaded, seed)) for _ in range(2)]


@then("both virtual runs have the same records")
def step_same(context):
    first, second = (outcome.history.records for outcome in context.outcomes)
    assert len(first) > 100
    assert first == second


@when("fault schedules of {duration:g} s are drawn for seeds 1 to {last:d}")
def step_schedules(context, duration, last):
    context.schedules = {
        seed: [random_schedule(duration, 5, Random(seed)) for _ in range(2)]
        for seed in range(1, last + 1)
    }


@then("each is equal when drawn again, all kinds come up, and none has a fault after {latest:g} s")
def step_schedules_sound(context, latest):
    assert all(first == second for first, second in context.schedules.values())
    faults = [fault for first, _ in context.schedules.values() for fault in first]
    assert {fault.kind for fault in faults} == set(FaultKind)
    assert all(fault.at_s <= latest for fault in faults)
