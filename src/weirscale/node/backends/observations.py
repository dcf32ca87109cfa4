"""Messages to the task that owns the directory of back ends."""

import msgspec

from weirscale.domain.identifiers import (
    BackendName,
    EngineName,
    Incarnation,
    ServiceName,
)
from weirscale.messages.cache import LoadReport
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.ports.engine import EngineFailure
from weirscale.ports.machines import Machine
from weirscale.ports.service import ServiceFailure


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A new configuration is in force."""

    configuration: ConfigurationInForce


class ReportArrived(msgspec.Struct, frozen=True):
    """A load report.

    Attributes:
        report: The engine's report.
        reported_at_s: When the engine made it, on this node's clock.
        is_own_probe: True if this node probed the engine, False if the engine's home node
            forwarded the report.
    """

    report: LoadReport
    reported_at_s: float
    is_own_probe: bool


class ProbeFailed(msgspec.Struct, frozen=True):
    """A probe of an engine failed or timed out."""

    engine: EngineName
    detail: str


class MachinesListed(msgspec.Struct, frozen=True):
    """The machine list was read."""

    machines: tuple[Machine, ...]


class EngineAttemptStarted(msgspec.Struct, frozen=True):
    """A request is about to be sent to an engine."""

    engine: EngineName
    address: str


class EngineAttemptEnded(msgspec.Struct, frozen=True):
    """An attempt on an engine ended.

    Attributes:
        engine: The engine.
        address: Address that the request was sent to.
        incarnation: Run of the engine that was chosen.
        failure: Why the attempt failed, None after a complete answer.
    """

    engine: EngineName
    address: str
    incarnation: Incarnation
    failure: EngineFailure | None


class ServiceAttemptEnded(msgspec.Struct, frozen=True):
    """An attempt on a service back end ended.

    Attributes:
        service: The service.
        backend: The back end.
        failure: Why the attempt failed, None after an answer.
        http_status: HTTP status of the answer, None without one.
    """

    service: ServiceName
    backend: BackendName
    failure: ServiceFailure | None
    http_status: int | None


Observation = (
    ConfigurationChanged
    | ReportArrived
    | ProbeFailed
    | MachinesListed
    | EngineAttemptStarted
    | EngineAttemptEnded
    | ServiceAttemptEnded
)
