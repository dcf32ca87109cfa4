"""State of the directory, as immutable values that other tasks may keep."""

from collections.abc import Mapping

import msgspec

from weirscale.domain.configuration.model import Engine, ServiceBackend
from weirscale.domain.health.circuit import HEALTHY, Circuit
from weirscale.domain.health.leaving import STAYING, Leaving
from weirscale.domain.identifiers import (
    BackendName,
    ConfigurationRevision,
    EngineName,
    Incarnation,
    ModelName,
    ServiceName,
)
from weirscale.messages.cache import LoadReport
from weirscale.ports.engine import EnginePort
from weirscale.ports.service import ServicePort


class EngineFacts(msgspec.Struct, frozen=True):
    """State of one engine, as known to this node.

    Attributes:
        engine: Its declaration.
        port: Calls the engine.
        report: The latest load report, None before the first.
        reported_at_s: When the engine made the report, on this node's clock.
        circuit: Its health.
        leaving: Whether it is leaving.
        num_reports: Number of load reports received; shows whether `report` is new to a reader.
        home_reported_at_s: When the engine made the latest report that its home node forwarded,
            on this node's clock.
        home_interval_s: Time between the last two reports of the home node; 0 before the second
            report and after a gap.
        mismatch_since_s: When the engine refused a request because its run or version differs
            from its report, None otherwise. The report is ignored until a different one arrives or
            a few seconds have passed.
        busy_until_s: Time until which the engine must get no requests, as it was busy.
    """

    engine: Engine
    port: EnginePort
    report: LoadReport | None = None
    reported_at_s: float = 0.0
    circuit: Circuit = HEALTHY
    leaving: Leaving = STAYING
    num_reports: int = 0
    home_reported_at_s: float = float("-inf")
    home_interval_s: float = 0.0
    mismatch_since_s: float | None = None
    busy_until_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation | None:
        """Run of the engine in the latest report, None before the first report."""
        return self.report.incarnation if self.report is not None else None


class ServiceBackendFacts(msgspec.Struct, frozen=True):
    """State of one service back end, as known to this node."""

    backend: ServiceBackend
    port: ServicePort
    circuit: Circuit = HEALTHY
    leaving: Leaving = STAYING


class DirectorySnapshot(msgspec.Struct, frozen=True):
    """State of the whole directory at one time.

    Attributes:
        revision: Revision of the configuration in force, 0 before the first.
        engines: Declared engines.
        engines_of: Names of the engines that report a model as loaded.
        declared_models: Models of the configuration.
        services: Back ends of each declared service, in the declared order.
    """

    revision: ConfigurationRevision
    engines: Mapping[EngineName, EngineFacts]
    engines_of: Mapping[ModelName, tuple[EngineName, ...]]
    declared_models: frozenset[ModelName]
    services: Mapping[ServiceName, Mapping[BackendName, ServiceBackendFacts]]


EMPTY_SNAPSHOT = DirectorySnapshot(ConfigurationRevision(0), {}, {}, frozenset(), {})
"""The snapshot before the first configuration."""
