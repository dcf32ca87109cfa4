"""Sends weight orders to engines, fenced against orders of any other holder.

An order carries the token of the holder's term, the intended instance and the number of orders that
the engine has taken, so an order that arrives late has no effect.
"""

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.ports.back_end import BackEndPort, OrderOutcome, WeightOrder
from weirscale.gateway.weights.holder_term import HolderTerm
from weirscale.gateway.weights.order_fence import OrderFence
from weirscale.ports.event_log import EventLog

ORDER_TIMEOUT_S = 0.8
"""Seconds to wait for an engine's answer to an order."""


class OrderSender:
    """Sends orders of the current term.

    Args:
        term: This node's term.
        fence: Separates the orders from those of another holder.
        event_log: Logs each order and its outcome.
    """

    def __init__(self, term: HolderTerm, fence: OrderFence, event_log: EventLog) -> None:
        self._term = term
        self._fence = fence
        self._event_log = event_log

    def may_send(self) -> bool:
        """Return whether this node's term has not ended."""
        return self._term.is_current()

    async def send(
        self, port: BackEndPort, instance: InstanceId, model: str, version: int, sequence: int
    ) -> OrderOutcome | None:
        """Order an engine to load a version; return None if no order may be sent now.

        Args:
            port: Port of the engine.
            instance: Intended instance.
            model: Name of the model.
            version: The version to load.
            sequence: Number of orders that the engine has taken so far.
        """
        term = self._term
        # Without the lease, not even the fence is renewed, since this would block the next holder.
        if not term.is_current() or not await self._fence.acquire() or not term.is_current():
            return None
        token = term.token
        order = WeightOrder(model, version, term.holder, token, sequence, instance)
        outcome = await port.order(order, ORDER_TIMEOUT_S)
        self._event_log.event(
            "order_given", instance=instance, model=model, version=version,
            token=token, sequence=sequence, outcome=outcome.value,
        )  # fmt: skip
        return outcome
