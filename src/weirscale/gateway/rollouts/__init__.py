"""Rollouts of a service's software versions: canary, verdict, move, end (design note 0019)."""
