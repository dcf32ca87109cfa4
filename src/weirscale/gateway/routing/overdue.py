"""Attempts whose first event is overdue.

A first event that has come tells how long it took. One that has not come yet tells that it takes
at least as long as it has been waited for. Were only those that came learnt from, rates would be
learnt from the quickest alone, and too late: a queue of seconds would tell of itself after seconds.
"""

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.routing.candidate import Choice

OVERDUE_FACTOR = 1.5
"""An attempt tells of itself once it has waited for this multiple of what was expected, and again
each time that the wait has grown by this factor."""

LEAST_OVERDUE_S = 0.1
"""Shorter waits tell nothing: they are within what a busy node is late itself."""


class _OpenAttempt(msgspec.Struct):
    choice: Choice
    began_s: float
    due_s: float


class OverdueAttempts:
    """This node's attempts that wait for their first event."""

    def __init__(self) -> None:
        self._open: dict[int, _OpenAttempt] = {}
        self._alive_at_s: dict[InstanceId, float] = {}
        """When an engine last made an event for this node."""

    def attempt_sent(self, choice: Choice, now_s: float) -> None:
        """An attempt goes out."""
        due_s = now_s + max(LEAST_OVERDUE_S, OVERDUE_FACTOR * choice.estimate_s)
        self._open[id(choice)] = _OpenAttempt(choice, now_s, due_s)

    def wait_ended(self, choice: Choice) -> None:
        """An attempt has had its first event, or has ended without one."""
        self._open.pop(id(choice), None)

    def engine_alive(self, instance: InstanceId, now_s: float) -> None:
        """An engine has made an event."""
        self._alive_at_s[instance] = now_s

    def forget_engine(self, instance: InstanceId) -> None:
        """Forget an engine that is gone."""
        self._alive_at_s.pop(instance, None)

    def take_due(self, now_s: float) -> list[tuple[Choice, float]]:
        """Return the attempts that are overdue, each with how long it has waited.

        An engine that has made nothing else meanwhile may be dead, and tells nothing of rates.
        """
        due = []
        for attempt in self._open.values():
            if now_s < attempt.due_s:
                continue
            waited_s = now_s - attempt.began_s
            attempt.due_s = attempt.began_s + OVERDUE_FACTOR * waited_s
            instance = attempt.choice.candidate.back_end.instance
            if self._alive_at_s.get(instance, 0.0) > attempt.began_s:
                due.append((attempt.choice, waited_s))
        return due
