"""The placement record in the key-value service, and the rollout progress in the status output."""

import msgspec

from weirscale.domain.identifiers import (
    EngineName,
    Incarnation,
    ModelName,
    NodeName,
    WeightVersion,
)


class LoadInProgress(msgspec.Struct, frozen=True):
    """An ordered load that has neither finished nor failed; it occupies a load slot.

    Attributes:
        engine: The loading engine.
        incarnation: The engine's run at the time of the order.
        model: The model to load.
        weight_version: The version to load.
        token: Fencing token of the order.
        is_given_up: Whether the load has timed out and counts as failed. The engine may still be
            reading weights, so the load keeps its slot until a report shows that it has ended.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    token: int
    is_given_up: bool = False


class FailedLoad(msgspec.Struct, frozen=True):
    """A failed load; kept while its version is the declared one.

    Attributes:
        engine: The engine that failed to load.
        model: The model.
        weight_version: The version.
        reason: Cause of the failure, for the status output.
        is_restoring: Whether the load was to restore the previous version after the rollout
            stopped; such a failure does not count against that version.
    """

    engine: EngineName
    model: ModelName
    weight_version: WeightVersion
    reason: str
    is_restoring: bool = False


class ServedVersion(msgspec.Struct, frozen=True):
    """The version that a model served last, not counting a rollout in progress."""

    model: ModelName
    weight_version: WeightVersion


class PlacementRecord(msgspec.Struct, frozen=True, tag="placement_record"):
    """Persistent state of the planner, written by compare-and-swap before an order is sent.

    Attributes:
        next_token: Fencing token of the next order; never used twice.
        loads: Loads in progress over the whole fleet.
        failures: Failed loads of declared versions.
        served: The version that each model served last; engines that a stopped rollout left
            without weights load it again.
    """

    next_token: int = 1
    loads: tuple[LoadInProgress, ...] = ()
    failures: tuple[FailedLoad, ...] = ()
    served: tuple[ServedVersion, ...] = ()


class RolloutProgress(msgspec.Struct, frozen=True, tag="rollout_progress"):
    """Progress of one model's rollout towards the declared state.

    Attributes:
        model: The model.
        weight_version: The declared version.
        num_engines: Engines declared for the model.
        num_ready: Engines that serve the model at any version.
        num_current: Engines that serve the declared version with all adapters.
        loading: Engines that are loading the model, at any version.
        stuck: Loading engines whose load has timed out but which may still be reading weights.
        failures: Failed loads of the declared version.
        state: One of `RolloutState`'s values.
        remedy: Action for the operator; empty if none is needed.
    """

    model: ModelName
    weight_version: WeightVersion
    num_engines: int
    num_ready: int
    num_current: int
    loading: tuple[EngineName, ...]
    stuck: tuple[EngineName, ...]
    failures: tuple[FailedLoad, ...]
    state: str
    remedy: str


class PlacementStatusRequest(msgspec.Struct, frozen=True, tag="placement_status_request"):
    """Request to a node for the progress of rollouts."""


class PlacementStatusReply(msgspec.Struct, frozen=True, tag="placement_status_reply"):
    """Progress of rollouts according to a node.

    Attributes:
        node: The answering node.
        is_planner: Whether the node holds the planner's lease; otherwise `rollouts` may be stale.
        rollouts: Progress of each declared model.
    """

    node: NodeName
    is_planner: bool
    rollouts: tuple[RolloutProgress, ...]
