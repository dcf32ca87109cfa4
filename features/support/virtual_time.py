"""Virtual time for tests: no test waits on a wall clock, and a test's schedule never varies."""

from weirscale.experiments.virtual_time import run_in_virtual_time

__all__ = ["run_in_virtual_time"]
