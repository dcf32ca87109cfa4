"""Plays nodes before a store that comes back from a copy."""

import anyio

from features.support.platform_fleet import (
    MODEL,
    STORE_ADDRESS,
    Fleet,
    ask,
    configuration,
    generation_headers,
    request_headers,
    route,
)
from features.support.platform_runner import RunnerStandIn
from features.support.played_once import PlayedOnce

SETTLE_S = 2.5
"""Until the nodes know one another, the back ends and who holds the duty."""

AWAY_S = 0.3
"""For how long the store is away before it comes back from the copy."""

LOOK_INTERVAL_S = 0.05
ASK_INTERVAL_S = 0.1
TENANT = {"name": "t1", "api_keys": ["good"]}


def keyed_configuration(version, keys=("good",)):
    """Return a configuration with a route that needs a key."""
    routes = [
        route("keyed", "/k/", "idempotent", public=False),
        route("status", "/s/", "idempotent"),
        route("draft", "/a/", "streaming", service="lm", resumable=True, gap_slo_ms=500),
    ]
    return configuration(version, routes, [TENANT | {"api_keys": list(keys)}])


class RestoredStore(PlayedOnce):
    """Gathers what is to happen, plays it once, and keeps what was seen."""

    def __init__(self, num_nodes=3):
        self.num_nodes = num_nodes
        self.fleet = Fleet()
        self.actions = []
        self.restored_s = None
        self.written_s = None
        self.answers = []
        self.views = []
        """What nodes knew at each look: `(at_s, node, back ends, nodes, configuration)`."""
        self._num_asked = 0

    async def _body(self):
        fleet = self.fleet
        fleet.store.put("op/config", keyed_configuration(3))
        fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
        for number in (1, 2, 3):
            self.add_back_end(f"lm-{number}", f"10.3.0.{number}:8080", "lm", MODEL)
        for number in (1, 2):
            self.add_back_end(f"o-{number}", f"10.2.0.{number}:8080", "orders", None)
        for number in range(1, self.num_nodes + 1):
            await fleet.start_node(f"node-{number}", is_first_start=False)
        await anyio.sleep(SETTLE_S)
        fleet.store.take_backup()
        fleet.tasks.start_soon(self._look)
        for action in self.actions:
            await action()

    def add_back_end(self, instance, address, service, model):
        """Add a back end that registers."""
        runner = RunnerStandIn(instance, address, service, model=model)
        runner.version = 1
        self.fleet.add_runner(runner)
        return runner

    async def restore(self):
        """Have the store go away for a moment and come back from the copy."""
        store = self.fleet.store
        store.is_down = True
        await anyio.sleep(AWAY_S)
        store.is_down = False
        store.restore()
        if self.restored_s is None:
            self.restored_s = anyio.current_time()

    def change_something(self, times):
        """Have the operator write something that concerns nobody, so that revisions rise."""
        for number in range(times):
            self.fleet.store.put("op/note", {"number": number})

    def write_configuration(self, version, keys=("good",)):
        """Have the operator write a configuration."""
        self.fleet.store.put("op/config", keyed_configuration(version, keys))
        self.written_s = anyio.current_time()

    async def ask_all(self, for_s, key=None):
        """Have callers ask all nodes for some time."""
        until_s = anyio.current_time() + for_s
        while anyio.current_time() < until_s:
            for node in list(self.fleet.nodes.values()):
                self.fleet.tasks.start_soon(self._ask, node, key)
            await anyio.sleep(ASK_INTERVAL_S)
        await anyio.sleep(1.0)

    async def _ask(self, node, key):
        self._num_asked += 1
        request_id = f"q{self._num_asked}"
        if key is None:
            headers = generation_headers(request_id, parts=f"a{self._num_asked}:800,b:200")
            answer = await ask(node, "/a/1", headers=headers)
        else:
            headers = [*request_headers(request_id), (b"authorization", f"Bearer {key}".encode())]
            answer = await ask(node, "/k/1", headers=headers)
        answer.at_s = anyio.current_time() - answer.took_s
        self.answers.append(answer)

    async def _look(self):
        while True:
            for name, node in list(self.fleet.nodes.items()):
                back_ends = {one.instance for one in node.cluster.back_ends.ready("lm")}
                table = node.cluster.table
                version = None if table is None else table.version
                num_nodes = node.peers.num_nodes(0.0)
                self.views.append((anyio.current_time(), name, back_ends, num_nodes, version))
            await anyio.sleep(LOOK_INTERVAL_S)

    def orders(self):
        """Return all orders to engines in the order of their arrival: `(at_s, order)`."""
        found = [one for runner in self.fleet.runners for one in runner.orders]
        return sorted(found, key=lambda one: one[0])

    def cut_off(self, name):
        """Cut a node off from the store."""
        self.fleet.cuts.add((name, STORE_ADDRESS))
