"""A node's records of all members, and how updates from other nodes change them."""

import msgspec

from weirscale.domain.identifiers import NodeName
from weirscale.domain.membership.broadcasts import BroadcastQueue
from weirscale.domain.membership.rules import MembershipRules
from weirscale.domain.membership.suspicions import SuspicionTable
from weirscale.domain.membership.table import MemberTable
from weirscale.messages.membership import MemberState, MemberUpdate


class MembershipState:
    """Applies updates by precedence, keeps suspicions, refutes updates about this node.

    Args:
        own: This node's first record.
        rules: Limits and timeouts.
        now_s: Current time.
    """

    def __init__(self, own: MemberUpdate, rules: MembershipRules, now_s: float) -> None:
        self.rules = rules
        self.table = MemberTable(own.zone, rules.max_tombstones)
        self.suspicions = SuspicionTable(rules)
        self.broadcasts = BroadcastQueue()
        self.health_penalty = 0
        self.is_superseded = False
        self.changed_at_s = now_s
        self.to_probe: list[NodeName] = []
        """Members that this node should probe at the next tick."""
        self._own_name = own.name
        self._accept(own, now_s)

    @property
    def own(self) -> MemberUpdate:
        """This node's own record."""
        record = self.table.get(self._own_name)
        assert record is not None
        return record

    def apply_all(self, updates: tuple[MemberUpdate, ...], now_s: float) -> None:
        """Apply the updates of another node."""
        for update in updates:
            self.apply(update, now_s)

    def apply(self, update: MemberUpdate, now_s: float) -> None:
        """Apply one update if it takes precedence over the record held."""
        if update.name == self._own_name:
            self._apply_to_self(update, now_s)
            return
        held = self.table.get(update.name)
        if held is None and not update.is_live:
            # Only stored: the death of a member that was never seen here need not be announced.
            self.table.put(update, now_s)
            return
        if held is None or update.precedence() > held.precedence():
            self._accept(update, now_s)
        elif update.precedence() == held.precedence() and update.state is MemberState.SUSPECT:
            self._add_accuser(update)

    def accuse(self, target: MemberUpdate, now_s: float) -> None:
        """Suspect a member after a failed probe of it, or confirm the suspicion of others."""
        held = self.table.get(target.name)
        if held is None or held.incarnation != target.incarnation or not held.is_live:
            return
        if held.refutations != target.refutations:
            return
        accusation = msgspec.structs.replace(
            held, state=MemberState.SUSPECT, accuser=self._own_name
        )
        self.apply(accusation, now_s)

    def declare_expired_dead(self, now_s: float) -> None:
        """Declare members dead whose suspicion has timed out."""
        for name in self.suspicions.expired(now_s, self.table.num_live):
            held = self.table.get(name)
            if held is None or held.state is not MemberState.SUSPECT:
                self.suspicions.end(name)
                continue
            dead = msgspec.structs.replace(held, state=MemberState.DEAD, accuser="")
            self._accept(dead, now_s)

    def declare_self(self, state: MemberState, now_s: float) -> None:
        """Set and announce a new state of this node."""
        refutations = self.own.refutations + 1
        self._accept(msgspec.structs.replace(self.own, state=state, refutations=refutations), now_s)

    def adjust_health_penalty(self, points: int) -> None:
        """Add points, which may be negative, to the penalty that stretches this node's timeouts."""
        limit = self.rules.max_health_penalty
        self.health_penalty = min(limit, max(0, self.health_penalty + points))

    def _accept(self, update: MemberUpdate, now_s: float) -> None:
        self.table.put(update, now_s)
        self.changed_at_s = now_s
        self.broadcasts.put(update)
        if update.state is MemberState.SUSPECT:
            self.suspicions.start(update.name, update.accuser, now_s)
            self._queue_confirmation(update)
            return
        ended = self.suspicions.end(update.name)
        if ended is not None and update.is_live and self._own_name in ended.accusers:
            self.adjust_health_penalty(1)

    def _add_accuser(self, update: MemberUpdate) -> None:
        if self.suspicions.confirm(update.name, update.accuser):
            self.broadcasts.put(update)

    def _queue_confirmation(self, update: MemberUpdate) -> None:
        if update.accuser == self._own_name:
            return
        count = self.rules.num_confirmers
        if self.table.fleet_ring.is_among_predecessors(self._own_name, update.name, count):
            self.to_probe.append(update.name)

    def _apply_to_self(self, update: MemberUpdate, now_s: float) -> None:
        own = self.own
        if update.incarnation > own.incarnation:
            self.is_superseded = True
            return
        is_older = update.precedence() <= own.precedence()
        if update.incarnation < own.incarnation or is_older or not own.is_live:
            return
        # Only this node may change its record: refute the update with a higher refutation count.
        refuted = msgspec.structs.replace(own, refutations=update.refutations + 1)
        self._accept(refuted, now_s)
        self.adjust_health_penalty(1)
