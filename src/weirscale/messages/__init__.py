"""Typed messages between weirscale's own processes and tasks."""
