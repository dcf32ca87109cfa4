"""Giving fenced orders to engines, and what their answers mean."""

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
"""Longest wait for an engine to accept an order; accepting needs no loading."""


class OrderAnswer(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    NOT_GIVEN = "not_given"
    """Certainly not carried out: it may be dropped."""
    STALE = "stale"
    """The engine has seen a higher token."""
    UNKNOWN = "unknown"
    """It may have been accepted: give it again, with the same token."""


class FencedOrder(msgspec.Struct, frozen=True):
    """An order for one engine."""

    engine: EngineName
    order: EngineOrder


def order_of_load(load: LoadInProgress) -> FencedOrder:
    """Return the order that starts a load; always the same for the same load."""
    action = LoadModel(load.model, load.weight_version)
    return FencedOrder(load.engine, EngineOrder(load.token, action, load.incarnation))


def order_of_change(
    change: SmallChange, token: int, incarnation: Incarnation | None
) -> FencedOrder:
    """Return the order of an adapter or role change for one run of the engine."""
    action: OrderAction
    if isinstance(change, AdapterChange):
        action = LoadAdapter(change.adapter) if change.is_load else UnloadAdapter(change.adapter)
    else:
        action = ChangeRole(change.role.value)
    return FencedOrder(change.engine, EngineOrder(token, action, incarnation))


async def give_order(port: EnginePort, order: EngineOrder) -> OrderAnswer:
    """Give an order once."""
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
    return OrderAnswer.NOT_GIVEN if failure.provably_not_run else OrderAnswer.UNKNOWN
