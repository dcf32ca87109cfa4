"""Faults on a timeline."""
