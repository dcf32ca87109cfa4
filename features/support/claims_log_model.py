"""Exhaustive exploration of the claim log in a small world, with the product's own rules.

Two callers claim one key from three holders of one epoch; a third comes after it. Any holders may
restart empty, marks may end, the service may be out of reach for any time (steps that need it just
do not come), and calls to it may take effect at any later moment, or with their answers lost. After
the loss of a majority the next epoch loads the log where its rules allow that. What is explored by
`claims_model_check` (late copies of messages, changes without a loss) is left out here.
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

KEY, PRINT, RETENTION_S, NOW_S = b"key", b"print", 1e9, 0.0
CLAIMANTS = (b"first", b"second", b"third")
CALLERS = (0, 1)
LATE_CALLER = 2
RECORD = GroupEpoch(0, 1, tuple(Holder(n, "", "") for n in range(3)), b"", is_logged=True)
ASKING, GRANTED, GAVE_UP = "asking", "granted", "gave up"


class Slot(NamedTuple):
    """One holder of the epoch.

    `votes` are (caller, needs the log); `is_lease_live` says whether the mark can stand or still
    come to stand; `needs_log` and `has_voted_without` are what the holder itself remembers. A mark
    sent is as good as set while its lease lives. Of a run that is over, its mark and votes are left.
    """

    claimants: tuple = ()
    votes: frozenset = frozenset()
    is_over: bool = False
    is_sealed: bool = False
    is_marked: bool = True
    is_lease_live: bool = True
    needs_log: bool = True
    has_voted_without: bool = False


class World(NamedTuple):
    """One state; holders are alike, so the numbers of their slots are kept sorted.

    `is_sent` says that the first caller's claim is on its way into the log; `has_evidence` and
    `is_fenced` how far the change after a loss has come; `next_claimants` stand in the next epoch.
    """

    numbers: tuple
    status: tuple = (ASKING, ASKING, ASKING)
    head: LogHead = LogHead(1)
    is_sent: bool = False
    has_evidence: bool = False
    is_fenced: bool = False
    next_claimants: tuple | None = None


SLOTS, SLOT_NUMBERS = [], {}


def number_of(slot):
    """A small number for a slot: worlds of numbers are hashed fast."""
    if slot not in SLOT_NUMBERS:
        SLOT_NUMBERS[slot] = len(SLOTS)
        SLOTS.append(slot)
    return SLOT_NUMBERS[slot]


@cache
def slots_of(numbers):
    return tuple(SLOTS[number] for number in numbers)


def put(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def put_slot(numbers, index, slot):
    return tuple(sorted(put(numbers, index, number_of(slot))))


def claim_of(caller):
    return LoggedClaim(KEY, CLAIMANTS[caller], PRINT)


def holder_with(claimants, epoch=1):
    holder = ClaimHolder(epoch, RETENTION_S, HolderPhase.ACTIVE)
    if claimants:
        holder._entries[KEY] = ClaimEntry(EntryState.OFFERED, claimants, PRINT, NOW_S)
    return holder


def claimants_in(holder):
    entry = holder._entries.get(KEY)
    return () if entry is None else entry.claimants


@cache
def voted(claimants, caller, epoch=1):
    """The product's vote: the claimants kept after it, and whether it was accepted."""
    holder = holder_with(claimants, epoch)
    vote = holder.vote(epoch, KEY, CLAIMANTS[caller], PRINT, NOW_S).vote
    return claimants_in(holder), vote is Vote.ACCEPTED


@cache
def withdrawn(claimants, caller, epoch=1):
    holder = holder_with(claimants, epoch)
    holder.withdraw(epoch, KEY, CLAIMANTS[caller])
    return claimants_in(holder)


@cache
def round_of(votes):
    """The product's outcome with these votes (whether each needs the log), or None."""
    claim_round = ClaimRound(RECORD)
    for index, needs_log in enumerate(votes):
        claim_round.record_vote(index, ClaimVote(Vote.ACCEPTED, 1, needs_log=needs_log))
    return claim_round.outcome()


@cache
def outcome_of(numbers, caller):
    slots = slots_of(numbers)
    needs = sorted(need for slot in slots for who, need in slot.votes if who == caller)
    return round_of(tuple(needs))


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
        self._slot_steps_known = {}

    def search(self):
        """The first history (list of steps) that runs the key twice, or None."""
        start = World((number_of(Slot()),) * 3)
        history, num_states = explore(start, self._steps, self._is_violated)
        self.num_states = 0 if history else num_states
        return history

    def _is_violated(self, world):
        if world.status.count(GRANTED) > 1:
            return True
        self.num_loaded += world.next_claimants is not None
        return False

    def _steps(self, world):
        for caller in CALLERS:
            yield from self._caller_steps(world, caller)
        for index, number in enumerate(world.numbers):
            if number in world.numbers[:index]:
                continue  # what an equal holder does has been followed
            key = (number, world.status[:2], world.has_evidence)
            if key not in self._slot_steps_known:
                steps = self._slot_steps(SLOTS[number], *key[1:])
                known = [(step, number_of(slot)) for step, slot in steps]
                self._slot_steps_known[key] = [each for each in known if each[1] != number]
            for step, changed in self._slot_steps_known[key]:
                numbers = tuple(sorted(put(world.numbers, index, changed)))
                yield step, world._replace(numbers=numbers)
        yield from self._log_steps(world)
        yield from self._change_steps(world)
        yield from self._next_epoch_steps(world)

    def _caller_steps(self, world, caller):
        status = world.status[caller]
        if status == ASKING and caller == 0:
            yield f"{caller} gives up", self._gave_up(world, caller)
        if status == GRANTED and caller == 0:
            yield f"{caller} has not run", self._gave_up(world, caller)
        if status != ASKING:
            return
        outcome = outcome_of(world.numbers, caller)
        if outcome is None:
            return
        is_logged = claim_of(caller) in world.head.claims
        if self.broken_rule == "a grant does not wait for the log":
            is_logged = True
        if is_logged or not outcome.needs_log:
            granted = put(world.status, caller, GRANTED)
            yield f"grant to {caller}", world._replace(status=granted)
        if outcome.needs_log and not is_logged and not (caller == 0 and world.is_sent):
            yield from self._send(world, caller)

    @staticmethod
    def _send(world, caller):
        """Only the caller that may give up leaves a claim on its way that matters later."""
        if caller == 0:
            yield "send claim of 0 to the log", world._replace(is_sent=True)
            return
        head = append(world.head, 1, [claim_of(caller)])
        if head is not None:
            yield f"claim of {caller} in the log", world._replace(head=head)

    @staticmethod
    def _gave_up(world, caller):
        numbers = tuple(sorted(without_votes(number, caller) for number in world.numbers))
        return world._replace(numbers=numbers, status=put(world.status, caller, GAVE_UP))

    def _slot_steps(self, slot, status, has_evidence):
        """Steps of one holder; marks do not matter any more once they were read."""
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
            if status[caller] == ASKING:
                yield f"vote for {caller}", self._vote(slot, caller)
            if status[caller] == GAVE_UP:
                left = withdrawn(slot.claimants, caller)
                yield f"withdraw {caller}", slot._replace(claimants=left)

    def _mark_steps(self, slot, has_evidence):
        may_lapse = not slot.is_lease_live
        if self.broken_rule == "a holder votes without the log while its mark may stand":
            may_lapse = True
        if slot.needs_log and may_lapse:
            yield "go on without the log", slot._replace(needs_log=False)
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
        claimants, is_accepted = voted(slot.claimants, caller)
        if not is_accepted:
            return slot
        others = frozenset(vote for vote in slot.votes if vote[0] != caller)
        without = not slot.needs_log
        return slot._replace(
            claimants=claimants,
            votes=others | {(caller, slot.needs_log)},
            has_voted_without=slot.has_voted_without or without,
        )

    def _log_steps(self, world):
        if world.is_sent:
            head = append(world.head, 1, [claim_of(0)])
            if head is not None:
                yield "claim of 0 in the log", world._replace(head=head, is_sent=False)
        for index, slot in enumerate(slots_of(world.numbers)):
            if slot.is_over or not slot.needs_log or not slot.has_voted_without:
                continue
            claims = [LoggedClaim(KEY, claimant, PRINT) for claimant in slot.claimants]
            head = append(world.head, 1, claims)
            if head is not None:
                clean = slot._replace(has_voted_without=False)
                numbers = put_slot(world.numbers, index, clean)
                yield "claims of a holder in the log", world._replace(head=head, numbers=numbers)

    def _change_steps(self, world):
        if world.next_claimants is not None:
            return
        if sum(slot.is_over for slot in slots_of(world.numbers)) < RECORD.quorum:
            return
        for index, slot in enumerate(slots_of(world.numbers)):
            if not slot.is_over and not slot.is_sealed and not world.has_evidence:
                numbers = put_slot(world.numbers, index, slot._replace(is_sealed=True))
                yield "seal", world._replace(numbers=numbers)
        if not world.has_evidence and self._is_complete(world):
            yield "read the marks", world._replace(has_evidence=True)
        if world.has_evidence and not world.is_fenced:
            head = advance(world.head, 2)
            if self.broken_rule == "the log is not fenced before it is read":
                head = world.head
            yield "fence", world._replace(head=head, is_fenced=True)
        if world.is_fenced:
            yield "load", world._replace(next_claimants=self._loaded(world))

    def _is_complete(self, world):
        if self.broken_rule == "one mark is enough":
            return any(slot.is_marked and slot.is_over for slot in slots_of(world.numbers))
        may_count_all = self.broken_rule == "the mark of a holder that may vote counts"
        proven = {
            index
            for index, slot in enumerate(slots_of(world.numbers))
            if slot.is_marked and (slot.is_over or slot.is_sealed or may_count_all)
        }
        return is_log_complete(RECORD, proven)

    def _loaded(self, world):
        logged = world.head.claims
        if self.broken_rule == "the log names only the last claimant":
            logged = logged[-1:]
        copies = [
            [CopiedClaim(KEY, EntryState.OFFERED, slot.claimants, PRINT, 0.0)]
            for slot in slots_of(world.numbers)
            if slot.is_sealed and slot.claimants
        ]
        merged = merge_claims([*copies, copied_claims(logged)])
        return merged[0].claimants if merged else ()

    def _next_epoch_steps(self, world):
        """The next epoch's holders, as one: their quorum is explored elsewhere."""
        if world.next_claimants is None:
            return
        for caller in (*CALLERS, LATE_CALLER):
            status = world.status[caller]
            if status == ASKING:
                claimants, is_accepted = voted(world.next_claimants, caller, 2)
                if is_accepted:
                    granted = put(world.status, caller, GRANTED)
                    yield (
                        f"grant to {caller} in the next epoch",
                        world._replace(status=granted, next_claimants=claimants),
                    )
            if status == GAVE_UP:
                left = withdrawn(world.next_claimants, caller, 2)
                yield f"withdraw {caller} in the next epoch", world._replace(next_claimants=left)
