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
    """A configuration came into force."""

    configuration: ConfigurationInForce


class ReportArrived(msgspec.Struct, frozen=True):
    """A load report.

    Attributes:
        report: What the engine says.
        reported_at_s: When it said so, on this node's clock.
        is_own_probe: Whether this node asked; false for reports from the engine's home node.
    """

    report: LoadReport
    reported_at_s: float
    is_own_probe: bool


class ProbeFailed(msgspec.Struct, frozen=True):
    """A probe of an engine got no answer."""

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
    """An attempt ended; None failure means a complete answer.

    Attributes:
        engine: The engine.
        address: Where it was called.
        incarnation: The run that was chosen.
        failure: How it failed.
    """

    engine: EngineName
    address: str
    incarnation: Incarnation
    failure: EngineFailure | None


class ServiceAttemptEnded(msgspec.Struct, frozen=True):
    """A service attempt ended.

    Attributes:
        service: The service.
        backend: The back end.
        failure: How it failed.
        http_status: Status answered, None without an answer.
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
