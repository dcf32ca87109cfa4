"""Target versions of models' weights: when they were set, and which older ones may still serve.

The time at which operators set a target version is known only as a lower bound: the last moment at
which the version was proved not to be set yet. The grace period of older weights starts at that
bound, so a node that receives the version late stops using older weights too early rather than too
late.
"""

from collections.abc import Iterator

import msgspec

FIRST_VERSION = 1
"""The lowest version that a model may have."""

MAX_EARLIER_VERSIONS = 32
"""Maximum number of versions below a new target that a node adds because they may have been targets
in the meantime. Bounds memory."""

MAX_KEPT_VERSIONS = 64
"""Maximum number of versions stored for one model, to bound memory. If more are set within one
grace period, engines with the oldest versions are not used."""

NO_LOWER_BOUND_S = float("-inf")
"""The bound if nothing is known: the version may have been set at any time."""


class TargetVersion(msgspec.Struct, frozen=True):
    """A version that operators have set as the target for the engines.

    Attributes:
        version: The version.
        set_after_s: Lower bound of the time at which the version was set, on this node's clock.
    """

    version: int
    set_after_s: float


class TargetVersions:
    """Stores target versions by model, newest last; their bounds rise with the versions."""

    def __init__(self) -> None:
        self._targets: dict[str, list[TargetVersion]] = {}

    def add(self, model: str, version: int, set_after_s: float) -> bool:
        """Add a version; return False if the same or a higher one is already stored.

        The store keeps only the newest version. Versions between it and the newest one stored here
        may have been targets since this node was last up to date, and engines may lag behind any of
        them, so they are added as well.

        Args:
            model: The model.
            version: The version.
            set_after_s: Latest time at which the version is known not to have been set yet.
        """
        versions = self._targets.setdefault(model, [])
        if versions and versions[-1].version >= version:
            return False
        lowest = max(FIRST_VERSION, version - MAX_EARLIER_VERSIONS)
        first = max(lowest, versions[-1].version + 1) if versions else lowest
        versions.extend(TargetVersion(number, set_after_s) for number in range(first, version + 1))
        del versions[:-MAX_KEPT_VERSIONS]
        return True

    def tighten_bound(self, model: str, version: int, set_after_s: float) -> None:
        """Raise the lower bound of the times at which a version and all higher ones were set."""
        versions = self._targets.get(model, [])
        for index, target in enumerate(versions):
            if target.version >= version and target.set_after_s < set_after_s:
                versions[index] = TargetVersion(target.version, set_after_s)

    def newest(self, model: str) -> int | None:
        """Return the newest version of a model."""
        versions = self._targets.get(model)
        return versions[-1].version if versions else None

    def newest_target(self, model: str) -> TargetVersion | None:
        """Return the newest version of a model and the bound of the time at which it was set."""
        versions = self._targets.get(model)
        return versions[-1] if versions else None

    def lowest_allowed(
        self, model: str, now_s: float, grace_s: float, not_before_s: float = NO_LOWER_BOUND_S
    ) -> int:
        """Return the lowest version that requests may still start on.

        Args:
            model: The model.
            now_s: Current time.
            grace_s: Seconds for which an older version may serve after a newer one was set.
            not_before_s: Earliest time at which the grace period may begin.
        """
        versions = self._targets.get(model, [])
        allowed = versions[0].version if len(versions) == MAX_KEPT_VERSIONS else 0
        for target in versions:
            if max(target.set_after_s, not_before_s) + grace_s <= now_s:
                allowed = target.version
        return allowed

    def first_newer(self, model: str, version: int) -> TargetVersion | None:
        """Return the lowest target above `version`; engines at `version` lag since it was set."""
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
