"""How often nodes show each other that they live, and when one counts as silent."""

PEER_TIMEOUT_S = 1.5
"""Seconds; a source silent for this long has stopped or is cut off, and its load counts no more.
Sources send all their loads once a second. Not measured."""

SWEEP_INTERVAL_S = 0.1
"""Seconds between two searches for loads that have grown too old. Not measured."""

HEARTBEAT_INTERVAL_S = 0.25
"""Seconds between two heartbeats where there are quotas; in a large fleet nodes have gossip to
send as often as that anyway. Not measured."""
