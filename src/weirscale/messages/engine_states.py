"""States of a zone's engines, which a node of the zone reports to the placement planner."""

import msgspec

from weirscale.domain.identifiers import (
    AdapterName,
    EngineName,
    Incarnation,
    ModelName,
    WeightVersion,
    ZoneName,
)
from weirscale.messages.cache import LoadReport

AGE_UNIT_S = 0.2
"""Unit in which ages are sent, one byte each."""

MAX_AGE_UNITS = 255
"""The highest age that can be sent; higher ages are sent as this one."""


class EngineState(msgspec.Struct, frozen=True, array_like=True):
    """State of one engine that the planner needs.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run.
        model: The loaded model, or None.
        weight_version: The loaded weight version, or None.
        adapters: The loaded adapters.
        num_running: Requests running or waiting when any other field last changed.
        order_token: Fencing token of the last executed order.
        role: The engine's role, or None if the engine does not report one.
        loading_token: Fencing token of the load in progress; 0 without one.
        failed_load_token: Fencing token of the last failed load of this run; 0 without one.
        is_leaving: Whether the engine is about to stop.
        is_up: Whether the engine is healthy according to the reporting node.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName | None
    weight_version: WeightVersion | None
    adapters: tuple[AdapterName, ...]
    num_running: int
    order_token: int
    role: str | None
    loading_token: int
    failed_load_token: int
    is_leaving: bool
    is_up: bool

    @staticmethod
    def of(report: LoadReport, is_leaving: bool, is_up: bool) -> "EngineState":
        """Return the state according to a load report, with the given leaving and health states."""
        return EngineState(
            engine=report.engine,
            incarnation=report.incarnation,
            model=report.model,
            weight_version=report.weight_version,
            adapters=report.adapters,
            num_running=report.num_running + report.num_waiting,
            order_token=report.order_token,
            role=report.role,
            loading_token=report.loading_token,
            failed_load_token=report.failed_load_token,
            is_leaving=is_leaving,
            is_up=is_up,
        )


class EngineStatesRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="engine_states_request"
):
    """Request to a node for the states of a zone's engines.

    Attributes:
        zone: The zone.
        known_digest: Digest of the states that the requester has from this node; 0 for none.
    """

    zone: ZoneName
    known_digest: int


class EngineStatesReply(msgspec.Struct, frozen=True, array_like=True, tag="engine_states_reply"):
    """The states of a zone's engines.

    Attributes:
        digest: Digest of the states without `num_running`.
        ages: Age of each state's load report in AGE_UNIT_S, one byte each, in order of names.
        states: All states in order of names; empty if the requester has them already.
    """

    digest: int
    ages: bytes
    states: tuple[EngineState, ...] = ()


def pack_age(age_s: float) -> int:
    """Return an age in AGE_UNIT_S that fits one byte, rounded up."""
    return max(0, min(MAX_AGE_UNITS, -int(-age_s // AGE_UNIT_S)))
