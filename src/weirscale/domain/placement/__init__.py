"""Placement and rollouts: compare the declared with the observed state of engines."""
