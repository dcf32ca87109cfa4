"""Discovered back ends: who serves, who is leaving, at which address now."""

import enum
from collections.abc import Iterable

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion, ZoneName
from weirscale.gateway.model.identifiers import Address, InstanceId, RunId


class BackEndState(enum.Enum):
    """Whether a back end takes new work."""

    READY = "ready"
    """It says so."""
    LEAVING = "leaving"
    """It says that it will end."""
    LAPSED = "lapsed"
    """Its registration ended with an outage of the store; it has some time to register again."""


class LeavingSource(enum.Enum):
    """How a node knows that a back end leaves, for the log."""

    REGISTRATION = "registration"
    """Its registration says so."""
    ANSWER = "answer"
    """It said so in an answer to this node."""
    PEER = "peer"
    """It said so in an answer to another node."""


ACCEPTING_STATES = frozenset({BackEndState.READY, BackEndState.LAPSED})
"""States in which a back end is sent new requests."""


class ServedModel(msgspec.Struct, frozen=True):
    """A model on an engine and the version of its weights."""

    name: str
    version: int


class BackEnd(msgspec.Struct, frozen=True):
    """One instance of a back end. Travels between nodes: field names are names of the wire.

    Attributes:
        instance: Identifies this start of the process.
        service: The service it runs.
        address: IP:PORT.
        zone: Where it stands.
        state: Whether it takes new work.
        slots: Requests it works on at once.
        models: Models and versions, for engines.
        software: Version of its program.
        started_ms: Unix time of its start, or None if it does not say.
    """

    instance: InstanceId
    service: ServiceName
    address: Address
    zone: ZoneName
    state: BackEndState
    slots: int
    models: tuple[ServedModel, ...] = ()
    software: SoftwareVersion = SoftwareVersion("")
    started_ms: int | None = None

    @property
    def run_id(self) -> RunId:
        """This run of the process; another run under the same instance name has another id."""
        return RunId(f"{self.instance}@{self.started_ms or 0}")

    def version_of(self, model: str) -> int | None:
        """Return the version of a model's weights as last registered."""
        for served in self.models:
            if served.name == model:
                return served.version
        return None


def instance_of(run: RunId) -> InstanceId:
    """Return the instance that a run is one of."""
    return InstanceId(run.rpartition("@")[0])


class BackEndDirectory:
    """Back ends by instance: those that own their addresses, one for each.

    Which of several registered instances that is, `BackEndRegistry` decides.
    """

    def __init__(self) -> None:
        self._by_instance: dict[InstanceId, BackEnd] = {}
        self._by_service: dict[ServiceName, dict[InstanceId, BackEnd]] = {}
        self._by_address: dict[Address, InstanceId] = {}
        self.num_changes = 0
        """Rises when an instance comes or goes, for readers that keep what they made of these."""

    def put(self, back_end: BackEnd) -> None:
        """Take an instance, or what has changed of it, in place of any other at its address."""
        other = self._by_address.get(back_end.address)
        if other is not None and other != back_end.instance:
            self.remove(other)
        if self._drop(back_end.instance) is None:
            self.num_changes += 1
        self._by_instance[back_end.instance] = back_end
        self._by_service.setdefault(back_end.service, {})[back_end.instance] = back_end
        self._by_address[back_end.address] = back_end.instance

    def remove(self, instance: InstanceId) -> BackEnd | None:
        """Forget an instance; returns what was known of it."""
        known = self._drop(instance)
        if known is not None:
            self.num_changes += 1
        return known

    def _drop(self, instance: InstanceId) -> BackEnd | None:
        known = self._by_instance.pop(instance, None)
        if known is not None:
            del self._by_service[known.service][instance]
            del self._by_address[known.address]
        return known

    def get(self, instance: InstanceId) -> BackEnd | None:
        """Return an instance."""
        return self._by_instance.get(instance)

    def at(self, address: Address) -> BackEnd | None:
        """Return the instance at an address."""
        instance = self._by_address.get(address)
        return None if instance is None else self._by_instance[instance]

    def of_service(self, service: ServiceName) -> Iterable[BackEnd]:
        """Return all instances of a service, leaving ones included."""
        return self._by_service.get(service, {}).values()

    def instances(self) -> tuple[InstanceId, ...]:
        """Return all instance identifiers."""
        return tuple(self._by_instance)

    def all(self) -> Iterable[BackEnd]:
        """Return all instances."""
        return self._by_instance.values()
