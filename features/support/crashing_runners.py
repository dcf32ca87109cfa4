"""Runners that crash under some requests and are back after a while, before several gateways."""

import anyio

from features.support.platform_fleet import Fleet, ask, generation_headers
from features.support.platform_runner import RunnerStandIn

CRASH_AFTER_S = 0.01
"""From the beginning of a run until its runner's process has ended."""

BACK_AFTER_S = 2.0
"""A process that ended is started again after this, as another incarnation at the same address."""

LAPSE_S = 2.4
"""The registration of a crashed runner ends this long after its last heartbeat."""

NUM_RUNNERS = 6
FATAL_BODY = b"crash"


class CrashingRunners:
    """A fleet whose runners end, with all that they are at work on, once they run a fatal body.

    Args:
        num_runners: Runners of the generating service.
        fleet: The fleet to add them to.
        back_after_s: Until a runner that crashed has started again.
    """

    def __init__(self, fleet=None, num_runners=NUM_RUNNERS, back_after_s=BACK_AFTER_S):
        self.fleet = fleet or Fleet()
        self.keeps_names = False
        """Whether a runner that starts again has the name that it had, and a later start."""
        self.is_mended = False
        """Whether no request crashes a runner any more."""
        self.num_runners = num_runners
        self.back_after_s = back_after_s
        self.num_started = 0
        self.fatal_runs = []
        """When fatal requests began to run."""
        self.crashes = []
        """When runners crashed, and which."""

    def start_all(self, service="lm", network="10.3.0"):
        """Start the runners of a service."""
        for number in range(1, self.num_runners + 1):
            self.start(f"{network}.{number}:8080", service)

    def start(self, address, service, name=None):
        """Start an incarnation at an address."""
        self.num_started += 1
        model = "m" if service == "lm" else None
        name = name or f"i-{self.num_started}"
        runner = RunnerStandIn(name, address, service, model=model)
        if self.keeps_names:
            runner.born_ms = int(anyio.current_time() * 1000.0) + 1
        runner.on_run = lambda run, target, body: self._begin(runner, body)
        self.fleet.add_runner(runner)
        return runner

    def _begin(self, runner, body):
        if body.startswith(FATAL_BODY) and not self.is_mended:
            self.fatal_runs.append(anyio.current_time())
            self.fleet.tasks.start_soon(self.crash, runner, CRASH_AFTER_S)

    async def leave(self, runner):
        """Let a runner end as planned, with a word before, under what it still runs."""
        self.fleet.store.put(f"servers/{runner.instance}", runner.entry("draining"))
        await anyio.sleep(1.0)
        runner.is_crashed = True
        self.fleet.remove_runner(runner)
        self.fleet.store.delete(f"servers/{runner.instance}")
        self.start(runner.address, runner.service)

    async def crash(self, runner, after_s=0.0):
        """End a runner's process; it starts again as another incarnation."""
        await anyio.sleep(after_s)
        if runner.is_crashed:
            return
        runner.is_crashed = True
        self.crashes.append((anyio.current_time(), runner.instance))
        self.fleet.remove_runner(runner)
        self.fleet.tasks.start_soon(self._lapse, runner)
        await anyio.sleep(self.back_after_s)
        self.start(runner.address, runner.service, runner.instance if self.keeps_names else None)

    async def _lapse(self, runner):
        if self.keeps_names and self.back_after_s < LAPSE_S:
            return
        await anyio.sleep(LAPSE_S)
        self.fleet.store.delete(f"servers/{runner.instance}")

    def num_fatal_runs_after(self, num_crashes, seconds):
        """Return how often a fatal request ran later than some seconds after so many crashes."""
        if len(self.crashes) < num_crashes:
            return 0
        since_s = self.crashes[num_crashes - 1][0] + seconds
        return sum(began_s > since_s for began_s in self.fatal_runs)


async def generate(node, number, body=FATAL_BODY, path="/n/1", key=None):
    """Send a generation that is never repeated by itself; `number` makes the caller's try new."""
    return await ask(node, path, headers=generation_headers(f"try-{number}", key=key), body=body)
