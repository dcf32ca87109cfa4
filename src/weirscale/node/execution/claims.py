"""At-most-once claims of requests: claiming a key, and settling the claim at the end."""

import anyio
import xxhash
from result import Err, Ok, Result

from weirscale.domain.identifiers import RequestId, TenantName
from weirscale.domain.request import refusals
from weirscale.domain.request.model import RunStatus, ServiceResponse
from weirscale.domain.request.refusal import Refusal
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.interfaces import Claim, ClaimState

SETTLE_TIMEOUT_S = 2.0
"""Timeout of settling, which is best effort: an unsettled claim stays in progress until its
retention ends."""

CLAIM_GRACE_S = 0.1
"""Time after the deadline at which a claim call is cancelled, if the ledger has not returned at
the deadline by itself."""

MAX_KEPT_ANSWER_BYTES = 64 * 1024
"""Answers up to this size are stored in the ledger and returned to a repeated request."""


def fingerprint(*parts: bytes) -> bytes:
    """Return a digest of a request's content, to detect that a key is reused for other content."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


async def claim_key(
    ledger: QuorumClaimLedger,
    tenant: TenantName,
    idempotency_key: str,
    request_id: RequestId,
    content: bytes,
    deadline_s: float,
) -> Result[Claim, Refusal]:
    """Claim a key for a request.

    Returns:
        A GRANTED claim, a COMPLETED claim with its stored answer, or the refusal.
    """
    # A cancelled claim call may have been granted. The claim then stays in progress, and repeated
    # requests are refused with run status UNKNOWN, which is safe.
    answer: Result[Claim, Refusal] = Err(refusals.deadline_exceeded(RunStatus.NOT_RUN))
    with anyio.CancelScope(deadline=deadline_s + CLAIM_GRACE_S):
        answer = await ledger.claim(tenant, idempotency_key, request_id, content, deadline_s)
    if isinstance(answer, Err):
        return answer
    claim = answer.ok_value
    if claim.state is ClaimState.CONFLICT:
        return Err(refusals.duplicate_conflict())
    if claim.state is ClaimState.IN_PROGRESS:
        return Err(refusals.duplicate_in_progress(claim.holder_request_id))
    if claim.state is ClaimState.COMPLETED and claim.answer is None:
        return Err(refusals.duplicate_completed(claim.holder_request_id))
    return Ok(claim)


async def settle_claim(
    ledger: QuorumClaimLedger, claim: Claim, run_status: RunStatus, answer: ServiceResponse | None
) -> None:
    """Record that the request ran, or release the key if the request provably did not run.

    If the request may have run, its claim stays in progress, and repeated requests are refused
    with run status UNKNOWN.
    """
    with anyio.move_on_after(SETTLE_TIMEOUT_S, shield=True):
        if run_status is RunStatus.RAN:
            await ledger.complete(claim, _kept_answer(answer))
        elif run_status is RunStatus.NOT_RUN:
            await ledger.release(claim)


def _kept_answer(answer: ServiceResponse | None) -> ServiceResponse | None:
    if answer is None or len(answer.body) > MAX_KEPT_ANSWER_BYTES:
        return None
    return answer
