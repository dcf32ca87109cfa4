"""Soak runs: many seeds with random faults."""
