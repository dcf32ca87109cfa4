"""Serves `/services/NAME/...`: requests to named services, passed through unchanged."""

import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.model import Service, ServiceRoute, Tenant
from weirscale.domain.identifiers import ServiceName
from weirscale.domain.request import refusals
from weirscale.domain.request.model import ServiceRequest, ServiceResponse
from weirscale.domain.request.refusal import Refusal
from weirscale.node.callers.body import read_body
from weirscale.node.callers.call import Call
from weirscale.node.callers.caller_headers import parse_caller_headers
from weirscale.node.callers.disconnect import SEND_GRACE_S, cancelled_on_disconnect
from weirscale.node.callers.errors import REQUEST_ID_HEADER, RUN_STATUS_HEADER
from weirscale.node.execution.service import ServiceExecutor
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.node.limits.task import AdmissionTask
from weirscale.ports.asgi import HeaderList, send_whole

SERVICES_PREFIX = "/services/"
ANY_METHOD = "*"
DEFAULT_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods that HTTP defines as safe; they are repeatable if no route of the service matches."""

DEFAULT_DEADLINE_S = 10.0

_NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers, and the caller's API key, which only the router may see."""

_NOT_RETURNED = _NOT_FORWARDED | {"x-request-id", "x-run-status", "date", "server"}


class ServicePath(msgspec.Struct, frozen=True):
    """The split path of a service call; `path` has a leading slash and includes the query."""

    service: ServiceName
    path: str


def split_service_path(path: str, raw_query: bytes) -> ServicePath:
    """Split `/services/NAME/PATH`, and append the query to the path."""
    name, _, rest = path[len(SERVICES_PREFIX) :].partition("/")
    query = "?" + raw_query.decode("latin-1") if raw_query else ""
    return ServicePath(ServiceName(name), "/" + rest + query)


def find_route(service: Service, method: str, path: str) -> ServiceRoute:
    """Return the first matching route, or a default route that repeats only safe methods."""
    for route in service.routes:
        if route.method in (ANY_METHOD, method) and path.startswith(route.path_prefix):
            return route
    return ServiceRoute(
        method=method,
        path_prefix="/",
        repeatable=method in DEFAULT_REPEATABLE_METHODS,
        deadline_s=DEFAULT_DEADLINE_S,
    )


class ServiceCallRoute:
    """Checks, admits and runs service calls."""

    def __init__(self, admission: AdmissionTask, executor: ServiceExecutor) -> None:
        self._admission = admission
        self._executor = executor

    async def serve(self, call: Call, tenant: Tenant, in_force: ConfigurationInForce) -> None:
        """Serve one call to its end."""
        parsed = await self._parse(call, tenant, in_force)
        if isinstance(parsed, Err):
            await call.refuse(parsed.err_value)
            return
        request = parsed.ok_value
        async with cancelled_on_disconnect(call.receive, request.deadline_s + SEND_GRACE_S):
            await self._admit_and_run(call, tenant, request)

    async def _parse(
        self, call: Call, tenant: Tenant, in_force: ConfigurationInForce
    ) -> Result[ServiceRequest, Refusal]:
        deployment = in_force.deployment
        target = split_service_path(call.path, call.scope.get("query_string", b""))
        service = next((s for s in deployment.services if s.name == target.service), None)
        if service is None:
            return Err(refusals.unknown_service(target.service))
        headers = parse_caller_headers(call.headers, tenant, call.request_id)
        if isinstance(headers, Err):
            return headers
        parsed_headers = headers.ok_value
        body = await read_body(call.receive, call.headers, deployment.callers)
        if isinstance(body, Err):
            return body
        route = find_route(service, call.method, target.path)
        return Ok(
            ServiceRequest(
                request_id=call.request_id,
                tenant=tenant.name,
                service=service.name,
                method=call.method,
                path=target.path,
                headers=_headers_for_backend(call, parsed_headers.idempotency_key),
                body=body.ok_value,
                deadline_s=call.started_s + (parsed_headers.deadline_s or route.deadline_s),
                repeatable=route.repeatable and parsed_headers.repeatable,
                idempotency_key=parsed_headers.idempotency_key,
                priority=parsed_headers.priority,
            )
        )

    async def _admit_and_run(self, call: Call, tenant: Tenant, request: ServiceRequest) -> None:
        permit = await self._admission.admit(
            tenant, request.request_id, 0, request.priority, request.deadline_s
        )
        if isinstance(permit, Err):
            await call.refuse(permit.err_value)
            return
        try:
            result = await self._executor.run(request, call.history)
        finally:
            self._admission.release(permit.ok_value)
        if isinstance(result, Err):
            await call.refuse(result.err_value)
            return
        await _answer(call, result.ok_value)


def _headers_for_backend(call: Call, idempotency_key: str | None) -> dict[str, str]:
    headers = {k: v for k, v in call.headers.items() if k not in _NOT_FORWARDED}
    headers["x-request-id"] = call.request_id
    if idempotency_key is not None:
        headers["idempotency-key"] = idempotency_key
    return headers


async def _answer(call: Call, response: ServiceResponse) -> None:
    headers: HeaderList = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
        if name.lower() not in _NOT_RETURNED
    ]
    headers.append((REQUEST_ID_HEADER, call.request_id.encode()))
    headers.append((RUN_STATUS_HEADER, b"ran"))
    call.record_response_started(response.status)
    await send_whole(call.send, response.status, headers, response.body)
    call.record_answer()
