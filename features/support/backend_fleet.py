"""A node's directory and routers with in-process engines, for virtual time."""

from contextlib import asynccontextmanager
from random import Random

import anyio
from result import Err, Ok

from features.support.least_outstanding import LeastOutstanding
from weirscale.domain.configuration.model import (
    Deployment,
    Engine,
    Model,
    Region,
    Service,
    ServiceBackend,
    Tenant,
)
from weirscale.domain.prefix.chain import extend_chain
from weirscale.domain.request.model import GenerationRequest
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.node.routing.decisions import DecisionLog
from weirscale.node.routing.engine_router import EngineRouter
from weirscale.node.routing.service_router import ServiceRouter
from weirscale.ports.machines import MachineListFailure
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings

ZONES = ("bole-hall", "kirkos-hall", "yeka-hall")
MODEL = "qalam"
LINK_DELAY_S = 0.001


class FixedConfiguration:
    """A configuration in force that the test changes."""

    def __init__(self, deployment):
        self._in_force = ConfigurationInForce(1, deployment)
        self._changed = anyio.Event()

    def current(self):
        return self._in_force

    def change(self, deployment):
        self._in_force = ConfigurationInForce(self._in_force.revision + 1, deployment)
        self._changed.set()
        self._changed = anyio.Event()

    async def changed_after(self, revision):
        while self._in_force.revision <= revision:
            await self._changed.wait()
        return self._in_force


class ListedMachines:
    """A machine list that the test changes."""

    def __init__(self):
        self.machines_now = ()
        self.is_down = False

    async def machines(self):
        if self.is_down:
            return Err(MachineListFailure("down"))
        return Ok(self.machines_now)


def declare_engine(index, **fields):
    declared = {
        "name": f"qalam-{index}",
        "zone": ZONES[index % len(ZONES)],
        "address": f"10.0.0.{index}:8000",
        "model": MODEL,
    }
    return Engine(**{**declared, **fields})


def declare(num_engines, models=None, services=(), **engine_fields):
    return Deployment(
        format=1,
        name="test",
        regions=(Region("addis", ZONES),),
        models=models or (Model(MODEL, "v1"),),
        engines=tuple(declare_engine(index, **engine_fields) for index in range(num_engines)),
        tenants=(Tenant("bole-school", ()),),
        services=services,
    )


def declare_service(num_backends):
    backends = tuple(
        ServiceBackend(f"matemia-{index}", ZONES[index % len(ZONES)], f"10.0.1.{index}:9000")
        for index in range(num_backends)
    )
    return Service("matemia", backends, ())


def make_request(number=0, prompt=b"a page of the yearbook " * 50, deadline_s=None, **fields):
    defaults = {
        "request_id": f"request-{number}",
        "tenant": "bole-school",
        "model": MODEL,
        "adapter": None,
        "prompt": prompt,
        "body": {},
        "path": "/v1/completions",
        "max_tokens": 16,
        "priority": 10,
        "deadline_s": anyio.current_time() + 60.0 if deadline_s is None else deadline_s,
        "repeatable": True,
        "idempotency_key": None,
        "streamed": True,
    }
    return GenerationRequest(**{**defaults, **fields})


class Fleet:
    """One node's directory and routers, and the engines that the node reaches."""

    def __init__(self, deployment, policy=None, probe_rules=None, seed=1, zone=None):
        self.engines = {}
        self.ports_made = []
        self.configuration = FixedConfiguration(deployment)
        self.machines = ListedMachines()
        self.random = Random(seed)
        self.directory = BackendDirectory(
            self.configuration,
            self._make_engine_port,
            self._make_service_port,
            self.machines,
            self.random,
            probe_rules=probe_rules,
            zone=zone,
        )
        self.decisions = DecisionLog("node-1")
        self.router = EngineRouter(
            self.directory,
            policy or LeastOutstanding(),
            self.decisions,
            lambda zone: LINK_DELAY_S,
            self.random,
            lambda seed, prompt, block_size_bytes: extend_chain(seed, prompt, 0, block_size_bytes),
        )
        self.services = ServiceRouter(self.directory, ZONES[0], self.random)
        for engine in deployment.engines:
            self.add_engine(engine)

    def add_engine(self, engine):
        settings = EngineSettings(
            name=engine.name, model=engine.model, weight_version="v1", adapters=()
        )
        self.engines[engine.name] = InProcessEngine(settings, self.random)

    def _make_engine_port(self, engine):
        self.ports_made.append(engine.name)
        return self.engines[engine.name]

    def _make_service_port(self, backend):
        return backend.name

    @asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            for engine in self.engines.values():
                tasks.start_soon(engine.run)
            tasks.start_soon(self.directory.run)
            tasks.start_soon(self.router.run)
            tasks.start_soon(self.services.run)
            yield self
            tasks.cancel_scope.cancel()
