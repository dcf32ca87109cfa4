"""Steps of `gateway_displaced.feature`."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import Fleet, ask, configuration, request_headers, with_fleet
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time

ADDRESS = "10.2.0.1:8080"
STEP_S = 0.5
"""Between two changes of the registrations."""
SETTLE_S = 1.0
"""Within which a back end that is registered and answers is used."""
NUM_ASKED = 10


class Address:
    """Nodes before one address at which one process runs and several have registered."""

    def __init__(self, num_nodes, living):
        self.fleet = Fleet()
        self.num_nodes = num_nodes
        self.runs = {}
        self.living = living
        self.changes = ()
        self.answers = {}
        """By node: what it answered after all has settled."""
        self.num_asked = 0
        self.states_start = True

    def run_of(self, letter):
        """Return the stand-in of a run; runs start in the order of their letters."""
        if letter not in self.runs:
            run = RunnerStandIn(letter, ADDRESS, "orders", model=None)
            if self.states_start:
                run.born_ms = 1_700_000_000_000 + 1000 * (ord(letter) - ord("A"))
            self.runs[letter] = run
        return self.runs[letter]

    async def change(self, change):
        """Carry out one change: a letter and + (registers), - (ends) or ~ (writes again)."""
        letter, what = change
        store, run = self.fleet.store, self.run_of(letter)
        if what == "-":
            store.delete(f"servers/{letter}")
        else:
            seq = 1 if what == "+" else 2
            store.put(f"servers/{letter}", run.entry() | {"seq": seq})

    async def body(self):
        self.fleet.store.put("op/config", configuration())
        self.fleet.targets[ADDRESS] = self.run_of(self.living)
        for number in range(1, self.num_nodes + 1):
            await self.fleet.start_node(f"node-{number}", is_first_start=False)
        await anyio.sleep(2.0)
        for change in self.changes:
            await self.change(change)
            await anyio.sleep(STEP_S)
        await anyio.sleep(SETTLE_S)
        for _ in range(NUM_ASKED):
            for name in self.fleet.nodes:
                self.answers.setdefault(name, []).append(await self.ask(name))
            await anyio.sleep(0.1)

    async def ask(self, name):
        self.num_asked += 1
        node = self.fleet.nodes[name]
        return await ask(node, "/s/1", headers=request_headers(f"q{self.num_asked}"))

    def play(self):
        if not self.answers:
            run_in_virtual_time(lambda: with_fleet(self.fleet, self.body))
        return self


@given('{num_nodes:d} nodes, and an address at which "{living}" runs')
def step_address(context, num_nodes, living):
    context.address = Address(num_nodes, living)


@when('its registrations are "{changes}"')
def step_changes(context, changes):
    context.address.changes = changes.split()


@then('every node has its requests answered by "{living}"')
def step_answered(context, living):
    address = context.address.play()
    assert len(address.answers) == address.num_nodes
    for name, answers in address.answers.items():
        found = {(answer.status, answer.body) for answer in answers}
        assert found == {(200, f"done by {living}".encode())}, (name, found)
