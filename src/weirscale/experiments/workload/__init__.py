"""Seeded workloads of both deployments, as plans of typed items with planned send times."""
