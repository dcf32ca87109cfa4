"""Reading of request bodies with bounded memory and time."""

import anyio
from result import Err, Ok, Result

from weirscale.domain.configuration.model import CallerLimits
from weirscale.domain.request import refusals
from weirscale.domain.request.refusal import Refusal
from weirscale.ports.asgi import Receive


class CallerDisconnectedError(Exception):
    """The caller closed its connection, so no answer can be sent."""


async def read_body(
    receive: Receive, headers: dict[str, str], limits: CallerLimits
) -> Result[bytes, Refusal]:
    """Read the whole body.

    Reading stops once `max_body_bytes` or `body_timeout_s` is exceeded, so that a flood or a
    stalled sender never occupies more memory than `max_body_bytes`.

    Raises:
        CallerDisconnectedError: The connection closed before the end of the body.
    """
    declared = headers.get("content-length", "")
    if declared.isdecimal() and int(declared[:20]) > limits.max_body_bytes:
        return Err(refusals.body_too_large(limits.max_body_bytes))
    with anyio.move_on_after(limits.body_timeout_s):
        return await _read_parts(receive, limits.max_body_bytes)
    return Err(refusals.body_timeout(limits.body_timeout_s))


async def _read_parts(receive: Receive, max_body_bytes: int) -> Result[bytes, Refusal]:
    parts: list[bytes] = []
    num_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        part = message.get("body", b"")
        num_bytes += len(part)
        if num_bytes > max_body_bytes:
            return Err(refusals.body_too_large(max_body_bytes))
        parts.append(part)
        if not message.get("more_body", False):
            return Ok(parts[0] if len(parts) == 1 else b"".join(parts))
