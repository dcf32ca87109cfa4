"""Target versions of models' weights: since when, and which older versions may still serve.

When operators set a target version is known only as a bound: *no earlier than* a moment at which
something proved that it was not set yet. The grace of older weights counts from that bound, so a
node that learns of the version late stops using older ones early and never late.
"""

from collections.abc import Iterator

import msgspec

FIRST_VERSION = 1
"""The lowest version that a model may have."""

MAX_EARLIER_VERSIONS = 32
"""Versions below a new target that a node adds because they may have been targets meanwhile. Bounds
memory; not measured."""

MAX_KEPT_VERSIONS = 64
"""Versions kept for one model; with more than these within a grace, engines of the oldest are not
used. Bounds memory; not measured."""

LONG_AGO_S = float("-inf")
"""The bound where nothing is known: the version may have been set at any time."""


class TargetVersion(msgspec.Struct, frozen=True):
    """A version that operators want the engines to have.

    Attributes:
        version: The version.
        set_after_s: Operators set it no earlier than this, on this node's clock.
    """

    version: int
    set_after_s: float


class TargetVersions:
    """The target versions of each model, newest last; their bounds rise with the versions."""

    def __init__(self) -> None:
        self._targets: dict[str, list[TargetVersion]] = {}

    def add(self, model: str, version: int, set_after_s: float) -> bool:
        """Note a version; False if one as high is known.

        The store keeps only the newest one. Versions between it and the newest known here may have
        been set as well since this node last knew all, and engines may lag behind one of them.

        Args:
            model: The model.
            version: The version.
            set_after_s: When it was certainly not set yet.
        """
        versions = self._targets.setdefault(model, [])
        if versions and versions[-1].version >= version:
            return False
        lowest = max(FIRST_VERSION, version - MAX_EARLIER_VERSIONS)
        first = max(lowest, versions[-1].version + 1) if versions else lowest
        versions.extend(TargetVersion(one, set_after_s) for one in range(first, version + 1))
        del versions[:-MAX_KEPT_VERSIONS]
        return True

    def tighten_bound(self, model: str, version: int, set_after_s: float) -> None:
        """Learn of a later moment at which a version, and all higher ones, were not set yet."""
        versions = self._targets.get(model, [])
        for index, target in enumerate(versions):
            if target.version >= version and target.set_after_s < set_after_s:
                versions[index] = TargetVersion(target.version, set_after_s)

    def newest(self, model: str) -> int | None:
        """Return the newest version of a model."""
        versions = self._targets.get(model)
        return versions[-1].version if versions else None

    def newest_target(self, model: str) -> TargetVersion | None:
        """Return the newest version of a model and when it was set."""
        versions = self._targets.get(model)
        return versions[-1] if versions else None

    def lowest_allowed(
        self, model: str, now_s: float, grace_s: float, not_before_s: float = LONG_AGO_S
    ) -> int:
        """Return the lowest version that requests may still start on.

        Args:
            model: The model.
            now_s: Time.
            grace_s: How long an older version may serve after a newer one was set.
            not_before_s: The grace begins no earlier than this.
        """
        versions = self._targets.get(model, [])
        allowed = versions[0].version if len(versions) == MAX_KEPT_VERSIONS else 0
        for target in versions:
            if max(target.set_after_s, not_before_s) + grace_s <= now_s:
                allowed = target.version
        return allowed

    def first_newer(self, model: str, version: int) -> TargetVersion | None:
        """Return the first version newer than one; engines with that one have lagged since then."""
        for target in self._targets.get(model, ()):
            if target.version > version:
                return target
        return None

    def models(self) -> tuple[str, ...]:
        """Return the models that have target versions."""
        return tuple(self._targets)

    def all(self) -> Iterator[tuple[str, TargetVersion]]:
        """Return every target version of every model."""
        for model, versions in self._targets.items():
            for target in versions:
                yield model, target
