"""Address ownership: decides which of several registered runs is the process at an address.

Only one process listens at an address at a time, but several runs may be registered there: the
entry of an ended run stays in the store for some seconds, and may be written or delivered once more
long afterwards. The owner is decided by these criteria, strongest first: whether another run
answered at the address, whether the run was seen to crash, when the run last answered, the start
time in its registration, whether its registration had ended before, and when the run was first
seen.
"""

import enum

import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import Address, InstanceId, RunId
from weirscale.gateway.model.recent_runs import RecentRuns

NEVER_ANSWERED_S = float("-inf")


class ClaimStatus(enum.IntEnum):
    """Evidence about a registered run; a higher value takes precedence over a lower one."""

    REPLACED = 0
    """Another run answered at its address. This run has ended and does not own the address, even if
    no other run is registered there."""
    CRASHED = 1
    """The run was seen to crash. It owns the address only if no other run does."""
    VALID = 2
    """There is no evidence against the run."""


class Claim(msgspec.Struct):
    """One registration and the evidence about its run.

    Attributes:
        key: Key of the registration in the store.
        back_end: The registered back end.
        first_revision: Revision at which this run was first seen. Later writes do not raise it,
            because the last write of an ended run may come after the first write of its successor.
        status: Evidence about the run.
        answered_at_s: When the run last answered while several were registered at the address.
        has_ended: Whether its registration had ended before and then appeared again.
    """

    key: str
    back_end: BackEnd
    first_revision: int
    status: ClaimStatus = ClaimStatus.VALID
    answered_at_s: float = NEVER_ANSWERED_S
    has_ended: bool = False

    @property
    def rank(self) -> tuple[ClaimStatus, float, int, bool, int]:
        """Return the key that orders claims on the same address; the highest rank owns it."""
        started_ms = self.back_end.started_ms or 0
        is_first_entry = not self.has_ended
        return (
            self.status, self.answered_at_s, started_ms, is_first_entry, self.first_revision
        )  # fmt: skip


class AddressClaims:
    """Stores each registration, by address, from when it is first seen until it ends."""

    def __init__(self) -> None:
        self._claims: dict[InstanceId, Claim] = {}
        self._by_address: dict[Address, dict[InstanceId, Claim]] = {}
        self._ended: RecentRuns[ClaimStatus] = RecentRuns()
        """Status of ended runs, in case their registrations appear again."""

    def get(self, instance: InstanceId) -> Claim | None:
        """Return the registration of an instance."""
        return self._claims.get(instance)

    def all(self) -> tuple[Claim, ...]:
        """Return all registrations."""
        return tuple(self._claims.values())

    def at_address(self, address: Address) -> tuple[Claim, ...]:
        """Return the registrations at an address."""
        return tuple(self._by_address.get(address, {}).values())

    def is_contested(self, address: Address) -> bool:
        """Return whether several runs are registered at an address."""
        return len(self._by_address.get(address, ())) > 1

    def owner(self, address: Address) -> Claim | None:
        """Return the claim of the run that owns an address; None if no run does."""
        eligible = [
            claim for claim in self.at_address(address) if claim.status is not ClaimStatus.REPLACED
        ]
        return max(eligible, key=lambda claim: claim.rank, default=None)

    def put(self, key: str, back_end: BackEnd, revision: int) -> None:
        """Store a new or changed registration.

        A registration of an earlier run of the same instance, written or delivered late, is
        ignored.
        """
        current = self._claims.get(back_end.instance)
        if current is not None and current.back_end.run_id == back_end.run_id:
            self._drop(back_end.instance)
            self._add(_updated_claim(current, key, back_end))
            return
        if current is not None and _started_before(back_end, current.back_end):
            return
        self._drop(back_end.instance)
        claim = Claim(key, back_end, revision)
        claim.has_ended = back_end.run_id in self._ended
        status_at_end = self._ended.get(back_end.run_id)
        claim.status = ClaimStatus.VALID if status_at_end is None else status_at_end
        if not claim.has_ended:
            self._forget_answers(back_end)
        self._add(claim)

    def _forget_answers(self, newcomer: BackEnd) -> None:
        """Discard answers given before a new run registered: they are no evidence against it."""
        for claim in self.at_address(newcomer.address):
            if not _started_before(newcomer, claim.back_end):
                claim.answered_at_s = NEVER_ANSWERED_S

    def end(self, instance: InstanceId) -> Claim | None:
        """Remove a registration that ended together with its run, and return it."""
        claim = self._drop(instance)
        if claim is not None:
            self._remember_end(claim.back_end, ClaimStatus.VALID)
        return claim

    def lapse(self, instance: InstanceId) -> None:
        """Remove a registration that ended, although its run may still be alive."""
        self._drop(instance)

    def record_answer(self, instance: InstanceId, now_s: float) -> None:
        """Record that a run answered, which proves that it is the process at its address."""
        claim = self._claims.get(instance)
        if claim is not None and claim.status is not ClaimStatus.REPLACED:
            claim.status = ClaimStatus.VALID
            claim.has_ended = False
            claim.answered_at_s = now_s

    def downgrade(self, run: RunId, status: ClaimStatus) -> Claim | None:
        """Lower the status of a run; return its registration if that changes the status."""
        for claim in self._claims.values():
            if claim.back_end.run_id == run and claim.status > status:
                claim.status = status
                claim.answered_at_s = NEVER_ANSWERED_S
                self._remember_end(claim.back_end, status)
                return claim
        return None

    def _add(self, claim: Claim) -> None:
        back_end = claim.back_end
        self._claims[back_end.instance] = claim
        self._by_address.setdefault(back_end.address, {})[back_end.instance] = claim

    def _drop(self, instance: InstanceId) -> Claim | None:
        claim = self._claims.pop(instance, None)
        if claim is not None:
            address = claim.back_end.address
            del self._by_address[address][instance]
            if not self._by_address[address]:
                del self._by_address[address]
        return claim

    def _remember_end(self, back_end: BackEnd, status: ClaimStatus) -> None:
        if back_end.started_ms is None:
            # The next run may have the same run id and must not be excluded permanently.
            status = max(status, ClaimStatus.CRASHED)
        earlier_status = self._ended.get(back_end.run_id)
        self._ended.put(
            back_end.run_id, status if earlier_status is None else min(status, earlier_status)
        )


def _updated_claim(current: Claim, key: str, back_end: BackEnd) -> Claim:
    """Return a claim updated by another write for the same run."""
    claim = msgspec.structs.replace(current, key=key, back_end=back_end)
    if back_end.address != current.back_end.address:
        claim.status = ClaimStatus.VALID  # The evidence concerned the previous address.
    elif back_end.started_ms is None:
        # This may be the next run with the same run id, so it is tried again.
        claim.status = max(claim.status, ClaimStatus.CRASHED)
    return claim


def _started_before(back_end: BackEnd, other: BackEnd) -> bool:
    """Return whether both state their start time and the first started earlier."""
    if back_end.started_ms is None or other.started_ms is None:
        return False
    return back_end.started_ms < other.started_ms
