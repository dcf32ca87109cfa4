"""Exhaustive exploration of the claim protocol in a small world, with the product's own rules.

Two callers claim one key from three holders; holders may restart empty, the group may change its
epoch (one holder is replaced), and every message may be lost, doubled or delayed without bound: a
message once sent may be delivered at any later moment, any number of times, or never.
"""

from functools import cache
from typing import NamedTuple

from features.support.exploration import explore
from weirscale.domain.claims.holder import ClaimHolder, HolderPhase
from weirscale.domain.claims.merge import merge_claims
from weirscale.domain.claims.model import (
    ClaimEntry,
    ClaimVote,
    CopiedClaim,
    EntryState,
    GroupEpoch,
    Vote,
)
from weirscale.domain.claims.round import ClaimRound, RoundState

KEY, PRINT, RETENTION_S, NOW_S = b"key", b"print", 1e9, 0.0
CLAIMANTS = (b"first", b"second")
CALLERS = (0, 1)
HOLDERS = (0, 1, 2)
ASKING, GRANTED, GAVE_UP, RELEASED = "asking", "granted", "gave up", "released"


class HolderState(NamedTuple):
    """One holder in one epoch."""

    epoch: int
    phase: HolderPhase
    entry: tuple | None = None
    withdrawn: frozenset = frozenset()


class Slot(NamedTuple):
    """A holder's place in an epoch.

    `copied` is what the planner read there (a tuple of one entry, empty before); `voted_for` the
    callers that it accepted and whose votes may still count.
    """

    state: HolderState | None
    copied: tuple = ()
    voted_for: frozenset = frozenset()


class World(NamedTuple):
    """One state. Holders are alike, so each epoch's slots are kept sorted."""

    first: tuple
    second: tuple = ()
    store_epoch: int = 1
    status: tuple = (ASKING, ASKING)
    num_restarts: int = 0


def put(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


SLOTS, SLOT_NUMBERS = [], {}


def number_of(slot):
    """A small number for a slot: worlds of numbers are hashed fast."""
    if slot not in SLOT_NUMBERS:
        SLOT_NUMBERS[slot] = len(SLOTS)
        SLOTS.append(slot)
    return SLOT_NUMBERS[slot]


def pack(slots):
    return tuple(sorted(number_of(slot) for slot in slots))


def unpack(numbers):
    return [SLOTS[number] for number in numbers]


def put_slot(numbers, index, slot):
    return tuple(sorted(put(numbers, index, number_of(slot))))


def thaw(state):
    holder = ClaimHolder(state.epoch, RETENTION_S, state.phase)
    if state.entry is not None:
        holder._entries[KEY] = ClaimEntry(*state.entry)
    holder._withdrawn.update(dict.fromkeys(state.withdrawn))
    return holder


def freeze(holder):
    entry = holder._entries.get(KEY)
    kept = None if entry is None else (entry.state, entry.claimants, entry.fingerprint, NOW_S)
    return HolderState(holder.epoch, holder.phase, kept, frozenset(holder._withdrawn))


@cache
def apply(state, operation, caller, epoch):
    """Run one operation of the product's holder; its new state and vote."""
    holder = thaw(state)
    claimant = CLAIMANTS[caller]
    vote = None
    if operation == "vote":
        vote = holder.vote(epoch, KEY, claimant, PRINT, NOW_S).vote
    elif operation == "withdraw":
        holder.withdraw(epoch, KEY, claimant)
    elif operation == "seal":
        holder.seal(epoch)
    elif operation == "activate":
        holder.activate(epoch)
    return freeze(holder), vote


@cache
def is_granted(num_votes):
    """Ask the product's round, with this many votes and no other answer yet."""
    claim_round = ClaimRound(GroupEpoch(0, 1, HOLDERS, b""))
    for holder in range(num_votes):
        claim_round.record_vote(holder, ClaimVote(Vote.ACCEPTED, 1))
    outcome = claim_round.outcome()
    return outcome is not None and outcome.state is RoundState.GRANTED


@cache
def merged_entry(copies):
    """Merge the copied entries with the product's rule."""
    claims = [[] if entry is None else [CopiedClaim(KEY, *entry[:3], 0.0)] for (entry,) in copies]
    merged = merge_claims(claims)
    return None if not merged else (merged[0].state, merged[0].claimants, PRINT, NOW_S)


class Explorer:
    """Breadth-first search; `broken_rule` names a rule of the protocol to break on purpose."""

    def __init__(self, broken_rule=None):
        self.broken_rule = broken_rule
        self.num_states = 0
        self._delivered = {}

    def search(self):
        """The first history (list of steps) that runs the key twice, or None."""
        start = World(pack([Slot(HolderState(1, HolderPhase.ACTIVE))] * 3))
        history, num_states = explore(
            start, self._steps, lambda world: world.status == (GRANTED, GRANTED)
        )
        self.num_states = 0 if history else num_states
        return history

    def _steps(self, world):
        for caller in CALLERS:
            yield from self._caller_steps(world, caller)
        yield from self._change_steps(world)

    def _caller_steps(self, world, caller):
        status = world.status[caller]
        for name in ("first", "second"):
            yield from self._deliveries(world, caller, name, "vote")
            if status in (GAVE_UP, RELEASED):
                yield from self._deliveries(world, caller, name, "withdraw")
            num_votes = sum(caller in slot.voted_for for slot in unpack(getattr(world, name)))
            if status == ASKING and is_granted(num_votes):
                yield f"grant to {caller} in {name}", self._settled(world, caller, GRANTED)
        if status == ASKING and caller == 0:  # one caller that withdraws is enough: they are alike
            yield f"{caller} gives up", self._settled(world, caller, GAVE_UP)
        if status == GRANTED and caller == 0:
            yield f"{caller} has not run", self._settled(world, caller, RELEASED)

    @staticmethod
    def _settled(world, caller, status):
        """A caller's end: its votes do not count any more."""

        def forget(slots):
            return pack(
                slot._replace(voted_for=slot.voted_for - {caller}) for slot in unpack(slots)
            )

        return world._replace(
            first=forget(world.first),
            second=forget(world.second),
            status=put(world.status, caller, status),
        )

    def _deliveries(self, world, caller, name, operation):
        """Deliver a caller's message of an epoch to each holder; the second epoch's exist only
        after the swap, and holders not yet active refuse them."""
        slots = getattr(world, name)
        if name == "second" and world.store_epoch == 1:
            return
        is_asking = world.status[caller] == ASKING
        for index, number in enumerate(slots):
            key = (number, operation, caller, name, is_asking)
            if key not in self._delivered:
                self._delivered[key] = self._deliver(*key)
            changed = self._delivered[key]
            if changed != number:
                following = tuple(sorted(put(slots, index, changed)))
                yield f"{operation} of {caller} in {name}", world._replace(**{name: following})

    def _deliver(self, number, operation, caller, name, is_asking):
        """The number of a slot after a message has been delivered there."""
        slot = SLOTS[number]
        if slot.state is None:
            return number
        epoch = 1 if name == "first" else 2
        state, vote = self._apply(slot.state, operation, caller, epoch)
        voted_for = slot.voted_for
        if vote is Vote.ACCEPTED and is_asking:
            voted_for = voted_for | {caller}
        return number_of(slot._replace(state=state, voted_for=voted_for))

    def _apply(self, state, operation, caller, epoch):
        if self.broken_rule == "a sealed holder votes" and state.phase is HolderPhase.SEALED:
            opened = state._replace(phase=HolderPhase.ACTIVE)
            changed, vote = apply(opened, operation, caller, epoch)
            return changed._replace(phase=HolderPhase.SEALED), vote
        if self.broken_rule == "a holder changes its vote" and operation == "vote":
            state = state._replace(entry=None)
        return apply(state, operation, caller, epoch)

    def _change_steps(self, world):
        for index, slot in enumerate(unpack(world.first)):
            if slot.state is not None and world.num_restarts == 0:
                yield "restart", self._restarted(world, index)
            if slot.state is not None and not slot.copied and not world.second:
                yield "seal and copy", self._copied(world, index, slot)
        copies = tuple(slot.copied for slot in unpack(world.first) if slot.copied)
        needed = 1 if self.broken_rule == "one holder's claims are enough" else 2
        if not world.second and len(copies) >= needed:
            yield "prepare", self._prepared(world, copies)
        if world.second and world.store_epoch == 1:
            yield "swap", world._replace(store_epoch=2)
        if world.store_epoch == 2:
            for index, slot in enumerate(unpack(world.second)):
                state, _ = apply(slot.state, "activate", 0, 2)
                following = put_slot(world.second, index, slot._replace(state=state))
                yield "activate", world._replace(second=following)

    def _restarted(self, world, index):
        state = None
        if self.broken_rule == "a restarted holder answers":
            state = HolderState(1, HolderPhase.ACTIVE)
        slot = SLOTS[world.first[index]]._replace(state=state)
        return world._replace(first=put_slot(world.first, index, slot), num_restarts=1)

    def _copied(self, world, index, slot):
        state, _ = apply(slot.state, "seal", 0, 1)
        if self.broken_rule == "holders are not sealed before the copy":
            state = slot.state
        copied = slot._replace(state=state, copied=(slot.state.entry,))
        return world._replace(first=put_slot(world.first, index, copied))

    def _prepared(self, world, copies):
        entry = merged_entry(copies)
        if self.broken_rule == "an ambiguous copy names one claimant" and entry is not None:
            entry = (EntryState.OFFERED, entry[1][-1:], PRINT, NOW_S)
        first = pack(slot._replace(copied=()) for slot in unpack(world.first))
        second = pack([Slot(HolderState(2, HolderPhase.PREPARING, entry))] * 3)
        return world._replace(first=first, second=second)
