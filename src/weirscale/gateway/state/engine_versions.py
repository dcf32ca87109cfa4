"""Which version of each model's weights every engine is believed to have."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEndDirectory
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.ports.event_log import EventLog

VersionObserver = Callable[[InstanceId, str, int], None]
"""Takes an engine, a model and the version of its weights that the engine has now."""


class EngineVersions:
    """Learns versions from registrations, answers and other nodes; none of them ever goes back.

    Args:
        directory: The back ends; nothing is learnt of others.
        event_log: Where changed versions are logged.
    """

    def __init__(self, directory: BackEndDirectory, event_log: EventLog) -> None:
        self._directory = directory
        self._event_log = event_log
        self._versions: dict[tuple[InstanceId, str], int] = {}
        self._observers: list[VersionObserver] = []

    def observe(self, observer: VersionObserver) -> None:
        """Have a function called with each version that is learnt."""
        self._observers.append(observer)

    def record_version(self, instance: InstanceId, model: str, version: int, source: str) -> None:
        """Take over a version that is higher than the one known.

        Args:
            instance: The engine; the versions of one instance only rise.
            model: The model.
            version: The version of its weights.
            source: Where it was learnt, for the log.
        """
        known = self._versions.get((instance, model), 0)
        if version <= known or self._directory.get(instance) is None:
            return
        self._versions[(instance, model)] = version
        for observer in self._observers:
            observer(instance, model, version)
        if known:
            self._event_log.event(
                "version_believed", instance=instance, model=model, version=version,
                previous=known, source=source,
            )  # fmt: skip

    def version_of(self, instance: InstanceId, model: str) -> int | None:
        """Return the version that an engine is believed to have; None if nothing is known."""
        return self._versions.get((instance, model))

    def forget(self, instance: InstanceId) -> None:
        """Forget an engine."""
        for key in [key for key in self._versions if key[0] == instance]:
            del self._versions[key]
