"""Authenticated, typed messages between nodes."""
