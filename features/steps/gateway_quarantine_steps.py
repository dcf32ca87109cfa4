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
COMES_AGAIN_S = 25.0
INTERVAL_S = 0.7
HARMLESS_BODY = b"harmless"
RUNS_LONG_S = 3.0


class Play:
    """Nodes before runners that crash; what happens is gathered first and runs once."""

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
        self.num_tries = itertools.count(1)
        self.has_run = False
        self.all_logs = []

    def nodes(self):
        return list(self.fleet.nodes.values())

    def logged(self, name):
        logs = {id(log): log for log in [*self.all_logs, *self.fleet.logs.values()]}
        return [line for log in logs.values() for line in log.named(name)]

    async def comes(self, node, body=b"crash", **more):
        answer = await generate(node, next(self.num_tries), body, **more)
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


@given("{num_nodes:d} nodes before {num_runners:d} back ends")
def step_nodes(context, num_nodes, num_runners):
    context.play = Play(num_nodes, num_runners)


@given("{num_nodes:d} nodes in {num_zones:d} zones before {num_runners:d} back ends")
def step_zones(context, num_nodes, num_zones, num_runners):
    context.play = Play(num_nodes, num_runners, num_zones)


@given("{num_nodes:d} nodes before {num_runners:d} back ends whose callers have keys")
def step_keys(context, num_nodes, num_runners):
    paths = {"note": "/n/", "memo": "/m/"}
    routes = [
        route(name, path, "streaming", service="lm", max_attempts=1, public=False)
        for name, path in paths.items()
    ]
    tenants = [{"name": name, "api_keys": [f"key-{name}"]} for name in ("t1", "t2")]
    context.play = Play(num_nodes, num_runners, routes=routes, tenants=tenants)


@when(
    "a request that crashes back ends comes each {interval_s:g} seconds for {seconds:g} seconds, "
    "to each node in turn"
)
def step_comes_again(context, interval_s, seconds):
    async def action(play):
        for number in range(int(seconds / interval_s)):
            nodes = play.nodes()
            await play.comes(nodes[number % len(nodes)])
            await anyio.sleep(interval_s)

    context.play.actions.append(action)


@given("{num_nodes:d} nodes before {num_runners:d} back ends of each service")
def step_each_service(context, num_nodes, num_runners):
    context.play = Play(num_nodes, num_runners)

    async def action(play):
        play.runners.start_all("orders", "10.2.0")
        await anyio.sleep(1.0)

    context.play.actions.append(action)


@when(
    'a request that crashes back ends comes to "{path}" each {interval_s:g} seconds for '
    "{seconds:g} seconds"
)
def step_comes_to_path(context, path, interval_s, seconds):
    async def action(play):
        for number in range(int(seconds / interval_s)):
            nodes = play.nodes()
            await play.comes(nodes[number % len(nodes)], path=path)
            await anyio.sleep(interval_s)

    context.play.actions.append(action)


@then("the last {num:d} tries get 503")
def step_last_refused(context, num):
    answers = context.play.run().fatal_answers
    assert [one.status for one in answers[-num:]] == [503] * num


@when(
    "a request that crashes back ends comes {times:d} at a time each {interval_s:g} seconds for "
    "{seconds:g} seconds"
)
def step_comes_together(context, times, interval_s, seconds):
    async def action(play):
        nodes = itertools.cycle(play.nodes())
        for _ in range(int(seconds / interval_s)):
            async with anyio.create_task_group() as tasks:
                for _ in range(times):
                    tasks.start_soon(play.comes, next(nodes))
            await anyio.sleep(interval_s)

    context.play.actions.append(action)


async def wait_for_crashes(play, num):
    while len(play.runners.crashes) < num:  # noqa: ASYNC110 - a stand-in tells nobody
        await anyio.sleep(0.01)


async def start_anew(play, after_crash):
    await wait_for_crashes(play, after_crash)
    await anyio.sleep(1.0)
    play.all_logs += play.fleet.logs.values()
    for name in list(play.fleet.nodes):
        play.fleet.kill(name)
    await play.start_all_nodes()


@when("all nodes are killed and start again")
def step_all_start_anew(context):
    async def action(play):
        await start_anew(play, 3)
        await anyio.sleep(1.0)

    context.play.actions.append(action)


async def all_after_third(play):
    await start_anew(play, 3)


async def all_after_second(play):
    await start_anew(play, 2)


async def one_starts(play):
    await wait_for_crashes(play, 2)
    await play.fleet.start_node("node-late", is_first_start=False, zone="hall-0")


async def store_away(play):
    play.fleet.store.is_silent = True


async def suspended(play):
    await wait_for_crashes(play, 2)
    play.fleet.freeze("node-2")
    await anyio.sleep(5.0)
    await play.fleet.thaw("node-2")
    play.fleet.suspend("node-2", 5.0)


async def stands_still(play):
    await wait_for_crashes(play, 2)
    play.fleet.freeze("node-2")
    await anyio.sleep(5.0)
    await play.fleet.thaw("node-2")


async def names_are_kept(play):
    play.runners.keeps_names = True


DISTURBANCES = {
    "all nodes are killed and start again after the third": all_after_third,
    "all nodes are killed and start again after the second": all_after_second,
    "a node starts after the second": one_starts,
    "the store is away from before the first until the end": store_away,
    "node-2 is suspended for 5 seconds after the second": suspended,
    "node-2 stands still from the second for 5 seconds": stands_still,
    "the back ends start again under the names that they had": names_are_kept,
}


@when("{what} while a request that crashes back ends comes again")
def step_disturbed(context, what):
    context.play.background.append(DISTURBANCES[what])

    async def action(play):
        await anyio.sleep(0.5)
        for number in range(int(COMES_AGAIN_S / INTERVAL_S)):
            nodes = [one for one in play.nodes() if one.settings.name not in play.fleet.frozen]
            if nodes:
                play.fleet.tasks.start_soon(play.comes, nodes[number % len(nodes)])
            await anyio.sleep(INTERVAL_S)

    context.play.actions.append(action)


@then("it reaches at most {num:d} back ends later than {seconds:g} seconds after the third crash")
def step_reaches(context, num, seconds):
    runners = context.play.run().runners
    assert len(runners.crashes) >= 3, runners.crashes
    found = runners.num_fatal_runs_after(3, seconds)
    assert found <= num, (found, runners.crashes)


@then(
    "the first {num_failed:d} tries get 502 and the last {num_refused:d} get 503 with a time of "
    "some 10 minutes"
)
def step_told(context, num_failed, num_refused):
    answers = context.play.run().fatal_answers
    assert [one.status for one in answers[:num_failed]] == [502] * num_failed
    for answer in answers[-num_refused:]:
        assert answer.status == 503
        assert 590.0 < float(answer.header("retry-after")) <= 600.0, answer.headers


@then('these last are told as "{cause}" in the log, under one request')
def step_logged(context, cause):
    play = context.play.run()
    lines = [one for one in play.logged("request_ended") if one.get("causes") == cause]
    assert len(lines) >= 4
    assert len({one["request"] for one in lines}) == 1, lines


@then("the store holds the record of one quarantine")
def step_record(context):
    keys = [
        one for one in context.play.run().fleet.store.items if one.startswith(QUARANTINE_PREFIX)
    ]
    assert len(keys) == 1, keys


@when("others ask {per_s:d} times a second for {seconds:g} seconds")
def step_others(context, per_s, seconds):
    async def ask_one(play, number):
        nodes = play.nodes()
        answer = await generate(nodes[number % len(nodes)], f"other-{number}", b"other %d" % number)
        play.other_answers.append((f"try-other-{number}", answer))

    async def action(play):
        for number in range(int(per_s * seconds)):
            play.fleet.tasks.start_soon(ask_one, play, number)
            await anyio.sleep(1.0 / per_s)

    context.play.background.append(action)
    context.play.started_runners = []


@then("all others are answered but those that ran on a back end that crashed")
def step_others_answered(context):
    play = context.play.run()
    lost = [
        line["id"]
        for line in play.logged("request_ended")
        if line["outcome"] != "answered" and "quarantined" not in line.get("causes", "")
    ]
    causes = {
        cause.rpartition(":")[2]
        for line in play.logged("request_ended")
        if line["id"] in lost
        for cause in line.get("causes", "").split(",")
        if cause
    }
    assert causes <= {"body_broken", "no_answer", "connect"}, causes
    assert len(play.other_answers) > 250
    refused = [one for one, answer in play.other_answers if answer.status == 503]
    assert not refused, refused
    whole = [one for one, answer in play.other_answers if answer.is_complete]
    assert len(whole) >= 0.97 * len(play.other_answers), len(whole)


async def answers_lost(play):
    nodes = play.nodes()
    for number in range(5):
        for runner in play.fleet.runners:
            runner.faults[:] = ["reset"]
        await play.comes(nodes[number % 2], HARMLESS_BODY)
        for runner in play.fleet.runners:
            runner.faults.clear()
        await anyio.sleep(1.5)


def slow_down(play, read_s):
    for runner in play.fleet.runners:
        runner.read_s = read_s


def where(play, num_before):
    """Return the back ends that have begun a run since there were so many of each."""
    return [one for one in play.fleet.runners if len(one.runs) > num_before.get(one.instance, 0)]


async def run_until(play, end, num_tries=1, body=HARMLESS_BODY):
    """Send tries that run for long, and have `end` done to a back end that runs one."""
    num_before = {one.instance: len(one.runs) for one in play.fleet.runners}
    slow_down(play, RUNS_LONG_S)
    nodes = itertools.cycle(play.nodes())
    async with anyio.create_task_group() as tasks:
        for _ in range(num_tries):
            tasks.start_soon(lambda: play.comes(next(nodes), body))
        await anyio.sleep(0.3)
        for runner in where(play, num_before):
            play.fleet.tasks.start_soon(end, runner)
    slow_down(play, 0.03)
    await anyio.sleep(3.0)


async def leave_as_planned(play):
    for _ in range(4):
        await run_until(play, play.runners.leave)


async def crash_at_once(play):
    await run_until(play, play.runners.crash, num_tries=24)


async def answered_between(play):
    for _ in range(5):
        await run_until(play, play.runners.crash)
        await generate(play.nodes()[0], "between", HARMLESS_BODY)


async def several_requests(play):
    for number in range(4):
        await run_until(play, play.runners.crash, body=b"%s %d" % (HARMLESS_BODY, number))


HARMLESS = {
    "the answers to a request are lost 5 times by back ends that live": answers_lost,
    "4 back ends leave as planned under a request": leave_as_planned,
    "5 back ends crash at once with a request that many ask for on each": crash_at_once,
    "5 back ends crash one after the other beside a request that is answered in between": (
        answered_between
    ),
    "back ends crash under 4 requests of one caller, once each": several_requests,
}


def add_harmless(what):
    @when(what)
    def step_harmless(context):
        context.play.actions.append(HARMLESS[what])


for _what in HARMLESS:
    add_harmless(_what)


@then("the same request is answered afterwards")
def step_same_answered(context):
    async def action(play):
        for node in play.nodes():
            play.answers.append(await generate(node, "afterwards", HARMLESS_BODY))

    context.play.actions.append(action)
    assert [one.status for one in context.play.run().answers] == [200, 200]


@then("nothing is quarantined, though {num:d} crashes are held against requests")
def step_nothing(context, num):
    lines = context.play.logged("crash_under_request")
    assert len({(one["request"], one["run"]) for one in lines}) == num, lines
    assert not context.play.logged("request_quarantined")
    assert all(node.quarantine.num_quarantined() == 0 for node in context.play.nodes())


@when('a request that crashes back ends comes {times:d} times with the key of "{tenant}"')
def step_comes_with_key(context, times, tenant):
    async def action(play):
        for number in range(times):
            await play.comes(play.nodes()[number % 2], key=f"key-{tenant}")
            await anyio.sleep(INTERVAL_S)
        statuses = [one.status for one in play.fatal_answers]
        assert statuses[-1] == 503, statuses
        play.runners.is_mended = True

    context.play.actions.append(action)


OTHERS = {
    "the same path with another body": {"body": b"crash not", "key": "key-t1"},
    "the same body on another path": {"path": "/m/1", "key": "key-t1"},
    'the same with the key of "t2"': {"key": "key-t2"},
}


@then("callers get an answer to {other}")
def step_other_answered(context, other):
    async def action(play):
        for node in play.nodes():
            play.answers.append(await generate(node, "other", **OTHERS[other]))

    context.play.actions.append(action)
    assert [one.status for one in context.play.run().answers] == [200, 200]


@when("an operator deletes the record")
def step_deletes(context):
    async def action(play):
        store = play.fleet.store
        for key in [one for one in store.items if one.startswith(QUARANTINE_PREFIX)]:
            store.delete(key)
        await anyio.sleep(1.0)

    context.play.actions.append(action)


@when("the back ends are mended and {seconds:g} seconds pass")
def step_mended(context, seconds):
    async def action(play):
        play.runners.is_mended = True
        await anyio.sleep(seconds)

    context.play.actions.append(action)


@when("a quarantine goes on for {seconds:g} seconds")
def step_quarantine_passes(context, seconds):
    async def action(play):
        await anyio.sleep(seconds)

    context.play.actions.append(action)


@when("it comes {times:d} times more")
def step_more(context, times):
    async def action(play):
        play.num_runs = sum(len(one.runs) for one in play.fleet.runners)
        play.num_crashes = len(play.runners.crashes)
        play.num_answered = 0
        for number in range(times):
            answer = await play.comes(play.nodes()[number % 2])
            play.num_answered += answer.status == 200
            await anyio.sleep(INTERVAL_S)

    context.play.actions.append(action)


@then("it reaches {num:d} more back ends")
def step_reaches_more(context, num):
    play = context.play.run()
    found = len(play.runners.crashes) - play.num_crashes + play.num_answered
    assert found == num, found


@given("a book of the requests that back ends crashed under")
def step_book(context):
    context.book = SuspectTracker()


@when('it is told "{news}"')
def step_told_news(context, news):
    for number, word in enumerate(news.split()):
        if word == "ok":
            context.book.note_answered("request")
        elif word == "over":
            context.book.note_quarantine_over("request", float(number))
        else:
            context.book.note_crash("request", word.rstrip("+"), word.endswith("+"), float(number))


@then("the request is the cause: {cause}")
def step_cause(context, cause):
    assert context.book.is_cause("request") == (cause == "yes")
