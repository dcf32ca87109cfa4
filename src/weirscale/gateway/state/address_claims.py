"""Who owns an address: the rules by which one of several registered runs is taken for its process.

One process listens at an address at a time, but several may be registered there: the entry of an
ended run lasts some seconds, and may be written or delivered once more long after. What tells them
apart is, in order of strength: that another run answered at the address, that a run was seen to
crash, which run last answered, the starts that the registrations state, that a run's registration
had ended before, and the order in which the runs were first seen.
"""

import enum

import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import Address, InstanceId, RunId
from weirscale.gateway.model.recent_runs import RecentRuns

NEVER_ANSWERED_S = float("-inf")


class Standing(enum.IntEnum):
    """What is known of a registered run; a higher one goes before a lower one."""

    ABSENT = 0
    """Another run answered at its address: it has ended, and does not own the address even if no
    other run is registered there."""
    CRASHED = 1
    """It was seen to crash: it owns the address only if no other run does."""
    SOUND = 2
    """Nothing speaks against it."""


class Claim(msgspec.Struct):
    """One registration, and what is known of its run.

    Attributes:
        key: Its key in the store.
        back_end: What it says.
        first_revision: Revision at which this run was first seen; later writes don't raise it, for
            an ended run's last write may come after its successor's first.
        standing: What is known of the run.
        answered_at_s: When the run last answered, while several were registered at the address.
        has_ended: Whether its registration had ended before and came once more.
    """

    key: str
    back_end: BackEnd
    first_revision: int
    standing: Standing = Standing.SOUND
    answered_at_s: float = NEVER_ANSWERED_S
    has_ended: bool = False

    @property
    def rank(self) -> tuple[Standing, float, int, bool, int]:
        """Return by what it is compared with the others at its address."""
        started_ms = self.back_end.started_ms or 0
        is_first_entry = not self.has_ended
        return (
            self.standing, self.answered_at_s, started_ms, is_first_entry, self.first_revision
        )  # fmt: skip


class AddressClaims:
    """Keeps every registration from its first sight to its end, by address."""

    def __init__(self) -> None:
        self._claims: dict[InstanceId, Claim] = {}
        self._at: dict[Address, dict[InstanceId, Claim]] = {}
        self._ended: RecentRuns[Standing] = RecentRuns()
        """What is known of runs that have ended, should their entries come once more."""

    def get(self, instance: InstanceId) -> Claim | None:
        """Return the registration of an instance."""
        return self._claims.get(instance)

    def all(self) -> tuple[Claim, ...]:
        """Return all registrations."""
        return tuple(self._claims.values())

    def at(self, address: Address) -> tuple[Claim, ...]:
        """Return the registrations at an address."""
        return tuple(self._at.get(address, {}).values())

    def is_contested(self, address: Address) -> bool:
        """Whether several are registered at an address."""
        return len(self._at.get(address, ())) > 1

    def owner(self, address: Address) -> Claim | None:
        """Return the registration whose run is taken for the process at an address."""
        present = [one for one in self.at(address) if one.standing is not Standing.ABSENT]
        return max(present, key=lambda one: one.rank, default=None)

    def put(self, key: str, back_end: BackEnd, revision: int) -> None:
        """Take a registration that is new or has changed."""
        known = self._claims.get(back_end.instance)
        if known is not None and known.back_end.run_id == back_end.run_id:
            self._drop(back_end.instance)
            self._add(_rewritten(known, key, back_end))
            return
        if known is not None and _started_before(back_end, known.back_end):
            return  # An earlier run of the same instance, written or delivered late.
        self._drop(back_end.instance)
        claim = Claim(key, back_end, revision)
        claim.has_ended = back_end.run_id in self._ended
        ended = self._ended.get(back_end.run_id)
        claim.standing = Standing.SOUND if ended is None else ended
        if not claim.has_ended:
            self._forget_answers(back_end)
        self._add(claim)

    def _forget_answers(self, newcomer: BackEnd) -> None:
        """Let what was answered before a later run came prove nothing against it."""
        for claim in self.at(newcomer.address):
            if not _started_before(newcomer, claim.back_end):
                claim.answered_at_s = NEVER_ANSWERED_S

    def end(self, instance: InstanceId) -> Claim | None:
        """Take that a registration has ended, and its run with it; returns it."""
        claim = self._drop(instance)
        if claim is not None:
            self._remember_end(claim.back_end, Standing.SOUND)
        return claim

    def lapse(self, instance: InstanceId) -> None:
        """Take that a registration has ended, maybe without its run."""
        self._drop(instance)

    def answered(self, instance: InstanceId, now_s: float) -> None:
        """Take that a run has answered: it is the process at its address."""
        claim = self._claims.get(instance)
        if claim is not None and claim.standing is not Standing.ABSENT:
            claim.standing = Standing.SOUND
            claim.has_ended = False
            claim.answered_at_s = now_s

    def doubt(self, run: RunId, standing: Standing) -> Claim | None:
        """Take what speaks against a run; returns its registration, if that changes anything."""
        for claim in self._claims.values():
            if claim.back_end.run_id == run and claim.standing > standing:
                claim.standing = standing
                claim.answered_at_s = NEVER_ANSWERED_S
                self._remember_end(claim.back_end, standing)
                return claim
        return None

    def _add(self, claim: Claim) -> None:
        back_end = claim.back_end
        self._claims[back_end.instance] = claim
        self._at.setdefault(back_end.address, {})[back_end.instance] = claim

    def _drop(self, instance: InstanceId) -> Claim | None:
        claim = self._claims.pop(instance, None)
        if claim is not None:
            address = claim.back_end.address
            del self._at[address][instance]
            if not self._at[address]:
                del self._at[address]
        return claim

    def _remember_end(self, back_end: BackEnd, standing: Standing) -> None:
        if back_end.started_ms is None:
            # Its next run may come under the same id, and must not be kept out for good.
            standing = max(standing, Standing.CRASHED)
        known = self._ended.get(back_end.run_id)
        self._ended.put(back_end.run_id, standing if known is None else min(standing, known))


def _rewritten(known: Claim, key: str, back_end: BackEnd) -> Claim:
    """Return a registration as it is after another write for the same run."""
    claim = msgspec.structs.replace(known, key=key, back_end=back_end)
    if back_end.address != known.back_end.address:
        claim.standing = Standing.SOUND  # What spoke against it was said of another address.
    elif back_end.started_ms is None:
        # It may be the next run under the same id: it is tried once more.
        claim.standing = max(claim.standing, Standing.CRASHED)
    return claim


def _started_before(one: BackEnd, other: BackEnd) -> bool:
    """Whether both state their start and one started earlier."""
    if one.started_ms is None or other.started_ms is None:
        return False
    return one.started_ms < other.started_ms
