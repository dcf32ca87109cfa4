"""The claim type that the quorum ledger returns."""

from weirscale.domain.claims.model import ClaimKey
from weirscale.node.interfaces import Claim


class GrantedClaim(Claim, frozen=True):
    """A claim with what is needed to complete or release it.

    Attributes:
        claim_key: Digest of tenant and key.
        claimant: Identifies this attempt to claim; unlike the request id it is never reused.
        fingerprint: Short digest of the request.
    """

    claim_key: ClaimKey = ClaimKey(b"")
    claimant: bytes = b""
    fingerprint: bytes = b""
