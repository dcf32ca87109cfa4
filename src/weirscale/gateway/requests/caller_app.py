"""The ASGI application; serves callers, readiness or metrics, depending on the local port."""

from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any

import anyio

from weirscale.gateway.ports.callers import CallerRequest, RequestCodec
from weirscale.gateway.requests.request_context import RequestContext
from weirscale.gateway.requests.request_handler import RequestHandler
from weirscale.gateway.requests.responder import Responder, Send
from weirscale.gateway.settings import GatewaySettings

METRICS_CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")

Receive = Callable[[], Awaitable[dict[str, Any]]]
"""The `receive` callable of ASGI."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the request was complete."""


class BodyTooLargeError(Exception):
    """The request body exceeds the configured limit."""


class CallerApp:
    """Serves all listeners of a gateway.

    Args:
        settings: Ports of the listeners.
        context: Parts that all requests of the node share.
        codec: Parses requests and writes refusals.
        is_ready: Returns whether the node accepts new connections.
        should_close: Returns whether connections should be closed after their response.
        metrics_text: Returns the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        context: RequestContext,
        codec: RequestCodec,
        is_ready: Callable[[], bool],
        should_close: Callable[[], bool],
        metrics_text: Callable[[], bytes],
    ) -> None:
        self._context = context
        self._codec = codec
        self._is_ready = is_ready
        self._should_close = should_close
        self._metrics_text = metrics_text
        self._caller_port = settings.callers.port
        self._readiness_port = settings.readiness.port
        self.num_running = 0

    async def __call__(self, scope: Mapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        port = scope["server"][1]
        if port == self._caller_port:
            await self._serve_caller(scope, receive, send)
        elif port == self._readiness_port:
            await _respond(
                send, HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
            )
        else:
            await _respond(send, HTTPStatus.OK, self._metrics_text())

    async def _serve_caller(self, scope: Mapping[str, Any], receive: Receive, send: Send) -> None:
        arrived_at_s = self._context.clock()
        request = self._codec.parse(scope)
        if isinstance(request, str):
            await _respond(send, HTTPStatus.BAD_REQUEST, request.encode())
            return
        responder = Responder(send, self._codec, request.request_id, self._should_close)
        self.num_running += 1
        try:
            body = await self._read_body(receive)
            await self._run_request(request, body, responder, receive, arrived_at_s)
        except BodyTooLargeError:
            await responder.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        except CallerDisconnectedError:
            return
        finally:
            self.num_running -= 1

    async def _run_request(
        self,
        request: CallerRequest,
        body: bytes,
        responder: Responder,
        receive: Receive,
        arrived_at_s: float,
    ) -> None:
        """Run the request until it ends or the caller disconnects."""
        handler = RequestHandler(self._context, request, body, responder, arrived_at_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            await handler.run()
            tasks.cancel_scope.cancel()

    async def _read_body(self, receive: Receive) -> bytes:
        max_bytes = self._context.admission.max_body_bytes()
        parts: list[bytes] = []
        num_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            part = message.get("body", b"")
            num_bytes += len(part)
            if max_bytes is not None and num_bytes > max_bytes:
                raise BodyTooLargeError
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _respond(send: Send, status: HTTPStatus, body: bytes = b"") -> None:
    headers = [METRICS_CONTENT_TYPE, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status.value, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})
