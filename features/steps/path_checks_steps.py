"""Steps of `path_checks.feature`."""

from collections import Counter
from contextlib import suppress
from random import Random

import anyio
from behave import given, then, when

from features.support.platform_fleet import EventRecorder
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory, BackEndState
from weirscale.gateway.model.topology import Location, Topology
from weirscale.gateway.paths.dialer import RelayingDialer
from weirscale.gateway.paths.path_checks import PathChecks, TrafficWatch
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_choice import RelayChoice
from weirscale.gateway.paths.relays import RelayFailedError, RelayOutcome
from weirscale.gateway.peers.registrations import RelayPeer
from weirscale.gateway.requests.path_verdicts import PathVerdicts
from weirscale.gateway.settings import ListenAddress
from weirscale.ports.unexpected_errors import UnexpectedErrors


class IdleStream:
    """A connection on which nothing happens."""

    async def aclose(self):
        pass


class ScriptedOpener:
    """Opens connections on the paths that are sound, and counts what was tried."""

    def __init__(self):
        self.unreachable = set()
        self.tried = Counter()
        self.asked = Counter()
        self.relay_outcomes = {}

    async def open(self, address):
        self.tried[address] += 1
        if address in self.unreachable:
            raise ConnectionRefusedError(address)
        return IdleStream()

    async def open_through(self, relay, address):
        self.asked[relay.name] += 1
        outcome = self.relay_outcomes.get(relay.name)
        if outcome is not None:
            raise RelayFailedError(outcome)
        return IdleStream()


class PathSetting:
    """The path checks of one node, its back ends and relays, in virtual time."""

    def __init__(self, names, num_relays=1):
        self.directory = BackEndDirectory()
        for name in names:
            self.directory.put(BackEnd(f"i-{name}", "s", name, "z", BackEndState.READY, 4))
        self.opener = ScriptedOpener()
        self.relays = [
            RelayPeer(f"node-{number}", ListenAddress("10.0.0.1", number), "z", "t")
            for number in range(2, 2 + num_relays)
        ]
        self.state = PathState(EventRecorder(), anyio.current_time)
        choice = RelayChoice(
            Location("z", Topology({})), lambda: self.relays, Random(2), anyio.current_time
        )
        self.dialer = RelayingDialer(self.state, choice, self.opener, lambda: None)
        self.checks = PathChecks(
            self.state, self.dialer, TrafficWatch(anyio.current_time), self.directory, Random(1),
            anyio.current_time, UnexpectedErrors(EventRecorder()),
        )  # fmt: skip

    def play(self, script):
        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.checks.run)
                await script()
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)


@given('a node with the back ends "{names}" whose paths are {are}')
def step_setting(context, names, are):
    context.setting = PathSetting(names.split())
    if are == "lost":
        context.setting.opener.unreachable = set(names.split())


@given('a node with the back ends "{name}" and {num:d} relays, of which the first {behaviour}')
def step_relays(context, name, num, behaviour):
    context.setting = PathSetting([name], num)
    context.setting.opener.unreachable = {name}
    outcomes = {"fails": RelayOutcome.NO_PATH, "confirms its end": RelayOutcome.REFUSED}
    context.setting.opener.relay_outcomes["node-2"] = outcomes[behaviour]


@when(
    'a check of the path to "{name}" is requested every {apart_s:g} seconds for {for_s:g} seconds'
)
def step_request(context, name, apart_s, for_s):
    setting = context.setting

    async def script():
        until_s = anyio.current_time() + for_s
        while anyio.current_time() < until_s:
            setting.checks.request(name)
            await anyio.sleep(apart_s)

    setting.play(script)


@then('connections to "{name}" were opened {least:d} to {most:d} times')
def step_opened(context, name, least, most):
    assert least <= context.setting.opener.tried[name] <= most, context.setting.opener.tried


def lose(setting, names):
    for name in names:
        setting.state.relayed(name, "node-2", "TimeoutError")


@when('"{first}" and "{second}" count as lost for {for_s:g} seconds')
def step_lost(context, first, second, for_s):
    async def script():
        lose(context.setting, (first, second))
        await anyio.sleep(for_s)

    context.setting.play(script)


@when(
    '"{first}" and "{second}" count as lost for {for_s:g} seconds, and all paths but those to them '
    "come back"
)
def step_come_back(context, first, second, for_s):
    async def script():
        lose(context.setting, (first, second))
        context.setting.opener.unreachable = {first, second}
        await anyio.sleep(for_s)

    context.setting.play(script)


@then('connections to "{first}" and "{second}" were tried directly')
def step_tried(context, first, second):
    tried = context.setting.opener.tried
    assert tried[first] and tried[second], tried


@then("some path counts as sound again")
def step_not_all(context):
    assert not context.setting.state.are_all_lost()


@when(
    'connections to "{name}" are opened {num:d} times at once and again after {apart_s:g} seconds'
)
def step_open(context, name, num, apart_s):
    setting = context.setting
    context.asked = []

    async def script():
        for _ in range(2):
            before = setting.opener.asked["node-2"]
            for _ in range(num):
                with suppress(OSError):
                    await setting.dialer.open(name)
            context.asked.append(setting.opener.asked["node-2"] - before)
            await anyio.sleep(apart_s)

    setting.play(script)


@then("the first relay was asked at most once at each time")
def step_asked(context):
    assert sum(context.asked) >= 1 and max(context.asked) <= 1, context.asked


@when('a connection to "{name}" fails')
def step_fails(context, name):
    async def script():
        try:
            await context.setting.dialer.open(name)
        except OSError:
            verdicts = PathVerdicts(context.setting.state, context.setting.checks)
            context.is_known = verdicts.is_unreachable_for_all(name)

    context.setting.play(script)


@then('"{name}" counts as unreachable for all')
def step_known(context, name):
    assert context.is_known


@when('the path to "{name}" alone is lost')
def step_one_lost(context, name):
    async def script():
        lose(context.setting, (name,))

    context.setting.play(script)


@then('failures at "{lost}" prove nothing, and those at "{sound}" do')
def step_verdicts(context, lost, sound):
    verdicts = PathVerdicts(context.setting.state, context.setting.checks)
    assert verdicts.may_be_lost(lost) and not verdicts.may_be_lost(sound)
