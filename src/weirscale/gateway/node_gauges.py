"""Reads the values of a node's gauges from its components."""

from typing import Protocol

from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_server import RelayGate
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.quarantine.quarantines import Quarantines
from weirscale.gateway.requests.request_context import RequestContext
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.node_metrics import GaugeValues


class GaugeSources(Protocol):
    """The components of a node that gauges are read from."""

    cluster: ClusterState
    peers: PeerDirectory
    budget: SharedRetryBudget
    quotas: QuotaLedger
    canary_traffic: CanaryTraffic
    quarantines: Quarantines
    paths: PathState
    relay_gate: RelayGate
    context: RequestContext


def gauge_values(node: GaugeSources, holds_lease: bool, now_s: float) -> GaugeValues:
    """Return the current values.

    Args:
        node: Components of the node.
        holds_lease: Whether the node holds the lease that permits it to issue orders.
        now_s: Current time in monotonic seconds.
    """
    table = node.cluster.table
    services = {back_end.service for back_end in node.cluster.directory.all()}
    num_nodes = node.peers.num_nodes()
    return GaugeValues(
        state_age_s=node.cluster.age_s(),
        configuration_version=table.version if table else 0,
        num_back_ends=len(node.cluster.directory.instances()),
        holds_lease=holds_lease,
        queue_shares={
            service: node.context.pauses.queue_limit(service).share for service in services
        },
        retries_left={
            service: node.budget.remaining(service, num_nodes, now_s) for service in services
        },
        quota_levels=node.quotas.levels(),
        rollout_stages=node.canary_traffic.stages(),
        num_displaced=node.cluster.back_ends.num_displaced,
        num_suspects=node.quarantines.requests.num_suspects(),
        num_quarantined=node.quarantines.requests.num_quarantined(),
        num_suspect_blocks=node.quarantines.blocks.num_suspects(),
        num_quarantined_blocks=node.quarantines.blocks.num_quarantined(),
        num_lost_paths=node.paths.num_lost(),
        are_all_paths_lost=node.paths.are_all_lost(),
        num_relayed_for_peers=node.relay_gate.num_open,
    )
