"""Decides which stage a rollout enters next, and returns the record of it. Pure functions.

Inputs: the order, its record and the lease holder's facts (`RolloutFacts`, times in seconds).
Stages: canary, then moving once the verdict is good and the target has the capacity, then completed
once no node uses the older versions. A bad or undecided verdict rolls back. The stages completed
and rolled back are final. Reasons and figures: docs/design/0019-version-rollouts.md.
"""

import msgspec

from weirscale.domain.identifiers import SoftwareVersion
from weirscale.gateway.model.rollout_order import RolloutOrder, RolloutState
from weirscale.gateway.rollouts.record import RolloutRecord, Stage
from weirscale.gateway.rollouts.tallies import Evidence
from weirscale.gateway.rollouts.verdict import Judgement, Verdict
from weirscale.gateway.rollouts.view import unusable_after

VERDICT_DEADLINE_SHARE = 0.5
"""Fraction of an order's deadline after which traffic may move to a good version."""

MAX_MOVE_S = 6.0
"""Seconds before the deadline until which the verdict may wait, if that is later than
`VERDICT_DEADLINE_SHARE`. Running streams take seconds to end, and until the verdict a bad version
gets no more than the canary share (docs/design/0019-version-rollouts.md, "Moving")."""

LAST_VERDICT_MARGIN_S = 2.0
"""Seconds before the deadline at which an undecided version is rolled back."""

MIN_CAPACITY_SHARE = 0.5
"""The target's engines must have at least this fraction of the older engines' slots."""

SETTLE_S = 1.5
"""Seconds for which the conditions for completion must hold, since gossip of loads and moves may be
this old."""

SILENCE_MARGIN_S = 0.5
"""Safety margin in seconds, added to the time after which the state of a silent node is stale."""


class RolloutFacts(msgspec.Struct, frozen=True):
    """Current facts about a rollout, as known to the lease holder.

    Attributes:
        elapsed_s: Seconds since the order; a lower bound if the order is older than this node.
        verdict: Verdict on the target so far.
        evidence: Counts to write into the record.
        target_slots: Slots of the target's engines that accept requests.
        old_slots: Slots of the older engines that accept requests.
        old_versions: Versions of the older back ends, including leaving ones.
        all_moved_for_s: Seconds for which all nodes have been known to have moved and no request to
            run at older versions; 0 if that is not the case now.
        in_stage_s: Seconds since this node first saw the record at its stage.
        rollback_s: Seconds of silence after which a node's state is too stale to serve.
        old_requests: Known number of requests in flight at older versions.
        target_served_before: Whether the target served before its order.
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
    target_served_before: bool = False


class Step(msgspec.Struct, frozen=True):
    """A stage to enter, and the reason."""

    stage: Stage
    reason: str


def verdict_due_s(deadline_s: float) -> float:
    """Return the seconds from the order to the verdict."""
    return max(VERDICT_DEADLINE_SHARE * deadline_s, deadline_s - MAX_MOVE_S)


def next_step(
    order: RolloutOrder, record: RolloutRecord | None, facts: RolloutFacts
) -> Step | None:
    """Return the stage to enter now, or None to stay.

    Args:
        order: The order.
        record: The record of this order, or None if no node has started the rollout.
        facts: Current facts.
    """
    if record is None:
        if facts.target_served_before:
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
    has_capacity = facts.target_slots >= MIN_CAPACITY_SHARE * facts.old_slots
    if is_good and has_capacity and facts.target_slots > 0:
        return Step(Stage.MOVING, "good")
    if facts.elapsed_s < order.deadline_s - LAST_VERDICT_MARGIN_S:
        return None
    reason = "too_few_runners" if is_good else f"undecided:{facts.verdict.reason}"
    return Step(Stage.ROLLED_BACK, reason)


def _may_complete(facts: RolloutFacts) -> bool:
    """Return whether no node uses the older versions any more and no request runs there.

    Nodes that have not reported the move count as moved after a long enough silence, since their
    state is then too stale to use the older versions.
    """
    if facts.old_requests:
        return False
    has_waited = facts.in_stage_s >= facts.rollback_s + SILENCE_MARGIN_S + SETTLE_S
    return facts.all_moved_for_s >= SETTLE_S or has_waited


def next_record(
    order: RolloutOrder,
    record: RolloutRecord | None,
    step: Step,
    facts: RolloutFacts,
    token: int,
) -> RolloutRecord:
    """Return the record that enters a stage.

    Args:
        order: The order.
        record: The latest record of the service, of this order or an earlier one.
        step: The stage to enter.
        facts: Current facts.
        token: Fencing token of the lease holder.
    """
    if record is not None and record.epoch == order.epoch:
        unusable = set(record.unusable)
        predecessors = record.predecessors
    else:
        unusable = set(unusable_after(record, order))
        predecessors = tuple(version for version in facts.old_versions if version not in unusable)
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
        token: Fencing token of the lease holder.
    """
    return msgspec.structs.replace(
        record,
        stage=Stage.ROLLED_BACK,
        token=token,
        unusable=(*record.unusable, record.target),
        reason="withdrawn",
    )


def status_of(record: RolloutRecord) -> RolloutState:
    """Return the state to show to operators."""
    if record.stage is Stage.COMPLETED:
        return RolloutState.COMPLETED
    if record.stage is Stage.ROLLED_BACK:
        return RolloutState.ROLLED_BACK
    return RolloutState.ACTIVE
