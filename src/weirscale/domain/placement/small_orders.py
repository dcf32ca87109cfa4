"""Orders that take no slot: adapters and roles of engines that serve the right weights."""

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
    """Have an engine serve a role."""

    engine: EngineName
    role: EngineRole


SmallChange = AdapterChange | RoleChange


class KnownRole(msgspec.Struct, frozen=True):
    """A role that a run of an engine has accepted; for engines whose reports tell no role."""

    incarnation: Incarnation
    role: EngineRole


def plan_small_changes(
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
    known_roles: Mapping[EngineName, KnownRole],
    loading: frozenset[EngineName],
) -> list[SmallChange]:
    """Return the changes that engines with the right weights still need, one for each engine.

    One at a time, so that an engine carries out orders in the order of their tokens.
    """
    changes: list[SmallChange] = []
    for name, wanted in desired.items():
        seen = observations.get(name)
        if seen is None or not seen.is_ready or name in loading:
            continue
        change = _next_change(wanted, seen, known_roles.get(name))
        if change is not None:
            changes.append(change)
    return changes


def _next_change(
    wanted: DesiredEngine, seen: EngineObservation, known: KnownRole | None
) -> SmallChange | None:
    if needs_load(wanted, seen):
        return None
    for adapter in wanted.adapters:
        if adapter not in seen.adapters:
            return AdapterChange(wanted.engine, adapter, is_load=True)
    for adapter in sorted(seen.adapters):
        if adapter not in wanted.adapters:
            return AdapterChange(wanted.engine, adapter, is_load=False)
    if _role_now(seen, known) is not wanted.role:
        return RoleChange(wanted.engine, wanted.role)
    return None


def _role_now(seen: EngineObservation, known: KnownRole | None) -> EngineRole:
    """Return the role that an engine says or has accepted; a new run serves both phases."""
    if seen.role is not None:
        return seen.role
    if known is not None and known.incarnation == seen.incarnation:
        return known.role
    return EngineRole.BOTH
