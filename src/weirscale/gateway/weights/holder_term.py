"""This node's term as the holder: the fencing token that its orders carry."""

from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.ports.event_log import EventLog


class HolderTerm:
    """Follows the lease; what is done in a term checks that it goes on before each order.

    Args:
        holder: Name of this node.
        lease: Lease on the duty.
        event_log: Logs the beginning of each term.
    """

    def __init__(self, holder: str, lease: DutyLeaseTask, event_log: EventLog) -> None:
        self.holder = holder
        self.token = 0
        """Fencing token of the latest term; 0 before the first one."""
        self._lease = lease
        self._event_log = event_log

    def begin(self) -> bool:
        """Whether this node holds the lease now; a new token begins a new term."""
        token = self._lease.token()
        if token is None:
            return False
        if token != self.token:
            self.token = token
            self._event_log.event("lease_won", duty=self._lease.duty.key, token=token)
        return True

    def is_current(self) -> bool:
        """Whether the latest term goes on."""
        token = self._lease.token()
        return token is not None and token == self.token
