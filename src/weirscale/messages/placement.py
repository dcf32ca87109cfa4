"""The placement record kept in the key-value service, and the progress that status shows."""

import msgspec

from weirscale.domain.identifiers import (
    EngineName,
    Incarnation,
    ModelName,
    NodeName,
    WeightVersion,
)


class LoadInProgress(msgspec.Struct, frozen=True):
    """A load that was ordered and has neither finished nor failed; it holds a slot.

    Attributes:
        engine: The engine that loads.
        incarnation: Its run when the order was decided.
        model: The model to load.
        weight_version: The version to load.
        token: Fencing token of the order.
        is_given_up: Whether it has failed by taking too long. It keeps its slot, because the
            engine may still be reading weights, until a report shows that it is not.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    token: int
    is_given_up: bool = False


class FailedLoad(msgspec.Struct, frozen=True):
    """A load that failed; kept while its version is the declared one.

    Attributes:
        engine: The engine that did not load.
        model: The model.
        weight_version: The version.
        reason: What happened, for status.
        is_restoring: Whether it was to bring the version before back after the rollout stopped;
            such a failure does not count against that version.
    """

    engine: EngineName
    model: ModelName
    weight_version: WeightVersion
    reason: str
    is_restoring: bool = False


class ServedVersion(msgspec.Struct, frozen=True):
    """The version that a model served last, before any that is being rolled out."""

    model: ModelName
    weight_version: WeightVersion


class PlacementRecord(msgspec.Struct, frozen=True, tag="placement_record"):
    """What must outlive a planner: written by compare-and-swap before any order is given.

    Attributes:
        next_token: Fencing token of the next order; never given twice.
        loads: Loads in progress over the whole fleet.
        failures: Failed loads of declared versions.
        served: The version that each model served last; engines that a stopped rollout left
            without weights go back to it.
    """

    next_token: int = 1
    loads: tuple[LoadInProgress, ...] = ()
    failures: tuple[FailedLoad, ...] = ()
    served: tuple[ServedVersion, ...] = ()


class RolloutProgress(msgspec.Struct, frozen=True, tag="rollout_progress"):
    """How far one model is from what is declared.

    Attributes:
        model: The model.
        weight_version: The declared version.
        num_engines: Engines declared for it.
        num_ready: Those that serve the model at any version.
        num_current: Those that serve the declared version with all adapters.
        loading: Engines that are loading it now, at any version.
        stuck: Those of them whose load was given up but may still read weights.
        failures: Failed loads of the declared version.
        state: One of `RolloutState`'s values.
        remedy: What an operator can do; empty where nothing is needed.
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
    """Asks a node for the progress of rollouts."""


class PlacementStatusReply(msgspec.Struct, frozen=True, tag="placement_status_reply"):
    """What the node knows.

    Attributes:
        node: The node asked.
        is_planner: Whether it holds the planner's lease; only then is the rest current.
        rollouts: Progress of each declared model.
    """

    node: NodeName
    is_planner: bool
    rollouts: tuple[RolloutProgress, ...]
