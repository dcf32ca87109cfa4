"""One attempt of a coordinator to have a key granted by a quorum of one epoch."""

import enum

import msgspec

from weirscale.domain.claims.model import ClaimVote, GroupEpoch, StoredAnswer, Vote


class RoundState(enum.Enum):
    """How a round ended."""

    GRANTED = "granted"
    """A quorum voted for this claimant."""
    HELD = "held"
    """Another claimant has the key, or may have it."""
    COMPLETED = "completed"
    """A request with the key has run."""
    CONFLICT = "conflict"
    """The key was used with another request."""
    SPLIT = "split"
    """Several claimants came at once and none can have a quorum: withdraw and try again."""
    STALE = "stale"
    """A holder is in another epoch: learn of it and try again."""
    UNCERTAIN = "uncertain"
    """The key may have been claimed in an epoch that was lost whole."""
    FULL = "full"
    """The holders have no room."""
    UNAVAILABLE = "unavailable"
    """No quorum answered."""


class RoundOutcome(msgspec.Struct, frozen=True):
    """How a round ended, with what the holders told.

    Attributes:
        state: How it ended.
        claimant: Who holds the key, where another does.
        answer: The kept answer, when COMPLETED.
        wait_s: When UNCERTAIN: time until unknown keys are taken again.
        needs_log: When GRANTED: whether the claim must be logged before the grant is answered,
            because no quorum voted without the log.
    """

    state: RoundState
    claimant: bytes = b""
    answer: StoredAnswer | None = None
    wait_s: float = 0.0
    needs_log: bool = False


class ClaimRound:
    """Collects the holders' votes; each holder counts once.

    Args:
        record: The epoch asked; votes of other epochs do not count.
    """

    def __init__(self, record: GroupEpoch) -> None:
        self._record = record
        self._votes: dict[int, ClaimVote | None] = {}

    def record_vote(self, holder_index: int, vote: ClaimVote | None) -> None:
        """Take a holder's first answer; None when it gave none."""
        self._votes.setdefault(holder_index, vote)

    def outcome(self) -> RoundOutcome | None:
        """The end of the round, or None while it may still go either way."""
        if self._count(Vote.ACCEPTED) >= self._record.quorum:
            num_without_log = self._count(Vote.ACCEPTED, needs_log=False)
            needs_log = num_without_log < self._record.quorum
            return RoundOutcome(RoundState.GRANTED, needs_log=needs_log)
        for vote in self._of(Vote.COMPLETED):
            return RoundOutcome(RoundState.COMPLETED, vote.claimant, vote.answer)
        num_pending = len(self._record.holders) - len(self._votes)
        if self._count(Vote.ACCEPTED) + num_pending >= self._record.quorum:
            return None
        return self._failed(num_pending)

    def _failed(self, num_pending: int) -> RoundOutcome:
        """The reason why no quorum can be had any more, the most telling one first."""
        for vote in self._of(Vote.CONFLICT):
            return RoundOutcome(RoundState.CONFLICT, vote.claimant)
        held = self._of(Vote.HELD)
        if held:
            return self._held(held, num_pending)
        if self._of(Vote.WRONG_EPOCH):
            return RoundOutcome(RoundState.STALE)
        for vote in self._of(Vote.UNCERTAIN):
            return RoundOutcome(RoundState.UNCERTAIN, wait_s=vote.wait_s)
        if self._of(Vote.FULL):
            return RoundOutcome(RoundState.FULL)
        return RoundOutcome(RoundState.UNAVAILABLE)

    def _held(self, held: list[ClaimVote], num_pending: int) -> RoundOutcome:
        claimants = [vote.claimant for vote in held]
        most_held = max(claimants, key=claimants.count)
        num_unknown = len(self._record.holders) - len(held) - self._count(Vote.ACCEPTED)
        may_have_quorum = claimants.count(most_held) + num_unknown >= self._record.quorum
        state = RoundState.HELD if may_have_quorum else RoundState.SPLIT
        return RoundOutcome(state, most_held)

    def _of(self, kind: Vote) -> list[ClaimVote]:
        return [vote for vote in self._votes.values() if vote is not None and vote.vote is kind]

    def _count(self, kind: Vote, needs_log: bool | None = None) -> int:
        """Votes of the epoch asked; with `needs_log` given, only those that say so."""
        votes = [vote for vote in self._of(kind) if vote.epoch == self._record.epoch]
        return sum(1 for vote in votes if needs_log is None or vote.needs_log is needs_log)
