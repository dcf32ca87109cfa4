"""Messages of the claim ledger between nodes."""

import msgspec

from weirscale.domain.claims.log import LoggedClaim
from weirscale.domain.claims.model import (
    ClaimKey,
    ClaimVote,
    CopiedClaim,
    GroupEpoch,
    StoredAnswer,
)


class ClaimOffer(msgspec.Struct, frozen=True, tag="claim_offer", array_like=True):
    """Call: vote for a claimant of a key."""

    group: int
    epoch: int
    key: ClaimKey
    claimant: bytes
    fingerprint: bytes


class ClaimOfferReply(msgspec.Struct, frozen=True, tag="claim_offer_reply", array_like=True):
    """A holder's vote; `record` is the group's newer epoch when the caller's is old."""

    vote: ClaimVote
    record: GroupEpoch | None = None


class ClaimWithdraw(msgspec.Struct, frozen=True, tag="claim_withdraw", array_like=True):
    """Call: withdraw the vote for a claimant."""

    group: int
    epoch: int
    key: ClaimKey
    claimant: bytes


class ClaimComplete(msgspec.Struct, frozen=True, tag="claim_complete", array_like=True):
    """Call: record that a claimant's request has run."""

    group: int
    epoch: int
    key: ClaimKey
    claimant: bytes
    fingerprint: bytes
    answer: StoredAnswer | None


class ClaimLogAppend(msgspec.Struct, frozen=True, tag="claim_log_append", array_like=True):
    """Call to a holder: append a claim that has a quorum of votes to the group's log."""

    group: int
    epoch: int
    claim: LoggedClaim


class ClaimSeal(msgspec.Struct, frozen=True, tag="claim_seal", array_like=True):
    """Call: stop voting in an epoch, so that its claims can be copied."""

    group: int
    epoch: int


class ClaimSealed(msgspec.Struct, frozen=True, tag="claim_sealed", array_like=True):
    """Result of a seal.

    Attributes:
        is_sealed: Whether the holder will never vote in the epoch again.
        num_claims: Number of claims to copy.
        uncertain_wait_s: Time for which the holder would still refuse unknown keys.
    """

    is_sealed: bool
    num_claims: int
    uncertain_wait_s: float


class ClaimCopy(msgspec.Struct, frozen=True, tag="claim_copy", array_like=True):
    """Call: read a page of a sealed holder's claims."""

    group: int
    epoch: int
    offset: int


class ClaimCopied(msgspec.Struct, frozen=True, tag="claim_copied", array_like=True):
    """A page of claims."""

    is_sealed: bool
    claims: tuple[CopiedClaim, ...]


class ClaimPrepare(msgspec.Struct, frozen=True, tag="claim_prepare", array_like=True):
    """Call: store a page of the previous epoch's claims, in preparation for a new epoch.

    Attributes:
        record: The new epoch.
        num_claims: Total number of claims.
        offset: Position of this page's first claim; pages are sent in order.
        claims: The claims of this page.
        retention_s: Time for which claims are kept.
        uncertain_wait_s: Time for which unknown keys are refused from now on.
    """

    record: GroupEpoch
    num_claims: int
    offset: int
    claims: tuple[CopiedClaim, ...]
    retention_s: float
    uncertain_wait_s: float


class ClaimAnnounce(msgspec.Struct, frozen=True, tag="claim_announce", array_like=True):
    """Call and cast: announce that an epoch is in force."""

    record: GroupEpoch


class ClaimAck(msgspec.Struct, frozen=True, tag="claim_ack", array_like=True):
    """Result of a call without an answer of its own; `record` as in `ClaimOfferReply`."""

    is_done: bool
    record: GroupEpoch | None = None


class KnownEpoch(msgspec.Struct, frozen=True, array_like=True):
    """The last epoch of a group that the sender has received; 0 for none."""

    group: int
    epoch: int


class ClaimEpochsQuery(msgspec.Struct, frozen=True, tag="claim_epochs", array_like=True):
    """Call: return the groups among these that have a newer epoch."""

    known: tuple[KnownEpoch, ...]


class ClaimEpochsReply(msgspec.Struct, frozen=True, tag="claim_epochs_reply", array_like=True):
    """Newer epochs of the queried groups."""

    records: tuple[GroupEpoch, ...]
