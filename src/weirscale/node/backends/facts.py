"""What the directory knows, as immutable values that other tasks may keep."""

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
    """One engine as this node knows it.

    Attributes:
        engine: Its declaration.
        port: How to call it.
        report: The latest load report, None before the first.
        reported_at_s: When the engine made the report, on this node's clock.
        circuit: Its health.
        leaving: Whether it leaves.
        num_reports: Load reports taken in; tells a new report from the same one seen again.
        home_reported_at_s: When the engine made the latest report that its home node passed on.
        home_interval_s: Time between its last two reports, bounded; 0 before two.
        void_since_s: When the engine refused as another run or version than reported; its report
            is void until one differs, or for a few seconds. None while it is good.
        busy_until_s: Until when the engine asked not to be sent work.
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
    void_since_s: float | None = None
    busy_until_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation | None:
        """The run last seen."""
        return self.report.incarnation if self.report is not None else None


class ServiceBackendFacts(msgspec.Struct, frozen=True):
    """One service back end as this node knows it."""

    backend: ServiceBackend
    port: ServicePort
    circuit: Circuit = HEALTHY
    leaving: Leaving = STAYING


class DirectorySnapshot(msgspec.Struct, frozen=True):
    """Everything that the directory knows at one moment.

    Attributes:
        revision: Revision of the configuration that it was made from, 0 before the first.
        engines: Declared engines.
        engines_of: Names of the engines that report a model as loaded.
        declared_models: Models of the configuration.
        services: Back ends of each declared service, in the order declared.
    """

    revision: ConfigurationRevision
    engines: Mapping[EngineName, EngineFacts]
    engines_of: Mapping[ModelName, tuple[EngineName, ...]]
    declared_models: frozenset[ModelName]
    services: Mapping[ServiceName, Mapping[BackendName, ServiceBackendFacts]]


EMPTY_SNAPSHOT = DirectorySnapshot(ConfigurationRevision(0), {}, {}, frozenset(), {})
"""What is known before the first configuration."""
