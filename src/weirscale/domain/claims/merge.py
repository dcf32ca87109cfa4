"""Union of the claims that a majority of an epoch's holders kept, for the next epoch."""

from collections.abc import Iterable

import msgspec

from weirscale.domain.claims.model import ClaimKey, CopiedClaim, EntryState


def merge_claims(copies: Iterable[Iterable[CopiedClaim]]) -> tuple[CopiedClaim, ...]:
    """Merge the claims of several holders.

    A claimant that was granted a key has the votes of a majority, so at least one holder of any
    other majority names it. Where holders name different claimants, any of them may have been
    granted the key: all are kept, and then none is granted it any more.
    """
    merged: dict[ClaimKey, CopiedClaim] = {}
    for copy in copies:
        for claim in copy:
            known = merged.get(claim.key)
            merged[claim.key] = claim if known is None else _merge_two(known, claim)
    return tuple(merged.values())


def _merge_two(first: CopiedClaim, second: CopiedClaim) -> CopiedClaim:
    if first.state is EntryState.COMPLETED:
        return first
    if second.state is EntryState.COMPLETED:
        return second
    claimants = tuple(sorted({*first.claimants, *second.claimants}))
    return msgspec.structs.replace(first, claimants=claimants, age_s=min(first.age_s, second.age_s))
