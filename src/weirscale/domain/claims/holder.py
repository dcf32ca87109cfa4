"""One replica of a claim group: records for each key the claimant that this replica voted for.

Safety rests on three rules. A holder votes for one claimant of a key, and changes its vote only
when that claimant withdraws. A holder answers only for its current epoch, and never again after it
has sealed that epoch. Two majorities of one epoch share a holder, so two claimants of a key are
never both granted.
"""

import enum
import itertools
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from weirscale.domain.claims.model import (
    ClaimEntry,
    ClaimKey,
    ClaimVote,
    CopiedClaim,
    EntryState,
    StoredAnswer,
    Vote,
)

MAX_ENTRIES = 50_000
"""Claims that one holder of a group keeps. When it is full, new keys are refused; no claim is
dropped early."""
MAX_ANSWER_BYTES = 8 * 1024
"""Size of the largest answer kept with a claim."""
MAX_ANSWERS_BYTES = 256 * 1024
"""Total size of the answers kept by one holder; the oldest are dropped, but their claims stay."""
MAX_WITHDRAWN = 1024
"""Withdrawn claimants kept: enough for the seconds in which a late copy of an offer may arrive."""
EXPIRY_BATCH = 16
"""Maximum number of expired claims that one operation removes, which bounds its duration."""


class HolderPhase(enum.Enum):
    """Phase of a holder within its epoch."""

    PREPARING = "preparing"
    """The holder has the previous epoch's claims and waits until the new epoch is in force."""
    ACTIVE = "active"
    """The holder votes."""
    SEALED = "sealed"
    """The holder no longer votes in this epoch; its claims can be copied to the next epoch."""


class ClaimHolder:
    """The state of one holder in one epoch of one group.

    Args:
        epoch: The epoch; the holder answers for no other.
        retention_s: How long a claim is kept after its last change.
        phase: PREPARING until the epoch is in force.
        unknown_refused_until_s: Time until which unknown keys are refused, because they may have
            been claimed in an epoch that lost its quorum.
    """

    def __init__(
        self,
        epoch: int,
        retention_s: float,
        phase: HolderPhase = HolderPhase.PREPARING,
        unknown_refused_until_s: float = 0.0,
    ) -> None:
        self.epoch = epoch
        self.phase = phase
        self.retention_s = retention_s
        self.unknown_refused_until_s = unknown_refused_until_s
        self._entries: OrderedDict[ClaimKey, ClaimEntry] = OrderedDict()
        self._answers: OrderedDict[ClaimKey, StoredAnswer] = OrderedDict()
        self._num_answer_bytes = 0
        self._withdrawn: OrderedDict[bytes, None] = OrderedDict()

    @property
    def num_entries(self) -> int:
        """Number of claims kept."""
        return len(self._entries)

    def vote(
        self, epoch: int, key: ClaimKey, claimant: bytes, fingerprint: bytes, now_s: float
    ) -> ClaimVote:
        """Vote for a claimant, or return the reason for not doing so."""
        if epoch != self.epoch or self.phase is not HolderPhase.ACTIVE:
            return ClaimVote(Vote.WRONG_EPOCH, self.epoch)
        if claimant in self._withdrawn:
            return ClaimVote(Vote.WITHDRAWN, self.epoch)
        self._expire(now_s)
        entry = self._unexpired_entry(key, now_s)
        if entry is not None:
            return self._vote_on(key, entry, claimant, fingerprint)
        if now_s < self.unknown_refused_until_s:
            wait_s = self.unknown_refused_until_s - now_s
            return ClaimVote(Vote.UNCERTAIN, self.epoch, wait_s=wait_s)
        if len(self._entries) >= MAX_ENTRIES:
            return ClaimVote(Vote.FULL, self.epoch)
        entry = ClaimEntry(EntryState.OFFERED, (claimant,), fingerprint, now_s)
        self._entries[key] = entry
        return ClaimVote(Vote.ACCEPTED, self.epoch)

    def withdraw(self, epoch: int, key: ClaimKey, claimant: bytes) -> bool:
        """Withdraw the vote for a claimant that was not granted or whose request did not run.

        Returns:
            Whether this holder now has no vote for the claimant.
        """
        if not self._accepts_changes(epoch):
            return False
        self._record_withdrawal(claimant)
        entry = self._entries.get(key)
        if entry is None or claimant not in entry.claimants:
            return True
        if entry.state is EntryState.COMPLETED:
            return False
        claimants = tuple(other for other in entry.claimants if other != claimant)
        if claimants:
            self._entries[key] = msgspec.structs.replace(entry, claimants=claimants)
        else:
            del self._entries[key]
        return True

    def complete(
        self,
        epoch: int,
        key: ClaimKey,
        claimant: bytes,
        fingerprint: bytes,
        answer: StoredAnswer | None,
        now_s: float,
    ) -> bool:
        """Record that a claimant's request has run, with its answer if that is small.

        Only the claimant that was granted the key sends this, so it replaces any other vote.
        """
        if not self._accepts_changes(epoch):
            return False
        self._entries[key] = ClaimEntry(EntryState.COMPLETED, (claimant,), fingerprint, now_s)
        self._entries.move_to_end(key)
        if answer is not None and len(answer.body) <= MAX_ANSWER_BYTES:
            self._keep_answer(key, answer)
        return True

    def seal(self, epoch: int) -> bool:
        """Stop voting in this epoch permanently, before its claims are copied."""
        if epoch != self.epoch or self.phase is HolderPhase.PREPARING:
            return False
        self.phase = HolderPhase.SEALED
        return True

    def activate(self, epoch: int) -> bool:
        """Start voting, now that the epoch is in force."""
        if epoch != self.epoch or self.phase is HolderPhase.SEALED:
            return False
        self.phase = HolderPhase.ACTIVE
        return True

    def export_claims(
        self, now_s: float, offset: int = 0, max_claims: int = MAX_ENTRIES
    ) -> tuple[CopiedClaim, ...]:
        """Return a page of the claims, with ages instead of times; stable once sealed."""
        page = itertools.islice(self._entries.items(), offset, offset + max_claims)
        return tuple(
            CopiedClaim(
                key, entry.state, entry.claimants, entry.fingerprint, now_s - entry.changed_at_s
            )
            for key, entry in page
        )

    def import_claims(self, claims: Iterable[CopiedClaim], now_s: float) -> None:
        """Replace all claims by those of the previous epoch; ignored unless PREPARING."""
        if self.phase is not HolderPhase.PREPARING:
            return
        self._entries.clear()
        for claim in sorted(claims, key=lambda claim: claim.age_s, reverse=True):
            changed_at_s = now_s - claim.age_s
            entry = ClaimEntry(claim.state, claim.claimants, claim.fingerprint, changed_at_s)
            self._entries[claim.key] = entry

    def _accepts_changes(self, epoch: int) -> bool:
        return epoch == self.epoch and self.phase is HolderPhase.ACTIVE

    def _record_withdrawal(self, claimant: bytes) -> None:
        self._withdrawn[claimant] = None
        if len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)

    def _vote_on(
        self, key: ClaimKey, entry: ClaimEntry, claimant: bytes, fingerprint: bytes
    ) -> ClaimVote:
        holder = entry.claimants[0]
        if entry.fingerprint != fingerprint:
            return ClaimVote(Vote.CONFLICT, self.epoch, holder)
        if entry.state is EntryState.COMPLETED:
            return ClaimVote(Vote.COMPLETED, self.epoch, holder, self._answers.get(key))
        if entry.claimants == (claimant,):
            return ClaimVote(Vote.ACCEPTED, self.epoch, holder)
        return ClaimVote(Vote.HELD, self.epoch, holder)

    def _unexpired_entry(self, key: ClaimKey, now_s: float) -> ClaimEntry | None:
        entry = self._entries.get(key)
        if entry is None or now_s - entry.changed_at_s < self.retention_s:
            return entry
        self._remove(key)
        return None

    def _expire(self, now_s: float) -> None:
        for _ in range(EXPIRY_BATCH):
            oldest = next(iter(self._entries.items()), None)
            if oldest is None or now_s - oldest[1].changed_at_s < self.retention_s:
                return
            self._remove(oldest[0])

    def _remove(self, key: ClaimKey) -> None:
        del self._entries[key]
        answer = self._answers.pop(key, None)
        if answer is not None:
            self._num_answer_bytes -= answer.num_bytes

    def _keep_answer(self, key: ClaimKey, answer: StoredAnswer) -> None:
        self._answers[key] = answer
        self._num_answer_bytes += answer.num_bytes
        while self._num_answer_bytes > MAX_ANSWERS_BYTES:
            _, dropped = self._answers.popitem(last=False)
            self._num_answer_bytes -= dropped.num_bytes
