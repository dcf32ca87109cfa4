"""The rule that decides which prompt blocks crash back ends, whatever else a request holds.

A block is counted once for each run that crashed while a request with it had only begun to be
answered. Any whole answer to a request with the block clears it, because a block that crashes back
ends does so in every request. Blocks that came with the cause are as frequent as the cause itself
until they are answered without it, so blocks that cannot be told apart are blamed together: only
requests that have all of them are refused, and the others show which one it is.
"""

from collections import OrderedDict
from collections.abc import Sequence
from collections.abc import Set as AbstractSet

import msgspec

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.quarantine.block_key import BlockGroup, BlockKey, make_group
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint

NUM_CRASHES = 5
"""Number of runs that must crash with a block before it is considered a cause. Fewer could be
crashes for other reasons, one after the other."""

MIN_REQUESTS = 2
"""Number of different requests that must have had the block. If there is only one, the request
itself is quarantined, and others with the same blocks are not."""

MIN_UNEXPLAINED = 3
"""Number of crashes that no other cause may explain before a further block is blamed."""

MIN_DIFFERENCE = 2
"""Number of crashes with only one of two blocks by which they are told apart, if there are crashes
with only the other one too."""

MIN_OBSERVED_S = 0.3
"""Seconds from a block's first crash until it is blamed, in which other nodes tell that it was
answered. When a zone loses power, many runs crash at once with the same blocks."""

MIN_OBSERVED_IF_ANSWERED_S = 1.0
"""The same for a block that was answered before: answers that are under way clear it meanwhile."""

SUSPECT_LIFETIME_S = 900.0
"""Seconds after its last crash at which a block is forgotten; longer than a quarantine."""

MAX_SUSPECTS = 4096
"""Maximum number of suspected blocks; beyond it, the one whose last crash is oldest is forgotten.
"""

MAX_REPORTS = 4096
"""Maximum number of reports that are remembered in order to recognize repeated ones."""


class BlocksCrash(msgspec.Struct, frozen=True):
    """A back end crashed while it began to answer a request with these shared blocks.

    Attributes:
        run: Run of the back end.
        request: Fingerprint of the request.
        blocks: The request's shared blocks.
        was_sent_after_crash: Whether a crash with one of the blocks was known when it was sent.
    """

    run: RunId
    request: RequestFingerprint
    blocks: tuple[BlockKey, ...]
    was_sent_after_crash: bool


class SuspectBlock(msgspec.Struct):
    """A block with which back ends crashed.

    Attributes:
        first_crash_s: Time of the first crash since the block was last answered.
        last_crash_s: Time of the last one.
        runs: Runs that crashed since it was last answered.
        requests: The requests with the block that were interrupted.
        was_sent_after_crash: Whether one of them got the block when the crash of another was known.
        was_answered: Whether requests with the block were answered before the first crash.
        was_quarantined: Whether the block was blamed before.
    """

    first_crash_s: float
    last_crash_s: float
    runs: set[RunId] = msgspec.field(default_factory=set)
    requests: set[RequestFingerprint] = msgspec.field(default_factory=set)
    was_sent_after_crash: bool = False
    was_answered: bool = False
    was_quarantined: bool = False

    def may_be_cause(self, now_s: float) -> bool:
        """Return whether enough runs crashed with the block, over a long enough time."""
        if self.was_quarantined:
            return bool(self.runs)
        if len(self.runs) < NUM_CRASHES or len(self.requests) < MIN_REQUESTS:
            return False
        observed_s = MIN_OBSERVED_IF_ANSWERED_S if self.was_answered else MIN_OBSERVED_S
        return self.was_sent_after_crash and now_s - self.first_crash_s >= observed_s

    def clear(self) -> None:
        """Forget the crashes."""
        self.runs.clear()
        self.requests.clear()
        self.was_sent_after_crash = False


class BlockSuspects:
    """Tracks blocks with which back ends crashed, and decides which of them are the cause."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[BlockKey, SuspectBlock] = OrderedDict()
        self._reports: OrderedDict[tuple[RunId, RequestFingerprint], bool] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def is_suspect(self, block: BlockKey) -> bool:
        """Return whether a run crashed with a block since it was last answered."""
        suspect = self._suspects.get(block)
        return suspect is not None and bool(suspect.runs)

    def runs(self, group: BlockGroup) -> Sequence[RunId]:
        """Return the runs that crashed with all blocks of a group since they were answered."""
        known = [self._suspects[block].runs for block in group if block in self._suspects]
        return sorted(set.intersection(*known)) if known else []

    def note_crash(self, crash: BlocksCrash, now_s: float) -> bool:
        """Record a crash; return whether the report was new."""
        report = (crash.run, crash.request)
        if self._reports.get(report, -1) >= crash.was_sent_after_crash:
            return False
        # Several nodes may report a run, some of them before they knew of another crash.
        is_known_run = report in self._reports
        self._reports[report] = crash.was_sent_after_crash
        while len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)
        for block in crash.blocks:
            if is_known_run and crash.run not in self._runs_of(block):
                continue  # It was answered since the first report of this crash.
            self._count(block, crash, now_s)
        return True

    def _runs_of(self, block: BlockKey) -> AbstractSet[RunId]:
        suspect = self._suspects.get(block)
        return suspect.runs if suspect is not None else frozenset()

    def _count(self, block: BlockKey, crash: BlocksCrash, now_s: float) -> None:
        suspect = self._suspects.get(block)
        if suspect is None:
            suspect = self._suspects[block] = SuspectBlock(now_s, now_s)
            if len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        if not suspect.runs:
            suspect.first_crash_s = now_s
        suspect.runs.add(crash.run)
        suspect.requests.add(crash.request)
        suspect.was_sent_after_crash |= crash.was_sent_after_crash
        suspect.last_crash_s = now_s
        self._suspects.move_to_end(block)

    def note_answered(self, block: BlockKey) -> bool:
        """Clear a block that was answered; return whether it was suspected."""
        suspect = self._suspects.get(block)
        if suspect is None:
            return False
        was_suspect = bool(suspect.runs) or suspect.was_quarantined
        suspect.clear()
        suspect.was_answered = True
        suspect.was_quarantined = False
        return was_suspect

    def note_answered_before(self, block: BlockKey) -> bool:
        """Record that a block was answered before its crashes; return whether that is news."""
        suspect = self._suspects.get(block)
        if suspect is None or suspect.was_answered:
            return False
        suspect.was_answered = True
        return True

    def note_quarantine_over(self, group: BlockGroup, now_s: float) -> None:
        """Record that the quarantine of a group has ended: one more crash begins the next."""
        for block in group:
            suspect = self._suspects.setdefault(block, SuspectBlock(now_s, now_s))
            suspect.clear()
            suspect.was_quarantined = True
            suspect.last_crash_s = now_s
            self._suspects.move_to_end(block)

    def forget_old(self, now_s: float) -> None:
        """Forget blocks whose last crash is older than `SUSPECT_LIFETIME_S`."""
        while self._suspects:
            oldest = next(iter(self._suspects))
            if now_s - self._suspects[oldest].last_crash_s <= SUSPECT_LIFETIME_S:
                return
            del self._suspects[oldest]

    def causes(self, now_s: float, hears_most_nodes: bool = True) -> Sequence[BlockGroup]:
        """Return the groups of blocks that are considered causes of crashes.

        Blocks that were answered before are blamed only for crashes that the others cannot explain.

        Args:
            now_s: Current time.
            hears_most_nodes: Whether answers at most other nodes would have become known. Without
                them, blocks that were answered before are not blamed.
        """
        candidates = {
            block: suspect
            for block, suspect in self._suspects.items()
            if suspect.may_be_cause(now_s)
        }
        fresh = {block: one.runs for block, one in candidates.items() if not one.was_answered}
        answered = {block: one.runs for block, one in candidates.items() if one.was_answered}
        explained: set[RunId] = set()
        groups = _explain(fresh, explained)
        return [*groups, *_explain(answered, explained)] if hears_most_nodes else groups


def _explain(runs_of: dict[BlockKey, set[RunId]], explained: set[RunId]) -> list[BlockGroup]:
    """Return as few groups as explain all crashes, those with the most crashes first.

    Each group explains at least `MIN_UNEXPLAINED` that the others do not, unless it has fewer.

    Args:
        runs_of: The runs that crashed with each block.
        explained: Crashes that are explained already; those of the groups are added.
    """
    groups = []
    for block, runs in sorted(runs_of.items(), key=lambda item: (-len(item[1]), item[0])):
        if len(runs - explained) < min(len(runs), MIN_UNEXPLAINED):
            continue
        others = (other for other in runs_of if _are_alike(runs, runs_of[other]))
        groups.append(make_group([block, *others]))
        explained |= runs
    return groups


def _are_alike(runs: AbstractSet[RunId], others: AbstractSet[RunId]) -> bool:
    """Return whether another block cannot be told apart from one with at least as many crashes."""
    if others < runs:
        return False
    return len(runs - others) < MIN_DIFFERENCE and len(others - runs) < MIN_DIFFERENCE
