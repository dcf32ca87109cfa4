"""HTTP interface of the stand-in service."""

from weirscale.ports.asgi import (
    Receive,
    Scope,
    Send,
    answer_lifespan,
    decode_headers,
    read_body,
    send_part,
    start_response,
)
from weirscale.standins.asgi_server import MAX_BODY_BYTES
from weirscale.standins.service.in_process import InProcessService
from weirscale.standins.service.model import OK


class ServiceApp:
    """ASGI app in front of one in-process back end; it runs requests to any path."""

    def __init__(self, service: InProcessService) -> None:
        self._service = service

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        target = f"{path}?{query}" if query else path
        answer = await self._service.handle(
            scope["method"], target, decode_headers(scope["headers"]), body
        )
        if answer is None:
            await break_connection(send)
            return
        headers = [(name.encode(), value.encode()) for name, value in answer.headers.items()]
        await start_response(send, answer.status, headers)
        await send_part(send, answer.body, is_last=True)


async def break_connection(send: Send) -> None:
    """Send an incomplete answer, so that the server closes the connection."""
    await start_response(send, OK, ())
    await send_part(send, b"{")
