"""Which weights are wanted, since when, and which ones may still serve."""

from collections.abc import Callable, Iterator

import msgspec

FIRST_VERSION = 1
MAX_EARLIER_VERSIONS = 32
"""Versions below the newest that a starting node reckons with."""

LONG_AGO_S = float("-inf")
"""When a version was named that a starting node finds in the store."""


def _never(_model: str, _version: int) -> bool:
    return False


class NamedVersion(msgspec.Struct, frozen=True):
    """A version that operators named.

    Attributes:
        version: The version.
        named_at_s: When this node first knew of it, on its own clock.
    """

    version: int
    named_at_s: float


class VersionBook:
    """The versions named for each model, newest last."""

    def __init__(self) -> None:
        self._named: dict[str, list[NamedVersion]] = {}

    def name(self, model: str, version: int, named_at_s: float) -> bool:
        """Note a version; False if one as high is known.

        The store keeps only the newest name, so for a starting node the lower versions were named
        at some time before, and runners may owe one of them.
        """
        versions = self._named.setdefault(model, [])
        if versions and versions[-1].version >= version:
            return False
        if named_at_s == LONG_AGO_S:
            lowest = max(FIRST_VERSION, version - MAX_EARLIER_VERSIONS)
            known = versions[-1].version if versions else lowest - 1
            earlier = range(known + 1, version)
            versions.extend(NamedVersion(one, LONG_AGO_S) for one in earlier)
        versions.append(NamedVersion(version, named_at_s))
        return True

    def learn_age(self, model: str, version: int, named_at_s: float) -> None:
        """Learn from another node when a version was named that was there before this node."""
        versions = self._named.get(model, [])
        for index, named in enumerate(versions):
            if named.version == version and named.named_at_s == LONG_AGO_S:
                versions[index] = NamedVersion(version, named_at_s)

    def newest(self, model: str) -> int | None:
        """Return the newest version of a model."""
        versions = self._named.get(model)
        return versions[-1].version if versions else None

    def newest_named(self, model: str) -> NamedVersion | None:
        """Return the newest version of a model and when it was named."""
        versions = self._named.get(model)
        return versions[-1] if versions else None

    def lowest_allowed(
        self,
        model: str,
        now_s: float,
        grace_s: float,
        not_before_s: float = LONG_AGO_S,
        is_young: Callable[[str, int], bool] = _never,
    ) -> int:
        """Return the lowest version that requests may still start on.

        Args:
            model: The model.
            now_s: Time.
            grace_s: How long an older version may serve after a newer one was named.
            not_before_s: The grace begins no earlier than this.
            is_young: Whether a version that was there before this node was named just before.
        """
        allowed = 0
        for named in self._named.get(model, ()):
            if named.named_at_s == LONG_AGO_S and is_young(model, named.version):
                continue
            if max(named.named_at_s, not_before_s) + grace_s <= now_s:
                allowed = named.version
        return allowed

    def first_newer(self, model: str, version: int) -> NamedVersion | None:
        """Return the first version named after one; its age is what that one's runners owe."""
        for named in self._named.get(model, ()):
            if named.version > version:
                return named
        return None

    def models(self) -> tuple[str, ...]:
        """Return the models with named versions."""
        return tuple(self._named)

    def all(self) -> Iterator[tuple[str, NamedVersion]]:
        """Return every named version of every model."""
        for model, versions in self._named.items():
            for named in versions:
                yield model, named
