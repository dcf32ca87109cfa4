"""Error responses: OpenAI's error object, and the headers that repeat its main fields."""

import math

import msgspec

from weirscale.domain.request.refusal import Refusal
from weirscale.ports.asgi import JSON_TYPE, HeaderList, Send, send_whole

RUN_STATUS_HEADER = b"x-run-status"
REQUEST_ID_HEADER = b"x-request-id"

_FIRST_SERVER_ERROR = 500


class ErrorObject(msgspec.Struct, frozen=True):
    """OpenAI's error object with three additional fields: `run_status`, `remedy`, `request_id`."""

    message: str
    type: str
    code: str
    run_status: str
    remedy: str
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every error response."""

    error: ErrorObject


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    is_server_error = refusal.http_status >= _FIRST_SERVER_ERROR
    error = ErrorObject(
        message=refusal.message,
        type="server_error" if is_server_error else "invalid_request_error",
        code=refusal.code.value,
        run_status=refusal.run_status.value,
        remedy=refusal.remedy,
        request_id=request_id,
    )
    return msgspec.json.encode(ErrorBody(error))


def error_headers(refusal: Refusal, request_id: str) -> HeaderList:
    """Return the headers of a refusal."""
    headers: HeaderList = [
        (b"content-type", JSON_TYPE),
        (RUN_STATUS_HEADER, refusal.run_status.value.encode()),
        (REQUEST_ID_HEADER, request_id.encode()),
    ]
    if refusal.retry_after_s is not None:
        # The header takes whole seconds; rounded up so that no caller retries too early.
        headers.append((b"retry-after", str(math.ceil(refusal.retry_after_s)).encode()))
    return headers


async def send_refusal(send: Send, refusal: Refusal, request_id: str) -> None:
    """Answer with a refusal."""
    body = error_body(refusal, request_id)
    await send_whole(send, refusal.http_status, error_headers(refusal, request_id), body)
