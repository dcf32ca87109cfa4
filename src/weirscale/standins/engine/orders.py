"""Fencing of orders to an engine by their tokens."""

from result import Err, Ok, Result

from weirscale.ports.engine import EngineFailure, EngineFailureKind, EngineOrder


class OrderFence:
    """Refuses orders whose token is not above that of the last order, except its exact repeat.

    The state is held in memory only: after a crash, the engine accepts any token again.
    """

    def __init__(self) -> None:
        self._last: EngineOrder | None = None

    def check(self, order: EngineOrder) -> Result[bool, EngineFailure]:
        """Return whether an order is new; Ok(False) means an exact repeat of the last order."""
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
