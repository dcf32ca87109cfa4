"""What the planner sees of engines: its own directory, and what other nodes told."""

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
    heard: Mapping[EngineName, ObservedState],
    rules: PlacementRules,
    now_s: float,
) -> Mapping[EngineName, EngineObservation]:
    """Return an observation of each declared engine.

    Args:
        snapshot: What this node hears itself.
        heard: What other nodes told of engines.
        rules: Tells how old a state may be.
        now_s: Time.
    """
    return {
        name: _observe(facts, heard.get(name), rules, now_s)
        for name, facts in snapshot.engines.items()
    }


def _observe(
    facts: EngineFacts, heard: ObservedState | None, rules: PlacementRules, now_s: float
) -> EngineObservation:
    latest = _latest(facts, heard, now_s)
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
        role=known_role(state.role),
        loading_token=state.loading_token,
        failed_load_token=state.failed_load_token,
    )


def _latest(facts: EngineFacts, heard: ObservedState | None, now_s: float) -> ObservedState | None:
    """Return the later of what this node and others know: the higher run, then the later time."""
    if facts.report is None:
        return heard
    own = ObservedState(state_of(facts, now_s), facts.reported_at_s)
    if heard is None:
        return own
    return max(own, heard, key=lambda each: (each.state.incarnation, each.observed_at_s))


def known_role(name: str | None) -> EngineRole | None:
    """Return the role that an engine names; None if it names none or one not known here."""
    return _ROLES.get(name) if name is not None else None
