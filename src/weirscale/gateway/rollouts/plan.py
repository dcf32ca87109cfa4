"""The rule of which stage a rollout enters next, and the record of it; pure.

Inputs: the order, its record and what the holder knows (`RolloutFacts`, times in seconds). Stages:
canary, then moving once the verdict is good and the target has the capacity, then completed once no
node uses the older versions. A bad or undecided verdict returns the rollout. An end is never left.
Reasons and figures: docs/design/0019-version-rollouts.md.
"""

import msgspec

from weirscale.domain.identifiers import SoftwareVersion
from weirscale.gateway.model.rollout_order import RolloutOrder, RolloutState
from weirscale.gateway.rollouts.record import RolloutRecord, Stage
from weirscale.gateway.rollouts.tallies import Evidence
from weirscale.gateway.rollouts.verdict import Judgement, Verdict
from weirscale.gateway.rollouts.view import unusable_after

VERDICT_SHARE = 0.5
"""Share of an order's deadline from which on a good version may be moved to. Not measured."""

MOVE_S = 6.0
"""Seconds before the deadline until which the verdict may wait, if that is later: streams take
seconds to end where they run, and until the verdict a bad version gets no more than its share. Not
measured; docs/design/0019-version-rollouts.md, "Moving"."""

LAST_VERDICT_S = 2.0
"""Seconds before the deadline at which an undecided version is returned. Not measured."""

LEAST_CAPACITY_SHARE = 0.5
"""Share of the older engines' slots that the target's engines must have at least. Not measured."""

HOLD_S = 1.5
"""Seconds for which the conditions of the end must hold: gossip of loads and moves may be as old.
Not measured."""

SILENCE_MARGIN_S = 0.5
"""Seconds added to the time after which a silent node has lost its proof. Not measured."""


class RolloutFacts(msgspec.Struct, frozen=True):
    """What the holder knows of a rollout now.

    Attributes:
        elapsed_s: Seconds since the order, at least.
        verdict: What is known of the target.
        evidence: Counts to write into the record.
        target_slots: Slots of the target's engines that take work.
        old_slots: Slots of the older engines that take work.
        old_versions: Versions of the older back ends, leaving ones included.
        all_moved_for_s: Seconds for which all nodes have been known to have moved and no request to
            run at older versions; 0 if that is not the case now.
        in_stage_s: Seconds since this node first saw the record at its stage.
        rollback_s: Seconds of silence after which a node has lost its proof.
        old_requests: Requests known to run at older versions.
        target_serves: Whether the target served before its order.
    """

    elapsed_s: float
    verdict: Verdict
    evidence: Evidence = Evidence()
    target_slots: int = 0
    old_slots: int = 0
    old_versions: tuple[SoftwareVersion, ...] = ()
    all_moved_for_s: float = 0.0
    in_stage_s: float = 0.0
    rollback_s: float = 5.0
    old_requests: int = 0
    target_serves: bool = False


class Step(msgspec.Struct, frozen=True):
    """A stage to enter, and why."""

    stage: Stage
    reason: str


def verdict_due_s(deadline_s: float) -> float:
    """Return the time since the order at which the verdict falls."""
    return max(VERDICT_SHARE * deadline_s, deadline_s - MOVE_S)


def next_step(
    order: RolloutOrder, record: RolloutRecord | None, facts: RolloutFacts
) -> Step | None:
    """Return the stage to enter now, or None to stay.

    Args:
        order: The order.
        record: The record about this order, or None if nobody has begun it.
        facts: What is known now.
    """
    if record is None:
        if facts.target_serves:
            return Step(Stage.MOVING, "served_before")
        return Step(Stage.CANARY, "ordered")
    if record.has_ended():
        return None
    if facts.verdict.judgement is Judgement.BAD:
        return Step(Stage.ROLLED_BACK, f"bad:{facts.verdict.reason}")
    if record.stage is Stage.CANARY:
        return _after_canary(order, facts)
    if _may_complete(facts):
        return Step(Stage.COMPLETED, "moved")
    return None


def _after_canary(order: RolloutOrder, facts: RolloutFacts) -> Step | None:
    if facts.elapsed_s < verdict_due_s(order.deadline_s):
        return None
    is_good = facts.verdict.judgement is Judgement.GOOD
    has_room = facts.target_slots >= LEAST_CAPACITY_SHARE * facts.old_slots
    if is_good and has_room and facts.target_slots > 0:
        return Step(Stage.MOVING, "good")
    if facts.elapsed_s < order.deadline_s - LAST_VERDICT_S:
        return None
    lacks = "too_few_runners" if is_good else f"undecided:{facts.verdict.reason}"
    return Step(Stage.ROLLED_BACK, lacks)


def _may_complete(facts: RolloutFacts) -> bool:
    """Whether nobody uses the older versions any more, and nothing runs there.

    Nodes that do not say so have lost their proof once they have been silent for long enough.
    """
    if facts.old_requests:
        return False
    has_waited = facts.in_stage_s >= facts.rollback_s + SILENCE_MARGIN_S + HOLD_S
    return facts.all_moved_for_s >= HOLD_S or has_waited


def next_record(
    order: RolloutOrder,
    record: RolloutRecord | None,
    step: Step,
    facts: RolloutFacts,
    token: int,
) -> RolloutRecord:
    """Return the record of a stage that is entered.

    Args:
        order: The order.
        record: The latest record of the service, whichever order it is about.
        step: The stage.
        facts: What is known now.
        token: Fencing token of the holder.
    """
    if record is not None and record.epoch == order.epoch:
        unusable = set(record.unusable)
        predecessors = record.predecessors
    else:
        unusable = set(unusable_after(record, order))
        predecessors = tuple(one for one in facts.old_versions if one not in unusable)
    if step.stage is Stage.COMPLETED:
        unusable |= set(facts.old_versions)
    if step.stage is Stage.ROLLED_BACK:
        unusable.add(order.target)
    return RolloutRecord(
        service=order.service,
        epoch=order.epoch,
        target=order.target,
        stage=step.stage,
        elapsed_s=facts.elapsed_s,
        token=token,
        unusable=tuple(sorted(unusable)),
        evidence=facts.evidence,
        reason=step.reason,
        predecessors=predecessors,
    )


def withdrawn_record(record: RolloutRecord, token: int) -> RolloutRecord:
    """Return the record of a rollout whose order was withdrawn.

    Args:
        record: The latest record.
        token: Fencing token of the holder.
    """
    return msgspec.structs.replace(
        record,
        stage=Stage.ROLLED_BACK,
        token=token,
        unusable=(*record.unusable, record.target),
        reason="withdrawn",
    )


def status_of(record: RolloutRecord) -> RolloutState:
    """Return what operators are to read."""
    if record.stage is Stage.COMPLETED:
        return RolloutState.COMPLETED
    if record.stage is Stage.ROLLED_BACK:
        return RolloutState.ROLLED_BACK
    return RolloutState.ACTIVE
