"""Observations of engines for the planner, from its own directory and from other nodes."""

from collections.abc import Mapping

from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.identifiers import EngineName
from weirscale.domain.placement.model import EngineObservation, PlacementRules
from weirscale.node.backends.facts import DirectorySnapshot, EngineFacts
from weirscale.node.placement.fleet_states import ObservedState
from weirscale.node.placement.states_server import state_of

_ROLES: Mapping[str, EngineRole] = {role.value: role for role in EngineRole}


def observe_engines(
    snapshot: DirectorySnapshot,
    other_states: Mapping[EngineName, ObservedState],
    rules: PlacementRules,
    now_s: float,
) -> Mapping[EngineName, EngineObservation]:
    """Return an observation of each declared engine.

    Args:
        snapshot: This node's own directory.
        other_states: States from `FleetStates`, by engine.
        rules: Limit on the age of a state.
        now_s: Current time.
    """
    return {
        name: _observe(facts, other_states.get(name), rules, now_s)
        for name, facts in snapshot.engines.items()
    }


def _observe(
    facts: EngineFacts, other_state: ObservedState | None, rules: PlacementRules, now_s: float
) -> EngineObservation:
    latest = _latest(facts, other_state, now_s)
    is_leaving = facts.leaving.is_leaving_at(now_s)
    if latest is None:
        return EngineObservation(
            engine=facts.engine.name,
            incarnation=None,
            model=None,
            weight_version=None,
            adapters=frozenset(),
            num_running=0,
            order_token=0,
            is_up=False,
            is_leaving=is_leaving,
        )
    state = latest.state
    is_fresh = now_s - latest.observed_at_s <= rules.max_report_age_s
    return EngineObservation(
        engine=state.engine,
        incarnation=state.incarnation,
        model=state.model,
        weight_version=state.weight_version,
        adapters=frozenset(state.adapters),
        num_running=state.num_running,
        order_token=state.order_token,
        is_up=is_fresh and state.is_up,
        is_leaving=is_leaving or state.is_leaving,
        role=parse_role(state.role),
        loading_token=state.loading_token,
        failed_load_token=state.failed_load_token,
    )


def _latest(
    facts: EngineFacts, other_state: ObservedState | None, now_s: float
) -> ObservedState | None:
    """Return the later of the own and the other state, by run and then by time."""
    if facts.report is None:
        return other_state
    own = ObservedState(state_of(facts, now_s), facts.reported_at_s)
    if other_state is None:
        return own
    return max(
        own, other_state, key=lambda observed: (observed.state.incarnation, observed.observed_at_s)
    )


def parse_role(name: str | None) -> EngineRole | None:
    """Return the role with a name; None without a name or for an unknown role."""
    return _ROLES.get(name) if name is not None else None
