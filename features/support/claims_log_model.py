"""Exhaustive exploration of a small model of the claim log, with the product's own rules.

Two callers claim one key from three holders of one epoch; a third caller claims it in the next
epoch. Any holder may restart with empty memory and marks may expire. The store may be unreachable
for any time (steps that need it do not occur); calls to it may take effect at any later moment, or
with their answers lost. After the loss of a majority the next epoch loads the log where its rules
allow that. Late copies of messages and changes without a loss are left to `claims_model_check`.
"""

from functools import cache
from typing import NamedTuple

from features.support.exploration import explore
from weirscale.domain.claims.holder import ClaimHolder, HolderPhase
from weirscale.domain.claims.log import (
    LoggedClaim,
    LogHead,
    advance,
    append,
    copied_claims,
    is_log_complete,
)
from weirscale.domain.claims.merge import merge_claims
from weirscale.domain.claims.model import (
    ClaimEntry,
    ClaimVote,
    CopiedClaim,
    EntryState,
    GroupEpoch,
    Holder,
    Vote,
)
from weirscale.domain.claims.round import ClaimRound

KEY, FINGERPRINT, RETENTION_S, NOW_S = b"key", b"print", 1e9, 0.0
CLAIMANTS = (b"first", b"second", b"third")
CALLERS = (0, 1)
LATE_CALLER = 2
RECORD = GroupEpoch(0, 1, tuple(Holder(n, "", "") for n in range(3)), b"", is_logged=True)
CLAIMING, GRANTED, GAVE_UP = "claiming", "granted", "gave up"


class Slot(NamedTuple):
    """One holder of the epoch.

    `votes` are pairs of a caller and whether its vote needs the log. `is_lease_live` says whether
    the mark can be in the store or still arrive there: a sent mark counts as set while its lease
    lasts. `needs_log` and `has_voted_without` are what the holder itself remembers. Of a run that
    is over, only its mark and votes remain.
    """

    claimants: tuple = ()
    votes: frozenset = frozenset()
    is_over: bool = False
    is_sealed: bool = False
    is_marked: bool = True
    is_lease_live: bool = True
    needs_log: bool = True
    has_voted_without: bool = False


class ModelState(NamedTuple):
    """One state of the model; holders are interchangeable, so the numbers of their slots are sorted.

    `is_sent` says that the first caller's claim is in flight to the log. `has_evidence` and
    `is_fenced` say how far the change of epoch after a loss has come. `next_claimants` are the
    key's claimants in the next epoch.
    """

    numbers: tuple
    status: tuple = (CLAIMING, CLAIMING, CLAIMING)
    head: LogHead = LogHead(1)
    is_sent: bool = False
    has_evidence: bool = False
    is_fenced: bool = False
    next_claimants: tuple | None = None


SLOTS, SLOT_NUMBERS = [], {}


def number_of(slot):
    """Return a small number for a slot; states made of numbers are fast to hash."""
    if slot not in SLOT_NUMBERS:
        SLOT_NUMBERS[slot] = len(SLOTS)
        SLOTS.append(slot)
    return SLOT_NUMBERS[slot]


@cache
def unpack(numbers):
    return tuple(SLOTS[number] for number in numbers)


def replace_at(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def put_slot(numbers, index, slot):
    return tuple(sorted(replace_at(numbers, index, number_of(slot))))


def logged_claim_of(caller):
    return LoggedClaim(KEY, CLAIMANTS[caller], FINGERPRINT)


def holder_with(claimants, epoch=1):
    holder = ClaimHolder(epoch, RETENTION_S, HolderPhase.ACTIVE)
    if claimants:
        holder._entries[KEY] = ClaimEntry(EntryState.OFFERED, claimants, FINGERPRINT, NOW_S)
    return holder


def claimants_in(holder):
    entry = holder._entries.get(KEY)
    return () if entry is None else entry.claimants


@cache
def claimants_after_vote(claimants, caller, epoch=1):
    """Return the claimants kept after a vote of the product's holder, and whether it accepted."""
    holder = holder_with(claimants, epoch)
    vote = holder.vote(epoch, KEY, CLAIMANTS[caller], FINGERPRINT, NOW_S).vote
    return claimants_in(holder), vote is Vote.ACCEPTED


@cache
def claimants_after_withdrawal(claimants, caller, epoch=1):
    holder = holder_with(claimants, epoch)
    holder.withdraw(epoch, KEY, CLAIMANTS[caller])
    return claimants_in(holder)


@cache
def round_outcome(votes):
    """Return the outcome of the product's round, or None; `votes` say which need the log."""
    claim_round = ClaimRound(RECORD)
    for index, needs_log in enumerate(votes):
        claim_round.record_vote(index, ClaimVote(Vote.ACCEPTED, 1, needs_log=needs_log))
    return claim_round.outcome()


@cache
def claim_outcome(numbers, caller):
    slots = unpack(numbers)
    needs_log = sorted(
        needs for slot in slots for voted_for, needs in slot.votes if voted_for == caller
    )
    return round_outcome(tuple(needs_log))


@cache
def without_votes(number, caller):
    slot = SLOTS[number]
    return number_of(
        slot._replace(votes=frozenset(vote for vote in slot.votes if vote[0] != caller))
    )


class LogExplorer:
    """Breadth-first search; `broken_rule` names a rule of the log to break on purpose."""

    def __init__(self, broken_rule=None):
        self.broken_rule = broken_rule
        self.num_states = 0
        self.num_loaded = 0
        self._next_slots = {}

    def search(self):
        """Return the shortest history (list of steps) that runs the key twice, or None."""
        start = ModelState((number_of(Slot()),) * 3)
        history, num_states = explore(start, self._steps, self._is_violated)
        self.num_states = 0 if history else num_states
        return history

    def _is_violated(self, model_state):
        if model_state.status.count(GRANTED) > 1:
            return True
        self.num_loaded += model_state.next_claimants is not None
        return False

    def _steps(self, model_state):
        for caller in CALLERS:
            yield from self._caller_steps(model_state, caller)
        for index, number in enumerate(model_state.numbers):
            if number in model_state.numbers[:index]:
                continue  # the steps of an equal holder were already followed
            key = (number, model_state.status[:2], model_state.has_evidence)
            if key not in self._next_slots:
                steps = self._slot_steps(SLOTS[number], *key[1:])
                next_numbers = [(step, number_of(slot)) for step, slot in steps]
                self._next_slots[key] = [each for each in next_numbers if each[1] != number]
            for step, changed in self._next_slots[key]:
                numbers = tuple(sorted(replace_at(model_state.numbers, index, changed)))
                yield step, model_state._replace(numbers=numbers)
        yield from self._log_steps(model_state)
        yield from self._change_steps(model_state)
        yield from self._next_epoch_steps(model_state)

    def _caller_steps(self, model_state, caller):
        status = model_state.status[caller]
        if status == CLAIMING and caller == 0:
            yield f"{caller} gives up", self._after_giving_up(model_state, caller)
        if status == GRANTED and caller == 0:
            yield f"{caller} has not run", self._after_giving_up(model_state, caller)
        if status != CLAIMING:
            return
        outcome = claim_outcome(model_state.numbers, caller)
        if outcome is None:
            return
        is_logged = logged_claim_of(caller) in model_state.head.claims
        if self.broken_rule == "a grant does not wait for the log":
            is_logged = True
        if is_logged or not outcome.needs_log:
            granted = replace_at(model_state.status, caller, GRANTED)
            yield f"grant to {caller}", model_state._replace(status=granted)
        if outcome.needs_log and not is_logged and not (caller == 0 and model_state.is_sent):
            yield from self._send(model_state, caller)

    @staticmethod
    def _send(model_state, caller):
        """Log a claim; in flight, only that of the caller that may give up matters later."""
        if caller == 0:
            yield "send claim of 0 to the log", model_state._replace(is_sent=True)
            return
        head = append(model_state.head, 1, [logged_claim_of(caller)])
        if head is not None:
            yield f"claim of {caller} in the log", model_state._replace(head=head)

    @staticmethod
    def _after_giving_up(model_state, caller):
        numbers = tuple(sorted(without_votes(number, caller) for number in model_state.numbers))
        return model_state._replace(
            numbers=numbers, status=replace_at(model_state.status, caller, GAVE_UP)
        )

    def _slot_steps(self, slot, status, has_evidence):
        """Yield the steps of one holder; marks no longer matter once they were read."""
        if not slot.is_over:
            yield (
                "end of a run",
                Slot((), slot.votes, True, is_marked=slot.is_marked, is_lease_live=slot.is_marked),
            )
            yield from self._vote_steps(slot, status)
            yield from self._mark_steps(slot, has_evidence)
        if slot.is_lease_live and not slot.is_over:  # after a run, a mark only helps to load
            yield "end of a mark", slot._replace(is_lease_live=False, is_marked=False)

    def _vote_steps(self, slot, status):
        if slot.is_sealed:
            return
        for caller in CALLERS:
            if status[caller] == CLAIMING:
                yield f"vote for {caller}", self._vote(slot, caller)
            if status[caller] == GAVE_UP:
                remaining = claimants_after_withdrawal(slot.claimants, caller)
                yield f"withdraw {caller}", slot._replace(claimants=remaining)

    def _mark_steps(self, slot, has_evidence):
        may_lapse = not slot.is_lease_live
        if self.broken_rule == "a holder votes without the log while its mark may stand":
            may_lapse = True
        if slot.needs_log and may_lapse:
            yield "continue without the log", slot._replace(needs_log=False)
        if not slot.is_lease_live and not has_evidence:
            yield "new lease", slot._replace(needs_log=True, is_lease_live=True)
        is_clean = not slot.has_voted_without
        if self.broken_rule == "a mark is set again before the claims are in the log":
            is_clean = True
        may_set = slot.needs_log and slot.is_lease_live and not has_evidence
        if may_set and is_clean and not slot.is_marked:
            yield "set mark", slot._replace(is_marked=True)

    @staticmethod
    def _vote(slot, caller):
        claimants, is_accepted = claimants_after_vote(slot.claimants, caller)
        if not is_accepted:
            return slot
        others = frozenset(vote for vote in slot.votes if vote[0] != caller)
        without = not slot.needs_log
        return slot._replace(
            claimants=claimants,
            votes=others | {(caller, slot.needs_log)},
            has_voted_without=slot.has_voted_without or without,
        )

    def _log_steps(self, model_state):
        if model_state.is_sent:
            head = append(model_state.head, 1, [logged_claim_of(0)])
            if head is not None:
                yield "claim of 0 in the log", model_state._replace(head=head, is_sent=False)
        for index, slot in enumerate(unpack(model_state.numbers)):
            if slot.is_over or not slot.needs_log or not slot.has_voted_without:
                continue
            claims = [LoggedClaim(KEY, claimant, FINGERPRINT) for claimant in slot.claimants]
            head = append(model_state.head, 1, claims)
            if head is not None:
                clean = slot._replace(has_voted_without=False)
                numbers = put_slot(model_state.numbers, index, clean)
                yield (
                    "claims of a holder in the log",
                    model_state._replace(head=head, numbers=numbers),
                )

    def _change_steps(self, model_state):
        if model_state.next_claimants is not None:
            return
        if sum(slot.is_over for slot in unpack(model_state.numbers)) < RECORD.quorum:
            return
        for index, slot in enumerate(unpack(model_state.numbers)):
            if not slot.is_over and not slot.is_sealed and not model_state.has_evidence:
                numbers = put_slot(model_state.numbers, index, slot._replace(is_sealed=True))
                yield "seal", model_state._replace(numbers=numbers)
        if not model_state.has_evidence and self._is_complete(model_state):
            yield "read the marks", model_state._replace(has_evidence=True)
        if model_state.has_evidence and not model_state.is_fenced:
            head = advance(model_state.head, 2)
            if self.broken_rule == "the log is not fenced before it is read":
                head = model_state.head
            yield "fence", model_state._replace(head=head, is_fenced=True)
        if model_state.is_fenced:
            yield "load", model_state._replace(next_claimants=self._loaded_claimants(model_state))

    def _is_complete(self, model_state):
        if self.broken_rule == "one mark is enough":
            return any(slot.is_marked and slot.is_over for slot in unpack(model_state.numbers))
        may_count_all = self.broken_rule == "the mark of a holder that may vote counts"
        proven = {
            index
            for index, slot in enumerate(unpack(model_state.numbers))
            if slot.is_marked and (slot.is_over or slot.is_sealed or may_count_all)
        }
        return is_log_complete(RECORD, proven)

    def _loaded_claimants(self, model_state):
        logged = model_state.head.claims
        if self.broken_rule == "the log names only the last claimant":
            logged = logged[-1:]
        copies = [
            [CopiedClaim(KEY, EntryState.OFFERED, slot.claimants, FINGERPRINT, 0.0)]
            for slot in unpack(model_state.numbers)
            if slot.is_sealed and slot.claimants
        ]
        merged = merge_claims([*copies, copied_claims(logged)])
        return merged[0].claimants if merged else ()

    def _next_epoch_steps(self, model_state):
        """Treat the next epoch's holders as one; `claims_model_check` explores their quorum."""
        if model_state.next_claimants is None:
            return
        for caller in (*CALLERS, LATE_CALLER):
            status = model_state.status[caller]
            if status == CLAIMING:
                claimants, is_accepted = claimants_after_vote(model_state.next_claimants, caller, 2)
                if is_accepted:
                    granted = replace_at(model_state.status, caller, GRANTED)
                    yield (
                        f"grant to {caller} in the next epoch",
                        model_state._replace(status=granted, next_claimants=claimants),
                    )
            if status == GAVE_UP:
                remaining = claimants_after_withdrawal(model_state.next_claimants, caller, 2)
                yield (
                    f"withdraw {caller} in the next epoch",
                    model_state._replace(next_claimants=remaining),
                )
