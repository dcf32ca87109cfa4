"""Data types of the claim ledger: keys, claims, votes, groups and their epochs."""

import enum
import hashlib
from typing import NewType

import msgspec

from weirscale.domain.identifiers import NodeAddress, NodeId, RequestId, TenantName, ZoneName

ClaimKey = NewType("ClaimKey", bytes)
"""16-byte digest of tenant and idempotency key; no tenant can claim the keys of another."""

CLAIM_KEY_BYTES = 16
FINGERPRINT_BYTES = 8
NUM_GROUPS = 64
"""Groups over which claims are spread: 192 replicas in total, so about one at most per node of a
fleet of 400 nodes."""


def claim_key(tenant: TenantName, idempotency_key: str) -> ClaimKey:
    """Return the claim key of a tenant's idempotency key."""
    digest = hashlib.blake2b(digest_size=CLAIM_KEY_BYTES, person=b"claim-key")
    digest.update(tenant.encode())
    digest.update(b"\x00")
    digest.update(idempotency_key.encode())
    return ClaimKey(digest.digest())


def group_of(key: ClaimKey) -> int:
    """Return the number of the group that keeps a key."""
    return key[0] % NUM_GROUPS


def short_fingerprint(fingerprint: bytes) -> bytes:
    """Return a short digest of a request's fingerprint, for comparison only."""
    return hashlib.blake2b(fingerprint, digest_size=FINGERPRINT_BYTES).digest()


class EntryState(enum.IntEnum):
    """State of one claim at one holder."""

    OFFERED = 0
    """The holder voted for the claim; its request may be running."""
    COMPLETED = 1
    """The claim's request has run."""


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A small HTTP answer kept with a claim."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def num_bytes(self) -> int:
        """Approximate size in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One claim at one holder.

    Attributes:
        state: State of the claim.
        claimants: Claimants that may have been granted the key. There are several only after a
            copy between epochs that could not determine the right one; then the key is granted to
            none of them.
        fingerprint: Short digest of the request.
        changed_at_s: Monotonic time at this holder of the claim's last change.
    """

    state: EntryState
    claimants: tuple[bytes, ...]
    fingerprint: bytes
    changed_at_s: float


class CopiedClaim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A claim as copied to the next epoch's holders; `age_s` is the time since its last change."""

    key: ClaimKey
    state: EntryState
    claimants: tuple[bytes, ...]
    fingerprint: bytes
    age_s: float


class Vote(enum.IntEnum):
    """A holder's answer to a claimant."""

    ACCEPTED = 0
    HELD = 1
    COMPLETED = 2
    CONFLICT = 3
    WRONG_EPOCH = 4
    """The holder is in another epoch or has sealed this one, or the node is not a holder."""
    UNCERTAIN = 5
    """The key may have been claimed in an epoch that lost its quorum."""
    FULL = 6
    """The holder has no room for another claim."""
    WITHDRAWN = 7
    """The claimant has already withdrawn; the offer is a late copy."""
    UNCONFIRMED = 8
    """The holder has no recent confirmation that its epoch is still in force."""


class ClaimVote(msgspec.Struct, frozen=True, array_like=True):
    """A holder's answer to a claimant, with its details.

    Attributes:
        vote: The vote.
        epoch: The epoch of the holder.
        claimant: The claimant that the holder has recorded for the key, if any.
        answer: The kept answer of a COMPLETED claim.
        wait_s: For UNCERTAIN: time until unknown keys are accepted again.
        needs_log: For ACCEPTED: whether the claim must be in the group's log before the vote
            counts for a grant.
    """

    vote: Vote
    epoch: int
    claimant: bytes = b""
    answer: StoredAnswer | None = None
    wait_s: float = 0.0
    needs_log: bool = False


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """A member of a claim group: one run of one node."""

    node: NodeId
    address: NodeAddress
    zone: ZoneName


class GroupEpoch(msgspec.Struct, frozen=True, array_like=True):
    """The record of a group in the key-value service.

    Attributes:
        group: The group's number.
        epoch: Grows by one with each change of holders; the first is 1.
        holders: The members of the group; a majority of them is a quorum.
        attempt: Identifies the change of holders that made this epoch. A holder takes part only if
            this change prepared it, so two concurrent changes never mix.
        follows_loss: Whether the previous epoch lost its quorum, so that unknown keys are refused
            for a retention period from the start of this epoch.
        is_logged: Whether every claim with which the epoch began is in the group's log.
    """

    group: int
    epoch: int
    holders: tuple[Holder, ...]
    attempt: bytes
    follows_loss: bool = False
    is_logged: bool = False

    @property
    def quorum(self) -> int:
        """Number of holders that form a majority."""
        return len(self.holders) // 2 + 1

    def has_member(self, node: NodeId) -> bool:
        """Return whether this run of a node is a holder."""
        return any(holder.node == node for holder in self.holders)


CLAIMANT_PREFIX_BYTES = 12
"""Length of the unique part of a claimant; the request id follows."""
MAX_REQUEST_ID_BYTES = 48
"""Longer request ids are truncated in a claimant."""


def make_claimant(node_digest: int, number: int, request_id: RequestId) -> bytes:
    """Return the identity of one attempt to claim a key.

    Args:
        node_digest: 64-bit digest of the node's name and incarnation.
        number: Counts the attempts of this run of the node.
        request_id: Shown to operators who inspect the ledger; two attempts may have the same one.
    """
    prefix = node_digest.to_bytes(8, "big") + (number % 2**32).to_bytes(4, "big")
    return prefix + request_id.encode()[:MAX_REQUEST_ID_BYTES]


def request_id_of(claimant: bytes) -> RequestId:
    """Return the request id within a claimant, possibly truncated."""
    return RequestId(claimant[CLAIMANT_PREFIX_BYTES:].decode(errors="replace"))
