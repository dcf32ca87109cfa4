"""Virtual time for tests: they do not wait for a wall clock, and their schedules are repeatable."""

from weirscale.experiments.virtual_time import run_in_virtual_time

__all__ = ["run_in_virtual_time"]
