"""Simulates nodes whose back ends state that they are leaving, ask for a rest, or state a limit."""

import itertools

import anyio
import httpx

from features.support.platform_fleet import (
    Fleet,
    ask,
    configuration,
    generation_headers,
    request_headers,
)
from features.support.platform_runner import RunnerStandIn
from features.support.played_once import PlayedOnce

SETTLE_S = 2.0
"""Seconds until the nodes have found one another and the back ends."""


class StatementSimulation(PlayedOnce):
    """Collects actions, runs them once, and records requests and statements with their times."""

    def __init__(self, num_nodes, num_back_ends, num_zones=1):
        self.num_nodes = num_nodes
        self.num_zones = num_zones
        self.fleet = Fleet()
        self.back_ends = {}
        for number in range(1, num_back_ends + 1):
            self._add(f"lm-{number}", f"10.3.0.{number}:8080", "lm", "m")
            self._add(f"o-{number}", f"10.2.0.{number}:8080", "orders", None)
        self.path = "/a/1"
        self.background = []
        self.actions = []
        self.answers = []
        self.first_leaving_s = {}
        """By node and back end: time of the first answer which states that it is leaving."""
        self.last_leaving_s = {}
        """By back end: time of the last answer which states that it is leaving."""
        self.rest_requests_s = {}
        """By node and back end: times of the answers that ask for a rest."""
        self.limit_statements = []
        """Statements of limits, in order: each `(at_s, node or None, back end, as written)`."""
        self.arrived_s = {}
        """By node and back end: times at which requests arrived."""
        self.request_numbers = itertools.count(1)

    def _add(self, instance, address, service, model):
        self.back_ends[instance] = RunnerStandIn(instance, address, service, model=model)

    def node_names(self):
        return [f"node-{number}" for number in range(1, self.num_nodes + 1)]

    def logged(self, name):
        """Return the events with this name in the logs of the nodes, by node."""
        return {node: log.named(name) for node, log in self.fleet.logs.items()}

    def arrivals_s(self, name):
        """Return the times at which requests arrived at a back end, in order."""
        arrived_s = [
            at_s
            for (_, back_end), times_s in self.arrived_s.items()
            if back_end == name
            for at_s in times_s
        ]
        return sorted(arrived_s)

    def all_nodes(self):
        return list(self.fleet.nodes.values())

    async def send_until_leaving(self, name, node=None, path=None):
        """Send requests until a back end has stated once that it is leaving, and not again."""
        back_end = self.back_ends[name]
        back_end.is_leaving = True
        while name not in self.last_leaving_s:
            self.fleet.tasks.start_soon(self.send_request, node or self.node_names()[0], path)
            await anyio.sleep(0.1)
        back_end.is_leaving = False

    async def _body(self):
        self.fleet.store.put("op/config", configuration())
        for back_end in self.back_ends.values():
            self.fleet.add_runner(back_end)
            self.record_traffic(back_end)
        for number, name in enumerate(self.node_names()):
            zone = f"hall-{number % self.num_zones}"
            await self.fleet.start_node(name, is_first_start=False, zone=zone)
        await anyio.sleep(SETTLE_S)
        for action in self.background:
            self.fleet.tasks.start_soon(action)
        for action in self.actions:
            await action()

    def record_traffic(self, back_end):
        """Record the requests that arrive at a back end and the statements in its answers."""
        self.fleet.targets[back_end.address] = RecordedBackEnd(self, back_end)

    async def send_to_all_nodes(self, interval_s, for_s):
        """Send each node a request at each interval, for some time."""
        until_s = anyio.current_time() + for_s
        while anyio.current_time() < until_s:
            for name in list(self.fleet.nodes):
                if name in self.fleet.nodes:
                    self.fleet.tasks.start_soon(self.send_request, name)
            await anyio.sleep(interval_s)
        await anyio.sleep(SETTLE_S)

    async def send_request(self, name, path=None, **more):
        number = next(self.request_numbers)
        path = path or self.path
        request_id = f"q{name}-{number}"
        if path.startswith(("/o/", "/s/")):
            headers = request_headers(request_id)
        else:
            # Prompts without common blocks, so cached blocks make no back end preferable.
            headers = generation_headers(request_id, parts=f"a{number}:800,b{number}:200")
        answer = await ask(self.fleet.nodes[name], path, headers=headers, **more)
        answer.at_s = anyio.current_time() - answer.took_s
        self.answers.append(answer)
        return answer


class RecordedBackEnd:
    """A back end whose requests and statements are recorded by node."""

    def __init__(self, simulation, back_end):
        self._simulation = simulation
        self._back_end = back_end

    async def handle(self, request):
        name = self._back_end.instance
        request_id = request.headers.get("x-attempt-id")
        node = None if request_id is None else request_id[1:].rpartition("-")[0]
        key = (node, name)
        if node is not None:
            self._simulation.arrived_s.setdefault(key, []).append(anyio.current_time())
        response: httpx.Response = await self._back_end.handle(request)
        now_s = anyio.current_time()
        if "server-leaving" in response.headers:
            self._simulation.last_leaving_s[name] = now_s
            if node is not None:
                self._simulation.first_leaving_s.setdefault(key, now_s)
        if node is not None and "retry-after" in response.headers:
            self._simulation.rest_requests_s.setdefault(key, []).append(now_s)
        limit = response.headers.get("server-limit")
        if limit is not None:
            self._simulation.limit_statements.append((now_s, node, name, limit))
        return response
