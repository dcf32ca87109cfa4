"""Settings of one gateway process, independent of the file or flags that they are read from."""

from collections.abc import Mapping

import msgspec

from weirscale.domain.identifiers import RegionName, ZoneName


class SettingsError(Exception):
    """The settings are missing or invalid; the message states the remedy."""


class ListenAddress(msgspec.Struct, frozen=True):
    """An IP address and a port to listen on."""

    host: str
    port: int


class QuotaPrecision(msgspec.Struct, frozen=True):
    """Allowed deviation from tenants' quotas.

    Attributes:
        window_s: Length in seconds of the window for which quotas are checked: in any such window,
            a tenant may spend the rate times the window plus the burst.
        overage: Share of that amount that may be spent in addition.
        tolerance: Units that may be spent beyond both.
    """

    window_s: float = 8.0
    overage: float = 0.0
    tolerance: float = 0.0


class CanaryLimits(msgspec.Struct, frozen=True):
    """Limits on the traffic of a canary, which is a version that is not established yet.

    Attributes:
        share: Maximum share of the service's requests.
        tolerance: Requests allowed beyond that share, over all nodes together.
        rollback_s: Maximum time from the 50th bad answer until no request is sent to the version.
    """

    share: float = 0.1
    tolerance: float = 0.0
    rollback_s: float = 5.0


class Guarantees(msgspec.Struct, frozen=True):
    """The deployment's guarantees; the defaults apply if the settings do not state a value.

    Attributes:
        stop_s: Time from the stop signal until the process is killed.
        key_removal_s: Maximum time until a removed key is refused, even by an isolated node; None
            if the deployment does not require this of isolated nodes.
        lease_s: Minimum time between orders of two lease holders.
        weights_s: Maximum time until requests start only on the newest target version.
        min_lease_s: Shortest lease that the store grants.
        quota: Allowed deviation from tenants' quotas.
        canary: Limits on the traffic of a service version that is not established yet.
    """

    stop_s: float = 8.0
    key_removal_s: float | None = 5.0
    lease_s: float = 3.0
    weights_s: float = 8.0
    min_lease_s: float = 1.0
    quota: QuotaPrecision = QuotaPrecision()
    canary: CanaryLimits = CanaryLimits()


class RetryBudgetRules(msgspec.Struct, frozen=True):
    """Retry budget for each service, shared by all nodes.

    Attributes:
        share: Number of retries allowed per request.
        extra: Additional retries allowed, over all nodes.
        window_s: Length in seconds of the window to which the budget applies.
        safety: Share of the budget that is used. The rest is a reserve, because nodes learn late
            of each other's retries.
    """

    share: float
    extra: float
    window_s: float
    safety: float = 0.85


ORDINARY_CORES = 1.0
ORDINARY_MEMORY_MB = 256.0
ORDINARY_LINK_MBPS = 50.0
"""Processor cores, memory in MB and bandwidth in Mbit/s of an ordinary machine, which has full
capacity for work done on behalf of other nodes. The head of a group receives about 200 KB/s in a
fleet of 200 nodes (docs/design/0014-size.md), a few percent of this bandwidth."""

FULL_CAPACITY = 100
"""Capacity of an ordinary machine, in hundredths."""


class MachineSize(msgspec.Struct, frozen=True):
    """Resources of a node's machine.

    Attributes:
        cores: Number of processor cores; may be a fraction.
        memory_mb: Memory for the process, in MB.
        link_mbps: Bandwidth of the machine's link, in Mbit/s.
    """

    cores: float = ORDINARY_CORES
    memory_mb: float = ORDINARY_MEMORY_MB
    link_mbps: float = ORDINARY_LINK_MBPS

    def capacity(self) -> int:
        """Return the capacity for work on behalf of others, in hundredths of an ordinary
        machine."""
        shares = (
            self.cores / ORDINARY_CORES,
            self.memory_mb / ORDINARY_MEMORY_MB,
            self.link_mbps / ORDINARY_LINK_MBPS,
        )
        return int(FULL_CAPACITY * min(1.0, *shares))


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one gateway process.

    Attributes:
        name: Name of the node.
        zone: Zone of the node.
        callers: Address for callers.
        readiness: Address for readiness checks.
        metrics: Address for metrics, or None.
        metrics_path: Configured path of the metrics; every path of that address returns them.
        peers: Address for datagrams of other nodes.
        is_first_start: Whether the whole system is being started for the first time.
        bounds: The deployment's guarantees.
        retry_budget: The deployment's retry budget.
        machine: Resources of the machine; nodes with the highest capacity do work on behalf of the
            others.
        regions: The region of each zone; empty if there is only one region.
    """

    name: str
    zone: ZoneName
    callers: ListenAddress
    readiness: ListenAddress
    peers: ListenAddress
    metrics: ListenAddress | None = None
    metrics_path: str = "/metrics"
    is_first_start: bool = False
    bounds: Guarantees = Guarantees()
    retry_budget: RetryBudgetRules = RetryBudgetRules(0.2, 50.0, 10.0)
    machine: MachineSize = MachineSize()
    regions: Mapping[ZoneName, RegionName] = {}
