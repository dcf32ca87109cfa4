"""How often nodes show each other that they live, and when one counts as silent."""

PEER_SILENCE_S = 1.5
"""A source that has been silent for this long has stopped, or is cut off: its load counts no more.
Sources tell all their loads once a second."""

SWEEP_INTERVAL_S = 0.1
"""How often loads are looked through for those that have grown too old."""

HEARTBEAT_INTERVAL_S = 0.25
"""Where there are quotas, nodes show this often that they live; in a large fleet they have news as
often as that anyway."""
