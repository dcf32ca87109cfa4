"""Limits that all nodes share, quotas and the retry budget, and whether this node is isolated."""
