"""Heartbeat intervals and the timeout after which a silent peer is ignored."""

PEER_TIMEOUT_S = 1.5
"""Seconds without a message after which a source counts as stopped or unreachable, and its load is
no longer counted. Sources send all their loads once a second."""

SWEEP_INTERVAL_S = 0.1
"""Seconds between two sweeps for expired loads."""

HEARTBEAT_INTERVAL_S = 0.25
"""Seconds between two heartbeats if quotas are configured. In a large fleet, nodes send gossip at
least this often anyway."""
