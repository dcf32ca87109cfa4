"""What a node counts: the interface, and the one that counts nothing."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from weirscale.domain.identifiers import ServiceName, TenantName
from weirscale.gateway.telemetry.request_summary import RequestSummary


class GaugeValues(msgspec.Struct, frozen=True):
    """Figures that are read off when somebody asks.

    Attributes:
        state_age_s: Time since the platform's state was proved current.
        configuration_version: Version in force, 0 for none.
        num_back_ends: Back ends in use: registered, one for each address.
        num_displaced: Times since the start that a back end was not used any more because another
            run was taken for the process at its address.
        holds_lease: Whether this node gives orders.
        retries_left: Retries that may be spent now, by service.
        queue_shares: Share of the limit on queues that is in force, by service.
        quota_levels: What is left of each quota, in its unit, by tenant.
        rollout_stages: How far each service's rollout is.
        num_suspects: Requests that back ends crashed under of late.
        num_quarantined: Requests that are refused for that.
    """

    state_age_s: float
    configuration_version: int
    num_back_ends: int
    holds_lease: bool
    retries_left: Mapping[ServiceName, float]
    queue_shares: Mapping[ServiceName, float]
    quota_levels: Mapping[TenantName, float]
    rollout_stages: Mapping[ServiceName, str] = {}
    num_displaced: int = 0
    num_suspects: int = 0
    num_quarantined: int = 0


class NodeMetrics(Protocol):
    """Counts what happens at a node."""

    def count_request(self, summary: RequestSummary) -> None:
        """Count a request that has ended."""
        ...

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        ...

    def count_rollout_end(self, service: ServiceName, side: str, end: str) -> None:
        """Count an attempt under a rollout."""
        ...

    def text(self, figures: GaugeValues) -> bytes:
        """Return all figures as text."""
        ...


class NoMetrics:
    """Counts nothing, where nobody can ask."""

    def count_request(self, summary: RequestSummary) -> None:
        """Do nothing."""

    def count_store_call(self, kind: str, result: str) -> None:
        """Do nothing."""

    def count_rollout_end(self, service: ServiceName, side: str, end: str) -> None:
        """Do nothing."""

    def text(self, figures: GaugeValues) -> bytes:
        """Return nothing."""
        return b""
