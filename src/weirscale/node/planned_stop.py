"""The planned stop of a node: refuse new requests, finish all others, hand duties on, leave."""

import anyio

from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.node.callers.drain import Drain
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.interfaces import ConfigurationView
from weirscale.node.membership.task import MembershipTask
from weirscale.ports.event_log import EventLog

UNCONFIGURED_DRAIN_TIMEOUT_S = 5.0
"""Without a configuration requests wait about a second for the first one; they still end whole."""

RELEASE_TIMEOUT_S = 1.0
HAND_OVER_TIMEOUT_S = 10.0
"""Claim groups get new holders before this one goes, so that a rolling restart loses no claim."""


class PlannedStop:
    """Carries out the planned stop of one node.

    Args:
        drain: The callers' side: refuses new requests and counts those that run.
        configuration: Holds the time limit.
        membership: Told of the leaving at the start, and of the end.
        canceller: Still stops engines' work for callers that left.
        planner_lease: Released, so that another node plans at once.
        ledger: Hands its claim groups over.
        event_log: Where events go.
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
        """Stop as planned; the node's other tasks must still be running.

        Returns:
            True if all requests finished within the time limit.
        """
        self._event_log.event("drain_began", running=self._drain.num_running)
        self._drain.begin()
        self._membership.leave()
        with anyio.move_on_after(self._timeout_s()) as limit:
            await self._drain.wait_idle()
            await self._canceller.wait_idle()
        await self._hand_over()
        await self._membership.depart()
        self._event_log.event("drain_ended", left_over=self._drain.num_running)
        return not limit.cancelled_caught

    def _timeout_s(self) -> float:
        in_force = self._configuration.current()
        if in_force is None:
            return UNCONFIGURED_DRAIN_TIMEOUT_S
        return in_force.deployment.drain_timeout_s

    async def _hand_over(self) -> None:
        """Let other nodes take over at once; bounded, since leases run out by themselves."""
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            await self._planner_lease.release()
        await self._ledger.hand_over(HAND_OVER_TIMEOUT_S)
