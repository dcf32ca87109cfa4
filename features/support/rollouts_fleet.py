"""A fleet under an operator's rollout, with runners whose version may misbehave, and its history.

All in virtual time on the stand-ins of the platform; faults come at set seconds after the order.
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
RETURN_S = 5.0
NUM_RUNNERS = 6
REQUESTS_A_S = 50
CALM_S = 4.0
"""Time before the order: nodes register and a holder takes the duty."""

DEADLINE_S = 12.0
AFTER_S = 4.0
"""Time after the deadline that is played too."""

WORK_S = 0.05
USUAL_FAILURES = 0.0
"""Chance must not decide a scenario; `rollout_rules` has versions whose answers all fail by chance."""
MOST_BAD = 50


@dataclass
class Badness:
    """How a version's answers go wrong: by a share, from a time after the order, on some paths."""

    share: float = 0.0
    slow_factor: float = 1.0
    from_s: float = 0.0
    path: str = "/"


@dataclass
class Arrival:
    """A request at a runner."""

    at_s: float
    request_id: str
    version: str
    instance: str
    is_bad: bool = False
    ended_s: float | None = None


class VersionedRunner(RunnerStandIn):
    """A runner of one version of the service's program."""

    version_name = "v1"
    badness = None
    """How this runner alone misbehaves, if it does."""

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version_name}

    async def _run(self, request, request_id, fault):
        world = self.world
        path = request.extensions["target"].decode()
        badness = self.badness or world.badness.get(self.version_name, Badness())
        since_s = anyio.current_time() - (world.ordered_s or 0.0)
        is_on = since_s >= badness.from_s and path.startswith(badness.path)
        is_slow = is_on and badness.slow_factor > 1.0
        fails = world.random.random() < USUAL_FAILURES
        fails = fails or (is_on and world.random.random() < badness.share)
        arrival = Arrival(
            anyio.current_time(), request_id, self.version_name, self.instance, fails or is_slow
        )
        world.arrivals.append(arrival)
        self.num_running += 1
        try:
            await anyio.sleep(WORK_S * (badness.slow_factor if is_slow else 1.0))
            arrival.ended_s = anyio.current_time()
        finally:
            self.num_running -= 1
        headers = {"X-Attempt-Id": request_id, "X-Response-Seal": f"seal-{self.instance}"}
        status = 500 if fails else 200
        return httpx.Response(status, headers=headers, content=b"done")


@dataclass
class Asked:
    """A caller's request and its answer."""

    request_id: str
    path: str
    at_s: float
    answer: object = None


@dataclass
class World:
    """A fleet, its runners, its callers and what they saw."""

    badness: dict = field(default_factory=dict)
    num_nodes: int = 4
    seed: int = 1
    arrivals: list = field(default_factory=list)
    asked: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    stages: list = field(default_factory=list)
    ordered_s: float | None = None
    ended_s: float | None = None

    def __post_init__(self):
        self.random = Random(self.seed)
        canary = CanaryLimits(SHARE, TOLERANCE, RETURN_S)
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
        runner.world = self
        self.fleet.add_runner(runner)
        return runner

    def add_runners(self, version, count=NUM_RUNNERS):
        for number in range(count):
            self.add_runner(version, number)

    def crash(self, version, count=1):
        """Runners of a version end without a word; their registrations follow."""
        for runner in [r for r in self.fleet.runners if r.version_name == version][:count]:
            self.fleet.remove_runner(runner)
            self.fleet.store.delete(f"servers/{runner.instance}")

    def order(self, target="v2", deadline_s=DEADLINE_S, service=SERVICE):
        if self.ordered_s is None:
            self.ordered_s = anyio.current_time()
        entry = {"service": service, "target_version": target, "deadline_s": deadline_s}
        self.fleet.store.put(f"op/rollout/{service}", entry)

    def holder(self):
        """Return the name of the node that holds the duty."""
        held = [name for name, node in self.fleet.nodes.items() if node._lease.token()]
        return held[0] if held else None

    def cut_off(self, name):
        self.fleet.cuts.add((name, STORE_ADDRESS))
        self.fleet.mute.add(name)

    def heal(self):
        self.fleet.cuts.clear()
        self.fleet.mute.clear()

    async def restart_all(self):
        names = list(self.fleet.nodes)
        for name in names:
            self.fleet.kill(name)
        await anyio.sleep(0.5)
        for name in names:
            await self.fleet.start_node(name, is_first_start=False)

    def play(self, script, end_s=DEADLINE_S + AFTER_S):
        """Play traffic while `script(world)` runs from the order on."""

        async def body():
            for number in range(self.num_nodes):
                await self.fleet.start_node(f"node-{number + 1}")
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._ask_on, tasks)
                    tasks.start_soon(self._watch)
                    await anyio.sleep(CALM_S)
                    tasks.start_soon(script, self)
                    await anyio.sleep(end_s)
                    self.ended_s = anyio.current_time()
                    scope.cancel()

        return with_fleet(self.fleet, body)

    async def _ask_on(self, tasks):
        number = 0
        while True:
            await anyio.sleep(1.0 / REQUESTS_A_S)
            number += 1
            nodes = list(self.fleet.nodes.values())
            if nodes:
                tasks.start_soon(self._ask, self.random.choice(nodes), number)

    async def _ask(self, node, number):
        path = "/w/x" if number % 4 == 0 else "/r/x"
        asked = Asked(f"q{number}", path, anyio.current_time())
        self.asked.append(asked)
        headers = request_headers(asked.request_id, x_deadline_ms=3000)
        asked.answer = await ask(node, path, headers=headers)

    async def _watch(self):
        """Note statuses and stages as the store holds them."""
        while True:
            await anyio.sleep(0.01)
            self._note(STATUS_KEY, self.statuses)
            self._note(RECORD_KEY, self.stages)

    def _note(self, key, seen):
        item = self.fleet.store.items.get(key)
        if item is not None and (not seen or seen[-1][1] != item["value"]):
            seen.append((anyio.current_time(), item["value"]))


def states(world):
    """Return the states that operators read, in order."""
    decoded = [json.loads(base64.b64decode(value)) for _, value in world.statuses]
    return [(one["target_version"], one["state"]) for one in decoded]


def stage_records(world):
    """Return the times and records as they stood."""
    return [(at_s, decode_record(base64.b64decode(value))) for at_s, value in world.stages]


def problems(world, target="v2", deadline_s=DEADLINE_S, is_bad=True):
    """Return what must never happen and did, as callers, runners and operators saw it."""
    found = []
    found += _exposure_problems(world, target, deadline_s) if is_bad else []
    found += _return_problems(world, target)
    found += _end_problems(world)
    found += _completion_problems(world, target)
    found += _answer_problems(world)
    return found


def _exposure_problems(world, target, deadline_s):
    begin_s, end_s = world.ordered_s, world.ordered_s + deadline_s
    tried = [
        one for one in world.arrivals if one.version == target and begin_s <= one.at_s <= end_s
    ]
    asked = [one for one in world.asked if begin_s <= one.at_s <= end_s]
    most = SHARE * len(asked) + TOLERANCE
    return [f"{len(tried)} of {len(asked)} tried {target}"] if len(tried) > most else []


def _return_problems(world, target):
    bad = [one for one in world.arrivals if one.version == target and one.is_bad]
    if len(bad) < MOST_BAD:
        return []
    latest_s = bad[MOST_BAD - 1].at_s + RETURN_S
    late = [one for one in world.arrivals if one.version == target and one.at_s > latest_s]
    return [f"{len(late)} arrivals after the time for a return"] if late else []


def _end_problems(world):
    """Once an end is told of a target it stays, and nothing goes to what was given up."""
    found = []
    told = states(world)
    for earlier, later in itertools.pairwise(told):
        if earlier[1] != "active" and earlier[0] == later[0]:
            found.append(f"{earlier} was followed by {later}")
    for (at_s, _), (target, state) in zip(world.statuses, told, strict=True):
        if state == "reverted":
            late = [
                one for one in world.arrivals if one.version == target and one.at_s > at_s + 1.5
            ]
            found += [f"{len(late)} arrivals at {target} after its return"] if late else []
    return found


def _completion_problems(world, target):
    """At `completed` nothing runs at older versions, and nothing comes there any more."""
    found = []
    for (at_s, _), (told, state) in zip(world.statuses, states(world), strict=True):
        if state != "completed" or told != target:
            continue
        old = [one for one in world.arrivals if one.version != target]
        running = [one for one in old if one.at_s <= at_s and (one.ended_s or 1e9) > at_s]
        late = [one for one in old if one.at_s > at_s]
        if running or late:
            found.append(f"{len(running)} ran and {len(late)} came at old versions")
    return found


def _answer_problems(world):
    found = []
    runs = {}
    for arrival in world.arrivals:
        runs[arrival.request_id] = runs.get(arrival.request_id, 0) + 1
    for asked in world.asked:
        num_runs = runs.get(asked.request_id, 0)
        if asked.path.startswith("/w/") and num_runs > 1:
            found.append(f"{asked.request_id} ran {num_runs} times")
        status = asked.answer.status if asked.answer else None
        if status in (429, 503) and num_runs:
            found.append(f"{asked.request_id} ran and was refused")
    return found


def served_share(world, from_s=0.0, to_s=1e9):
    """Return the share of the callers' requests that were answered with success."""
    asked = [one for one in world.asked if from_s <= one.at_s <= to_s and one.answer]
    served = sum(1 for one in asked if one.answer.status == 200)
    return served / max(1, len(asked))
