"""Placement and rollouts: declared against observed state of engines."""
