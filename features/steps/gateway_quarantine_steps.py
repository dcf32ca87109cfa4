"""Steps of `gateway_quarantine.feature`."""

import itertools

import anyio
from behave import given, then, when

from features.support.crashing_runners import CrashingRunners, generate
from features.support.platform_fleet import configuration, route, with_fleet
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.quarantine.record import QUARANTINE_PREFIX
from weirscale.gateway.quarantine.suspects import SuspectTracker

SETTLE_S = 2.0
SENDING_S = 25.0
INTERVAL_S = 0.7
HARMLESS_BODY = b"harmless"
MAX_INTERRUPTED = 200
SPREAD_S = 0.002
"""Seconds between two requests that are sent until enough runners run one."""

RUNS_LONG_S = 3.0


class QuarantineSimulation:
    """Nodes and crashing runners; collects the actions of a scenario and runs them once."""

    def __init__(self, num_nodes, num_runners, num_zones=1, **configured):
        self.num_nodes = num_nodes
        self.num_zones = num_zones
        self.runners = CrashingRunners(num_runners=num_runners)
        self.fleet = self.runners.fleet
        self.configured = configured
        self.actions = []
        self.background = []
        self.fatal_answers = []
        self.other_answers = []
        self.answers = []
        self.send_numbers = itertools.count(1)
        self.has_run = False
        self.all_logs = []

    def nodes(self):
        return list(self.fleet.nodes.values())

    def logged(self, name):
        logs = {id(log): log for log in [*self.all_logs, *self.fleet.logs.values()]}
        return [line for log in logs.values() for line in log.named(name)]

    async def send(self, node, body=b"crash", **more):
        answer = await generate(node, next(self.send_numbers), body, **more)
        self.fatal_answers.append(answer)
        return answer

    def run(self):
        if not self.has_run:
            self.has_run = True
            run_in_virtual_time(self._main)
        return self

    async def start_all_nodes(self):
        for number in range(1, self.num_nodes + 1):
            zone = f"hall-{number % self.num_zones}"
            await self.fleet.start_node(f"node-{number}", is_first_start=False, zone=zone)

    async def _main(self):
        async def body():
            self.fleet.store.put("op/config", configuration(**self.configured))
            self.runners.start_all()
            await self.start_all_nodes()
            await anyio.sleep(SETTLE_S)
            for action in self.background:
                self.fleet.tasks.start_soon(action, self)
            for action in self.actions:
                await action(self)

        await with_fleet(self.fleet, body)


@given("{num_nodes:d} nodes and {num_runners:d} back ends")
def step_nodes(context, num_nodes, num_runners):
    context.simulation = QuarantineSimulation(num_nodes, num_runners)


@given("{num_nodes:d} nodes in {num_zones:d} zones and {num_runners:d} back ends")
def step_zones(context, num_nodes, num_zones, num_runners):
    context.simulation = QuarantineSimulation(num_nodes, num_runners, num_zones)


@given("{num_nodes:d} nodes and {num_runners:d} back ends whose callers have keys")
def step_keys(context, num_nodes, num_runners):
    paths = {"note": "/n/", "memo": "/m/"}
    routes = [
        route(name, path, "streaming", service="lm", max_attempts=1, public=False)
        for name, path in paths.items()
    ]
    tenants = [{"name": name, "api_keys": [f"key-{name}"]} for name in ("t1", "t2")]
    context.simulation = QuarantineSimulation(
        num_nodes, num_runners, routes=routes, tenants=tenants
    )


@when(
    "a fatal request is sent every {interval_s:g} seconds for {seconds:g} seconds, to each node in "
    "turn"
)
def step_fatal_in_turn(context, interval_s, seconds):
    async def action(simulation):
        for number in range(int(seconds / interval_s)):
            nodes = simulation.nodes()
            await simulation.send(nodes[number % len(nodes)])
            await anyio.sleep(interval_s)

    context.simulation.actions.append(action)


@given("{num_nodes:d} nodes and {num_runners:d} back ends of each service")
def step_each_service(context, num_nodes, num_runners):
    context.simulation = QuarantineSimulation(num_nodes, num_runners)

    async def action(simulation):
        simulation.runners.start_all("orders", "10.2.0")
        await anyio.sleep(1.0)

    context.simulation.actions.append(action)


@when('a fatal request is sent to "{path}" every {interval_s:g} seconds for {seconds:g} seconds')
def step_fatal_to_path(context, path, interval_s, seconds):
    async def action(simulation):
        for number in range(int(seconds / interval_s)):
            nodes = simulation.nodes()
            await simulation.send(nodes[number % len(nodes)], path=path)
            await anyio.sleep(interval_s)

    context.simulation.actions.append(action)


@then("the last {num:d} answers are 503")
def step_last_refused(context, num):
    answers = context.simulation.run().fatal_answers
    assert [answer.status for answer in answers[-num:]] == [503] * num


@when(
    "a fatal request is sent {times:d} times at once every {interval_s:g} seconds for {seconds:g} "
    "seconds"
)
def step_fatal_at_once(context, times, interval_s, seconds):
    async def action(simulation):
        nodes = itertools.cycle(simulation.nodes())
        for _ in range(int(seconds / interval_s)):
            async with anyio.create_task_group() as tasks:
                for _ in range(times):
                    tasks.start_soon(simulation.send, next(nodes))
            await anyio.sleep(interval_s)

    context.simulation.actions.append(action)


async def wait_for_crashes(simulation, num):
    while len(simulation.runners.crashes) < num:  # noqa: ASYNC110 - no event to wait for
        await anyio.sleep(0.01)


async def restart_all_nodes(simulation, after_crash):
    await wait_for_crashes(simulation, after_crash)
    await anyio.sleep(1.0)
    simulation.all_logs += simulation.fleet.logs.values()
    for name in list(simulation.fleet.nodes):
        simulation.fleet.kill(name)
    await simulation.start_all_nodes()


@when("all nodes are killed and restart")
def step_restart_all_nodes(context):
    async def action(simulation):
        await restart_all_nodes(simulation, 3)
        await anyio.sleep(1.0)

    context.simulation.actions.append(action)


async def restart_after_third(simulation):
    await restart_all_nodes(simulation, 3)


async def restart_after_second(simulation):
    await restart_all_nodes(simulation, 2)


async def start_node_after_second(simulation):
    await wait_for_crashes(simulation, 2)
    await simulation.fleet.start_node("node-late", is_first_start=False, zone="hall-0")


async def silence_store(simulation):
    simulation.fleet.store.is_silent = True


async def suspend_machine(simulation):
    await wait_for_crashes(simulation, 2)
    simulation.fleet.freeze("node-2")
    await anyio.sleep(5.0)
    await simulation.fleet.thaw("node-2")
    simulation.fleet.suspend("node-2", 5.0)


async def stop_process(simulation):
    await wait_for_crashes(simulation, 2)
    simulation.fleet.freeze("node-2")
    await anyio.sleep(5.0)
    await simulation.fleet.thaw("node-2")


async def keep_names(simulation):
    simulation.runners.keeps_names = True


DISTURBANCES = {
    "all nodes are killed and restart after the third crash": restart_after_third,
    "all nodes are killed and restart after the second crash": restart_after_second,
    "a node starts after the second crash": start_node_after_second,
    "the store does not respond from before the first crash on": silence_store,
    "node-2's machine is suspended for 5 seconds after the second crash": suspend_machine,
    "node-2's process is stopped for 5 seconds after the second crash": stop_process,
    "the back ends restart under the same names": keep_names,
}


@when("{disturbance} while a fatal request is sent repeatedly")
def step_disturbed(context, disturbance):
    context.simulation.background.append(DISTURBANCES[disturbance])

    async def action(simulation):
        await anyio.sleep(0.5)
        for number in range(int(SENDING_S / INTERVAL_S)):
            nodes = [
                node
                for node in simulation.nodes()
                if node.settings.name not in simulation.fleet.frozen
            ]
            if nodes:
                simulation.fleet.tasks.start_soon(simulation.send, nodes[number % len(nodes)])
            await anyio.sleep(INTERVAL_S)

    context.simulation.actions.append(action)


@then("it runs at most {num:d} times later than {seconds:g} seconds after the third crash")
def step_runs_after(context, num, seconds):
    runners = context.simulation.run().runners
    assert len(runners.crashes) >= 3, runners.crashes
    num_runs = runners.num_fatal_runs_after(3, seconds)
    assert num_runs <= num, (num_runs, runners.crashes)


@then(
    "the first {num_failed:d} answers are 502 and the last {num_refused:d} are 503 with a "
    "Retry-After of about 10 minutes"
)
def step_refused(context, num_failed, num_refused):
    answers = context.simulation.run().fatal_answers
    assert [answer.status for answer in answers[:num_failed]] == [502] * num_failed
    for answer in answers[-num_refused:]:
        assert answer.status == 503
        assert 590.0 < float(answer.header("retry-after")) <= 600.0, answer.headers


@then('the log gives "{cause}" as the cause of these refusals, with one fingerprint')
def step_logged(context, cause):
    simulation = context.simulation.run()
    lines = [line for line in simulation.logged("request_ended") if line.get("causes") == cause]
    assert len(lines) >= 4
    assert len({line["request"] for line in lines}) == 1, lines


@then("the store holds the record of one quarantine")
def step_record(context):
    keys = [
        key
        for key in context.simulation.run().fleet.store.items
        if key.startswith(QUARANTINE_PREFIX)
    ]
    assert len(keys) == 1, keys


@when("other callers send {per_s:d} requests a second for {seconds:g} seconds")
def step_others(context, per_s, seconds):
    async def send_other(simulation, number):
        nodes = simulation.nodes()
        answer = await generate(nodes[number % len(nodes)], f"other-{number}", b"other %d" % number)
        simulation.other_answers.append((f"try-other-{number}", answer))

    async def action(simulation):
        for number in range(int(per_s * seconds)):
            simulation.fleet.tasks.start_soon(send_other, simulation, number)
            await anyio.sleep(1.0 / per_s)

    context.simulation.background.append(action)
    context.simulation.started_runners = []


@then("all other requests are answered except those that ran on a back end that crashed")
def step_others_answered(context):
    simulation = context.simulation.run()
    lost = [
        line["id"]
        for line in simulation.logged("request_ended")
        if line["outcome"] != "answered" and "quarantined" not in line.get("causes", "")
    ]
    causes = {
        cause.rpartition(":")[2]
        for line in simulation.logged("request_ended")
        if line["id"] in lost
        for cause in line.get("causes", "").split(",")
        if cause
    }
    assert causes <= {"body_broken", "no_answer", "connect"}, causes
    assert len(simulation.other_answers) > 250
    refused = [attempt for attempt, answer in simulation.other_answers if answer.status == 503]
    assert not refused, refused
    complete = [attempt for attempt, answer in simulation.other_answers if answer.is_complete]
    assert len(complete) >= 0.97 * len(simulation.other_answers), len(complete)


async def lose_answers(simulation):
    nodes = simulation.nodes()
    for number in range(5):
        for runner in simulation.fleet.runners:
            runner.faults[:] = ["reset"]
        await simulation.send(nodes[number % 2], HARMLESS_BODY)
        for runner in simulation.fleet.runners:
            runner.faults.clear()
        await anyio.sleep(1.5)


def slow_down(simulation, read_s):
    for runner in simulation.fleet.runners:
        runner.read_s = read_s


def runners_with_new_runs(simulation, num_before):
    """Return the runners with more runs than the given numbers by name."""
    return [
        runner
        for runner in simulation.fleet.runners
        if len(runner.runs) > num_before.get(runner.instance, 0)
    ]


async def interrupt_runs(simulation, end, num_runners=1, body=HARMLESS_BODY):
    """Send requests that run for long until some runners run one, and call `end` with each."""
    num_before = {runner.instance: len(runner.runs) for runner in simulation.fleet.runners}
    slow_down(simulation, RUNS_LONG_S)
    nodes = itertools.cycle(simulation.nodes())
    async with anyio.create_task_group() as tasks:
        for _ in range(MAX_INTERRUPTED):
            tasks.start_soon(lambda: simulation.send(next(nodes), body))
            await anyio.sleep(SPREAD_S)
            if len(runners_with_new_runs(simulation, num_before)) == num_runners:
                break
        await anyio.sleep(0.3)
        for runner in runners_with_new_runs(simulation, num_before):
            simulation.fleet.tasks.start_soon(end, runner)
    slow_down(simulation, 0.03)
    await anyio.sleep(3.0)


async def shut_down_as_planned(simulation):
    for _ in range(4):
        await interrupt_runs(simulation, simulation.runners.shut_down)


async def crash_at_once(simulation):
    await interrupt_runs(simulation, simulation.runners.crash, num_runners=5)


async def crash_with_answers_between(simulation):
    for _ in range(5):
        await interrupt_runs(simulation, simulation.runners.crash)
        await generate(simulation.nodes()[0], "between", HARMLESS_BODY)


async def crash_during_several_requests(simulation):
    for number in range(4):
        await interrupt_runs(
            simulation, simulation.runners.crash, body=b"%s %d" % (HARMLESS_BODY, number)
        )


HARMLESS = {
    "back ends that keep running lose the answer to a request 5 times": lose_answers,
    "4 back ends shut down as planned while serving a request": shut_down_as_planned,
    "5 back ends crash at once while each serves the same frequent request": crash_at_once,
    "5 back ends crash one after another while serving a request that is answered in between": (
        crash_with_answers_between
    ),
    "back ends crash while serving 4 requests of one caller, once for each": (
        crash_during_several_requests
    ),
}


def add_harmless(event):
    @when(event)
    def step_harmless(context):
        context.simulation.actions.append(HARMLESS[event])


for _event in HARMLESS:
    add_harmless(_event)


@then("the same request is answered afterwards")
def step_same_answered(context):
    async def action(simulation):
        for node in simulation.nodes():
            simulation.answers.append(await generate(node, "afterwards", HARMLESS_BODY))

    context.simulation.actions.append(action)
    assert [answer.status for answer in context.simulation.run().answers] == [200, 200]


@then("nothing is quarantined, although {num:d} crashes count against requests")
def step_not_quarantined(context, num):
    lines = context.simulation.logged("crash_under_request")
    assert len({(line["request"], line["run"]) for line in lines}) == num, lines
    assert not context.simulation.logged("request_quarantined")
    assert all(node.quarantine.num_quarantined() == 0 for node in context.simulation.nodes())


@when('a fatal request is sent {times:d} times with the key of "{tenant}"')
def step_fatal_with_key(context, times, tenant):
    async def action(simulation):
        for number in range(times):
            await simulation.send(simulation.nodes()[number % 2], key=f"key-{tenant}")
            await anyio.sleep(INTERVAL_S)
        statuses = [answer.status for answer in simulation.fatal_answers]
        assert statuses[-1] == 503, statuses
        simulation.runners.is_fixed = True

    context.simulation.actions.append(action)


OTHER_REQUESTS = {
    "the same path with another body": {"body": b"crash not", "key": "key-t1"},
    "the same body on another path": {"path": "/m/1", "key": "key-t1"},
    'the same with the key of "t2"': {"key": "key-t2"},
}


@then("callers get 200 for {other}")
def step_other_answered(context, other):
    async def action(simulation):
        for node in simulation.nodes():
            simulation.answers.append(await generate(node, "other", **OTHER_REQUESTS[other]))

    context.simulation.actions.append(action)
    assert [answer.status for answer in context.simulation.run().answers] == [200, 200]


@when("an operator deletes the record")
def step_deletes(context):
    async def action(simulation):
        store = simulation.fleet.store
        for key in [key for key in store.items if key.startswith(QUARANTINE_PREFIX)]:
            store.delete(key)
        await anyio.sleep(1.0)

    context.simulation.actions.append(action)


@when("the fault is fixed and {seconds:g} seconds pass")
def step_fixed(context, seconds):
    async def action(simulation):
        simulation.runners.is_fixed = True
        await anyio.sleep(seconds)

    context.simulation.actions.append(action)


@when("callers wait for {seconds:g} seconds")
def step_wait(context, seconds):
    async def action(simulation):
        await anyio.sleep(seconds)

    context.simulation.actions.append(action)


@when("it is sent {times:d} times more")
def step_send_more(context, times):
    async def action(simulation):
        simulation.num_runs = sum(len(runner.runs) for runner in simulation.fleet.runners)
        simulation.num_crashes = len(simulation.runners.crashes)
        simulation.num_answered = 0
        for number in range(times):
            answer = await simulation.send(simulation.nodes()[number % 2])
            simulation.num_answered += answer.status == 200
            await anyio.sleep(INTERVAL_S)

    context.simulation.actions.append(action)


@then("it runs {num:d} more times")
def step_runs_more(context, num):
    simulation = context.simulation.run()
    num_runs = len(simulation.runners.crashes) - simulation.num_crashes + simulation.num_answered
    assert num_runs == num, num_runs


@given("a tracker of the requests during which back ends crashed")
def step_tracker(context):
    context.tracker = SuspectTracker()


@when('it records "{events}"')
def step_records(context, events):
    for number, event in enumerate(events.split()):
        if event == "ok":
            context.tracker.note_answered("request")
        elif event == "over":
            context.tracker.note_quarantine_over("request", float(number))
        else:
            context.tracker.note_crash(
                "request", event.rstrip("+"), event.endswith("+"), float(number)
            )


@then("the request is considered the cause: {cause}")
def step_cause(context, cause):
    assert context.tracker.is_cause("request") == (cause == "yes")
