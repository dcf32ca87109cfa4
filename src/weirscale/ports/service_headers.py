"""Headers between nodes and service back ends, and the check that an answer matches its request."""

from collections.abc import Mapping

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import ServiceRequest

REQUEST_ID_HEADER = "x-request-id"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection and are not forwarded (RFC 9110, section 7.6.1)."""


def request_headers(request: ServiceRequest) -> dict[str, str]:
    """Return the headers to send: the caller's, the request id and the idempotency key."""
    headers = {
        name: value for name, value in request.headers.items() if name not in CONNECTION_HEADERS
    }
    headers[REQUEST_ID_HEADER] = request.request_id
    if request.idempotency_key is not None:
        headers[IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers


def response_headers(request_id: RequestId) -> dict[str, str]:
    """Return the headers of a back end's JSON answer."""
    return {"content-type": "application/json", REQUEST_ID_HEADER: request_id}


def answers_request(headers: Mapping[str, str], request: ServiceRequest) -> bool:
    """Return whether an answer belongs to a request; an answer without an id is accepted."""
    return headers.get(REQUEST_ID_HEADER, request.request_id) == request.request_id
