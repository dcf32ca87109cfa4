"""Stand-in for a named service (print orders, matchmaking) that records every run."""
