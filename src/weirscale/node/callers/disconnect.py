"""Cancellation of a call's work when its caller disconnects."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from weirscale.ports.asgi import Receive

SEND_GRACE_S = 5.0
"""Time after a request's deadline for sending the rest of its answer. A caller that does not read
is then treated as disconnected, so that it can't occupy its permit and its engine forever."""


@asynccontextmanager
async def cancelled_on_disconnect(receive: Receive, give_up_at_s: float) -> AsyncIterator[None]:
    """Cancel the block when the caller disconnects; the request body must have been read.

    Args:
        receive: The ASGI receive callable.
        give_up_at_s: When the block is cancelled in any case.
    """
    async with anyio.create_task_group() as tasks:
        scope = tasks.cancel_scope
        scope.deadline = give_up_at_s
        tasks.start_soon(_cancel_on_disconnect, receive, scope)
        yield
        scope.cancel()


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
