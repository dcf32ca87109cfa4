"""Rollouts of a service version: the operators' orders, and the status shown to operators.

`RolloutStatus` is sent between nodes: its field names and values are part of the protocol.
"""

import enum
from typing import NewType

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion

Epoch = NewType("Epoch", int)
"""Identifies an order: the store revision of its entry. A later order has a higher epoch."""


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to roll out a service version, as received by this node.

    Attributes:
        service: The service.
        target: Version that the service's traffic moves to.
        deadline_s: Seconds allowed for the rollout from the acknowledgement of the order.
        epoch: Identifies the order.
        seen_at_s: Latest time at which the order was known not to exist yet. If the order predates
            the node, the time at which the node read it.
        predates_node: Whether the order existed before this node started, so its age is unknown.
        served_before: Whether the target was already established when the order arrived, so that it
            needs no canary.
    """

    service: ServiceName
    target: SoftwareVersion
    deadline_s: float
    epoch: Epoch
    seen_at_s: float
    predates_node: bool = False
    served_before: bool = False


class RolloutState(enum.Enum):
    """State of a rollout as shown to operators."""

    ACTIVE = "active"
    """The rollout is in progress."""
    COMPLETED = "completed"
    """All traffic goes to the target; its predecessors are no longer needed."""
    ROLLED_BACK = "returned"
    """All traffic goes to the target's predecessors."""


class RolloutStatus(msgspec.Struct, frozen=True):
    """Status of a rollout as shown to operators.

    Attributes:
        service: The service.
        target: The order's target.
        state: State of the rollout.
    """

    service: ServiceName
    target: SoftwareVersion
    state: RolloutState


class VersionedStatus(msgspec.Struct, frozen=True):
    """A status in the store and the revision at which it was written."""

    status: RolloutStatus
    revision: int
