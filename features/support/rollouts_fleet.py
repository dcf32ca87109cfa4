"""A fleet during an operator's rollout of a version that may misbehave, and the rules it must keep.

Runs in virtual time on stand-ins of the platform. Faults come at fixed times after the order.
"""

import base64
import itertools
import json
from dataclasses import dataclass, field
from random import Random

import anyio
import httpx

from features.support.platform_fleet import (
    STORE_ADDRESS,
    Fleet,
    ask,
    configuration,
    request_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from weirscale.gateway.rollouts.record import decode_record
from weirscale.gateway.settings import CanaryLimits

SERVICE = "orders"
ORDER_KEY = f"op/rollout/{SERVICE}"
STATUS_KEY = f"status/rollout/{SERVICE}"
RECORD_KEY = f"weirscale/rollouts/{SERVICE}"
SHARE = 0.1
TOLERANCE = 20.0
ROLLBACK_S = 5.0
NUM_RUNNERS = 6
REQUESTS_PER_S = 50
SETTLE_S = 4.0
"""Time before the order, in which nodes register and one of them acquires the lease of the duty."""

DEADLINE_S = 12.0
AFTER_DEADLINE_S = 4.0
"""Time after the deadline that is simulated too."""

SERVICE_TIME_S = 0.05
BASE_FAILURE_SHARE = 0.0
"""Zero, so that no scenario depends on chance; `rollout_rules` simulates random failures."""
MAX_BAD_ANSWERS = 50


@dataclass
class Misbehaviour:
    """How a version misbehaves: a share of answers, from a time after the order, on some paths."""

    share: float = 0.0
    slow_factor: float = 1.0
    from_s: float = 0.0
    path: str = "/"


@dataclass
class Arrival:
    """A request that arrived at a runner."""

    at_s: float
    request_id: str
    version: str
    instance: str
    is_bad: bool = False
    ended_s: float | None = None


class VersionedRunner(RunnerStandIn):
    """A runner of one version of the service's program."""

    version_name = "v1"
    misbehaviour = None
    """Misbehaviour of this runner only, or None."""

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version_name}

    async def _run(self, request, request_id, fault):
        rollout = self.rollout
        path = request.extensions["target"].decode()
        misbehaviour = self.misbehaviour or rollout.misbehaviours.get(
            self.version_name, Misbehaviour()
        )
        since_s = anyio.current_time() - (rollout.ordered_s or 0.0)
        is_bad_now = since_s >= misbehaviour.from_s and path.startswith(misbehaviour.path)
        is_slow = is_bad_now and misbehaviour.slow_factor > 1.0
        fails = rollout.random.random() < BASE_FAILURE_SHARE
        fails = fails or (is_bad_now and rollout.random.random() < misbehaviour.share)
        arrival = Arrival(
            anyio.current_time(), request_id, self.version_name, self.instance, fails or is_slow
        )
        rollout.arrivals.append(arrival)
        self.num_running += 1
        try:
            await anyio.sleep(SERVICE_TIME_S * (misbehaviour.slow_factor if is_slow else 1.0))
            arrival.ended_s = anyio.current_time()
        finally:
            self.num_running -= 1
        headers = {"X-Attempt-Id": request_id, "X-Response-Seal": f"seal-{self.instance}"}
        status = 500 if fails else 200
        return httpx.Response(status, headers=headers, content=b"done")


@dataclass
class CallerRequest:
    """A caller's request, with its answer."""

    request_id: str
    path: str
    at_s: float
    answer: object = None


@dataclass
class RolloutRun:
    """A fleet with its runners and callers during a rollout, and records of what they observed."""

    misbehaviours: dict = field(default_factory=dict)
    num_nodes: int = 4
    seed: int = 1
    arrivals: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    stages: list = field(default_factory=list)
    ordered_s: float | None = None
    ended_s: float | None = None

    def __post_init__(self):
        self.random = Random(self.seed)
        canary = CanaryLimits(SHARE, TOLERANCE, ROLLBACK_S)
        self.fleet = Fleet(self.seed, canary=canary)
        self.fleet.store.put(
            "op/config",
            configuration(
                routes=[route("read", "/r/", "idempotent"), route("write", "/w/", "mutating")]
            ),
        )
        for number in range(NUM_RUNNERS):
            self.add_runner("v1", number)

    def add_runner(self, version, number):
        runner = VersionedRunner(
            f"{version}-{number}", f"10.2.{version[1:]}.{number}:8080", SERVICE, model=None
        )
        runner.version_name = version
        runner.rollout = self
        self.fleet.add_runner(runner)
        return runner

    def add_runners(self, version, count=NUM_RUNNERS):
        for number in range(count):
            self.add_runner(version, number)

    def crash(self, version, count=1):
        """Stop runners of a version without an announcement, and remove their registrations."""
        for runner in [runner for runner in self.fleet.runners if runner.version_name == version][
            :count
        ]:
            self.fleet.remove_runner(runner)
            self.fleet.store.delete(f"servers/{runner.instance}")

    def order(self, target="v2", deadline_s=DEADLINE_S, service=SERVICE):
        if self.ordered_s is None:
            self.ordered_s = anyio.current_time()
        entry = {"service": service, "target_version": target, "deadline_s": deadline_s}
        self.fleet.store.put(f"op/rollout/{service}", entry)

    def holder(self):
        """Return the name of the node that holds the lease of the duty, or None."""
        holders = [name for name, node in self.fleet.nodes.items() if node._lease.token()]
        return holders[0] if holders else None

    def partition(self, name):
        self.fleet.cuts.add((name, STORE_ADDRESS))
        self.fleet.mute.add(name)

    def heal(self):
        self.fleet.cuts.clear()
        self.fleet.mute.clear()

    async def restart_all_nodes(self):
        names = list(self.fleet.nodes)
        for name in names:
            self.fleet.kill(name)
        await anyio.sleep(0.5)
        for name in names:
            await self.fleet.start_node(name, is_first_start=False)

    def run(self, script, end_s=DEADLINE_S + AFTER_DEADLINE_S):
        """Run the fleet under traffic, and start `script(rollout)` once the fleet has settled."""

        async def body():
            for number in range(self.num_nodes):
                await self.fleet.start_node(f"node-{number + 1}")
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._send_requests, tasks)
                    tasks.start_soon(self._watch_store)
                    await anyio.sleep(SETTLE_S)
                    tasks.start_soon(script, self)
                    await anyio.sleep(end_s)
                    self.ended_s = anyio.current_time()
                    scope.cancel()

        return with_fleet(self.fleet, body)

    async def _send_requests(self, tasks):
        number = 0
        while True:
            await anyio.sleep(1.0 / REQUESTS_PER_S)
            number += 1
            nodes = list(self.fleet.nodes.values())
            if nodes:
                tasks.start_soon(self._send_request, self.random.choice(nodes), number)

    async def _send_request(self, node, number):
        path = "/w/x" if number % 4 == 0 else "/r/x"
        request = CallerRequest(f"q{number}", path, anyio.current_time())
        self.requests.append(request)
        headers = request_headers(request.request_id, x_deadline_ms=3000)
        request.answer = await ask(node, path, headers=headers)

    async def _watch_store(self):
        """Record each change of the status and the rollout record in the store."""
        while True:
            await anyio.sleep(0.01)
            self._record_change(STATUS_KEY, self.statuses)
            self._record_change(RECORD_KEY, self.stages)

    def _record_change(self, key, changes):
        item = self.fleet.store.items.get(key)
        if item is not None and (not changes or changes[-1][1] != item["value"]):
            changes.append((anyio.current_time(), item["value"]))


def reported_states(rollout):
    """Return the target versions and states that operators read, in order."""
    decoded = [json.loads(base64.b64decode(value)) for _, value in rollout.statuses]
    return [(status["target_version"], status["state"]) for status in decoded]


def stage_records(rollout):
    """Return the rollout records in the store, with their times."""
    return [(at_s, decode_record(base64.b64decode(value))) for at_s, value in rollout.stages]


def rule_violations(rollout, target="v2", deadline_s=DEADLINE_S, is_bad=True):
    """Return violations of the rollout's rules, as observed by callers, runners and operators."""
    violations = []
    violations += _exposure_violations(rollout, target, deadline_s) if is_bad else []
    violations += _rollback_violations(rollout, target)
    violations += _final_state_violations(rollout)
    violations += _completion_violations(rollout, target)
    violations += _answer_violations(rollout)
    return violations


def _exposure_violations(rollout, target, deadline_s):
    begin_s, end_s = rollout.ordered_s, rollout.ordered_s + deadline_s
    arrivals = [
        arrival
        for arrival in rollout.arrivals
        if arrival.version == target and begin_s <= arrival.at_s <= end_s
    ]
    requests = [request for request in rollout.requests if begin_s <= request.at_s <= end_s]
    most = SHARE * len(requests) + TOLERANCE
    return [f"{len(arrivals)} of {len(requests)} at {target}"] if len(arrivals) > most else []


def _rollback_violations(rollout, target):
    bad = [arrival for arrival in rollout.arrivals if arrival.version == target and arrival.is_bad]
    if len(bad) < MAX_BAD_ANSWERS:
        return []
    latest_s = bad[MAX_BAD_ANSWERS - 1].at_s + ROLLBACK_S
    late = [
        arrival
        for arrival in rollout.arrivals
        if arrival.version == target and arrival.at_s > latest_s
    ]
    return [f"{len(late)} arrivals after the time for a rollback"] if late else []


def _final_state_violations(rollout):
    """Check that a final state stays, and that no request goes to a version after its rollback."""
    violations = []
    reported = reported_states(rollout)
    for earlier, later in itertools.pairwise(reported):
        if earlier[1] != "active" and earlier[0] == later[0]:
            violations.append(f"{earlier} was followed by {later}")
    for (at_s, _), (target, state) in zip(rollout.statuses, reported, strict=True):
        if state == "reverted":
            late = [
                arrival
                for arrival in rollout.arrivals
                if arrival.version == target and arrival.at_s > at_s + 1.5
            ]
            violations += [f"{len(late)} arrivals at {target} after its rollback"] if late else []
    return violations


def _completion_violations(rollout, target):
    """Check that at `completed` no request runs at older versions, and that none arrives later."""
    violations = []
    for (at_s, _), (reported_target, state) in zip(
        rollout.statuses, reported_states(rollout), strict=True
    ):
        if state != "completed" or reported_target != target:
            continue
        old = [arrival for arrival in rollout.arrivals if arrival.version != target]
        running = [
            arrival for arrival in old if arrival.at_s <= at_s and (arrival.ended_s or 1e9) > at_s
        ]
        late = [arrival for arrival in old if arrival.at_s > at_s]
        if running or late:
            violations.append(f"{len(running)} ran and {len(late)} arrived at old versions")
    return violations


def _answer_violations(rollout):
    violations = []
    runs = {}
    for arrival in rollout.arrivals:
        runs[arrival.request_id] = runs.get(arrival.request_id, 0) + 1
    for request in rollout.requests:
        num_runs = runs.get(request.request_id, 0)
        if request.path.startswith("/w/") and num_runs > 1:
            violations.append(f"{request.request_id} ran {num_runs} times")
        status = request.answer.status if request.answer else None
        if status in (429, 503) and num_runs:
            violations.append(f"{request.request_id} ran and was refused")
    return violations


def served_share(rollout, from_s=0.0, to_s=1e9):
    """Return the share of the callers' requests that were answered with success."""
    answered = [
        request for request in rollout.requests if from_s <= request.at_s <= to_s and request.answer
    ]
    num_served = sum(1 for request in answered if request.answer.status == 200)
    return num_served / max(1, len(answered))
