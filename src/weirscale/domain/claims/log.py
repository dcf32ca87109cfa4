"""The log of a group's claims in the key-value service, read when the group has lost its quorum.

A run of a node has a mark in the service while its holders vote with the log only. Three rules
make a log safe to load after a loss:

- A grant is answered only after its claim is in the log, unless a quorum of holders voted without
  the log.
- A holder votes without the log only while no mark of its run can exist in the service. The mark
  is set again only after the holder's claims are in the log.
- The change of holders after a loss fences the log before it reads the log, so that no more grants
  of the previous epoch can be logged.
"""

from collections.abc import Iterable, Set

import msgspec

from weirscale.domain.claims.model import ClaimKey, CopiedClaim, EntryState, GroupEpoch
from weirscale.domain.identifiers import NodeId

SEGMENT_CLAIMS = 128
"""Maximum number of claims in the head of a log. Each batch of claims rewrites the head, which has
about 12 kB when full."""
MAX_SEGMENTS = 400
"""Maximum number of segments per group: room for all claims of a holder, with a small head."""
SEGMENT_MARGIN_S = 900.0
"""Added to the retention before a segment is deleted; longer than any request runs."""


class LoggedClaim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A claim that may have been granted."""

    key: ClaimKey
    claimant: bytes
    fingerprint: bytes


class LogHead(msgspec.Struct, frozen=True, array_like=True):
    """The mutable part of a group's log.

    Attributes:
        epoch: Claims of lower epochs are rejected.
        segments: Names of the full segments, the oldest first; segments are immutable.
        claims: The newest claims.
    """

    epoch: int = 0
    segments: tuple[int, ...] = ()
    claims: tuple[LoggedClaim, ...] = ()


def advance(head: LogHead, epoch: int) -> LogHead | None:
    """Return the head fenced for an epoch, or None if the log is at a later epoch already."""
    if head.epoch > epoch:
        return None
    return msgspec.structs.replace(head, epoch=epoch)


def append(head: LogHead, epoch: int, claims: Iterable[LoggedClaim]) -> LogHead | None:
    """Return the head with added claims of an epoch, or None if the log is fenced against it."""
    advanced = advance(head, epoch)
    if advanced is None:
        return None
    added = dict.fromkeys((*head.claims, *claims))
    return msgspec.structs.replace(advanced, claims=tuple(added))


def logged_claims(claims: Iterable[CopiedClaim]) -> tuple[LoggedClaim, ...]:
    """Return the log records of claims, one for each claimant."""
    return tuple(
        LoggedClaim(claim.key, claimant, claim.fingerprint)
        for claim in claims
        for claimant in claim.claimants
    )


def copied_claims(claims: Iterable[LoggedClaim]) -> tuple[CopiedClaim, ...]:
    """Return the claims of a log in the form that holders import.

    A log does not show which of a key's claimants withdrew. So all claimants are kept, and if there
    are several, the key is granted to none of them. The log has no ages, so each claim is kept for
    a full retention from now on.
    """
    claimants: dict[ClaimKey, dict[bytes, None]] = {}
    fingerprints: dict[ClaimKey, bytes] = {}
    for claim in claims:
        claimants.setdefault(claim.key, {})[claim.claimant] = None
        fingerprints[claim.key] = claim.fingerprint
    return tuple(
        CopiedClaim(key, EntryState.OFFERED, tuple(sorted(key_claimants)), fingerprints[key], 0.0)
        for key, key_claimants in claimants.items()
    )


def is_log_complete(record: GroupEpoch, log_only_holders: Set[NodeId]) -> bool:
    """Return whether the log has every claim that may have been granted up to the end of an epoch.

    Args:
        record: The epoch that has ended.
        log_only_holders: Holders that have a mark in the key-value service and cannot vote any
            more, because they are sealed or their run has ended.

    Returns:
        True if all claims with which the epoch began are in the log, and the other holders are too
        few to have granted a key without the log.
    """
    num_others = sum(1 for holder in record.holders if holder.node not in log_only_holders)
    return record.is_logged and num_others < record.quorum
