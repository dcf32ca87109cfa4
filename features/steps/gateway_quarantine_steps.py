"""Steps of `gateway_quarantine.feature`."""

import anyio
from behave import given, then, when

from features.support.crashing_runners import CrashingRunners, generate
from features.support.platform_fleet import configuration, with_fleet
from features.support.virtual_time import run_in_virtual_time


class Play:
    """Nodes before runners that crash; what happens is gathered first and runs once."""

    def __init__(self, num_nodes, num_runners):
        self.num_nodes = num_nodes
        self.runners = CrashingRunners(num_runners=num_runners)
        self.fleet = self.runners.fleet
        self.actions = []
        self.fatal_answers = []
        self.has_run = False

    def nodes(self):
        return list(self.fleet.nodes.values())

    def run(self):
        if not self.has_run:
            self.has_run = True
            run_in_virtual_time(self._main)
        return self

    async def _main(self):
        async def body():
            self.fleet.store.put("op/config", configuration())
            self.runners.start_all()
            for number in range(1, self.num_nodes + 1):
                await self.fleet.start_node(f"node-{number}")
            await anyio.sleep(2.0)
            for action in self.actions:
                await action(self)

        await with_fleet(self.fleet, body)


@given("{num_nodes:d} nodes before {num_runners:d} back ends")
def step_nodes(context, num_nodes, num_runners):
    context.play = Play(num_nodes, num_runners)


@when(
    "a request that crashes back ends comes each {interval_s:g} seconds for {seconds:g} seconds, "
    "to each node in turn"
)
def step_comes_again(context, interval_s, seconds):
    async def action(play):
        for number in range(int(seconds / interval_s)):
            nodes = play.nodes()
            answer = await generate(nodes[number % len(nodes)], number)
            play.fatal_answers.append((anyio.current_time(), answer))
            await anyio.sleep(interval_s)

    context.play.actions.append(action)


@then("it reaches at most {num:d} back ends later than {seconds:g} seconds after the {nth} crash")
def step_reaches(context, num, seconds, nth):
    runners = context.play.run().runners
    assert len(runners.crashes) >= 3, runners.crashes
    found = runners.num_fatal_runs_after(3, seconds)
    assert found <= num, (found, runners.crashes)
