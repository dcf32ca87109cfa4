"""Seeded workloads of both deployments, as plans of typed items with intended send times."""
