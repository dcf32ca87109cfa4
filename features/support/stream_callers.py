"""Back ends of several service versions side by side, and callers that take streams up at any node."""

import itertools
from dataclasses import dataclass, field
from random import Random

import anyio

from features.support.platform_fleet import (
    Answer,
    Fleet,
    ask,
    configuration,
    generation_headers,
)
from features.support.platform_runner import NUM_EVENTS, RunnerStandIn
from features.support.platform_words import parse_events
from features.support.played_once import PlayedOnce

SETTLE_S = 2.0
"""Seconds until the nodes have found one another and the back ends."""

EVENT_INTERVAL_S = 0.15
NUM_SLOTS = 32
MAX_TRIES = 3
DEADLINE_MS = 4000
HTTP_OK = 200
DEFAULT_RETRY_S = 0.05
MAX_RETRY_S = 1.0


class VersionedBackEnd(RunnerStandIn):
    """A back end of one service version; each event names the version's instance."""

    version_name = "v1"

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version_name, "slots": NUM_SLOTS}


@dataclass
class StreamTry:
    """One try of a stream at a node."""

    request_id: str
    node: str
    at_s: float
    answer: Answer = field(default_factory=Answer)
    was_cut: bool = False
    """Whether the caller lost its connection because the node ended."""

    def events(self):
        """Return the numbers of the complete events, and the back end that each names."""
        numbers, origins = parse_events(self.answer.body.decode())
        return numbers, [origin.rpartition(" ")[2] for origin in origins]


@dataclass
class Stream:
    """A stream over all tries of its caller."""

    tries: list = field(default_factory=list)
    has_two_events: anyio.Event = field(default_factory=anyio.Event)

    @property
    def numbers(self):
        return [number for one in self.tries for number in one.events()[0]]

    @property
    def versions(self):
        """Return the versions of the back ends that made its events."""
        return {origin.split("-")[0] for one in self.tries for origin in one.events()[1]}

    @property
    def is_complete(self):
        return self.numbers == list(range(1, NUM_EVENTS + 1)) and self.tries[-1].answer.is_complete

    @property
    def began(self):
        return bool(self.tries and self.tries[0].events()[0])

    def record_part(self):
        """Note that another part arrives after those that are in the answer already."""
        if len(self.numbers) >= 2:
            self.has_two_events.set()

    def take_ups(self):
        """Return the tries that followed a try with events."""
        first = next((n for n, one in enumerate(self.tries) if one.events()[0]), len(self.tries))
        return self.tries[first + 1 :]


class VersionedStreams(PlayedOnce):
    """Nodes and callers before back ends of several versions, with faults at given times."""

    def __init__(self, num_nodes=7, num_zones=4, versions="v1 v1 v2 v2 v2", seed=1):
        self.num_nodes = num_nodes
        self.num_zones = num_zones
        self.fleet = Fleet(seed)
        self.random = Random(seed)
        self.back_ends = []
        for number, version in enumerate(versions.split()):
            self.make_back_end(version, number)
        self.actions = []
        self.streams = []
        self.max_tries = MAX_TRIES
        self.names_first_try = True
        """Whether callers that take a stream up name the try that brought its first event."""
        self.tries_at = {}
        """By node: cancel scopes of the tries that are under way there."""
        self.cut_nodes = set()
        """Nodes that callers do not go to."""
        self.numbers = itertools.count(1)
        self.prompts = itertools.count(1)

    def make_back_end(self, version, number):
        back_end = VersionedBackEnd(f"{version}-{number}", f"10.3.0.{number + 1}:8080", "lm")
        back_end.version_name = version
        back_end.names_request = True
        back_end.event_interval_s = EVENT_INTERVAL_S
        self.back_ends.append(back_end)
        return back_end

    def node_names(self):
        return [f"node-{number}" for number in range(1, self.num_nodes + 1)]

    async def _body(self):
        self.fleet.store.put("op/config", self.configuration())
        for back_end in self.back_ends:
            self.fleet.add_runner(back_end)
        for number, name in enumerate(self.node_names()):
            await self.fleet.start_node(name, zone=f"hall-{number % self.num_zones}")
        await anyio.sleep(SETTLE_S)
        for action in self.actions:
            await action()

    def configuration(self):
        written = configuration()
        written["services"][1]["engine"]["slots"] = NUM_SLOTS
        return written

    # What callers do.

    async def send_streams(self, per_s, for_s):
        """Start streams at random nodes, evenly over a time, and wait for their ends."""
        async with anyio.create_task_group() as tasks:
            until_s = anyio.current_time() + for_s
            while anyio.current_time() < until_s:
                tasks.start_soon(self.run_stream)
                await anyio.sleep(1.0 / per_s)

    async def run_stream(self):
        """Run one stream: take it up at another node each time that it breaks off."""
        stream = Stream()
        self.streams.append(stream)
        deadline_s = anyio.current_time() + DEADLINE_MS / 1000.0
        while len(stream.tries) < self.max_tries and anyio.current_time() < deadline_s:
            node = self._choose_node(stream)
            if node is None:
                await anyio.sleep(DEFAULT_RETRY_S)
                continue
            last = await self.send_try(stream, node)
            if last.answer.is_complete and last.answer.status == HTTP_OK:
                return stream
            await anyio.sleep(_pause_s(last.answer))
        return stream

    def _choose_node(self, stream):
        tried = {one.node for one in stream.tries}
        nodes = [name for name in self.fleet.nodes if name not in self.cut_nodes]
        return self.random.choice([name for name in nodes if name not in tried] or nodes or [None])

    async def send_try(self, stream, node, extra=()):
        """Send the next try of a stream to a node, and return it."""
        number = next(self.numbers)
        one = StreamTry(f"q{number}", node, anyio.current_time())
        prompt = next(self.prompts)
        headers = generation_headers(
            one.request_id, parts=f"a{prompt}:800,b{prompt}:200", x_deadline_ms=DEADLINE_MS
        )
        headers += [*self._resume_headers(stream), *extra]
        stream.tries.append(one)
        with anyio.CancelScope() as scope:
            self.tries_at.setdefault(node, []).append(scope)
            await ask(
                self.fleet.nodes[node],
                "/a/x",
                headers=headers,
                answer=one.answer,
                on_body_part=stream.record_part,
            )
        one.was_cut = scope.cancelled_caught
        return one

    def _resume_headers(self, stream):
        if not stream.numbers:
            return []
        first = next(one for one in stream.tries if one.events()[0])
        headers = [(b"last-event-id", str(stream.numbers[-1]).encode())]
        if self.names_first_try:
            headers.append((b"resumes", first.request_id.encode()))
        return headers

    # Faults.

    async def crash(self, back_end):
        """End a back end's process; its registration stays for a while."""
        back_end.is_crashed = True
        self.fleet.targets.pop(back_end.address, None)

    async def kill_node(self, name):
        """End a node's process at once, with its callers' connections."""
        self.fleet.kill(name)
        for scope in self.tries_at.pop(name, ()):
            scope.cancel()

    async def restart_node(self, name, down_s=0.5, is_first_start=False):
        await self.kill_node(name)
        await anyio.sleep(down_s)
        number = int(name.rpartition("-")[2])
        zone = f"hall-{(number - 1) % self.num_zones}"
        await self.fleet.start_node(name, is_first_start=is_first_start, zone=zone, number=number)

    async def restart_all(self, down_s=0.5, is_first_start=False):
        """End all nodes' processes at the same moment, and start them again."""
        async with anyio.create_task_group() as tasks:
            for name in list(self.fleet.nodes):
                tasks.start_soon(self.restart_node, name, down_s, is_first_start)

    def remove_version(self, version):
        """Take all back ends of a version away, with their registrations."""
        for back_end in [one for one in self.back_ends if one.version_name == version]:
            self.fleet.remove_runner(back_end)
            self.fleet.store.delete(f"servers/{back_end.instance}")


def _pause_s(answer):
    stated = answer.header("retry-after")
    return DEFAULT_RETRY_S if stated is None else min(float(stated), MAX_RETRY_S)
