"""Settings of one gateway process, whatever file or flags they came from."""

from collections.abc import Mapping

import msgspec

from weirscale.domain.identifiers import RegionName, ZoneName


class SettingsError(Exception):
    """The settings are missing or wrong; the message names the remedy."""


class ListenAddress(msgspec.Struct, frozen=True):
    """An IP number and a port to listen on."""

    host: str
    port: int


class QuotaPrecision(msgspec.Struct, frozen=True):
    """How exactly tenants' quotas are to be kept.

    Attributes:
        window_s: Seconds; in any such span a tenant may spend rate times span plus burst.
        overage: Share of that which may be spent beyond it.
        tolerance: Units that may be spent beyond both.
    """

    window_s: float = 8.0
    overage: float = 0.0
    tolerance: float = 0.0


class CanaryLimits(msgspec.Struct, frozen=True):
    """What an unproved version may get.

    Attributes:
        share: Largest share of the service's requests.
        tolerance: Requests beyond that share, over all nodes together.
        rollback_s: Time from the 50th bad answer until nothing is sent to it any more.
    """

    share: float = 0.1
    tolerance: float = 0.0
    rollback_s: float = 5.0


class Guarantees(msgspec.Struct, frozen=True):
    """Times within which the deployment's promises hold; defaults where the settings have none.

    Attributes:
        stop_s: From the signal to stop until the process is killed.
        key_removal_s: Until a removed key serves no more, also at an isolated node; None where the
            deployment does not ask for it there.
        lease_s: Least time between orders of two holders.
        weights_s: Until requests start on the newest target version only.
        min_lease_s: Shortest lease that the store grants.
        quota: How exactly tenants' quotas are to be kept.
        canary: What an unproved version of a service's program may get.
    """

    stop_s: float = 8.0
    key_removal_s: float | None = 5.0
    lease_s: float = 3.0
    weights_s: float = 8.0
    min_lease_s: float = 1.0
    quota: QuotaPrecision = QuotaPrecision()
    canary: CanaryLimits = CanaryLimits()


class RetryBudgetRules(msgspec.Struct, frozen=True):
    """The budget of all nodes together, for each service.

    Attributes:
        share: Retries allowed for each request.
        extra: Retries allowed on top, over all nodes.
        window_s: Span that the rule looks at.
        safety: Share of the budget that is used; the rest covers that nodes know of each other's
            retries late. Not measured.
    """

    share: float
    extra: float
    window_s: float
    safety: float = 0.85


ORDINARY_CORES = 1.0
ORDINARY_MEMORY_MB = 256.0
ORDINARY_LINK_MBPS = 50.0
"""Processor cores, memory in MB and link in Mbit/s of a machine that is as good as any for work
that it does for others. A group's head receives some 200 KB/s in a fleet of 200 nodes
(docs/design/0014-size.md): a few hundredths of this link."""

FULL_CAPACITY = 100
"""Capacity of such a machine, in hundredths."""


class MachineSize(msgspec.Struct, frozen=True):
    """What the machine of a node has.

    Attributes:
        cores: Share of processor cores.
        memory_mb: Memory for the process, in MB.
        link_mbps: Bandwidth of its link, in Mbit/s.
    """

    cores: float = ORDINARY_CORES
    memory_mb: float = ORDINARY_MEMORY_MB
    link_mbps: float = ORDINARY_LINK_MBPS

    def capacity(self) -> int:
        """Return how much the machine can do for others, in hundredths of an ordinary one."""
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
        zone: Its zone.
        callers: Where callers connect.
        readiness: Where readiness is asked for.
        metrics: Where metrics are asked for, or None.
        metrics_path: Path of the metrics as configured; every path of that address answers.
        peers: Where other nodes' datagrams arrive.
        is_first_start: Whether the whole system starts for the first time.
        bounds: The deployment's guarantees.
        retry_budget: The deployment's retry budget.
        machine: What the machine has; those with the greatest capacity do what is done for others.
        regions: The region of each zone; empty where there is one only.
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
