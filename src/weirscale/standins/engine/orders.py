"""Fenced orders: what an engine has seen, and the load that it is about to do."""

from result import Err, Ok, Result

from weirscale.ports.engine import EngineFailure, EngineFailureKind, EngineOrder


class OrderFence:
    """Refuses an order whose token is not above the last one, except the last order itself.

    A fence lives in memory only: an engine that has crashed starts again from token 0.
    """

    def __init__(self) -> None:
        self._last: EngineOrder | None = None

    def check(self, order: EngineOrder) -> Result[bool, EngineFailure]:
        """Return whether an order is new; Ok(False) is an identical repeat, already accepted."""
        if self._last is None or order.token > self._last.token:
            self._last = order
            return Ok(True)
        if order == self._last:
            return Ok(False)
        detail = (
            f"order token {order.token} is not above {self._last.token}; "
            "take a new token from the key-value service"
        )
        return Err(EngineFailure(EngineFailureKind.REFUSED_STALE_ORDER, detail))
