"""Attempts whose first event is overdue, so that rates are learnt from them before it comes.

A first event that has come shows how long it took. One that has not come yet shows that it takes at
least as long as the wait so far. Learning from those that came alone would favour the quickest, and
a queue of seconds would be known only seconds later. Measured with engines that read at half their
rate: a worth of 0.357 instead of 0.311 (`docs/DECISIONS.md`, O4).
"""

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.routing.candidate import Choice

OVERDUE_FACTOR = 1.5
"""Multiple, without unit, of the expected wait after which an attempt is overdue; it is reported
again each time that the wait has grown by this factor."""

LEAST_OVERDUE_S = 0.1
"""Seconds below which no wait is overdue: a busy node reads events that much late itself."""


class _OpenAttempt(msgspec.Struct):
    choice: Choice
    began_s: float
    due_s: float


class OverdueAttempts:
    """This node's attempts that wait for their first event."""

    def __init__(self) -> None:
        self._open: dict[int, _OpenAttempt] = {}
        self._alive_at_s: dict[InstanceId, float] = {}
        """When an engine last made an event for this node, or a first one for a node of its group,
        as far as gossip tells."""

    def attempt_sent(self, choice: Choice, now_s: float) -> None:
        """An attempt goes out and waits for its first event."""
        due_s = now_s + max(LEAST_OVERDUE_S, OVERDUE_FACTOR * choice.estimate_s)
        self._open[id(choice)] = _OpenAttempt(choice, now_s, due_s)

    def wait_ended(self, choice: Choice) -> None:
        """An attempt has had its first event, or has ended without one."""
        self._open.pop(id(choice), None)

    def engine_alive(self, instance: InstanceId, now_s: float) -> None:
        """An engine has made an event."""
        self._alive_at_s[instance] = now_s

    def is_alive_since(self, instance: InstanceId, since_s: float) -> bool:
        """Whether an engine has made an event after a time."""
        return self._alive_at_s.get(instance, 0.0) > since_s

    def forget_engine(self, instance: InstanceId) -> None:
        """Forget an engine that is gone."""
        self._alive_at_s.pop(instance, None)

    def take_due(self, now_s: float) -> list[tuple[Choice, float]]:
        """Return the attempts that are overdue, each with how long it has waited.

        Those of engines that have made no event meanwhile are left out: such an engine may be dead,
        and its silence says nothing about rates.
        """
        due = []
        for attempt in self._open.values():
            if now_s < attempt.due_s:
                continue
            waited_s = now_s - attempt.began_s
            attempt.due_s = attempt.began_s + OVERDUE_FACTOR * waited_s
            instance = attempt.choice.candidate.back_end.instance
            if self.is_alive_since(instance, attempt.began_s):
                due.append((attempt.choice, waited_s))
        return due
