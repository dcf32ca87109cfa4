"""Merge of the claims from a majority of an epoch's holders, for the next epoch."""

from collections.abc import Iterable

import msgspec

from weirscale.domain.claims.model import ClaimKey, CopiedClaim, EntryState


def merge_claims(copies: Iterable[Iterable[CopiedClaim]]) -> tuple[CopiedClaim, ...]:
    """Merge the claims of several holders.

    A claimant that was granted a key has the votes of a majority, so every other majority includes
    a holder that voted for this claimant. If the holders voted for different claimants, any of them
    may have been granted the key. So all are kept, and the key is granted to none of them.
    """
    merged: dict[ClaimKey, CopiedClaim] = {}
    for copy in copies:
        for claim in copy:
            earlier = merged.get(claim.key)
            merged[claim.key] = claim if earlier is None else _merge_two(earlier, claim)
    return tuple(merged.values())


def _merge_two(first: CopiedClaim, second: CopiedClaim) -> CopiedClaim:
    if first.state is EntryState.COMPLETED:
        return first
    if second.state is EntryState.COMPLETED:
        return second
    claimants = tuple(sorted({*first.claimants, *second.claimants}))
    return msgspec.structs.replace(first, claimants=claimants, age_s=min(first.age_s, second.age_s))
