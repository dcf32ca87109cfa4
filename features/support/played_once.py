"""Base class of fleet runs that a scenario's steps describe and that run once, in virtual time."""

from features.support.platform_fleet import with_fleet
from features.support.virtual_time import run_in_virtual_time


class PlayedOnce:
    """A run of a fleet; subclasses define `fleet` and the coroutine `_body`."""

    _has_run = False

    def play(self):
        """Run the described actions unless they have run already, and return this object."""
        if not self._has_run:
            self._has_run = True
            run_in_virtual_time(self._main)
        return self

    async def _main(self):
        await with_fleet(self.fleet, self._body)
