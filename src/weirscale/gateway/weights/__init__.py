"""Rollout of model weights: which engines load a target version, when, and by whose orders.

Rollouts of a service's software versions are another matter (`gateway.rollouts`). Both are carried
out by the holder of one lease (`holder_lease`).
"""
