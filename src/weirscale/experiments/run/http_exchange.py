"""A `CallerExchange` with a node over a socket."""

from collections.abc import AsyncIterator

import httpx

from weirscale.experiments.run.exchange import HttpRequest, Message

NOT_CONNECTED_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout)


class HttpExchange:
    """A `CallerExchange` based on httpx; the first `next_message` sends the request.

    Attributes:
        was_connected: Whether a connection was established; valid after the first `next_message`.
    """

    def __init__(self, client: httpx.AsyncClient, address: str, request: HttpRequest) -> None:
        query = f"?{request.query}" if request.query else ""
        self.was_connected = True
        self._client = client
        self._request = client.build_request(
            request.method,
            f"http://{address}{request.path}{query}",
            headers=list(request.headers),
            content=request.body,
        )
        self._response: httpx.Response | None = None
        self._parts: AsyncIterator[bytes] | None = None

    async def next_message(self) -> Message | None:
        """Return the next message, or None if the connection failed."""
        try:
            if self._parts is None:
                return await self._open()
            return await self._next_part(self._parts)
        except NOT_CONNECTED_ERRORS:
            self.was_connected = False
            return None
        except httpx.HTTPError:
            return None

    async def disconnect(self) -> None:
        """Close the connection."""
        if self._response is not None:
            await self._response.aclose()

    async def _open(self) -> Message:
        response = await self._client.send(self._request, stream=True)
        self._response = response
        self._parts = response.aiter_bytes()
        headers = [(name.lower(), value) for name, value in response.headers.raw]
        return {
            "type": "http.response.start",
            "status": response.status_code,
            "headers": headers,
        }

    async def _next_part(self, parts: AsyncIterator[bytes]) -> Message:
        part = await anext(parts, None)
        return {
            "type": "http.response.body",
            "body": part or b"",
            "more_body": part is not None,
        }
