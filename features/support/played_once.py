"""The frame of plays that a scenario's steps gather and that run once, in virtual time."""

from features.support.platform_fleet import with_fleet
from features.support.virtual_time import run_in_virtual_time


class PlayedOnce:
    """A play on a fleet; subclasses have `fleet` and `_body`."""

    _has_run = False

    def play(self):
        """Play what was gathered, once."""
        if not self._has_run:
            self._has_run = True
            run_in_virtual_time(self._main)
        return self

    async def _main(self):
        await with_fleet(self.fleet, self._body)
