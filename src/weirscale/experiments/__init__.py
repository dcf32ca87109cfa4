"""Workloads, experiment runs, history checking and reports."""
