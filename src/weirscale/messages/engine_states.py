"""States of a zone's engines, as a node of the zone tells them to the placement planner."""

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
"""Ages travel in these units, one byte each."""

MAX_AGE_UNITS = 255
"""Stands for this age and every higher one."""


class EngineState(msgspec.Struct, frozen=True, array_like=True):
    """What a planner must know of one engine.

    Attributes:
        engine: Its name.
        incarnation: Its run.
        model: The model loaded, or None.
        weight_version: The version loaded, or None.
        adapters: Adapters loaded.
        num_running: Requests running or waiting when the state last changed otherwise.
        order_token: Token of the last order carried out.
        role: The role that it serves, or None if it does not say.
        loading_token: Token of the load that it is carrying out, 0 while none.
        failed_load_token: Token of the last load that failed in this run, 0 if none has.
        is_leaving: Whether it is about to stop.
        is_up: Whether the telling node finds it healthy.
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
        """Return the state that a report tells, with what else is known of the engine."""
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
    """Asks a node what it has heard of a zone's engines.

    Attributes:
        zone: The zone.
        known_digest: Digest of the states that the asker has from this node, 0 for none.
    """

    zone: ZoneName
    known_digest: int


class EngineStatesReply(msgspec.Struct, frozen=True, array_like=True, tag="engine_states_reply"):
    """What the node has heard.

    Attributes:
        digest: Names the states, `num_running` aside.
        ages: Age of each state's load report in AGE_UNIT_S, one byte each, in order of names.
        states: All states in order of names; empty if the asker has them.
    """

    digest: int
    ages: bytes
    states: tuple[EngineState, ...] = ()


def pack_age(age_s: float) -> int:
    """Return an age as one byte, rounded up."""
    return max(0, min(MAX_AGE_UNITS, -int(-age_s // AGE_UNIT_S)))
