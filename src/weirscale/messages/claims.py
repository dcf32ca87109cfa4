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
    """Call: take a claimant's vote back."""

    group: int
    epoch: int
    key: ClaimKey
    claimant: bytes


class ClaimComplete(msgspec.Struct, frozen=True, tag="claim_complete", array_like=True):
    """Call: a claimant's request has run."""

    group: int
    epoch: int
    key: ClaimKey
    claimant: bytes
    fingerprint: bytes
    answer: StoredAnswer | None


class ClaimLogAppend(msgspec.Struct, frozen=True, tag="claim_log_append", array_like=True):
    """Call to a holder: put a claim with a quorum of votes into the group's log."""

    group: int
    epoch: int
    claim: LoggedClaim


class ClaimSeal(msgspec.Struct, frozen=True, tag="claim_seal", array_like=True):
    """Call: stop answering in an epoch, so that its claims can be copied."""

    group: int
    epoch: int


class ClaimSealed(msgspec.Struct, frozen=True, tag="claim_sealed", array_like=True):
    """Outcome of a seal.

    Attributes:
        is_sealed: Whether the holder will never again answer in the epoch.
        num_claims: Claims to copy.
        uncertain_wait_s: How much longer the holder refuses unknown keys.
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
    """Call: hold a page of the claims of the epoch before, for an epoch to come.

    Attributes:
        record: The epoch to come.
        num_claims: Claims in all.
        offset: Where this page begins; pages come in order.
        claims: The page.
        retention_s: How long claims are kept.
        uncertain_wait_s: How long unknown keys are refused from now on.
    """

    record: GroupEpoch
    num_claims: int
    offset: int
    claims: tuple[CopiedClaim, ...]
    retention_s: float
    uncertain_wait_s: float


class ClaimAnnounce(msgspec.Struct, frozen=True, tag="claim_announce", array_like=True):
    """Call and cast: this epoch is in force."""

    record: GroupEpoch


class ClaimAck(msgspec.Struct, frozen=True, tag="claim_ack", array_like=True):
    """Outcome of a call that has no other answer; `record` as in `ClaimOfferReply`."""

    is_done: bool
    record: GroupEpoch | None = None


class KnownEpoch(msgspec.Struct, frozen=True, array_like=True):
    """The epoch of a group that the asking node knows; 0 for none."""

    group: int
    epoch: int


class ClaimEpochsQuery(msgspec.Struct, frozen=True, tag="claim_epochs", array_like=True):
    """Call: tell which of these groups have a newer epoch."""

    known: tuple[KnownEpoch, ...]


class ClaimEpochsReply(msgspec.Struct, frozen=True, tag="claim_epochs_reply", array_like=True):
    """Newer epochs of the groups asked for."""

    records: tuple[GroupEpoch, ...]
