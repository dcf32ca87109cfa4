"""Rollouts of a service version: what operators order, and the status that they read.

`RolloutStatus` travels between nodes: its field names and values are names of the wire.
"""

import enum
from typing import NewType

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion

Epoch = NewType("Epoch", int)
"""Names one order: the store's revision of its entry. A later order has a higher one."""


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order as a node knows it.

    Attributes:
        service: The service.
        target: Version that its traffic is to move to.
        deadline_s: Time for it, from the order's acknowledgement on.
        epoch: Names the order.
        seen_at_s: When this node last knew that it was not there; its own start, if it was there.
        predates_node: Whether it was there before this node, so that its age is not known.
        served_before: Whether the target served without a canary when the order came.
    """

    service: ServiceName
    target: SoftwareVersion
    deadline_s: float
    epoch: Epoch
    seen_at_s: float
    predates_node: bool = False
    served_before: bool = False


class RolloutState(enum.Enum):
    """What operators read of a rollout."""

    ACTIVE = "active"
    """It is under way."""
    COMPLETED = "completed"
    """All traffic goes to the target; its predecessors are not needed any more."""
    ROLLED_BACK = "returned"
    """All traffic goes to the target's predecessors."""


class RolloutStatus(msgspec.Struct, frozen=True):
    """The status that operators read.

    Attributes:
        service: The service.
        target: The order's target.
        state: How the rollout stands.
    """

    service: ServiceName
    target: SoftwareVersion
    state: RolloutState


class VersionedStatus(msgspec.Struct, frozen=True):
    """A status as it stands in the store, and the revision at which it was written."""

    status: RolloutStatus
    revision: int
