"""Discovered back ends: their states, addresses and models."""

import enum
from collections.abc import Iterable

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion, ZoneName
from weirscale.gateway.model.identifiers import Address, InstanceId, RunId


class BackEndState(enum.Enum):
    """State of a back end, which decides whether it accepts new requests."""

    READY = "ready"
    """Registered as ready for requests."""
    LEAVING = "leaving"
    """Announced that it is shutting down."""
    LAPSED = "lapsed"
    """The registration ended with a store outage; the back end has some time to register again."""


class LeavingSource(enum.Enum):
    """How a node was informed that a back end is leaving, for the log."""

    REGISTRATION = "registration"
    """The back end's registration."""
    ANSWER = "answer"
    """An answer of the back end to this node."""
    PEER = "peer"
    """An answer of the back end to another node."""


ACCEPTING_STATES = frozenset({BackEndState.READY, BackEndState.LAPSED})
"""States in which a back end is sent new requests."""


class ServedModel(msgspec.Struct, frozen=True):
    """A model served by an engine, and the version of its weights."""

    name: str
    version: int


class BackEnd(msgspec.Struct, frozen=True):
    """One instance of a back end. Sent between nodes: the field names are part of the protocol.

    Attributes:
        instance: Identifies this start of the process.
        service: The service that it runs.
        address: IP:PORT.
        zone: The zone that it runs in.
        state: Whether it accepts new requests.
        slots: Maximum number of requests that it processes concurrently.
        models: Models and versions, for engines.
        software: Service version, i.e. the version of its program.
        started_ms: Unix time of its start in milliseconds, or None if not stated.
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
        """Identifier of this run; a later run with the same instance name gets a different one."""
        return RunId(f"{self.instance}@{self.started_ms or 0}")

    def version_of(self, model: str) -> int | None:
        """Return the registered version of a model's weights; None if the model is not served."""
        for served in self.models:
            if served.name == model:
                return served.version
        return None


def instance_of(run: RunId) -> InstanceId:
    """Return the instance that a run belongs to."""
    return InstanceId(run.rpartition("@")[0])


def of_version(back_ends: Iterable[BackEnd], version: SoftwareVersion) -> list[BackEnd]:
    """Return the back ends of a service version."""
    return [back_end for back_end in back_ends if back_end.software == version]


class BackEndDirectory:
    """Stores the back ends in use, one for each address.

    `BackEndRegistry` decides which of several instances registered at an address is in use.
    """

    def __init__(self) -> None:
        self._by_instance: dict[InstanceId, BackEnd] = {}
        self._by_service: dict[ServiceName, dict[InstanceId, BackEnd]] = {}
        self._by_address: dict[Address, InstanceId] = {}
        self.num_changes = 0
        """Increases when an instance is added or removed, so that readers can invalidate derived
        data."""

    def put(self, back_end: BackEnd) -> None:
        """Add or update an instance, replacing any other instance at its address."""
        other = self._by_address.get(back_end.address)
        if other is not None and other != back_end.instance:
            self.remove(other)
        if self._drop(back_end.instance) is None:
            self.num_changes += 1
        self._by_instance[back_end.instance] = back_end
        self._by_service.setdefault(back_end.service, {})[back_end.instance] = back_end
        self._by_address[back_end.address] = back_end.instance

    def remove(self, instance: InstanceId) -> BackEnd | None:
        """Remove an instance, and return it; None if it is not in the directory."""
        back_end = self._drop(instance)
        if back_end is not None:
            self.num_changes += 1
        return back_end

    def _drop(self, instance: InstanceId) -> BackEnd | None:
        back_end = self._by_instance.pop(instance, None)
        if back_end is not None:
            del self._by_service[back_end.service][instance]
            del self._by_address[back_end.address]
        return back_end

    def get(self, instance: InstanceId) -> BackEnd | None:
        """Return an instance; None if it is not in the directory."""
        return self._by_instance.get(instance)

    def at(self, address: Address) -> BackEnd | None:
        """Return the instance at an address; None if there is none."""
        instance = self._by_address.get(address)
        return None if instance is None else self._by_instance[instance]

    def of_service(self, service: ServiceName) -> Iterable[BackEnd]:
        """Return all instances of a service, including leaving ones."""
        return self._by_service.get(service, {}).values()

    def instances(self) -> tuple[InstanceId, ...]:
        """Return all instance identifiers."""
        return tuple(self._by_instance)

    def all(self) -> Iterable[BackEnd]:
        """Return all instances."""
        return self._by_instance.values()
