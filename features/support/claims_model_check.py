"""Exhaustive exploration of a small model of the claim protocol, with the product's own rules.

Two callers claim one key from three holders; holders may restart with empty memory, the group may
change its epoch (one holder is replaced), and every message may be lost, duplicated or delayed
without bound: a sent message may be delivered at any later moment, any number of times, or never.
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

KEY, FINGERPRINT, RETENTION_S, NOW_S = b"key", b"print", 1e9, 0.0
CLAIMANTS = (b"first", b"second")
CALLERS = (0, 1)
HOLDERS = (0, 1, 2)
CLAIMING, GRANTED, GAVE_UP, RELEASED = "claiming", "granted", "gave up", "released"


class HolderState(NamedTuple):
    """One holder in one epoch."""

    epoch: int
    phase: HolderPhase
    entry: tuple | None = None
    withdrawn: frozenset = frozenset()


class Slot(NamedTuple):
    """A holder's place in an epoch.

    `copied` is what the planner read from the holder (a tuple of one entry, empty before the read).
    `voted_for` are the callers that the holder accepted and whose votes may still count.
    """

    state: HolderState | None
    copied: tuple = ()
    voted_for: frozenset = frozenset()


class ModelState(NamedTuple):
    """One state of the model. Holders are interchangeable, so each epoch's slots are sorted."""

    first: tuple
    second: tuple = ()
    store_epoch: int = 1
    status: tuple = (CLAIMING, CLAIMING)
    num_restarts: int = 0


def replace_at(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


SLOTS, SLOT_NUMBERS = [], {}


def number_of(slot):
    """Return a small number for a slot; states made of numbers are fast to hash."""
    if slot not in SLOT_NUMBERS:
        SLOT_NUMBERS[slot] = len(SLOTS)
        SLOTS.append(slot)
    return SLOT_NUMBERS[slot]


def pack(slots):
    return tuple(sorted(number_of(slot) for slot in slots))


def unpack(numbers):
    return [SLOTS[number] for number in numbers]


def put_slot(numbers, index, slot):
    return tuple(sorted(replace_at(numbers, index, number_of(slot))))


def restore_holder(state):
    holder = ClaimHolder(state.epoch, RETENTION_S, state.phase)
    if state.entry is not None:
        holder._entries[KEY] = ClaimEntry(*state.entry)
    holder._withdrawn.update(dict.fromkeys(state.withdrawn))
    return holder


def holder_state_of(holder):
    entry = holder._entries.get(KEY)
    entry_fields = (
        None if entry is None else (entry.state, entry.claimants, entry.fingerprint, NOW_S)
    )
    return HolderState(holder.epoch, holder.phase, entry_fields, frozenset(holder._withdrawn))


@cache
def apply(state, operation, caller, epoch):
    """Run one operation of the product's holder; return its new state and vote."""
    holder = restore_holder(state)
    claimant = CLAIMANTS[caller]
    vote = None
    if operation == "vote":
        vote = holder.vote(epoch, KEY, claimant, FINGERPRINT, NOW_S).vote
    elif operation == "withdraw":
        holder.withdraw(epoch, KEY, claimant)
    elif operation == "seal":
        holder.seal(epoch)
    elif operation == "activate":
        holder.activate(epoch)
    return holder_state_of(holder), vote


@cache
def is_granted(num_votes):
    """Return whether the product's round grants with this many votes and no other answer."""
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
    return None if not merged else (merged[0].state, merged[0].claimants, FINGERPRINT, NOW_S)


class Explorer:
    """Breadth-first search; `broken_rule` names a rule of the protocol to break on purpose."""

    def __init__(self, broken_rule=None):
        self.broken_rule = broken_rule
        self.num_states = 0
        self._delivered = {}

    def search(self):
        """Return the shortest history (list of steps) that runs the key twice, or None."""
        start = ModelState(pack([Slot(HolderState(1, HolderPhase.ACTIVE))] * 3))
        history, num_states = explore(
            start, self._steps, lambda model_state: model_state.status == (GRANTED, GRANTED)
        )
        self.num_states = 0 if history else num_states
        return history

    def _steps(self, model_state):
        for caller in CALLERS:
            yield from self._caller_steps(model_state, caller)
        yield from self._change_steps(model_state)

    def _caller_steps(self, model_state, caller):
        status = model_state.status[caller]
        for name in ("first", "second"):
            yield from self._deliveries(model_state, caller, name, "vote")
            if status in (GAVE_UP, RELEASED):
                yield from self._deliveries(model_state, caller, name, "withdraw")
            num_votes = sum(caller in slot.voted_for for slot in unpack(getattr(model_state, name)))
            if status == CLAIMING and is_granted(num_votes):
                yield (
                    f"grant to {caller} in {name}",
                    self._with_status(model_state, caller, GRANTED),
                )
        if status == CLAIMING and caller == 0:  # callers are alike: only one needs to withdraw
            yield f"{caller} gives up", self._with_status(model_state, caller, GAVE_UP)
        if status == GRANTED and caller == 0:
            yield f"{caller} has not run", self._with_status(model_state, caller, RELEASED)

    @staticmethod
    def _with_status(model_state, caller, status):
        """Return the state after a caller ended; its votes no longer count."""

        def without_votes(slots):
            return pack(
                slot._replace(voted_for=slot.voted_for - {caller}) for slot in unpack(slots)
            )

        return model_state._replace(
            first=without_votes(model_state.first),
            second=without_votes(model_state.second),
            status=replace_at(model_state.status, caller, status),
        )

    def _deliveries(self, model_state, caller, name, operation):
        """Deliver a caller's message of an epoch to each holder.

        Messages of the second epoch exist only after the swap; holders that are not yet active
        refuse them.
        """
        slots = getattr(model_state, name)
        if name == "second" and model_state.store_epoch == 1:
            return
        is_claiming = model_state.status[caller] == CLAIMING
        for index, number in enumerate(slots):
            key = (number, operation, caller, name, is_claiming)
            if key not in self._delivered:
                self._delivered[key] = self._deliver(*key)
            changed = self._delivered[key]
            if changed != number:
                next_slots = tuple(sorted(replace_at(slots, index, changed)))
                yield (
                    f"{operation} of {caller} in {name}",
                    model_state._replace(**{name: next_slots}),
                )

    def _deliver(self, number, operation, caller, name, is_claiming):
        """Return the number of the slot that results from a delivered message."""
        slot = SLOTS[number]
        if slot.state is None:
            return number
        epoch = 1 if name == "first" else 2
        state, vote = self._apply(slot.state, operation, caller, epoch)
        voted_for = slot.voted_for
        if vote is Vote.ACCEPTED and is_claiming:
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

    def _change_steps(self, model_state):
        for index, slot in enumerate(unpack(model_state.first)):
            if slot.state is not None and model_state.num_restarts == 0:
                yield "restart", self._restarted(model_state, index)
            if slot.state is not None and not slot.copied and not model_state.second:
                yield "seal and copy", self._copied(model_state, index, slot)
        copies = tuple(slot.copied for slot in unpack(model_state.first) if slot.copied)
        needed = 1 if self.broken_rule == "one holder's claims are enough" else 2
        if not model_state.second and len(copies) >= needed:
            yield "prepare", self._prepared(model_state, copies)
        if model_state.second and model_state.store_epoch == 1:
            yield "swap", model_state._replace(store_epoch=2)
        if model_state.store_epoch == 2:
            for index, slot in enumerate(unpack(model_state.second)):
                state, _ = apply(slot.state, "activate", 0, 2)
                next_slots = put_slot(model_state.second, index, slot._replace(state=state))
                yield "activate", model_state._replace(second=next_slots)

    def _restarted(self, model_state, index):
        state = None
        if self.broken_rule == "a restarted holder answers":
            state = HolderState(1, HolderPhase.ACTIVE)
        slot = SLOTS[model_state.first[index]]._replace(state=state)
        return model_state._replace(first=put_slot(model_state.first, index, slot), num_restarts=1)

    def _copied(self, model_state, index, slot):
        state, _ = apply(slot.state, "seal", 0, 1)
        if self.broken_rule == "holders are not sealed before the copy":
            state = slot.state
        copied = slot._replace(state=state, copied=(slot.state.entry,))
        return model_state._replace(first=put_slot(model_state.first, index, copied))

    def _prepared(self, model_state, copies):
        entry = merged_entry(copies)
        if self.broken_rule == "an ambiguous copy names one claimant" and entry is not None:
            entry = (EntryState.OFFERED, entry[1][-1:], FINGERPRINT, NOW_S)
        first = pack(slot._replace(copied=()) for slot in unpack(model_state.first))
        second = pack([Slot(HolderState(2, HolderPhase.PREPARING, entry))] * 3)
        return model_state._replace(first=first, second=second)
