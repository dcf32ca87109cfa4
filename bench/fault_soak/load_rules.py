"""Rules on prompt blocks that crash back ends, and on a node that gets all new connections."""

from collections.abc import Iterator, Sequence

from bench.fault_soak.evidence import Evidence
from bench.fault_soak.history import (
    FatalCrash,
    FatalPeriod,
    FavoredPeriod,
    Outcome,
    RequestEnded,
    RequestSent,
)
from bench.fault_soak.violations import Rule, Violation

HTTP_OK = 200
NUM_CRASHES = 5
"""Crashes on a block after which requests with it must stop."""

MAX_LATE_RUNS = 3
MIN_COMPARED = 20
SOUND_SHARE = 0.5
FAVORED_SHARE = 0.75
BEFORE_S = 5.0
"""Time before a period with which it is compared."""


def fatal_blocks_stop(evidence: Evidence) -> Iterator[Violation]:
    """Check that at most three requests with a fatal block run late after the fifth crash.

    Only requests that nodes in contact sent count.
    """
    for period in evidence.records_of(FatalPeriod):
        crashes = _crashes(evidence, period)
        if len(crashes) < NUM_CRASHES:
            continue
        since_s = crashes[NUM_CRASHES - 1].at_s + evidence.bounds.contact_s
        late = [
            run
            for request, runs in evidence.runs.items()
            if (sent := evidence.sent.get(request)) and period.block in sent.blocks
            for run in runs
            if run.at_s > since_s and evidence.is_in_contact(sent.node, sent.at_s, run.at_s)
        ]
        if len(late) > MAX_LATE_RUNS:
            explanation = f"{len(late)} requests ran later than {since_s:.3f}"
            yield Violation(Rule.FATAL_BLOCKS_STOP, late[-1].at_s, period.block, explanation)


def sound_blocks_go_on(evidence: Evidence) -> Iterator[Violation]:
    """Check that other streams begin at least half as often as before, once the block is known."""
    for period in evidence.records_of(FatalPeriod):
        crashes = _crashes(evidence, period)
        if not crashes:
            continue
        last = crashes[min(len(crashes), NUM_CRASHES) - 1]
        since_s = last.at_s + 2.0 * evidence.bounds.contact_s
        before = _ends(evidence, period.at_s - BEFORE_S, period.at_s)
        after = _ends(evidence, since_s, period.until_s)
        sound = [_has_begun(ended) for sent, ended in after if _is_sound(sent, period)]
        usual = [_has_begun(ended) for sent, ended in before if sent.blocks]
        if _is_worse(sound, usual, SOUND_SHARE):
            explanation = f"{sum(sound)} of {len(sound)} began, {sum(usual)} of {len(usual)} before"
            yield Violation(Rule.SOUND_BLOCKS_GO_ON, period.until_s, period.block, explanation)


def favored_node_serves(evidence: Evidence) -> Iterator[Violation]:
    """Check that a node with all new connections serves what it reads three quarters as often."""
    for period in evidence.records_of(FavoredPeriod):
        since_s = period.at_s + evidence.bounds.contact_s
        before = _ends(evidence, period.at_s - BEFORE_S, period.at_s)
        during = _ends(evidence, since_s, period.until_s)
        usual = [_is_served(ended) for _, ended in before if _was_read(ended)]
        served = [
            _is_served(ended)
            for sent, ended in during
            if sent.node == period.node and _was_read(ended)
        ]
        if _is_worse(served, usual, FAVORED_SHARE):
            explanation = f"{sum(served)} of {len(served)}, before {sum(usual)} of {len(usual)}"
            yield Violation(Rule.FAVORED_NODE_SERVES, period.until_s, period.node, explanation)


def _crashes(evidence: Evidence, period: FatalPeriod) -> list[FatalCrash]:
    return [crash for crash in evidence.records_of(FatalCrash) if crash.block == period.block]


def _ends(
    evidence: Evidence, from_s: float, until_s: float
) -> Sequence[tuple[RequestSent, RequestEnded]]:
    """Return the requests sent in a period to nodes in contact, and how they ended."""
    return [
        (sent, ended)
        for ended in evidence.ended
        if (sent := evidence.sent[ended.request])
        and from_s <= sent.at_s < until_s
        and ended.outcome is not Outcome.LEFT
        and evidence.is_in_contact(sent.node, sent.at_s, ended.at_s)
    ]


def _is_sound(sent: RequestSent, period: FatalPeriod) -> bool:
    return bool(sent.blocks) and period.block not in sent.blocks


def _has_begun(ended: RequestEnded) -> bool:
    return bool(ended.event_numbers) or _is_served(ended)


def _is_served(ended: RequestEnded) -> bool:
    return ended.outcome is Outcome.ANSWERED and ended.status == HTTP_OK


def _was_read(ended: RequestEnded) -> bool:
    is_unread = ended.outcome in (Outcome.NOT_CONNECTED, Outcome.BROKEN) and not ended.status
    return not is_unread


def _is_worse(shares: Sequence[bool], usual: Sequence[bool], least_share: float) -> bool:
    if len(shares) < MIN_COMPARED or len(usual) < MIN_COMPARED:
        return False
    return sum(shares) / len(shares) < least_share * sum(usual) / len(usual)
