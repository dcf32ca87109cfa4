"""The planned stop of a node: refuse new requests, finish the rest, hand over duties, leave."""

import anyio

from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.node.callers.drain import Drain
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.interfaces import ConfigurationView
from weirscale.node.membership.task import MembershipTask
from weirscale.ports.event_log import EventLog

UNCONFIGURED_DRAIN_TIMEOUT_S = 5.0
"""Drain timeout without a configuration. Requests then wait about a second for the first
configuration, so they can still finish."""

RELEASE_TIMEOUT_S = 1.0
HAND_OVER_TIMEOUT_S = 10.0
"""Timeout of the handover of claim groups. They get new holders before this node stops, so that a
rolling restart loses no claim."""


class PlannedStop:
    """Carries out the planned stop of one node.

    Args:
        drain: Makes the caller interface refuse new requests, and counts the running ones.
        configuration: Contains the drain timeout.
        membership: Announces that this node is leaving, and at the end that it has left.
        canceller: Finishes cancelling engines' work for callers that disconnected.
        planner_lease: Released, so that another node can plan immediately.
        ledger: Hands over its claim groups.
        event_log: Receives the events.
    """

    def __init__(
        self,
        drain: Drain,
        configuration: ConfigurationView,
        membership: MembershipTask,
        canceller: EngineCanceller,
        planner_lease: DutyLeaseTask,
        ledger: QuorumClaimLedger,
        event_log: EventLog,
    ) -> None:
        self._drain = drain
        self._configuration = configuration
        self._membership = membership
        self._canceller = canceller
        self._planner_lease = planner_lease
        self._ledger = ledger
        self._event_log = event_log

    async def run(self) -> bool:
        """Carry out the planned stop; the node's other tasks must still be running.

        Returns:
            True if all requests finished within the time limit.
        """
        self._event_log.event("drain_began", running=self._drain.num_running)
        self._drain.begin()
        self._membership.leave()
        with anyio.move_on_after(self._timeout_s()) as time_limit:
            await self._drain.wait_idle()
            await self._canceller.wait_idle()
        await self._hand_over()
        await self._membership.depart()
        self._event_log.event("drain_ended", left_over=self._drain.num_running)
        return not time_limit.cancelled_caught

    def _timeout_s(self) -> float:
        in_force = self._configuration.current()
        if in_force is None:
            return UNCONFIGURED_DRAIN_TIMEOUT_S
        return in_force.deployment.drain_timeout_s

    async def _hand_over(self) -> None:
        """Let other nodes take over immediately; bounded in time, because leases expire anyway."""
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            await self._planner_lease.release()
        await self._ledger.hand_over(HAND_OVER_TIMEOUT_S)
