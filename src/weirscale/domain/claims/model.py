"""Values of the claim ledger: keys, entries, votes, groups and their epochs."""

import enum
import hashlib
from typing import NewType

import msgspec

from weirscale.domain.identifiers import NodeAddress, NodeId, RequestId, TenantName, ZoneName

ClaimKey = NewType("ClaimKey", bytes)
"""16-byte digest of tenant and idempotency key; a tenant cannot make another's."""

CLAIM_KEY_BYTES = 16
FINGERPRINT_BYTES = 8
NUM_GROUPS = 64
"""Groups that claims are spread over: 192 replicas in all, for 400 nodes at most one each or so."""


def claim_key(tenant: TenantName, idempotency_key: str) -> ClaimKey:
    """Digest of a tenant's key."""
    digest = hashlib.blake2b(digest_size=CLAIM_KEY_BYTES, person=b"claim-key")
    digest.update(tenant.encode())
    digest.update(b"\x00")
    digest.update(idempotency_key.encode())
    return ClaimKey(digest.digest())


def group_of(key: ClaimKey) -> int:
    """The group that keeps a key."""
    return key[0] % NUM_GROUPS


def short_fingerprint(fingerprint: bytes) -> bytes:
    """Digest of a request's fingerprint, for comparison only."""
    return hashlib.blake2b(fingerprint, digest_size=FINGERPRINT_BYTES).digest()


class EntryState(enum.IntEnum):
    """State of one claim at one holder."""

    OFFERED = 0
    """Voted for; its request may be running."""
    COMPLETED = 1
    """Its request has run."""


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A small answer kept with a claim."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def num_bytes(self) -> int:
        """Approximate size."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One claim at one holder.

    Attributes:
        state: How far it has come.
        claimants: Who may have been granted it; more than one only after a copy that could not
            tell, and then nobody is granted it any more.
        fingerprint: Short digest of the request.
        changed_at_s: Monotonic time, at this holder, of its last change.
    """

    state: EntryState
    claimants: tuple[bytes, ...]
    fingerprint: bytes
    changed_at_s: float


class CopiedClaim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A claim on its way from one epoch's holders to the next's; `age_s` since its last change."""

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
    """The holder is in another epoch, has sealed this one, or is no holder."""
    UNCERTAIN = 5
    """The key may have been claimed in an epoch that was lost whole."""
    FULL = 6
    """The holder has no room for another claim."""
    WITHDRAWN = 7
    """This claimant has withdrawn before; the offer is a late copy."""
    UNCONFIRMED = 8
    """The holder has not been able to confirm lately that its epoch is still in force."""


class ClaimVote(msgspec.Struct, frozen=True, array_like=True):
    """A holder's answer.

    Attributes:
        vote: What it says.
        epoch: The epoch that the holder is in.
        claimant: Who holds the claim, where another does.
        answer: The kept answer, when COMPLETED.
        wait_s: When UNCERTAIN: time until unknown keys are taken again.
        needs_log: When ACCEPTED: whether the claim must be in the group's log before the vote
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
        epoch: Grows by one with each change of holders; 1 is the first.
        holders: The members; a majority of them is a quorum.
        attempt: Names the change that made it; holders take part only if that change prepared
            them, so two changes at once never mix.
        follows_loss: Whether the epoch before was lost whole, so that unknown keys are refused
            for a retention window from its start.
        is_logged: Whether every claim that it began with is in the group's log.
    """

    group: int
    epoch: int
    holders: tuple[Holder, ...]
    attempt: bytes
    follows_loss: bool = False
    is_logged: bool = False

    @property
    def quorum(self) -> int:
        """Holders that make a majority."""
        return len(self.holders) // 2 + 1

    def has_member(self, node: NodeId) -> bool:
        """Whether this run of the node is a holder."""
        return any(holder.node == node for holder in self.holders)


CLAIMANT_PREFIX_BYTES = 12
"""Unique part of a claimant; the request id follows it."""
MAX_REQUEST_ID_BYTES = 48
"""Bytes of the request id that are kept with a claim."""


def make_claimant(node_digest: int, number: int, request_id: RequestId) -> bytes:
    """Name one attempt to claim.

    Args:
        node_digest: 64-bit digest of the node's name and incarnation.
        number: Counts the attempts of this run of the node.
        request_id: For people who look at the ledger; two attempts may share it.
    """
    prefix = node_digest.to_bytes(8, "big") + (number % 2**32).to_bytes(4, "big")
    return prefix + request_id.encode()[:MAX_REQUEST_ID_BYTES]


def request_id_of(claimant: bytes) -> RequestId:
    """The request id within a claimant, possibly cut."""
    return RequestId(claimant[CLAIMANT_PREFIX_BYTES:].decode(errors="replace"))
