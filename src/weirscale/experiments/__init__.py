"""Workloads, experiment runs, history checks and reports."""
