"""Gives up the duty to order while this node reaches no back end directly.

Orders are never relayed: engines know the holder by where its orders come from.
"""

from collections.abc import Callable

from weirscale.gateway.ticks import sleep_to_tick
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.ports.event_log import EventLog

CHECK_INTERVAL_S = 0.2
"""Seconds between two checks."""


class HolderPathWatch:
    """Gives up the lease when all paths are lost; `run` must be running.

    Args:
        lease: The lease on the duty.
        are_all_paths_lost: Returns whether this node reaches no back end directly.
        event_log: Logs when the lease is given up.
    """

    def __init__(
        self,
        lease: DutyLeaseTask,
        are_all_paths_lost: Callable[[], bool],
        event_log: EventLog,
    ) -> None:
        self._lease = lease
        self._are_all_paths_lost = are_all_paths_lost
        self._event_log = event_log

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            if self._are_all_paths_lost() and self._lease.is_held():
                self._event_log.event("lease_given_up", duty=self._lease.duty.key)
                await self._lease.give_up()
