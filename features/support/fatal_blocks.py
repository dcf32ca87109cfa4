"""Runners that crash on a block of a prompt, and callers that send requests with and without it."""

import itertools
from random import Random

import anyio

from features.support.crashing_runners import CrashingRunners
from features.support.platform_fleet import ask, configuration, generation_headers, with_fleet
from features.support.virtual_time import run_in_virtual_time

CRASH_DELAY_S = 0.1
"""Seconds from the beginning of a run until its runner ends; the first event may be out before."""

RESTART_DELAY_S = 4.0
EVENT_INTERVAL_S = 0.1
SETTLE_S = 2.0
CONTACT_S = 3.0
NUM_SHARED = 20
PATH = "/n/1"
OK = 200


def shared_blocks(header):
    """Return the blocks of a prompt that other requests may have too."""
    return [part.partition(":")[0] for part in header.split(",")][:-1]


class FatalBlockRunners(CrashingRunners):
    """Runners that crash as they begin to write an answer to a prompt with a fatal block."""

    def __init__(self, fatal, num_runners):
        super().__init__(num_runners=num_runners, restart_delay_s=RESTART_DELAY_S)
        self.fatal = set(fatal)
        self.crash_delay_s = CRASH_DELAY_S
        self.stopped = []
        self.other_crashes = []
        """Times of the crashes that no block caused."""

    def start(self, *args, **more):
        runner = super().start(*args, **more)
        runner.event_interval_s = EVENT_INTERVAL_S
        return runner

    def is_fatal(self, run, body):
        return bool(self.fatal & set(shared_blocks(run.headers["x-prefix-hash"])))

    async def crash_for_other_reasons(self, runner):
        """End the process of a runner, whatever it serves."""
        if not runner.is_crashed:
            self.other_crashes.append(anyio.current_time())
            num_crashes = len(self.crashes)
            self.fleet.tasks.start_soon(self.crash, runner)
            await anyio.sleep(0.0)
            del self.crashes[num_crashes:]

    async def crash(self, runner, after_s=0.0):
        self.stopped.append(runner)
        await super().crash(runner, after_s)


class BlockTraffic:
    """Nodes, and callers of one route whose requests share blocks of their prompts.

    Each request is sent to a random node and is unlike any other by its last block and its body.

    Args:
        num_nodes: Number of nodes.
        num_runners: Number of runners.
        fatal: Blocks on which runners crash.
        num_zones: Number of zones.
    """

    def __init__(self, num_nodes, num_runners, fatal=("dead",), num_zones=1, seed=7):
        self.num_nodes = num_nodes
        self.num_zones = num_zones
        self.runners = FatalBlockRunners(fatal, num_runners)
        self.fleet = self.runners.fleet
        self.random = Random(seed)
        self.numbers = itertools.count(1)
        self.first_blocks = ("a1", "a2", "a3")
        self.place = "under a frequent first block"
        """Where the fatal block stands in prompts."""
        self.seconds = 0.0
        self.streams = []
        """Coroutine functions that send requests until the end."""
        self.sound = []
        """Time at which each sound request was sent, its first block and its answer."""
        self.fatal_answers = []
        self.began_s = 0.0
        self.all_logs = []
        self.has_run = False

    def run(self):
        """Run the traffic once."""
        if not self.has_run:
            self.has_run = True
            run_in_virtual_time(self._main)
        return self

    async def _main(self):
        async def body():
            self.fleet.store.put("op/config", configuration())
            self.runners.start_all()
            for number in range(1, self.num_nodes + 1):
                await self.start_node(number)
            await anyio.sleep(SETTLE_S)
            self.began_s = anyio.current_time()
            for stream in self.streams:
                self.fleet.tasks.start_soon(stream)
            await anyio.sleep(self.seconds)

        await with_fleet(self.fleet, body)

    async def start_node(self, number):
        """Start or restart a node."""
        name = f"node-{number}"
        zone = f"hall-{number % self.num_zones}"
        await self.fleet.start_node(name, is_first_start=False, zone=zone, number=number)

    def kill_node(self, number):
        """Kill a node, and keep its log."""
        name = f"node-{number}"
        self.all_logs.append(self.fleet.logs[name])
        self.fleet.kill(name)

    def logged(self, name):
        """Return the events of a name at all nodes."""
        logs = {id(log): log for log in [*self.all_logs, *self.fleet.logs.values()]}
        return [line for log in logs.values() for line in log.named(name)]

    async def send(self, parts, node=None):
        """Send one request, whose last block and body are its own."""
        number = next(self.numbers)
        nodes = [
            one for one in self.fleet.nodes.values() if one.settings.name not in self.fleet.frozen
        ]
        node = node or self.random.choice(nodes)
        tokens = [f"{part}:{100}" for part in (*parts, f"own{number}")]
        headers = generation_headers(f"try-{number}", parts=",".join(tokens))
        return await ask(node, PATH, headers=headers, body=b"body %d" % number)

    async def send_sound(self, parts):
        """Send a request without a fatal block, and record its answer."""
        sent_s = anyio.current_time() - self.began_s
        answer = await self.send(parts)
        self.sound.append((sent_s, parts[0], answer))

    async def send_fatal(self, parts):
        """Send a request with a fatal block, and record its answer."""
        answer = await self.send(parts)
        self.fatal_answers.append((anyio.current_time() - self.began_s, answer))

    async def repeat(self, action, per_s, from_s, until_s):
        """Start an action so many times a second, at irregular intervals."""
        await anyio.sleep(from_s)
        while anyio.current_time() - self.began_s < until_s:
            self.fleet.tasks.start_soon(action)
            await anyio.sleep(self.random.expovariate(per_s))

    def sound_parts(self, first=None):
        """Return the shared blocks of a sound request."""
        first = first or self.random.choice(self.first_blocks)
        return [first, f"{first}-{self.random.randrange(NUM_SHARED)}"]

    def fatal_parts(self):
        """Return the shared blocks of a request with the fatal block."""
        own = f"d{self.random.randrange(NUM_SHARED)}"
        (dead,) = self.runners.fatal
        return {
            "under a frequent first block": ["a1", dead],
            "under any first block": [self.random.choice(self.first_blocks), dead],
            "under a first block of its own": ["own", dead],
            "first": [dead, own],
            "above blocks of its own": ["a1", dead, own],
        }[self.place]

    def crashed_s(self, number):
        """Return the time of a crash by its number from 1; the last one if there were fewer."""
        crashes = self.runners.crashes
        at_s, _ = crashes[min(number, len(crashes)) - 1]
        return at_s - self.began_s

    def num_fatal_arrivals_after(self, seconds):
        """Return how many requests with a fatal block reached runners after a time."""
        runners = {id(one): one for one in [*self.fleet.runners, *self.runners.stopped]}
        return sum(
            at_s - self.began_s > seconds
            and bool(self.runners.fatal & set(shared_blocks(headers["x-prefix-hash"])))
            for runner in runners.values()
            for at_s, request_id, headers in runner.arrivals
            if "x-prefix-hash" in headers
        )

    def sound_share(self, from_s, until_s, first=None):
        """Return the share of the sound requests of a period that were answered with success."""
        answers = [
            answer
            for sent_s, block, answer in self.sound
            if from_s <= sent_s < until_s and first in (None, block)
        ]
        assert len(answers) >= 20, len(answers)
        return sum(answer.status == OK for answer in answers) / len(answers)
