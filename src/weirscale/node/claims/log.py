"""The claim log of a node: its writer, the run's mark in the service, and the load after a loss."""

from collections.abc import Callable, Iterable, Set

import anyio
from result import Err, Ok, Result

from weirscale.domain.claims.log import copied_claims, is_log_complete, logged_claims
from weirscale.domain.claims.model import CopiedClaim, GroupEpoch
from weirscale.domain.configuration.model import ClaimRules
from weirscale.domain.identifiers import NodeId
from weirscale.messages.claims import ClaimAck, ClaimLogAppend
from weirscale.node.claims.log_mark import LogMark, read_marked_runs
from weirscale.node.claims.log_writer import ClaimLogWriter
from weirscale.node.claims.registry import HolderRegistry
from weirscale.node.peers.link import PeerLink
from weirscale.ports.key_value import KeyValueFailure, KeyValuePort


class ClaimLog:
    """Writes and reads the logs of claim groups for one node; `run` must be running.

    Args:
        self_id: This run of the node.
        store: The key-value service.
        rules: The claim rules in force.
    """

    def __init__(
        self, self_id: NodeId, store: KeyValuePort, rules: Callable[[], ClaimRules]
    ) -> None:
        self._store = store
        self._rules = rules
        self._registry: HolderRegistry | None = None
        self._writer = ClaimLogWriter(store, rules)
        self._mark = LogMark(self_id, store, rules, self._log_all, self._num_holders)

    def serve(self, link: PeerLink, registry: HolderRegistry) -> None:
        """Answer append calls for the groups whose holders are in the registry."""
        self._registry = registry
        registry.register_call(link, ClaimLogAppend, self._append)

    async def run(self) -> None:
        """Write logs and renew the mark until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._writer.use_task_group(tasks)
            try:
                await self._mark.run()
            finally:
                self._writer.use_task_group(None)

    def needs_log(self) -> bool:
        """Return whether a vote given now counts only once its claim is in the group's log."""
        return self._mark.needs_log()

    async def log_initial_claims(self, record: GroupEpoch, claims: Iterable[CopiedClaim]) -> bool:
        """Log the claims that a new epoch starts with; return whether all of them are logged."""
        if not self._rules().log_in_store:
            return False
        return await self._writer.append_missing(record.group, record.epoch, logged_claims(claims))

    async def load_after_loss(
        self, previous: GroupEpoch, cannot_vote: Set[NodeId]
    ) -> Result[tuple[CopiedClaim, ...] | None, KeyValueFailure]:
        """Load all claims that a lost epoch may have granted; None if the log may be incomplete.

        Args:
            previous: The epoch that lost its quorum.
            cannot_vote: Its holders that are sealed or have restarted.
        """
        if not self._rules().log_in_store:
            return Ok(None)
        marked = await read_marked_runs(self._store)
        if isinstance(marked, Err):
            return marked
        if not is_log_complete(previous, marked.ok_value & cannot_vote):
            return Ok(None)
        claims = await self._writer.fence(previous.group, previous.epoch + 1)
        return claims.map(lambda logged: copied_claims(logged) if logged is not None else None)

    async def _append(self, message: ClaimLogAppend) -> ClaimAck:
        registry = self._registry
        if registry is None:
            return ClaimAck(False)
        is_logged = registry.is_active(message.group, message.epoch) and (
            await self._writer.append(message.group, message.epoch, (message.claim,))
        )
        return ClaimAck(is_logged, registry.epochs.newer_than(message.group, message.epoch))

    async def _log_all(self) -> bool:
        """Write all claims that this node holds to their logs; return whether all are logged."""
        if self._registry is None:
            return False
        for held, claims in tuple(self._registry.claims()):
            logged = logged_claims(claims)
            if not await self._writer.append_missing(held.group, held.epoch, logged):
                return False
        return True

    def _num_holders(self) -> int:
        return self._registry.num_holders() if self._registry is not None else 0
