"""Limits shared by all nodes (tenant quotas and the retry budget) and detection of isolation."""
