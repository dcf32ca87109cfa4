"""The caller's side of one request: its answer is sent once, whole, or visibly broken off."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from weirscale.gateway.model.identifiers import RequestId
from weirscale.gateway.ports.callers import Headers, RequestCodec

Send = Callable[[dict[str, Any]], Awaitable[None]]
"""ASGI's send."""

CONNECTION_CLOSE = (b"connection", b"close")


class Responder:
    """Sends the answer over ASGI.

    An answer that is begun and not completed ends with its connection, without the end mark that
    a whole answer has.

    Args:
        send: ASGI's send.
        codec: Writes refusals.
        request_id: The caller's id.
        should_close: Whether the connection should end with the answer.
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
        """Answer on the gateway's own behalf."""
        headers = self._codec.refusal_headers(self._request_id, retry_after_s)
        await self.send_whole(status.value, headers, b"")

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer at once."""
        length = (b"content-length", str(len(body)).encode())
        await self.send_head(status, (*headers, length))
        self.has_ended = True
        await self._send({"type": "http.response.body", "body": body, "more_body": False})

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head."""
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
        """Send the end mark."""
        self.has_ended = True
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})
