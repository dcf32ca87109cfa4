"""Sends the response to one request: once, and either complete or visibly incomplete."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from weirscale.gateway.model.identifiers import RequestId
from weirscale.gateway.ports.callers import Headers, RequestCodec

Send = Callable[[dict[str, Any]], Awaitable[None]]
"""The `send` callable of ASGI."""

CONNECTION_CLOSE = (b"connection", b"close")


class Responder:
    """Sends the response to one request over ASGI.

    A response that was begun and cannot be completed ends when its connection is closed, without
    the terminator of a complete response.

    Args:
        send: The `send` callable of ASGI.
        codec: Writes the headers of refusals.
        request_id: Request id that the caller stated.
        should_close: Returns whether the connection should be closed after the response.
    """

    def __init__(
        self,
        send: Send,
        codec: RequestCodec,
        request_id: RequestId,
        should_close: Callable[[], bool],
    ) -> None:
        self._send = send
        self._codec = codec
        self._request_id = request_id
        self._should_close = should_close
        self.has_begun = False
        self.has_ended = False
        self.status = 0

    async def refuse(self, status: HTTPStatus, retry_after_s: float | None = None) -> None:
        """Send a refusal of the gateway, with a Retry-After if `retry_after_s` is given."""
        headers = self._codec.refusal_headers(self._request_id, retry_after_s)
        await self.send_whole(status.value, headers, b"")

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.send_head(status, (*headers, length))
        self.has_ended = True
        await self._send({"type": "http.response.body", "body": body, "more_body": False})

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        self.has_begun = True
        self.status = status
        if self._should_close():
            headers = (*headers, CONNECTION_CLOSE)
        await self._send(
            {"type": "http.response.start", "status": status, "headers": list(headers)}
        )

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def send_end(self) -> None:
        """Send the end of the response."""
        self.has_ended = True
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})
