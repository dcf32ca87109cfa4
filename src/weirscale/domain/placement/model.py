"""Inputs of placement decisions: observations and desired states of engines, and the rules."""

import enum

import msgspec

from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.identifiers import (
    AdapterName,
    EngineName,
    Incarnation,
    ModelName,
    WeightVersion,
)


class PlacementRules(msgspec.Struct, frozen=True):
    """Limits and timeouts that are not part of the configuration.

    Attributes:
        max_fleet_loads: Maximum concurrent loads of all models: one weight store serves them all.
        max_report_age_s: An engine whose last report is older counts as down. This is above the sum
            of the intervals at which homes report to their zones and a zone reports to the planner,
            with one more of each for a lost message.
        order_pause_s: An engine to which an order could not be delivered counts as down for this
            time, so that other engines get orders.
        order_repeat_s: An accepted small order (adapter, role) that shows no effect after this
            time is sent again.
    """

    max_fleet_loads: int = 4
    max_report_age_s: float = 30.0
    order_pause_s: float = 10.0
    order_repeat_s: float = 10.0


class EngineObservation(msgspec.Struct, frozen=True):
    """The state of one engine as the planner observes it.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run; None if it has never reported.
        model: The model that it serves; None while it has none.
        weight_version: The weight version that it serves.
        adapters: Adapters loaded.
        num_running: Number of running requests, for which a load would have to wait.
        order_token: Token of the last order carried out.
        is_up: Whether it has reported recently.
        is_leaving: Whether it is about to stop.
        role: The role that it serves; None if its reports have no role.
        loading_token: Token of the load that it is carrying out, 0 while none.
        failed_load_token: Token of the last load that failed in this run, 0 if none has.
    """

    engine: EngineName
    incarnation: Incarnation | None
    model: ModelName | None
    weight_version: WeightVersion | None
    adapters: frozenset[AdapterName]
    num_running: int
    order_token: int
    is_up: bool
    is_leaving: bool
    role: EngineRole | None = None
    loading_token: int = 0
    failed_load_token: int = 0

    @property
    def is_ready(self) -> bool:
        """Whether the engine can serve requests of its model."""
        return self.is_up and not self.is_leaving and self.model is not None


class DesiredEngine(msgspec.Struct, frozen=True):
    """The configured state of one engine."""

    engine: EngineName
    model: ModelName
    weight_version: WeightVersion
    adapters: tuple[AdapterName, ...]
    role: EngineRole


class RolloutState(enum.Enum):
    """State of a model's rollout."""

    DONE = "done"
    ROLLING = "rolling"
    WAITING_FOR_FLOOR = "waiting_for_floor"
    STOPPED = "stopped"
    SHORT_OF_ENGINES = "short_of_engines"
