"""Hooks of behave: nothing is shared between scenarios."""
