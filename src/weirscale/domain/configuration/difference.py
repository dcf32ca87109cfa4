"""Differences between two deployments: as a plan for operators, and as a delta for nodes.

Lists of named items are compared by name, so their order in the file has no meaning. The canonical
form (`canonical`), which nodes apply, has them sorted by name. Applying a delta reuses the objects
of unchanged items, so that many revisions in memory share them.
"""

import enum
from collections.abc import Iterable
from typing import Any, Protocol

import cbor2
import msgspec
import xxhash

from weirscale.domain.configuration.model import (
    CallerLimits,
    ClaimRules,
    Declared,
    Deployment,
    Engine,
    KeptKvStore,
    Model,
    Region,
    RetryRules,
    RoutingObjective,
    Service,
    Tenant,
)

NAMED_SECTIONS = ("regions", "models", "engines", "tenants", "services", "kept_kv_stores")
"""Fields of a deployment that are lists of named items."""
PLAIN_SECTIONS = tuple(name for name in Deployment.__struct_fields__ if name not in NAMED_SECTIONS)
"""All other fields of a deployment."""
MAX_SHOWN_CHARACTERS = 60
"""Longer values are truncated in a plan."""


class ChangeKind(enum.Enum):
    """Kind of a change; the value is its mark in a plan."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


class FieldChange(msgspec.Struct, frozen=True):
    """A changed field with its values before and after, rendered for operators."""

    field: str
    before: str
    after: str


class DeploymentChange(msgspec.Struct, frozen=True):
    """One difference between two deployments.

    Attributes:
        kind: Added, removed or changed.
        section: Field of the deployment, such as `engines`.
        name: Name of the item; empty for a section that is not a list.
        fields: The changed fields; empty for an item that was added or removed.
    """

    kind: ChangeKind
    section: str
    name: str
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        head = " ".join(part for part in (self.kind.value, self.section, self.name) if part)
        if not self.fields:
            return head
        return head + ": " + ", ".join(f"{f.field} {f.before} → {f.after}" for f in self.fields)


class PartialDeployment(Declared, frozen=True):
    """The items and sections that a delta adds or replaces; a section of None stays unchanged."""

    format: int | None = None
    name: str | None = None
    regions: tuple[Region, ...] = ()
    models: tuple[Model, ...] = ()
    engines: tuple[Engine, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    services: tuple[Service, ...] = ()
    kept_kv_stores: tuple[KeptKvStore, ...] = ()
    routing: RoutingObjective | None = None
    retry: RetryRules | None = None
    callers: CallerLimits | None = None
    claims: ClaimRules | None = None
    drain_timeout_s: float | None = None


class DroppedItem(Declared, frozen=True):
    """An item that the later deployment no longer declares."""

    section: str
    name: str


class DeploymentDelta(Declared, frozen=True):
    """The changes that turn one canonical deployment into another.

    Attributes:
        put: Items and sections to add or replace.
        dropped: Items to remove.
    """

    put: PartialDeployment = PartialDeployment()
    dropped: tuple[DroppedItem, ...] = ()


class _Named(Protocol):
    @property
    def name(self) -> str: ...


def canonical(deployment: Deployment) -> Deployment:
    """Return the deployment with every list of named items sorted by name."""
    sections: dict[str, Any] = {
        section: _sorted_by_name(getattr(deployment, section)) for section in NAMED_SECTIONS
    }
    return msgspec.structs.replace(deployment, **sections)


def digest(deployment: Deployment) -> bytes:
    """Return 16 bytes that identify the content of a canonical deployment.

    The digest is not cryptographic. It detects faults in applying deltas; peers are authenticated.
    """
    return xxhash.xxh3_128_digest(cbor2.dumps(msgspec.to_builtins(deployment)))


def differences(before: Deployment | None, after: Deployment) -> tuple[DeploymentChange, ...]:
    """Return the differences, section by section.

    Args:
        before: The earlier deployment, or None if nothing was declared.
        after: The later deployment.
    """
    if before is None:
        before = msgspec.structs.replace(
            Deployment(after.format, after.name, (), (), (), ()),
            **{section: getattr(after, section) for section in PLAIN_SECTIONS},
        )
    changes: list[DeploymentChange] = []
    for section in PLAIN_SECTIONS:
        changes += _plain_changes(section, getattr(before, section), getattr(after, section))
    for section in NAMED_SECTIONS:
        changes += _named_changes(section, getattr(before, section), getattr(after, section))
    return tuple(changes)


def render_plan(changes: Iterable[DeploymentChange]) -> str:
    """Return the changes as text, one per line."""
    return "\n".join(str(change) for change in changes) or "no change"


def delta_between(before: Deployment, after: Deployment) -> DeploymentDelta:
    """Return the delta that turns `before` into `after`; both must be canonical."""
    put: dict[str, Any] = {}
    dropped: list[DroppedItem] = []
    for section in PLAIN_SECTIONS:
        value = getattr(after, section)
        if value != getattr(before, section):
            put[section] = value
    for section in NAMED_SECTIONS:
        old, new = _by_name(getattr(before, section)), _by_name(getattr(after, section))
        put[section] = tuple(item for name, item in new.items() if old.get(name) != item)
        dropped += [DroppedItem(section, name) for name in old if name not in new]
    return DeploymentDelta(PartialDeployment(**put), tuple(dropped))


def apply_delta(before: Deployment, delta: DeploymentDelta) -> Deployment:
    """Return the canonical deployment after a delta; unchanged items are the same objects."""
    values: dict[str, Any] = {}
    for section in PLAIN_SECTIONS:
        value = getattr(delta.put, section)
        if value is not None:
            values[section] = value
    dropped = {(item.section, item.name) for item in delta.dropped}
    for section in NAMED_SECTIONS:
        items = _by_name(getattr(before, section))
        items.update(_by_name(getattr(delta.put, section)))
        kept = [item for name, item in items.items() if (section, name) not in dropped]
        values[section] = _sorted_by_name(kept)
    return msgspec.structs.replace(before, **values)


def _sorted_by_name(items: Iterable[Any]) -> tuple[Any, ...]:
    return tuple(sorted(items, key=lambda item: item.name))


def _by_name(items: Iterable[Any]) -> dict[str, Any]:
    return {item.name: item for item in items}


def _plain_changes(section: str, before: Any, after: Any) -> list[DeploymentChange]:
    if before == after:
        return []
    if isinstance(before, msgspec.Struct):
        fields = _field_changes(before, after)
    else:
        fields = (FieldChange("value", _show(before), _show(after)),)
    return [DeploymentChange(ChangeKind.CHANGED, section, "", fields)]


def _named_changes(
    section: str, before: Iterable[_Named], after: Iterable[_Named]
) -> list[DeploymentChange]:
    old, new = _by_name(before), _by_name(after)
    changes: list[DeploymentChange] = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            changes.append(DeploymentChange(ChangeKind.ADDED, section, name))
        elif name not in new:
            changes.append(DeploymentChange(ChangeKind.REMOVED, section, name))
        elif old[name] != new[name]:
            fields = _field_changes(old[name], new[name])
            changes.append(DeploymentChange(ChangeKind.CHANGED, section, name, fields))
    return changes


def _field_changes(before: msgspec.Struct, after: msgspec.Struct) -> tuple[FieldChange, ...]:
    pairs = [
        (name, getattr(before, name), getattr(after, name)) for name in after.__struct_fields__
    ]
    return tuple(FieldChange(name, _show(a), _show(b)) for name, a, b in pairs if a != b)


def _show(value: Any) -> str:
    """Render a value for a plan, truncated to MAX_SHOWN_CHARACTERS."""
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        text = "[" + ", ".join(_show(item) for item in value) + "]"
    elif isinstance(value, msgspec.Struct):
        text = "{" + ", ".join(_show(getattr(value, f)) for f in value.__struct_fields__) + "}"
    elif isinstance(value, float):
        text = f"{value:g}"
    else:
        text = "none" if value is None else str(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 1] + "…"
