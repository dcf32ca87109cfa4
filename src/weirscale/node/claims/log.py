"""The claim log as a part of a node: its writer, the mark of the run, and the load after a loss."""

from collections.abc import Callable, Iterable, Set

import anyio
from result import Err, Ok, Result

from weirscale.domain.claims.log import copied_claims, is_log_complete, logged_claims
from weirscale.domain.claims.model import CopiedClaim, GroupEpoch
from weirscale.domain.configuration.model import ClaimRules
from weirscale.domain.identifiers import NodeId
from weirscale.messages.claims import ClaimAck, ClaimLogAppend
from weirscale.node.claims.log_mark import LogMark, read_marked
from weirscale.node.claims.log_writer import ClaimLogWriter
from weirscale.node.claims.registry import HolderRegistry
from weirscale.node.peers.link import PeerLink
from weirscale.ports.key_value import KeyValueFailure, KeyValuePort


class ClaimLog:
    """Writes and reads the logs of claim groups for one node; `run` must be running.

    Args:
        self_id: This run.
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
        """Answer calls to append, for the groups that the registry holds."""
        self._registry = registry
        registry.answer_also(link, ClaimLogAppend, self._append)

    async def run(self) -> None:
        """Write logs and keep the mark until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._writer.run_in(tasks)
            try:
                await self._mark.run()
            finally:
                self._writer.run_in(None)

    def needs_log(self) -> bool:
        """Whether a vote given now counts only with the claim in the group's log."""
        return self._mark.needs_log()

    async def carry_on(self, record: GroupEpoch, claims: Iterable[CopiedClaim]) -> bool:
        """Whether every claim that an epoch to come begins with is in the log now."""
        if not self._rules().log_in_store:
            return False
        return await self._writer.append_missing(record.group, record.epoch, logged_claims(claims))

    async def load_after_loss(
        self, before: GroupEpoch, cannot_vote: Set[NodeId]
    ) -> Result[tuple[CopiedClaim, ...] | None, KeyValueFailure]:
        """All claims that an epoch that was lost may have granted; None when the log can't tell.

        Args:
            before: The epoch that was lost.
            cannot_vote: Its holders that are sealed, or whose run is known to be over.
        """
        if not self._rules().log_in_store:
            return Ok(None)
        marked = await read_marked(self._store)
        if isinstance(marked, Err):
            return marked
        if not is_log_complete(before, marked.ok_value & cannot_vote):
            return Ok(None)
        claims = await self._writer.fence(before.group, before.epoch + 1)
        return claims.map(lambda each: copied_claims(each) if each is not None else None)

    async def _append(self, message: ClaimLogAppend) -> ClaimAck:
        registry = self._registry
        if registry is None:
            return ClaimAck(False)
        is_logged = registry.is_active(message.group, message.epoch) and (
            await self._writer.append(message.group, message.epoch, (message.claim,))
        )
        return ClaimAck(is_logged, registry.epochs.newer_than(message.group, message.epoch))

    async def _log_all(self) -> bool:
        """Put all claims that this node holds into their logs."""
        if self._registry is None:
            return False
        for known, claims in tuple(self._registry.claims()):
            logged = logged_claims(claims)
            if not await self._writer.append_missing(known.group, known.epoch, logged):
                return False
        return True

    def _num_holders(self) -> int:
        return self._registry.num_holders() if self._registry is not None else 0
