"""Replicates the platform's state to every node: a few read the store, the others query them."""
