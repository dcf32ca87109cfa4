"""The ASGI application for callers."""

import time
from collections.abc import Callable

import anyio
import msgspec

from weirscale.domain.configuration.model import CallerLimits, Deployment
from weirscale.domain.identifiers import ConfigurationRevision
from weirscale.domain.request import refusals
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal
from weirscale.node.callers.authentication import TenantIndex
from weirscale.node.callers.body import CallerDisconnectedError
from weirscale.node.callers.call import Call
from weirscale.node.callers.caller_headers import new_request_id, request_id_of
from weirscale.node.callers.drain import Drain
from weirscale.node.callers.execution_metrics import (
    GENERATION_KIND,
    SERVICE_KIND,
    ExecutionCollector,
)
from weirscale.node.callers.generation_input import (
    ADAPTER_SEPARATOR,
    CHAT_PATH,
    COMPLETIONS_PATH,
)
from weirscale.node.callers.generation_route import GenerationRoute
from weirscale.node.callers.metrics import CallerMetrics
from weirscale.node.callers.service_route import SERVICES_PREFIX, ServiceCallRoute
from weirscale.node.execution.generation import GenerationExecutor
from weirscale.node.execution.service import ServiceExecutor
from weirscale.node.interfaces import ConfigurationInForce, ConfigurationView
from weirscale.node.limits.task import AdmissionTask
from weirscale.node.routing.service_router import FIRST_CONFIGURATION_WAIT_S
from weirscale.ports.asgi import (
    JSON_TYPE,
    Receive,
    Scope,
    Send,
    answer_lifespan,
    decode_headers,
    headers_size_bytes,
    send_whole,
)
from weirscale.ports.event_log import EventLog

MODELS_PATH = "/v1/models"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"

_METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
_DEFAULT_LIMITS = CallerLimits()
NO_REVISION = ConfigurationRevision(0)


class CallerApp:
    """Authenticates and routes calls, and logs one line for each.

    Args:
        configuration: The configuration in force.
        admission: Grants permits.
        generation: Runs generation requests.
        services: Runs service requests.
        event_log: Receives one `request` event for each call.
        drain: State of the planned stop, shared with the task that stops the node.
        metrics: Counters and histograms, exposed at `/metrics`.
        wall_clock: Returns the seconds since the epoch.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        admission: AdmissionTask,
        generation: GenerationExecutor,
        services: ServiceExecutor,
        event_log: EventLog,
        drain: Drain,
        metrics: CallerMetrics,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._configuration = configuration
        self._event_log = event_log
        self._drain = drain
        self._metrics = metrics
        self._tenants = TenantIndex()
        self._generation = GenerationRoute(admission, generation, metrics, wall_clock)
        self._services = ServiceCallRoute(admission, services)
        metrics.registry.register(ExecutionCollector(generation.counts, services.counts))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)
        elif scope["type"] == "websocket":
            await send({"type": "websocket.close", "code": 1003})

    async def _serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        if await self._serve_operations(scope, send):
            return
        headers = decode_headers(scope["headers"])
        request_id = request_id_of(headers) or new_request_id()
        call = Call(scope, receive, send, headers, request_id, anyio.current_time())
        self._drain.record_start()
        try:
            await self._serve_call(call)
        except CallerDisconnectedError:
            call.run_status = RunStatus.NOT_RUN
        except Exception as error:
            # A bug must not crash the node. The request may or may not have run.
            await self._answer_internal_error(call, error)
        finally:
            self._drain.record_end()
            self._record_end(call)

    async def _serve_call(self, call: Call) -> None:
        in_force = self._configuration.current()
        refusal = self._refuse_early(call, in_force)
        if refusal is not None:
            await call.refuse(refusal)
            return
        in_force = in_force or await self._first_configuration()
        if in_force is None:
            await call.refuse(refusals.not_configured())
            return
        tenant = self._tenants.find(in_force, call.headers.get("authorization", ""))
        if tenant is None:
            await call.refuse(refusals.unauthenticated())
            return
        call.tenant = tenant.name
        if call.path == MODELS_PATH:
            await _serve_models(call, in_force.deployment)
        elif call.path.startswith(SERVICES_PREFIX):
            await self._services.serve(call, tenant, in_force)
        else:
            await self._generation.serve(call, tenant, in_force)

    def _refuse_early(self, call: Call, in_force: ConfigurationInForce | None) -> Refusal | None:
        limits = in_force.deployment.callers if in_force is not None else _DEFAULT_LIMITS
        if headers_size_bytes(call.scope["headers"]) > limits.max_header_bytes:
            return refusals.headers_too_large(limits.max_header_bytes)
        refusal = _refuse_route(call.method, call.path)
        if refusal is not None:
            return refusal
        if self._drain.is_draining:
            return refusals.draining()
        return None

    async def _first_configuration(self) -> ConfigurationInForce | None:
        """Wait for the first configuration, which a starting node receives just after it listens.

        The routers wait equally long, but a call that is refused here would never reach them.

        Returns:
            The configuration, or None if `FIRST_CONFIGURATION_WAIT_S` has passed without one.
        """
        with anyio.move_on_after(FIRST_CONFIGURATION_WAIT_S):
            return await self._configuration.changed_after(NO_REVISION)
        return None

    async def _serve_operations(self, scope: Scope, send: Send) -> bool:
        path = scope["path"]
        if path == HEALTH_PATH:
            await send_whole(send, 200, [(b"content-type", b"text/plain")], b"ok\n")
        elif path == READY_PATH:
            status, text = self._readiness()
            await send_whole(send, status, [(b"content-type", b"text/plain")], text)
        elif path == METRICS_PATH:
            self._metrics.running.set(self._drain.num_running)
            body = self._metrics.exposition()
            await send_whole(send, 200, [(b"content-type", _METRICS_TYPE)], body)
        else:
            return False
        return True

    def _readiness(self) -> tuple[int, bytes]:
        if self._drain.is_draining:
            return 503, b"draining\n"
        if self._configuration.current() is None:
            return 503, b"no configuration yet\n"
        return 200, b"ready\n"

    async def _answer_internal_error(self, call: Call, error: Exception) -> None:
        self._event_log.event(
            "bug", request_id=call.request_id, error=f"{type(error).__name__}: {error}"
        )
        refusal = refusals.backend_failed(RunStatus.UNKNOWN, "internal error of the node")
        if call.has_response_started:
            call.record_refusal(refusal)
            raise error
        await call.refuse(refusal)

    def _record_end(self, call: Call) -> None:
        duration_s = anyio.current_time() - call.started_s
        is_service = call.path.startswith(SERVICES_PREFIX)
        kind = SERVICE_KIND if is_service else GENERATION_KIND
        history = call.history
        self._metrics.record_end(kind, call.code, call.run_status, duration_s)
        self._event_log.event(
            "request",
            request_id=call.request_id,
            tenant=call.tenant,
            method=call.method,
            path=call.path,
            status=call.http_status,
            code=call.code,
            run_status=call.run_status.value,
            duration_s=duration_s,
            ttft_s=call.ttft_s if call.ttft_s is not None else "-",
            num_tokens=call.num_tokens,
            num_prompt_tokens=call.num_prompt_tokens,
            num_cached_tokens=call.num_cached_tokens,
            backend=history.backend or "-",
            attempts=history.num_attempts,
            resumes=history.num_resumes,
            hedges=history.num_hedges,
            causes=history.causes,
        )


def _refuse_route(method: str, path: str) -> Refusal | None:
    if path in (CHAT_PATH, COMPLETIONS_PATH):
        return None if method == "POST" else refusals.method_not_allowed(method, "POST")
    if path == MODELS_PATH:
        return None if method == "GET" else refusals.method_not_allowed(method, "GET")
    if path.startswith(SERVICES_PREFIX):
        return None
    return refusals.unknown_route(method, path)


class _ModelEntry(msgspec.Struct, frozen=True):
    id: str
    object: str = "model"
    owned_by: str = "weirscale"


class _ModelList(msgspec.Struct, frozen=True):
    data: tuple[_ModelEntry, ...]
    object: str = "list"


async def _serve_models(call: Call, deployment: Deployment) -> None:
    entries: list[_ModelEntry] = []
    for model in deployment.models:
        entries.append(_ModelEntry(model.name))
        entries += [_ModelEntry(model.name + ADAPTER_SEPARATOR + a) for a in model.adapters]
    body = msgspec.json.encode(_ModelList(tuple(entries)))
    call.record_response_started(200)
    await send_whole(call.send, 200, [(b"content-type", JSON_TYPE)], body)
    call.record_answer()
