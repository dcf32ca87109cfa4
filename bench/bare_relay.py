"""A bare relay: hypercorn in, httpx out, no logic. The yardstick for a node's own cost."""

import sys
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import httpx

from bench.setup import ServerAddress, announce
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener

Message = MutableMapping[str, Any]
LOOPBACK = "127.0.0.1"
PASSED_HEADERS = (b"content-type", b"x-request-id")

FINISH_TIMEOUT_S = 1.0
"""How long open requests may go on after the end of a bench."""


class BareRelay:
    """Passes every request on to one engine and its answer back, piece by piece."""

    def __init__(self, engine_address: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{engine_address}",
            timeout=None,
            limits=httpx.Limits(max_connections=1024, max_keepalive_connections=1024),
            trust_env=False,
        )

    async def __call__(
        self,
        scope: Message,
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        body = await _read_body(receive)
        headers = [(k, v) for k, v in scope["headers"] if k in PASSED_HEADERS]
        request = self._client.build_request(
            scope["method"], scope["path"], content=body, headers=headers
        )
        response = await self._client.send(request, stream=True)
        try:
            start_headers = [(b"content-type", b"text/event-stream")]
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status_code,
                    "headers": start_headers,
                }
            )
            async for part in response.aiter_raw():
                await send({"type": "http.response.body", "body": part, "more_body": True})
            await send({"type": "http.response.body", "body": b"", "more_body": False})
        finally:
            await response.aclose()


async def _read_body(receive: Callable[[], Awaitable[Message]]) -> bytes:
    parts: list[bytes] = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _serve_lifespan(
    receive: Callable[[], Awaitable[Message]], send: Callable[[Message], Awaitable[None]]
) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def main(engine_address: str) -> None:
    """Serve until killed."""
    listener = open_listener(LOOPBACK, 0)
    announce(ServerAddress(f"{LOOPBACK}:{listener.getsockname()[1]}"))
    await serve_asgi(BareRelay(engine_address), listener, anyio.Event(), FINISH_TIMEOUT_S)


if __name__ == "__main__":
    anyio.run(main, sys.argv[1], backend_options={"use_uvloop": True})
