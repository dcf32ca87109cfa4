"""Rollout of model weights: decides which engines load a target version when, and orders the loads.

Rollouts of service versions are separate (`gateway.rollouts`). The holder of one lease carries out
both (`holder_lease`).
"""
