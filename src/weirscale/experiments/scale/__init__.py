"""Hollow fleets: many nodes' membership in one process, to measure its cost and its speed."""
