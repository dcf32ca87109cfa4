"""One attempt of a coordinator to get a key granted by a quorum of one epoch."""

import enum

import msgspec

from weirscale.domain.claims.model import ClaimVote, GroupEpoch, StoredAnswer, Vote


class RoundState(enum.Enum):
    """Outcome of a round."""

    GRANTED = "granted"
    """A quorum voted for this claimant."""
    HELD = "held"
    """Another claimant was granted the key, or may have been."""
    COMPLETED = "completed"
    """A request with the key has run."""
    CONFLICT = "conflict"
    """The key was used with a different request."""
    SPLIT = "split"
    """Concurrent claimants split the votes and none can reach a quorum: withdraw and retry."""
    STALE = "stale"
    """A holder is in another epoch: update the epoch and retry."""
    UNCERTAIN = "uncertain"
    """The key may have been claimed in an epoch that lost its quorum."""
    FULL = "full"
    """The holders have no room for another claim."""
    UNAVAILABLE = "unavailable"
    """No quorum answered."""


class RoundOutcome(msgspec.Struct, frozen=True):
    """Outcome of a round, with details from the holders' votes.

    Attributes:
        state: The outcome.
        claimant: The claimant that has the key, if it is another one.
        answer: The kept answer of a COMPLETED claim.
        wait_s: For UNCERTAIN: time until unknown keys are accepted again.
        needs_log: For GRANTED: whether the claim must be logged before the grant is answered,
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
        record: The epoch whose holders vote; votes of other epochs do not count.
    """

    def __init__(self, record: GroupEpoch) -> None:
        self._record = record
        self._votes: dict[int, ClaimVote | None] = {}

    def record_vote(self, holder_index: int, vote: ClaimVote | None) -> None:
        """Record a holder's first vote; None stands for no answer."""
        self._votes.setdefault(holder_index, vote)

    def outcome(self) -> RoundOutcome | None:
        """Return the outcome of the round, or None while it is undecided."""
        if self._count(Vote.ACCEPTED) >= self._record.quorum:
            num_without_log = self._count(Vote.ACCEPTED, needs_log=False)
            needs_log = num_without_log < self._record.quorum
            return RoundOutcome(RoundState.GRANTED, needs_log=needs_log)
        for vote in self._votes_of(Vote.COMPLETED):
            return RoundOutcome(RoundState.COMPLETED, vote.claimant, vote.answer)
        num_pending = len(self._record.holders) - len(self._votes)
        if self._count(Vote.ACCEPTED) + num_pending >= self._record.quorum:
            return None
        return self._failure(num_pending)

    def _failure(self, num_pending: int) -> RoundOutcome:
        """Return why no quorum can be reached; if there are several reasons, the most specific."""
        for vote in self._votes_of(Vote.CONFLICT):
            return RoundOutcome(RoundState.CONFLICT, vote.claimant)
        held = self._votes_of(Vote.HELD)
        if held:
            return self._held_or_split(held, num_pending)
        if self._votes_of(Vote.WRONG_EPOCH):
            return RoundOutcome(RoundState.STALE)
        for vote in self._votes_of(Vote.UNCERTAIN):
            return RoundOutcome(RoundState.UNCERTAIN, wait_s=vote.wait_s)
        if self._votes_of(Vote.FULL):
            return RoundOutcome(RoundState.FULL)
        return RoundOutcome(RoundState.UNAVAILABLE)

    def _held_or_split(self, held: list[ClaimVote], num_pending: int) -> RoundOutcome:
        claimants = [vote.claimant for vote in held]
        most_voted = max(claimants, key=claimants.count)
        num_unknown = len(self._record.holders) - len(held) - self._count(Vote.ACCEPTED)
        may_have_quorum = claimants.count(most_voted) + num_unknown >= self._record.quorum
        state = RoundState.HELD if may_have_quorum else RoundState.SPLIT
        return RoundOutcome(state, most_voted)

    def _votes_of(self, kind: Vote) -> list[ClaimVote]:
        return [vote for vote in self._votes.values() if vote is not None and vote.vote is kind]

    def _count(self, kind: Vote, needs_log: bool | None = None) -> int:
        """Count the votes of a kind in this epoch; if given, only those with this `needs_log`."""
        votes = [vote for vote in self._votes_of(kind) if vote.epoch == self._record.epoch]
        return sum(1 for vote in votes if needs_log is None or vote.needs_log is needs_log)
