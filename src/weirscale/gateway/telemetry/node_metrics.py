"""The interface for a node's metrics, and its no-op implementation."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from weirscale.domain.identifiers import ServiceName, TenantName
from weirscale.gateway.telemetry.request_summary import RequestSummary


class GaugeValues(msgspec.Struct, frozen=True):
    """Values of a node's gauges at one scrape.

    Attributes:
        state_age_s: Time since the platform's state was proved current.
        configuration_version: Version of the configuration in force; 0 if there is none.
        num_back_ends: Number of registered back ends in use, one for each address.
        num_displaced: How often since the start the run that owned an address was replaced or
            removed.
        holds_lease: Whether this node holds the lease that permits it to issue orders.
        retries_left: Retries that may be spent now, by service.
        queue_shares: Share of the queue limit in force, by service.
        quota_levels: Remaining quota, in the unit of the quota, by tenant.
        rollout_stages: Stage of the rollout, by service.
        num_suspects: Number of requests that back ends recently crashed while serving.
        num_quarantined: Number of requests that are refused because of such crashes.
        num_suspect_blocks: Number of prompt blocks tracked because back ends crashed with them.
        num_quarantined_blocks: Number of groups of such blocks whose requests are refused.
        num_lost_paths: Number of back ends that other nodes reach and this node does not.
        are_all_paths_lost: Whether this node's paths to all back ends count as lost.
        num_relayed_for_peers: Connections to back ends that this node relays for other nodes now.
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
    num_suspect_blocks: int = 0
    num_quarantined_blocks: int = 0
    num_lost_paths: int = 0
    are_all_paths_lost: bool = False
    num_relayed_for_peers: int = 0


class NodeMetrics(Protocol):
    """Metrics of a node."""

    def count_request(self, summary: RequestSummary) -> None:
        """Count a request that has ended."""
        ...

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        ...

    def count_rollout_end(self, service: ServiceName, side: str, end: str) -> None:
        """Count an attempt during a rollout by the side it went to and how it ended."""
        ...

    def count_resumed_stream(self, known_by: str) -> None:
        """Count a stream that a caller takes up, by how its origin is known."""
        ...

    def count_relayed_connection(self) -> None:
        """Count a connection to a back end that was opened through another node."""
        ...

    def count_shed_connection(self) -> None:
        """Count a connection of a caller that was closed unread because of an overload."""
        ...

    def count_unexpected_error(self, work: str) -> None:
        """Count an error that nobody expected, by the kind of the work that it ended."""
        ...

    def text(self, values: GaugeValues) -> bytes:
        """Return all metrics as text, with these gauge values."""
        ...


class NullMetrics:
    """No-op metrics for a node without a metrics address."""

    def count_request(self, summary: RequestSummary) -> None:
        """Do nothing."""

    def count_store_call(self, kind: str, result: str) -> None:
        """Do nothing."""

    def count_rollout_end(self, service: ServiceName, side: str, end: str) -> None:
        """Do nothing."""

    def count_resumed_stream(self, known_by: str) -> None:
        """Do nothing."""

    def count_relayed_connection(self) -> None:
        """Do nothing."""

    def count_shed_connection(self) -> None:
        """Do nothing."""

    def count_unexpected_error(self, work: str) -> None:
        """Do nothing."""

    def text(self, values: GaugeValues) -> bytes:
        """Return an empty text."""
        return b""
