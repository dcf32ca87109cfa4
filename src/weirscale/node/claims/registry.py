"""The claim holders on this node, which answer calls of coordinators and planners.

The handlers in this module never await, so each call sees and leaves a consistent state.
"""

from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
import msgspec

from weirscale.domain.claims.holder import ClaimHolder, HolderPhase
from weirscale.domain.claims.model import ClaimVote, CopiedClaim, GroupEpoch, Vote
from weirscale.domain.identifiers import NodeId
from weirscale.messages.claims import (
    ClaimAck,
    ClaimAnnounce,
    ClaimComplete,
    ClaimCopied,
    ClaimCopy,
    ClaimEpochsQuery,
    ClaimEpochsReply,
    ClaimOffer,
    ClaimOfferReply,
    ClaimPrepare,
    ClaimSeal,
    ClaimSealed,
    ClaimWithdraw,
    KnownEpoch,
)
from weirscale.node.claims.epochs import EpochDirectory
from weirscale.node.peers.link import PeerLink

COPY_PAGE_CLAIMS = 2000
"""Claims per page of a copy: about 150 kB, a few milliseconds to encode."""
MAX_PREPARED_EPOCHS = 2 * 64
"""Maximum number of prepared epochs that are not yet in force; the oldest is dropped."""


CallHandler = Callable[[Any], Awaitable[msgspec.Struct]]


class _PreparedEpoch:
    """The claims received so far for an epoch that is not yet in force."""

    def __init__(self, record: GroupEpoch) -> None:
        self.record = record
        self.claims: list[CopiedClaim] = []
        self.holder: ClaimHolder | None = None


class HolderRegistry:
    """Owns this node's holders.

    Args:
        self_id: This run of the node.
        link: Delivers the calls of other nodes.
        may_vote: Whether this node's epochs have been confirmed recently.
        on_activated: Called when an epoch that this node holds comes into force.
        needs_log: Whether a vote given now counts only once its claim is in the group's log.
    """

    def __init__(
        self,
        self_id: NodeId,
        link: PeerLink,
        may_vote: Callable[[], bool],
        on_activated: Callable[[], None],
        needs_log: Callable[[], bool] = lambda: False,
    ) -> None:
        self.epochs = EpochDirectory(self._enter_epoch)
        self._self_id = self_id
        self._may_vote = may_vote
        self._on_activated = on_activated
        self._needs_log = needs_log
        self._holders: dict[int, ClaimHolder] = {}
        self._prepared: dict[tuple[int, bytes], _PreparedEpoch] = {}
        self._sealed_at_s: dict[int, float] = {}
        self._handlers: dict[type[msgspec.Struct], CallHandler] = {
            ClaimOffer: self.offer,
            ClaimWithdraw: self.withdraw,
            ClaimComplete: self.complete,
            ClaimSeal: self.seal,
            ClaimCopy: self.copy,
            ClaimPrepare: self.prepare,
            ClaimAnnounce: self.announce,
            ClaimEpochsQuery: self.newer_epochs,
        }
        self._serve(link)

    async def answer(self, message: msgspec.Struct) -> msgspec.Struct:
        """Answer any call of the ledger."""
        return await self._handlers[type(message)](message)

    def register_call(
        self, link: PeerLink, message_type: type[msgspec.Struct], handler: CallHandler
    ) -> None:
        """Register a handler for another call, from other nodes and from this one."""
        self._handlers[message_type] = handler
        link.on_call(message_type, handler)

    def _serve(self, link: PeerLink) -> None:
        for message_type, handler in self._handlers.items():
            link.on_call(message_type, handler)
        link.on_cast(ClaimAnnounce, lambda _, message: self._handle_announcement(message))

    def num_holders(self) -> int:
        """Return the number of groups that this node holds."""
        return len(self._holders)

    def held_epochs(self) -> tuple[KnownEpoch, ...]:
        """Return the epochs of the groups that this node holds."""
        return tuple(KnownEpoch(group, holder.epoch) for group, holder in self._holders.items())

    def is_active(self, group: int, epoch: int) -> bool:
        """Return whether this node is an active holder of an epoch of a group."""
        holder = self._holders.get(group)
        return holder is not None and holder.epoch == epoch and holder.phase is HolderPhase.ACTIVE

    def claims(self) -> Iterator[tuple[KnownEpoch, tuple[CopiedClaim, ...]]]:
        """Iterate over the groups that this node holds, with their claims."""
        for held in self.held_epochs():
            copied = self._holders[held.group].export_claims(anyio.current_time())
            yield held, copied

    def groups_sealed_before(self, time_s: float) -> tuple[int, ...]:
        """Return the groups that were sealed here before a time and have no new epoch yet."""
        return tuple(group for group, at_s in self._sealed_at_s.items() if at_s < time_s)

    async def offer(self, message: ClaimOffer) -> ClaimOfferReply:
        """Vote on a claim."""
        newer = self.epochs.newer_than(message.group, message.epoch)
        holder = self._holders.get(message.group)
        if holder is None:
            return ClaimOfferReply(ClaimVote(Vote.WRONG_EPOCH, 0), newer)
        if not self._may_vote():
            return ClaimOfferReply(ClaimVote(Vote.UNCONFIRMED, holder.epoch), newer)
        vote = holder.vote(
            message.epoch,
            message.key,
            message.claimant,
            message.fingerprint,
            anyio.current_time(),
        )
        if vote.vote is Vote.ACCEPTED and self._needs_log():
            vote = msgspec.structs.replace(vote, needs_log=True)
        return ClaimOfferReply(vote, newer)

    async def withdraw(self, message: ClaimWithdraw) -> ClaimAck:
        """Withdraw the vote for a claim."""
        holder = self._holders.get(message.group)
        is_done = holder is not None and holder.withdraw(
            message.epoch, message.key, message.claimant
        )
        return ClaimAck(is_done, self.epochs.newer_than(message.group, message.epoch))

    async def complete(self, message: ClaimComplete) -> ClaimAck:
        """Record that a claim's request has run."""
        holder = self._holders.get(message.group)
        is_done = holder is not None and holder.complete(
            message.epoch,
            message.key,
            message.claimant,
            message.fingerprint,
            message.answer,
            anyio.current_time(),
        )
        return ClaimAck(is_done, self.epochs.newer_than(message.group, message.epoch))

    async def seal(self, message: ClaimSeal) -> ClaimSealed:
        """Stop answering for an epoch."""
        holder = self._holders.get(message.group)
        if holder is None or not holder.seal(message.epoch):
            return ClaimSealed(False, 0, 0.0)
        now_s = anyio.current_time()
        self._sealed_at_s.setdefault(message.group, now_s)
        wait_s = max(0.0, holder.unknown_refused_until_s - now_s)
        return ClaimSealed(True, holder.num_entries, wait_s)

    async def copy(self, message: ClaimCopy) -> ClaimCopied:
        """Return a page of a sealed holder's claims."""
        holder = self._holders.get(message.group)
        if holder is None or holder.epoch != message.epoch:
            return ClaimCopied(False, ())
        if holder.phase is not HolderPhase.SEALED:
            return ClaimCopied(False, ())
        return ClaimCopied(
            True, holder.export_claims(anyio.current_time(), message.offset, COPY_PAGE_CLAIMS)
        )

    async def prepare(self, message: ClaimPrepare) -> ClaimAck:
        """Store a page of claims for an epoch that is not yet in force."""
        record = message.record
        if not record.has_member(self._self_id):
            return ClaimAck(False)
        newer = self.epochs.newer_than(record.group, record.epoch - 1)
        if newer is not None:
            return ClaimAck(False, newer)
        prepared = self._prepared_for(message)
        if message.offset > len(prepared.claims):
            return ClaimAck(False)
        del prepared.claims[message.offset :]
        prepared.claims.extend(message.claims)
        if len(prepared.claims) == message.num_claims:
            prepared.holder = self._make_holder(message, prepared.claims)
        return ClaimAck(True)

    async def announce(self, message: ClaimAnnounce) -> ClaimAck:
        """Adopt an epoch that is in force."""
        self._handle_announcement(message)
        return ClaimAck(True)

    async def newer_epochs(self, message: ClaimEpochsQuery) -> ClaimEpochsReply:
        """Return the epochs that are newer than those the calling node knows."""
        newer = (self.epochs.newer_than(entry.group, entry.epoch) for entry in message.known)
        return ClaimEpochsReply(tuple(record for record in newer if record is not None))

    def _handle_announcement(self, message: object) -> None:
        if isinstance(message, ClaimAnnounce):
            self.epochs.adopt(message.record)

    def _prepared_for(self, message: ClaimPrepare) -> _PreparedEpoch:
        name = (message.record.group, message.record.attempt)
        prepared = self._prepared.get(name)
        if prepared is None:
            prepared = _PreparedEpoch(message.record)
            self._prepared[name] = prepared
            if len(self._prepared) > MAX_PREPARED_EPOCHS:
                del self._prepared[next(iter(self._prepared))]
        return prepared

    @staticmethod
    def _make_holder(message: ClaimPrepare, claims: list[CopiedClaim]) -> ClaimHolder:
        now_s = anyio.current_time()
        holder = ClaimHolder(
            message.record.epoch,
            message.retention_s,
            unknown_refused_until_s=now_s + message.uncertain_wait_s,
        )
        holder.import_claims(claims, now_s)
        return holder

    def _enter_epoch(self, record: GroupEpoch) -> None:
        """Put an epoch in force: become a holder if prepared for it, else stop being one."""
        self._holders.pop(record.group, None)
        self._sealed_at_s.pop(record.group, None)
        prepared = self._prepared.pop((record.group, record.attempt), None)
        for name in [name for name in self._prepared if name[0] == record.group]:
            if self._prepared[name].record.epoch <= record.epoch:
                del self._prepared[name]
        if prepared is None or prepared.holder is None:
            return
        prepared.holder.activate(record.epoch)
        self._holders[record.group] = prepared.holder
        self._on_activated()
