"""Ends the work of a call when its caller leaves."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from weirscale.ports.asgi import Receive


@asynccontextmanager
async def cancelled_on_disconnect(receive: Receive) -> AsyncIterator[None]:
    """Cancel the block when the caller's connection closes; the body must have been read."""
    async with anyio.create_task_group() as tasks:
        scope = tasks.cancel_scope
        tasks.start_soon(_cancel_on_disconnect, receive, scope)
        yield
        scope.cancel()


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
