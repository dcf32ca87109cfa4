"""Attempts with an overdue first event, so that rates are learnt before the event arrives.

A missing first event shows that it takes at least as long as the wait so far. Learning only from
received first events would favour the fastest ones, and a queue of several seconds would be noticed
only seconds later. With engines that prefill at half their rate, this raised the worth (value of
answers less cost, as a share of the achievable value) from 0.311 to 0.357 (`docs/DECISIONS.md`,
O4).
"""

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.routing.candidate import Choice

OVERDUE_FACTOR = 1.5
"""Multiple, without unit, of the expected wait after which an attempt is overdue. The attempt is
reported again each time the wait has grown by this factor."""

MIN_OVERDUE_S = 0.1
"""Minimum wait, in seconds, of an overdue attempt, since a busy node may itself read events this
late."""


class _WaitingAttempt(msgspec.Struct):
    choice: Choice
    sent_at_s: float
    due_s: float


class OverdueAttempts:
    """Tracks this node's attempts that wait for their first event."""

    def __init__(self) -> None:
        self._waiting: dict[int, _WaitingAttempt] = {}
        self._last_event_at_s: dict[InstanceId, float] = {}
        """Time at which an engine last emitted an event for this node, or, as gossip reports it, a
        first event for another node of its group."""

    def attempt_sent(self, choice: Choice, now_s: float) -> None:
        """Record that an attempt was sent and waits for its first event."""
        due_s = now_s + max(MIN_OVERDUE_S, OVERDUE_FACTOR * choice.estimate_s)
        self._waiting[id(choice)] = _WaitingAttempt(choice, now_s, due_s)

    def wait_ended(self, choice: Choice) -> None:
        """Record that an attempt received its first event, or ended without one."""
        self._waiting.pop(id(choice), None)

    def engine_alive(self, instance: InstanceId, now_s: float) -> None:
        """Record that an engine emitted an event."""
        self._last_event_at_s[instance] = now_s

    def has_event_since(self, instance: InstanceId, since_s: float) -> bool:
        """Return whether an engine has emitted an event after a time."""
        return self._last_event_at_s.get(instance, 0.0) > since_s

    def forget_engine(self, instance: InstanceId) -> None:
        """Drop the state of an engine that was removed."""
        self._last_event_at_s.pop(instance, None)

    def take_due(self, now_s: float) -> list[tuple[Choice, float]]:
        """Return the overdue attempts, each with its wait so far in seconds.

        Attempts at engines that have emitted no event in that time are left out. Such an engine may
        be dead, and its silence says nothing about rates.
        """
        due = []
        for attempt in self._waiting.values():
            if now_s < attempt.due_s:
                continue
            waited_s = now_s - attempt.sent_at_s
            attempt.due_s = attempt.sent_at_s + OVERDUE_FACTOR * waited_s
            instance = attempt.choice.candidate.back_end.instance
            if self.has_event_since(instance, attempt.sent_at_s):
                due.append((attempt.choice, waited_s))
        return due
