"""Periodic exchange of loads, sends and counts between nodes, within groups and between them."""
