"""Tracks the latest known weight version of each model on every engine."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEndDirectory
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.ports.event_log import EventLog

VersionObserver = Callable[[InstanceId, str, int], None]
"""Called with an engine, a model and the version of its weights that the engine has now."""


class EngineVersions:
    """Stores versions reported by registrations, answers and other nodes; they never decrease.

    Args:
        directory: The back ends in use; versions of other back ends are ignored.
        event_log: Receives an event for each changed version.
    """

    def __init__(self, directory: BackEndDirectory, event_log: EventLog) -> None:
        self._directory = directory
        self._event_log = event_log
        self._versions: dict[tuple[InstanceId, str], int] = {}
        self._observers: list[VersionObserver] = []

    def observe(self, observer: VersionObserver) -> None:
        """Call `observer` with each new version."""
        self._observers.append(observer)

    def record_version(self, instance: InstanceId, model: str, version: int, source: str) -> None:
        """Record a version of an engine's weights if it is higher than the recorded one.

        Args:
            instance: The engine; the versions of one instance only increase.
            model: The model.
            version: The version of its weights.
            source: Where the version was reported, for the log.
        """
        previous = self._versions.get((instance, model), 0)
        if version <= previous or self._directory.get(instance) is None:
            return
        self._versions[(instance, model)] = version
        for observer in self._observers:
            observer(instance, model, version)
        if previous:
            self._event_log.event(
                "version_believed", instance=instance, model=model, version=version,
                previous=previous, source=source,
            )  # fmt: skip

    def version_of(self, instance: InstanceId, model: str) -> int | None:
        """Return the recorded version of an engine's weights; None if there is none."""
        return self._versions.get((instance, model))

    def forget(self, instance: InstanceId) -> None:
        """Discard the versions of an engine."""
        for key in [key for key in self._versions if key[0] == instance]:
            del self._versions[key]
