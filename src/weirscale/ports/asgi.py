"""ASGI types and helpers that all applications of this project share."""

from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

import msgspec

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
HeaderList = list[tuple[bytes, bytes]]

JSON_TYPE = b"application/json"
JSON_HEADERS = ((b"content-type", JSON_TYPE),)
EVENT_STREAM_TYPE = b"text/event-stream; charset=utf-8"


def decode_headers(raw_headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers by lower-case name; of a repeated header the last value."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw_headers}


def headers_size_bytes(raw_headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the total size of all header names and values."""
    return sum(len(name) + len(value) for name, value in raw_headers)


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Read a request's body; None if the caller disconnected or sent more than `max_bytes`."""
    parts: list[bytes] = []
    num_bytes = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        part = message.get("body", b"")
        num_bytes += len(part)
        if num_bytes > max_bytes:
            return None
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def start_response(
    send: Send, status: int, headers: Iterable[tuple[bytes, bytes]] = ()
) -> None:
    """Send status and headers."""
    await send({"type": "http.response.start", "status": status, "headers": list(headers)})


async def send_part(send: Send, body: bytes, *, is_last: bool = False) -> None:
    """Send a part of the response's body."""
    await send({"type": "http.response.body", "body": body, "more_body": not is_last})


async def send_whole(send: Send, status: int, headers: HeaderList, body: bytes) -> None:
    """Send one complete response."""
    headers.append((b"content-length", str(len(body)).encode()))
    await start_response(send, status, headers)
    await send_part(send, body, is_last=True)


async def send_json(send: Send, status: int, value: object) -> None:
    """Send one complete JSON response."""
    await send_whole(send, status, [(b"content-type", JSON_TYPE)], msgspec.json.encode(value))


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the lifespan events (startup and shutdown) of the server."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
