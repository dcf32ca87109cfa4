"""Creates the metrics of a node.

The Prometheus client library adds 0.09 s to the start of a node and takes 2 MB of memory, so it is
loaded only if the settings have an address for metrics.
"""

from weirscale.gateway.settings import GatewaySettings
from weirscale.gateway.telemetry.node_metrics import NodeMetrics, NullMetrics


def new_metrics(settings: GatewaySettings) -> NodeMetrics:
    """Return the metrics of a node, or a no-op implementation if it has no metrics address."""
    if settings.metrics is None:
        return NullMetrics()
    from weirscale.gateway.telemetry.metrics import GatewayMetrics

    return GatewayMetrics()
