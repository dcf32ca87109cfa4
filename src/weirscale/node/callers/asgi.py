"""The few ASGI types and helpers that the application needs."""

from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
HeaderList = list[tuple[bytes, bytes]]

JSON_TYPE = b"application/json"
EVENT_STREAM_TYPE = b"text/event-stream; charset=utf-8"


def decode_headers(raw_headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers with lower-case names; of a repeated one, the last."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw_headers}


def headers_size_bytes(raw_headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the bytes of all names and values."""
    return sum(len(name) + len(value) for name, value in raw_headers)


async def send_whole(send: Send, status: int, headers: HeaderList, body: bytes) -> None:
    """Send one complete response."""
    headers.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})
