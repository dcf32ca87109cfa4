"""This node's term as the holder, with the fencing token that its orders carry."""

from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.ports.event_log import EventLog


class HolderTerm:
    """Tracks the terms in which this node holds the lease; check the term before each order.

    Args:
        holder: Name of this node.
        lease: The lease on the duty.
        event_log: Logs the start of each term.
    """

    def __init__(self, holder: str, lease: DutyLeaseTask, event_log: EventLog) -> None:
        self.holder = holder
        self.token = 0
        """Fencing token of the latest term; 0 before the first term."""
        self._lease = lease
        self._event_log = event_log

    def refresh(self) -> bool:
        """Return whether this node holds the lease now; start a new term if the token is new."""
        token = self._lease.token()
        if token is None:
            return False
        if token != self.token:
            self.token = token
            self._event_log.event("lease_won", duty=self._lease.duty.key, token=token)
        return True

    def is_current(self) -> bool:
        """Return whether the latest term has not ended."""
        token = self._lease.token()
        return token is not None and token == self.token
