"""A request path with scripted back ends and fakes of the node's other tasks."""

import hashlib
import json
from dataclasses import dataclass, field

import anyio
from result import Err, Ok

from weirscale.domain.choice.policy import Choice
from weirscale.domain.configuration.model import (
    CallerLimits,
    Deployment,
    Engine,
    Model,
    Region,
    RetryRules,
    Service,
    ServiceBackend,
    ServiceRoute,
    Tenant,
)
from weirscale.domain.request.model import RunStatus, ServiceResponse
from weirscale.domain.request.refusal import Refusal, RefusalCode
from weirscale.domain.request.retry_budget import RetryBudget
from weirscale.node.callers.app import CallerApp
from weirscale.node.callers.drain import Drain
from weirscale.node.callers.metrics import CallerMetrics
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.execution.generation import GenerationExecutor
from weirscale.node.execution.service import ServiceExecutor
from weirscale.node.interfaces import (
    ChosenBackend,
    ChosenEngine,
    Claim,
    ClaimState,
    ConfigurationInForce,
    Permit,
)
from weirscale.ports.service import ServiceFailure

API_KEY = "key-of-addis-school"
MODEL = "qalam"
ADAPTER = "amharic"
SERVICE = "matemia"


def no_backend():
    return Err(
        Refusal(
            RefusalCode.NO_BACKEND, 503, RunStatus.NOT_RUN, "No back end is left.", "Wait.", 1.0
        )
    )


def deployment(retry=None, callers=None):
    return Deployment(
        format=1,
        name="tsehay",
        regions=(Region("addis", ("bole-hall",)),),
        models=(Model(MODEL, "v1", adapters=(ADAPTER,)),),
        engines=(Engine("runner-1", "bole-hall", "127.0.0.1:1", MODEL),),
        tenants=(
            Tenant("addis-school", (hashlib.sha256(API_KEY.encode()).hexdigest(),), priority=5),
        ),
        services=(
            Service(
                SERVICE,
                (ServiceBackend("press-1", "bole-hall", "127.0.0.1:2"),),
                (
                    ServiceRoute("GET", "/orders", repeatable=True),
                    ServiceRoute("POST", "/orders", repeatable=False),
                ),
            ),
        ),
        retry=retry or RetryRules(),
        callers=callers or CallerLimits(),
    )


@dataclass
class FakeConfiguration:
    """A configuration in force from the start, or `changes_after_s` after a task waits for it."""

    in_force: ConfigurationInForce | None
    next_in_force: ConfigurationInForce | None = None
    changes_after_s: float = float("inf")

    def current(self):
        return self.in_force

    async def changed_after(self, revision):
        await anyio.sleep(self.changes_after_s)
        self.in_force = self.next_in_force
        return self.in_force


@dataclass
class FakeEngineRouting:
    """Choose engines in their order; count choices and keep reported outcomes for the checks."""

    engines: list
    versions: dict = field(default_factory=dict)
    outcomes: list = field(default_factory=list)
    num_chosen: int = 0

    async def choose(self, request, attempt, excluded, required_version):
        for engine in self.engines:
            version = self.versions.get(engine.name, "v1")
            if engine.name in excluded or required_version not in (None, version):
                continue
            self.num_chosen += 1
            return Ok(ChosenEngine(Choice(engine.name, ()), engine, 1, version, "127.0.0.1:1"))
        return no_backend()

    def report(self, outcome):
        self.outcomes.append(outcome)


@dataclass
class ScriptedBackend:
    """A ServicePort. `script` has a failure, or None for an answer, for each call."""

    name: str
    script: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    delay_s: float = 0.0

    async def call(self, request, time_left_s):
        self.requests.append(request)
        kind = self.script.pop(0) if self.script else None
        failure = ServiceFailure(kind, kind.value) if kind else None
        if failure and failure.provably_not_run:
            return Err(failure)
        self.runs.append(request.request_id)
        await anyio.sleep(self.delay_s)
        if failure:
            return Err(failure)
        return Ok(ServiceResponse(201, {"content-type": "text/plain"}, b"order taken"))


@dataclass
class FakeServiceRouting:
    backends: list
    num_chosen: int = 0
    num_reported: int = 0

    async def choose(self, service, excluded):
        for backend in self.backends:
            if backend.name not in excluded:
                self.num_chosen += 1
                return Ok(ChosenBackend(backend.name, backend, "127.0.0.1:2"))
        return no_backend()

    def report(self, service, backend, failure, http_status, duration_s):
        self.num_reported += 1


@dataclass
class FakeAdmission:
    refusal: Refusal | None = None
    num_held: int = 0
    num_admitted: int = 0

    async def admit(self, tenant, request_id, num_prompt_tokens, priority, deadline_s):
        if self.refusal is not None:
            return Err(self.refusal)
        self.num_held += 1
        self.num_admitted += 1
        return Ok(Permit(tenant.name, request_id, num_prompt_tokens))

    def release(self, permit):
        self.num_held -= 1


@dataclass
class FakeLedger:
    """Keep claims in a dictionary: key -> [fingerprint, request id, state, answer]."""

    claims: dict = field(default_factory=dict)

    async def claim(self, tenant, idempotency_key, request_id, fingerprint, deadline_s):
        key = f"{tenant}/{idempotency_key}"
        held = self.claims.get(key)
        if held is None:
            self.claims[key] = [fingerprint, request_id, ClaimState.IN_PROGRESS, None]
            return Ok(Claim(ClaimState.GRANTED, key, request_id))
        if held[0] != fingerprint:
            return Ok(Claim(ClaimState.CONFLICT, key, held[1]))
        return Ok(Claim(held[2], key, held[1], held[3]))

    async def complete(self, claim, answer):
        self.claims[claim.key][2:] = [ClaimState.COMPLETED, answer]

    async def release(self, claim):
        del self.claims[claim.key]


@dataclass
class RecordedEvents:
    events: list = field(default_factory=list)

    def event(self, name, **fields):
        self.events.append((name, fields))


class PathNode:
    """The request path of a node under test, with its fakes."""

    def __init__(self, engines=(), backends=(), retry=None, callers=None, configured=True):
        in_force = ConfigurationInForce(7, deployment(retry, callers))
        self.configuration = FakeConfiguration(in_force if configured else None)
        rules = in_force.deployment.retry
        self.engines = list(engines)
        self.backends = list(backends)
        self.routing = FakeEngineRouting(self.engines)
        self.service_routing = FakeServiceRouting(self.backends)
        self.admission = FakeAdmission()
        self.ledger = FakeLedger()
        self.log = RecordedEvents()
        self.drain = Drain()
        self.canceller = EngineCanceller()
        self.metrics = CallerMetrics()
        budget = RetryBudget(0.0)
        self.generation = GenerationExecutor(
            self.routing, self.ledger, lambda: rules, self.canceller, self.log, budget
        )
        services = ServiceExecutor(
            self.service_routing, self.ledger, lambda: rules, self.log, budget
        )
        self.app = CallerApp(
            self.configuration,
            self.admission,
            self.generation,
            services,
            self.log,
            self.drain,
            self.metrics,
            wall_clock=lambda: 1_700_000_000.0,
        )

    def num_runs(self, request_id):
        in_engines = sum(engine.runs_of(request_id) for engine in self.engines)
        return in_engines + sum(b.runs.count(request_id) for b in self.backends)


def generation_body(streamed=True, **extra):
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "Caption this page."}],
        "stream": streamed,
    }
    return json.dumps(body | extra).encode()
