"""What the planner sees of engines, from the directory of back ends."""

from collections.abc import Mapping

from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.health.circuit import CircuitState, state_at
from weirscale.domain.identifiers import EngineName
from weirscale.domain.placement.model import EngineObservation, PlacementRules
from weirscale.node.backends.facts import DirectorySnapshot, EngineFacts

_ROLES: Mapping[str, EngineRole] = {role.value: role for role in EngineRole}


def observe_engines(
    snapshot: DirectorySnapshot, rules: PlacementRules, now_s: float
) -> Mapping[EngineName, EngineObservation]:
    """Return an observation of each declared engine."""
    return {name: _observe(facts, rules, now_s) for name, facts in snapshot.engines.items()}


def _observe(facts: EngineFacts, rules: PlacementRules, now_s: float) -> EngineObservation:
    report = facts.report
    if report is None:
        return EngineObservation(
            engine=facts.engine.name,
            incarnation=None,
            model=None,
            weight_version=None,
            adapters=frozenset(),
            num_running=0,
            order_token=0,
            is_up=False,
            is_leaving=facts.leaving.is_leaving_at(now_s),
        )
    is_fresh = now_s - facts.reported_at_s <= rules.max_report_age_s
    return EngineObservation(
        engine=facts.engine.name,
        incarnation=report.incarnation,
        model=report.model,
        weight_version=report.weight_version,
        adapters=frozenset(report.adapters),
        num_running=report.num_running + report.num_waiting,
        order_token=report.order_token,
        is_up=is_fresh and state_at(facts.circuit, now_s) is CircuitState.CLOSED,
        is_leaving=facts.leaving.is_leaving_at(now_s),
        role=known_role(report.role),
        loading_token=report.loading_token,
        failed_load_token=report.failed_load_token,
    )


def known_role(name: str | None) -> EngineRole | None:
    """Return the role that an engine names; None if it names none or one not known here."""
    return _ROLES.get(name) if name is not None else None
