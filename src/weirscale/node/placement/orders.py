"""Send fenced orders to engines and interpret their answers.

Orders carry a fencing token, so an engine rejects orders that are older than one it has seen.
"""

import enum

import anyio
import msgspec
from result import Ok, Result

from weirscale.domain.identifiers import EngineName, Incarnation
from weirscale.domain.placement.small_orders import AdapterChange, SmallChange
from weirscale.messages.placement import LoadInProgress
from weirscale.ports.engine import (
    ChangeRole,
    EngineFailure,
    EngineFailureKind,
    EngineOrder,
    EnginePort,
    LoadAdapter,
    LoadModel,
    OrderAction,
    UnloadAdapter,
)

ORDER_TIMEOUT_S = 5.0
"""Longest wait for an engine to accept an order; it accepts before it loads anything."""


class OrderAnswer(enum.Enum):
    """Result of sending an order."""

    ACCEPTED = "accepted"
    NOT_EXECUTED = "not_given"
    """Certainly not executed: the order may be dropped."""
    STALE = "stale"
    """The engine has seen a higher token."""
    UNKNOWN = "unknown"
    """The engine may have accepted it: send it again with the same token."""


class FencedOrder(msgspec.Struct, frozen=True):
    """An order for one engine."""

    engine: EngineName
    order: EngineOrder


def make_load_order(load: LoadInProgress) -> FencedOrder:
    """Return the order that starts a load; equal loads give equal orders."""
    action = LoadModel(load.model, load.weight_version)
    return FencedOrder(load.engine, EngineOrder(load.token, action, load.incarnation))


def make_change_order(
    change: SmallChange, token: int, incarnation: Incarnation | None
) -> FencedOrder:
    """Return the order for an adapter or role change, valid for one run of the engine."""
    action: OrderAction
    if isinstance(change, AdapterChange):
        action = LoadAdapter(change.adapter) if change.is_load else UnloadAdapter(change.adapter)
    else:
        action = ChangeRole(change.role.value)
    return FencedOrder(change.engine, EngineOrder(token, action, incarnation))


async def send_order(port: EnginePort, order: EngineOrder) -> OrderAnswer:
    """Send an order once."""
    answer: Result[None, EngineFailure] | None = None
    with anyio.move_on_after(ORDER_TIMEOUT_S):
        answer = await port.order(order)
    if answer is None:
        return OrderAnswer.UNKNOWN
    if isinstance(answer, Ok):
        return OrderAnswer.ACCEPTED
    failure = answer.err_value
    if failure.kind is EngineFailureKind.REFUSED_STALE_ORDER:
        return OrderAnswer.STALE
    return OrderAnswer.NOT_EXECUTED if failure.provably_not_run else OrderAnswer.UNKNOWN
