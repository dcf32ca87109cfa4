"""Ends the work of a call when its caller leaves."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from weirscale.ports.asgi import Receive

SEND_GRACE_S = 5.0
"""Time after a request's deadline for what is left to be sent. A caller that does not read is
treated as gone then: it must not hold its permit and its engine for ever."""


@asynccontextmanager
async def cancelled_on_disconnect(receive: Receive, give_up_at_s: float) -> AsyncIterator[None]:
    """Cancel the block when the caller's connection closes; the body must have been read.

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
