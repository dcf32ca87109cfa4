"""Runners that crash while serving fatal requests and restart later, with several gateways."""

import anyio

from features.support.platform_fleet import Fleet, ask, generation_headers
from features.support.platform_runner import RunnerStandIn

CRASH_DELAY_S = 0.01
"""Seconds from the beginning of a fatal run until the process of its runner ends."""

RESTART_DELAY_S = 2.0
"""Seconds until a crashed process restarts, as another incarnation at the same address."""

REGISTRATION_EXPIRY_S = 2.4
"""Seconds after its last heartbeat at which the registration of a crashed runner expires."""

NUM_RUNNERS = 6
FATAL_BODY = b"crash"


class CrashingRunners:
    """A fleet whose runners crash once they run a request with a fatal body.

    A crash interrupts everything else that the runner serves.

    Args:
        num_runners: Number of runners of each service that is started.
        fleet: The fleet to add them to.
        restart_delay_s: Seconds until a crashed runner restarts.
    """

    def __init__(self, fleet=None, num_runners=NUM_RUNNERS, restart_delay_s=RESTART_DELAY_S):
        self.fleet = fleet or Fleet()
        self.crash_delay_s = CRASH_DELAY_S
        self.keeps_names = False
        """Whether a runner that restarts has the same name, with a later start time."""
        self.is_fixed = False
        """Whether requests no longer crash runners."""
        self.num_runners = num_runners
        self.restart_delay_s = restart_delay_s
        self.num_started = 0
        self.fatal_runs = []
        """Times at which fatal requests began to run."""
        self.crashes = []
        """Times of crashes, each with the name of the runner."""

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
        runner.on_run = lambda run, target, body: self._begin(runner, run, body)
        self.fleet.add_runner(runner)
        return runner

    def is_fatal(self, run, body):
        """Return whether a run ends the process of its runner."""
        return body.startswith(FATAL_BODY)

    def _begin(self, runner, run, body):
        if self.is_fatal(run, body) and not self.is_fixed:
            self.fatal_runs.append(anyio.current_time())
            self.fleet.tasks.start_soon(self.crash, runner, self.crash_delay_s)

    async def shut_down(self, runner):
        """End a runner as planned: registered as draining first, but before its requests end."""
        self.fleet.store.put(f"servers/{runner.instance}", runner.entry("draining"))
        await anyio.sleep(1.0)
        runner.is_crashed = True
        self.fleet.remove_runner(runner)
        self.fleet.store.delete(f"servers/{runner.instance}")
        self.start(runner.address, runner.service)

    async def crash(self, runner, after_s=0.0):
        """End the process of a runner, which later restarts as another incarnation."""
        await anyio.sleep(after_s)
        if runner.is_crashed:
            return
        runner.is_crashed = True
        self.crashes.append((anyio.current_time(), runner.instance))
        self.fleet.remove_runner(runner)
        self.fleet.tasks.start_soon(self._expire_registration, runner)
        await anyio.sleep(self.restart_delay_s)
        self.start(runner.address, runner.service, runner.instance if self.keeps_names else None)

    async def _expire_registration(self, runner):
        if self.keeps_names and self.restart_delay_s < REGISTRATION_EXPIRY_S:
            return
        await anyio.sleep(REGISTRATION_EXPIRY_S)
        self.fleet.store.delete(f"servers/{runner.instance}")

    def num_fatal_runs_after(self, num_crashes, seconds):
        """Return how many fatal runs began later than some seconds after the given crash."""
        if len(self.crashes) < num_crashes:
            return 0
        since_s = self.crashes[num_crashes - 1][0] + seconds
        return sum(began_s > since_s for began_s in self.fatal_runs)


async def generate(node, number, body=FATAL_BODY, path="/n/1", key=None):
    """Send a generation without retries by the gateway; `number` makes its attempt ID new."""
    return await ask(node, path, headers=generation_headers(f"try-{number}", key=key), body=body)
