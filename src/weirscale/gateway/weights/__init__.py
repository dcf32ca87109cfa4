"""Rollout of model weights: when engines load a version, and the fenced orders that make them."""
