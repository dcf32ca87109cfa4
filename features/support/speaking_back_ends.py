"""Plays nodes before back ends that say of themselves that they leave, want a rest, or are limited."""

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
"""Until the nodes know one another and the back ends."""


class SpeakingBackEnds(PlayedOnce):
    """Gathers what is to happen, plays it once, and tells who got what when."""

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
        self.told_s = {}
        """When a node was first answered that a back end leaves, by their names."""
        self.said_s = {}
        """When a back end last said in any answer that it leaves, by its name."""
        self.rests_s = {}
        """By node and back end: when each rest was asked for, and for how long."""
        self.limits = []
        """What was stated of limits, in order: each `(at_s, node or None, back end, as written)`."""
        self.arrived_s = {}
        """By node and back end: when requests arrived."""
        self.num_asked = itertools.count(1)

    def _add(self, instance, address, service, model):
        self.back_ends[instance] = RunnerStandIn(instance, address, service, model=model)

    def node_names(self):
        return [f"node-{number}" for number in range(1, self.num_nodes + 1)]

    def logged(self, name):
        """Return the events of a name in the nodes' logs, by node."""
        return {node: log.named(name) for node, log in self.fleet.logs.items()}

    def arrivals_s(self, name):
        """Return when requests arrived at a back end."""
        found = [at_s for (_, to), all_s in self.arrived_s.items() if to == name for at_s in all_s]
        return sorted(found)

    def all_nodes(self):
        return list(self.fleet.nodes.values())

    async def until_said(self, name, node=None, path=None):
        """Ask until a back end says that it leaves; from then on it does not say so any more."""
        back_end = self.back_ends[name]
        back_end.is_leaving = True
        while name not in self.said_s:
            self.fleet.tasks.start_soon(self.ask_node, node or self.node_names()[0], path)
            await anyio.sleep(0.1)
        back_end.is_leaving = False

    async def _body(self):
        self.fleet.store.put("op/config", configuration())
        for back_end in self.back_ends.values():
            self.fleet.add_runner(back_end)
            self.watch(back_end)
        for number, name in enumerate(self.node_names()):
            zone = f"hall-{number % self.num_zones}"
            await self.fleet.start_node(name, is_first_start=False, zone=zone)
        await anyio.sleep(SETTLE_S)
        for action in self.background:
            self.fleet.tasks.start_soon(action)
        for action in self.actions:
            await action()

    def watch(self, back_end):
        """Note what arrives at a back end and what its answers say."""
        self.fleet.targets[back_end.address] = Watched(self, back_end)

    async def ask_nodes(self, interval_s, for_s):
        """Ask each node in turn, over and over."""
        until_s = anyio.current_time() + for_s
        while anyio.current_time() < until_s:
            for name in list(self.fleet.nodes):
                if name in self.fleet.nodes:
                    self.fleet.tasks.start_soon(self.ask_node, name)
            await anyio.sleep(interval_s)
        await anyio.sleep(SETTLE_S)

    async def ask_node(self, name, path=None, **more):
        number = next(self.num_asked)
        path = path or self.path
        request_id = f"q{name}-{number}"
        if path.startswith(("/o/", "/s/")):
            headers = request_headers(request_id)
        else:
            # Prompts that share nothing draw requests to no back end more than to another.
            headers = generation_headers(request_id, parts=f"a{number}:800,b{number}:200")
        answer = await ask(self.fleet.nodes[name], path, headers=headers, **more)
        answer.at_s = anyio.current_time() - answer.took_s
        self.answers.append(answer)
        return answer


class Watched:
    """A back end whose arrivals and answers are noted by node."""

    def __init__(self, play, back_end):
        self._play = play
        self._back_end = back_end

    async def handle(self, request):
        name = self._back_end.instance
        request_id = request.headers.get("x-attempt-id")
        node = None if request_id is None else request_id[1:].rpartition("-")[0]
        key = (node, name)
        if node is not None:
            self._play.arrived_s.setdefault(key, []).append(anyio.current_time())
        response: httpx.Response = await self._back_end.handle(request)
        now_s = anyio.current_time()
        if "server-leaving" in response.headers:
            self._play.said_s[name] = now_s
            if node is not None:
                self._play.told_s.setdefault(key, now_s)
        if node is not None and "retry-after" in response.headers:
            self._play.rests_s.setdefault(key, []).append(now_s)
        limit = response.headers.get("server-limit")
        if limit is not None:
            self._play.limits.append((now_s, node, name, limit))
        return response
