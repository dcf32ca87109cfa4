"""A back end's port whose unexpected errors end only the call that raised them."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from functools import partial
from typing import TypeVar

from result import Result

from weirscale.gateway.ports.back_end import (
    Answer,
    BackEndPort,
    EngineReport,
    OrderOutcome,
    OutboundRequest,
    RunState,
    SendFailure,
    WeightOrder,
)

_T = TypeVar("_T")


class GuardedPort:
    """Implements `BackEndPort`: a call that raises an error counts as one without an answer.

    The tasks that call back ends work for all of them, so an error for one must not end the task.
    Errors of `send` are not caught: they end only the caller's request, which logs them.

    Args:
        port: The port.
        report_error: Called with the name of the call and its error.
    """

    def __init__(self, port: BackEndPort, report_error: Callable[[str, Exception], None]) -> None:
        self._port = port
        self._report_error = report_error

    async def _guard(
        self, name: str, call: Callable[[], Awaitable[_T]], value_without_answer: _T
    ) -> _T:
        try:
            return await call()
        except Exception as error:
            self._report_error(name, error)
            return value_without_answer

    def send(
        self, outbound: OutboundRequest
    ) -> AbstractAsyncContextManager[Result[Answer, SendFailure]]:
        """Send a request."""
        return self._port.send(outbound)

    async def order(self, order: WeightOrder, timeout_s: float) -> OrderOutcome:
        """Send an order."""
        call = partial(self._port.order, order, timeout_s)
        return await self._guard("order", call, OrderOutcome.UNKNOWN)

    async def report(self, timeout_s: float) -> EngineReport | None:
        """Request the engine's report."""
        return await self._guard("report", partial(self._port.report, timeout_s), None)

    async def is_healthy(self, path: str, timeout_s: float) -> bool:
        """Call the health check."""
        call = partial(self._port.is_healthy, path, timeout_s)
        return await self._guard("health_check", call, False)

    async def run_state(self, path: str, timeout_s: float) -> RunState:
        """Call the health check and return the run's state."""
        call = partial(self._port.run_state, path, timeout_s)
        return await self._guard("health_check", call, RunState.UNKNOWN)

    async def check_run(self, path: str, timeout_s: float) -> RunState:
        """Call the health check on a connection of its own."""
        call = partial(self._port.check_run, path, timeout_s)
        return await self._guard("health_check", call, RunState.UNKNOWN)

    async def check_run_without_slot(self, timeout_s: float) -> RunState:
        """Determine the run's state by a call that needs no slot."""
        call = partial(self._port.check_run_without_slot, timeout_s)
        return await self._guard("report", call, RunState.UNKNOWN)

    async def close(self) -> None:
        """Close all connections."""
        await self._guard("close", self._port.close, None)
