"""Build the HTTP requests and the "sent" records for the items of a plan."""

from urllib.parse import urlsplit

import msgspec

from weirscale.domain.identifiers import NodeName, TenantName
from weirscale.domain.prefix.prompt import prompt_bytes
from weirscale.experiments.history.records import GenerationSent, ServiceSent
from weirscale.experiments.run.exchange import HttpRequest
from weirscale.experiments.workload.items import GenerationItem, PlanItem, ServiceItem
from weirscale.standins.service.model import body_digest

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
MILLISECONDS = 1000


def api_key(tenant: TenantName) -> str:
    """Return a tenant's API key as the shipped deployments declare it."""
    return f"{tenant}-key"


def marker_of(item: ServiceItem) -> str:
    """Return the text that the answer to an item must contain.

    An item with a body is a change, whose answer contains a digest of the body; repeats of the
    change share that digest. The answer to a read contains the request id.
    """
    return body_digest(item.body) if item.body else item.request_id


def generation_request(item: GenerationItem, body: dict[str, object]) -> HttpRequest:
    """Return the HTTP request for a generation item with the given body."""
    return HttpRequest("POST", CHAT_PATH, "", _headers(item, None), msgspec.json.encode(body))


def service_request(item: ServiceItem) -> HttpRequest:
    """Return the HTTP request for a service item."""
    target = urlsplit(item.path)
    path = f"{SERVICES_PREFIX}{item.service}{target.path}"
    headers = _headers(item, item.idempotency_key)
    return HttpRequest(item.method, path, target.query, headers, item.body)


def _headers(item: PlanItem, idempotency_key: str | None) -> tuple[tuple[str, str], ...]:
    headers = [
        ("authorization", f"Bearer {api_key(item.tenant)}"),
        ("content-type", "application/json"),
        ("x-request-id", item.request_id),
        ("x-deadline-ms", str(round(item.deadline_s * MILLISECONDS))),
    ]
    if idempotency_key is not None:
        headers.append(("idempotency-key", idempotency_key))
    return tuple(headers)


def generation_sent(
    item: GenerationItem, body: dict[str, object], node: NodeName, start_s: float, now_s: float
) -> GenerationSent:
    """Return the record of a generation item sent at `now_s`, in a run that began at `start_s`."""
    prompt = prompt_bytes(body)
    assert prompt is not None
    return GenerationSent(
        at_s=now_s,
        request_id=item.request_id,
        intended_at_s=start_s + item.send_at_s,
        tenant=item.tenant,
        model=item.model,
        adapter=None,
        node=node,
        prompt=prompt,
        max_tokens=item.max_tokens,
        deadline_at_s=start_s + item.send_at_s + item.deadline_s,
    )


def service_sent(item: ServiceItem, node: NodeName, start_s: float, now_s: float) -> ServiceSent:
    """Return the record of a service item sent at `now_s`, in a run that began at `start_s`."""
    return ServiceSent(
        at_s=now_s,
        request_id=item.request_id,
        intended_at_s=start_s + item.send_at_s,
        tenant=item.tenant,
        service=item.service,
        node=node,
        marker=marker_of(item),
        repeatable=item.repeatable,
        idempotency_key=item.idempotency_key,
        deadline_at_s=start_s + item.send_at_s + item.deadline_s,
    )
