"""Target versions of models' weights: since when, and which older versions may still serve.

When a version was named is known only as a bound: *no earlier than* a moment at which something
proved that it was not named yet. The grace of older weights counts from that bound, so a node that
learns of the version late stops using older ones early and never late.
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
"""The bound where nothing is known: the version may have been named at any time."""


class TargetVersion(msgspec.Struct, frozen=True):
    """A version that operators named.

    Attributes:
        version: The version.
        named_after_s: It was named no earlier than this, on this node's clock.
    """

    version: int
    named_after_s: float


class TargetVersions:
    """The versions named for each model, newest last; their bounds rise with the versions."""

    def __init__(self) -> None:
        self._named: dict[str, list[TargetVersion]] = {}

    def name(self, model: str, version: int, named_after_s: float) -> bool:
        """Note a version; False if one as high is known.

        The store keeps only the newest name. Versions between it and the newest known here may have
        been named as well since this node last knew all, and engines may owe one of them.

        Args:
            model: The model.
            version: The version.
            named_after_s: When it was certainly not named yet.
        """
        versions = self._named.setdefault(model, [])
        if versions and versions[-1].version >= version:
            return False
        lowest = max(FIRST_VERSION, version - MAX_EARLIER_VERSIONS)
        first = max(lowest, versions[-1].version + 1) if versions else lowest
        versions.extend(TargetVersion(one, named_after_s) for one in range(first, version + 1))
        del versions[:-MAX_KEPT_VERSIONS]
        return True

    def narrow(self, model: str, version: int, named_after_s: float) -> None:
        """Learn of a later moment at which a version was not named yet; higher ones were not."""
        versions = self._named.get(model, [])
        for index, named in enumerate(versions):
            if named.version >= version and named.named_after_s < named_after_s:
                versions[index] = TargetVersion(named.version, named_after_s)

    def newest(self, model: str) -> int | None:
        """Return the newest version of a model."""
        versions = self._named.get(model)
        return versions[-1].version if versions else None

    def newest_named(self, model: str) -> TargetVersion | None:
        """Return the newest version of a model and when it was named."""
        versions = self._named.get(model)
        return versions[-1] if versions else None

    def lowest_allowed(
        self, model: str, now_s: float, grace_s: float, not_before_s: float = LONG_AGO_S
    ) -> int:
        """Return the lowest version that requests may still start on.

        Args:
            model: The model.
            now_s: Time.
            grace_s: How long an older version may serve after a newer one was named.
            not_before_s: The grace begins no earlier than this.
        """
        versions = self._named.get(model, [])
        allowed = versions[0].version if len(versions) == MAX_KEPT_VERSIONS else 0
        for named in versions:
            if max(named.named_after_s, not_before_s) + grace_s <= now_s:
                allowed = named.version
        return allowed

    def first_newer(self, model: str, version: int) -> TargetVersion | None:
        """Return the first version named after one; its age is what that one's engines owe."""
        for named in self._named.get(model, ()):
            if named.version > version:
                return named
        return None

    def models(self) -> tuple[str, ...]:
        """Return the models with named versions."""
        return tuple(self._named)

    def all(self) -> Iterator[tuple[str, TargetVersion]]:
        """Return every named version of every model."""
        for model, versions in self._named.items():
            for named in versions:
                yield model, named
