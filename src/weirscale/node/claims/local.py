"""A ledger for a process that stands alone: one holder, forgotten when the process ends."""

import itertools

import anyio
from result import Ok, Result

from weirscale.domain.claims.holder import ClaimHolder, HolderPhase
from weirscale.domain.claims.model import (
    Vote,
    claim_key,
    make_claimant,
    request_id_of,
    short_fingerprint,
)
from weirscale.domain.identifiers import RequestId, TenantName
from weirscale.domain.request.model import ServiceResponse
from weirscale.domain.request.refusal import Refusal
from weirscale.node.claims.answers import service_response, stored_answer
from weirscale.node.claims.granted import GrantedClaim
from weirscale.node.interfaces import Claim, ClaimState

EPOCH = 1
STATES = {
    Vote.ACCEPTED: ClaimState.GRANTED,
    Vote.HELD: ClaimState.IN_PROGRESS,
    Vote.COMPLETED: ClaimState.COMPLETED,
    Vote.CONFLICT: ClaimState.CONFLICT,
}


class LocalClaimLedger:
    """Implements `ClaimLedger` without other nodes: at most once holds within the process only.

    Args:
        retention_s: How long a key is remembered.
    """

    def __init__(self, retention_s: float) -> None:
        self._holder = ClaimHolder(EPOCH, retention_s, HolderPhase.ACTIVE)
        self._numbers = itertools.count(1)

    async def claim(
        self,
        tenant: TenantName,
        idempotency_key: str,
        request_id: RequestId,
        fingerprint: bytes,
        deadline_s: float,
    ) -> Result[Claim, Refusal]:
        """Claim a key."""
        key = claim_key(tenant, idempotency_key)
        claimant = make_claimant(0, next(self._numbers), request_id)
        digest = short_fingerprint(fingerprint)
        vote = self._holder.vote(EPOCH, key, claimant, digest, anyio.current_time())
        answer = service_response(vote.answer)
        state = STATES[vote.vote]
        owner = request_id_of(vote.claimant or claimant)
        return Ok(GrantedClaim(state, key.hex(), owner, answer, key, claimant, digest))

    async def complete(self, claim: Claim, answer: ServiceResponse | None) -> None:
        """Record that the claim's request has run."""
        if isinstance(claim, GrantedClaim) and claim.state is ClaimState.GRANTED:
            now_s = anyio.current_time()
            kept = stored_answer(answer)
            self._holder.complete(
                EPOCH, claim.claim_key, claim.claimant, claim.fingerprint, kept, now_s
            )

    async def release(self, claim: Claim) -> None:
        """Give a claim back after the request provably did not run."""
        if isinstance(claim, GrantedClaim) and claim.state is ClaimState.GRANTED:
            self._holder.withdraw(EPOCH, claim.claim_key, claim.claimant)
