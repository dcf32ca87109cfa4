"""Serves a stand-in of `features/support` on a real socket that can be closed and opened again."""

from collections.abc import Awaitable
from typing import Protocol

import anyio
import httpx

from weirscale.ports.asgi import Receive, Scope, Send, answer_lifespan, read_body
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener

MAX_BODY_BYTES = 1 << 20
CLOSE_TIMEOUT_S = 0.05
"""Time until connections are closed after the shutdown; short, because it stands for a crash."""


class StandIn(Protocol):
    """Interface of the stand-ins."""

    def handle(self, request: httpx.Request) -> Awaitable[httpx.Response]:
        """Answer a request; a transport error means that no answer is sent."""
        ...


class ServedStandIn:
    """A server for a stand-in at one address.

    Args:
        stand_in: Answers the requests.
        host: Address to listen at.
        port: Port to listen at.
    """

    def __init__(self, stand_in: StandIn, host: str, port: int) -> None:
        self._stand_in = stand_in
        self._host = host
        self._port = port
        self._stop = anyio.Event()
        self._ended = anyio.Event()

    async def run(self) -> None:
        """Serve until `shut_down` is called or the task is cancelled."""
        self._stop, self._ended = anyio.Event(), anyio.Event()
        listener = open_listener(self._host, self._port)
        try:
            await serve_asgi(self._app, listener, self._stop, CLOSE_TIMEOUT_S)
        finally:
            self._ended.set()

    async def shut_down(self) -> None:
        """Close the listener and all connections, and wait until they are closed."""
        self._stop.set()
        await self._ended.wait()

    async def _app(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            await self._answer(_build_request(scope, body), send)
            tasks.cancel_scope.cancel()

    async def _answer(self, request: httpx.Request, send: Send) -> None:
        try:
            response = await self._stand_in.handle(request)
        except httpx.TransportError:
            # The connection stays open without an answer.
            await anyio.sleep_forever()
        start = {"status": response.status_code, "headers": response.headers.raw}
        await send({"type": "http.response.start", **start})
        try:
            # Reads the stream directly: reading it through the response would wrap its exceptions.
            assert isinstance(response.stream, httpx.AsyncByteStream)
            async for part in response.stream:
                await send({"type": "http.response.body", "body": part, "more_body": True})
        except httpx.TransportError:
            return  # without the end of the body: the server then closes the connection
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def _build_request(scope: Scope, body: bytes) -> httpx.Request:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    host, port = scope["server"]
    return httpx.Request(
        scope["method"],
        httpx.URL(f"http://{host}:{port}{target.decode('latin-1')}"),
        headers=list(scope["headers"]),
        content=body,
        extensions={"target": target},
    )
