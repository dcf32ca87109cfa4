"""The log of a group's claims in the key-value service, for the loss of a whole group.

Three rules make a log worth loading after a loss. A grant is answered only after its claim is in
the log, unless a quorum of holders voted without the log. A holder votes without the log only
while no mark of its run can exist in the service, and sets the mark again only after its claims
are in the log. The change that follows a loss fences the log before it reads it, so that no grant
of the epoch before can be logged any more.
"""

from collections.abc import Iterable, Set

import msgspec

from weirscale.domain.claims.model import ClaimKey, CopiedClaim, EntryState, GroupEpoch
from weirscale.domain.identifiers import NodeId

SEGMENT_CLAIMS = 128
"""Claims in the head of a log at most; it is rewritten with each batch: some 12 kB when full."""
MAX_SEGMENTS = 400
"""Segments of one group: as many claims as a holder takes, and a head that stays small."""
SEGMENT_MARGIN_S = 900.0
"""Added to the retention before a segment is deleted: longer than any request runs."""


class LoggedClaim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A claim that may have been granted."""

    key: ClaimKey
    claimant: bytes
    fingerprint: bytes


class LogHead(msgspec.Struct, frozen=True, array_like=True):
    """The part of a group's log that changes.

    Attributes:
        epoch: Claims of lower epochs are no longer taken.
        segments: Names of full segments, the oldest first; a segment never changes.
        claims: The newest claims.
    """

    epoch: int = 0
    segments: tuple[int, ...] = ()
    claims: tuple[LoggedClaim, ...] = ()


def advance(head: LogHead, epoch: int) -> LogHead | None:
    """The head for an epoch; None when the log has gone past it, so that a late writer fails."""
    if head.epoch > epoch:
        return None
    return msgspec.structs.replace(head, epoch=epoch)


def append(head: LogHead, epoch: int, claims: Iterable[LoggedClaim]) -> LogHead | None:
    """Add claims of an epoch; None when the log is fenced against it."""
    advanced = advance(head, epoch)
    if advanced is None:
        return None
    added = dict.fromkeys((*head.claims, *claims))
    return msgspec.structs.replace(advanced, claims=tuple(added))


def logged_claims(claims: Iterable[CopiedClaim]) -> tuple[LoggedClaim, ...]:
    """What the log keeps of claims: one record for each claimant."""
    return tuple(
        LoggedClaim(claim.key, claimant, claim.fingerprint)
        for claim in claims
        for claimant in claim.claimants
    )


def copied_claims(claims: Iterable[LoggedClaim]) -> tuple[CopiedClaim, ...]:
    """Claims as read from the log, for holders.

    A log does not tell which of a key's claimants withdrew, so all are kept and none of several
    is granted the key any more. Ages are not known; each claim is kept for a whole retention.
    """
    claimants: dict[ClaimKey, dict[bytes, None]] = {}
    fingerprints: dict[ClaimKey, bytes] = {}
    for claim in claims:
        claimants.setdefault(claim.key, {})[claim.claimant] = None
        fingerprints[claim.key] = claim.fingerprint
    return tuple(
        CopiedClaim(key, EntryState.OFFERED, tuple(sorted(names)), fingerprints[key], 0.0)
        for key, names in claimants.items()
    )


def is_log_complete(record: GroupEpoch, proven: Set[NodeId]) -> bool:
    """Whether the log has every claim that may have been granted up to the end of an epoch.

    Args:
        record: The epoch that is over.
        proven: Holders whose mark stands and that cannot vote any more: sealed or ended.

    Returns:
        True when the epoch began with all its claims in the log and those that are not proven
        are too few to have granted a key without it.
    """
    num_unproven = sum(1 for holder in record.holders if holder.node not in proven)
    return record.is_logged and num_unproven < record.quorum
