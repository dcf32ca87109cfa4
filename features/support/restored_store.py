"""Runs nodes whose store is restored from a backup."""

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
"""Seconds until the nodes know each other, the back ends and the holder of the duty."""

RESTORE_OUTAGE_S = 0.3
"""Seconds for which the store is down before it is restored from the backup."""

VIEW_INTERVAL_S = 0.05
REQUEST_INTERVAL_S = 0.1
TENANT = {"name": "t1", "api_keys": ["good"]}


def keyed_configuration(version, keys=("good",)):
    """Return a configuration with a route that requires an API key."""
    routes = [
        route("keyed", "/k/", "idempotent", public=False),
        route("status", "/s/", "idempotent"),
        route("draft", "/a/", "streaming", service="lm", resumable=True, gap_slo_ms=500),
    ]
    return configuration(version, routes, [TENANT | {"api_keys": list(keys)}])


class RestoreRun(PlayedOnce):
    """Runs the actions of a scenario once, and records answers and the nodes' views."""

    def __init__(self, num_nodes=3):
        self.num_nodes = num_nodes
        self.fleet = Fleet()
        self.actions = []
        self.restored_s = None
        self.written_s = None
        self.answers = []
        self.views = []
        """Samples of the nodes' state: `(at_s, node, back ends, number of nodes, configuration)`."""
        self._num_sent = 0

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
        fleet.tasks.start_soon(self._sample_views)
        for action in self.actions:
            await action()

    def add_back_end(self, instance, address, service, model):
        """Add a back end that registers itself."""
        runner = RunnerStandIn(instance, address, service, model=model)
        runner.version = 1
        self.fleet.add_runner(runner)
        return runner

    async def restore(self):
        """Stop the store for a moment and restore it from the backup."""
        store = self.fleet.store
        store.is_down = True
        await anyio.sleep(RESTORE_OUTAGE_S)
        store.is_down = False
        store.restore()
        if self.restored_s is None:
            self.restored_s = anyio.current_time()

    def write_unrelated_key(self, times):
        """Write a key that no node uses, to increase the store's revision."""
        for number in range(times):
            self.fleet.store.put("op/note", {"number": number})

    def write_configuration(self, version, keys=("good",)):
        """Write a configuration as the operator."""
        self.fleet.store.put("op/config", keyed_configuration(version, keys))
        self.written_s = anyio.current_time()

    async def send_requests(self, for_s, key=None):
        """Send requests to all nodes for `for_s` seconds, with an API key if one is given."""
        until_s = anyio.current_time() + for_s
        while anyio.current_time() < until_s:
            for node in list(self.fleet.nodes.values()):
                self.fleet.tasks.start_soon(self._send_request, node, key)
            await anyio.sleep(REQUEST_INTERVAL_S)
        await anyio.sleep(1.0)

    async def _send_request(self, node, key):
        self._num_sent += 1
        request_id = f"q{self._num_sent}"
        if key is None:
            headers = generation_headers(request_id, parts=f"a{self._num_sent}:800,b:200")
            answer = await ask(node, "/a/1", headers=headers)
        else:
            headers = [*request_headers(request_id), (b"authorization", f"Bearer {key}".encode())]
            answer = await ask(node, "/k/1", headers=headers)
        answer.at_s = anyio.current_time() - answer.took_s
        self.answers.append(answer)

    async def _sample_views(self):
        while True:
            for name, node in list(self.fleet.nodes.items()):
                back_ends = {back_end.instance for back_end in node.cluster.back_ends.ready("lm")}
                table = node.cluster.table
                version = None if table is None else table.version
                num_nodes = node.peers.num_nodes(0.0)
                self.views.append((anyio.current_time(), name, back_ends, num_nodes, version))
            await anyio.sleep(VIEW_INTERVAL_S)

    def orders(self):
        """Return all orders to engines by time of arrival: `(at_s, order)`."""
        orders = [order for runner in self.fleet.runners for order in runner.orders]
        return sorted(orders, key=lambda order: order[0])

    def cut_off(self, name):
        """Disconnect a node from the store."""
        self.fleet.cuts.add((name, STORE_ADDRESS))
