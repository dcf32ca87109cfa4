"""Orders that need no load slot: adapters and roles of engines that serve the desired weights."""

from collections.abc import Mapping

import msgspec

from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.identifiers import AdapterName, EngineName, Incarnation
from weirscale.domain.placement.model import DesiredEngine, EngineObservation
from weirscale.domain.placement.plan import needs_load


class AdapterChange(msgspec.Struct, frozen=True):
    """Load or unload an adapter of an engine's model."""

    engine: EngineName
    adapter: AdapterName
    is_load: bool


class RoleChange(msgspec.Struct, frozen=True):
    """Change the role of an engine."""

    engine: EngineName
    role: EngineRole


SmallChange = AdapterChange | RoleChange


class KnownRole(msgspec.Struct, frozen=True):
    """A role that a run of an engine has accepted; for engines whose reports have no role."""

    incarnation: Incarnation
    role: EngineRole


def plan_small_changes(
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
    known_roles: Mapping[EngineName, KnownRole],
    loading: frozenset[EngineName],
) -> list[SmallChange]:
    """Return the changes that engines with the desired weights still need, one for each engine.

    There is only one at a time, so that an engine carries out orders in the order of their tokens.
    """
    changes: list[SmallChange] = []
    for name, wanted in desired.items():
        observed = observations.get(name)
        if observed is None or not observed.is_ready or name in loading:
            continue
        change = _next_change(wanted, observed, known_roles.get(name))
        if change is not None:
            changes.append(change)
    return changes


def _next_change(
    wanted: DesiredEngine, observed: EngineObservation, accepted: KnownRole | None
) -> SmallChange | None:
    if needs_load(wanted, observed):
        return None
    for adapter in wanted.adapters:
        if adapter not in observed.adapters:
            return AdapterChange(wanted.engine, adapter, is_load=True)
    for adapter in sorted(observed.adapters):
        if adapter not in wanted.adapters:
            return AdapterChange(wanted.engine, adapter, is_load=False)
    if _current_role(observed, accepted) is not wanted.role:
        return RoleChange(wanted.engine, wanted.role)
    return None


def _current_role(observed: EngineObservation, accepted: KnownRole | None) -> EngineRole:
    """Return the role that an engine reports or has accepted; a new run serves both phases."""
    if observed.role is not None:
        return observed.role
    if accepted is not None and accepted.incarnation == observed.incarnation:
        return accepted.role
    return EngineRole.BOTH
