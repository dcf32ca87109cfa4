"""Decides whether an answer counts as slow, compared with the usual times of older versions.

Inputs: the seconds to the first event, their expected value, and the seconds between events. Both
sides of a rollout are judged by the same limit, so it need not be exact: a version that is several
times slower exceeds it several times as often.
"""

import msgspec

from weirscale.domain.identifiers import ServiceName

SLOW_FACTOR = 2.0
"""An answer that takes longer than this multiple of the usual time is slow. The detection rates of
the verdict with this value are in docs/design/0019-version-rollouts.md, "Verdict"."""

MIN_FIRST_EVENT_S = 0.02
"""Shorter times to the first event count as this, since the network alone takes some
milliseconds."""

MIN_EVENT_INTERVAL_S = 0.005
"""Shorter times between two events count as this."""

MIN_ANSWER_WEIGHT = 0.05
"""Weight of one answer in the usual time, so that about the last 20 answers count."""

MIN_ANSWERS = 5
"""Answers required before a usual time is used."""


class AnswerTimes(msgspec.Struct, frozen=True):
    """Times of a completed attempt, in seconds.

    Attributes:
        first_event_s: Time to the first event, or to the whole answer if there were no events.
        expected_s: Expected value of `first_event_s`, or None if there is no estimate.
        event_interval_s: Mean time between events, or None if there were fewer than two.
    """

    first_event_s: float
    expected_s: float | None = None
    event_interval_s: float | None = None


class AttemptTimes(msgspec.Struct):
    """Times of an attempt in progress; updated while its answer arrives.

    Attributes:
        first_event_s: Time to the first event, or None before it.
        num_parts: Received parts of the answer that contained whole events.
        body_ended_s: Time to the end of the body, or None before it or if it broke. The attempt may
            go on until the end is proved.
    """

    first_event_s: float | None = None
    num_parts: int = 0
    body_ended_s: float | None = None

    def writing_s(self, ended_s: float) -> float | None:
        """Return the seconds from the first event to the end of the body; None without an event.

        Args:
            ended_s: Seconds from the start of the attempt to its end.
        """
        if self.first_event_s is None:
            return None
        return self._arrived_s(ended_s) - self.first_event_s

    def _arrived_s(self, ended_s: float) -> float:
        """Return the time to the end of the body, or to the end of the attempt without one."""
        return ended_s if self.body_ended_s is None else self.body_ended_s

    def answer_times(self, ended_s: float, expected_s: float | None) -> AnswerTimes:
        """Return the times of an attempt that has ended.

        Args:
            ended_s: Seconds from the start of the attempt to its end.
            expected_s: Expected time to its first event, or None if there is no estimate.
        """
        arrived_s = self._arrived_s(ended_s)
        if self.first_event_s is None:
            return AnswerTimes(arrived_s, expected_s)
        event_interval_s = None
        if self.num_parts > 1:
            event_interval_s = (arrived_s - self.first_event_s) / (self.num_parts - 1)
        return AnswerTimes(self.first_event_s, expected_s, event_interval_s)


class _MovingAverage:
    """Exponential moving average of times in seconds."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._num = 0

    def learn(self, took_s: float) -> None:
        self._num += 1
        weight = max(MIN_ANSWER_WEIGHT, 1.0 / self._num)
        self._mean_s += weight * (took_s - self._mean_s)

    def value_s(self) -> float | None:
        return self._mean_s if self._num >= MIN_ANSWERS else None


class BaselineTimes:
    """Usual answer times of older versions, by service and route."""

    def __init__(self) -> None:
        self._first_event: dict[tuple[ServiceName, str], _MovingAverage] = {}
        self._event_interval: dict[tuple[ServiceName, str], _MovingAverage] = {}

    def learn(self, service: ServiceName, route: str, times: AnswerTimes) -> None:
        """Add the times of an answer of an older version."""
        key = (service, route)
        self._first_event.setdefault(key, _MovingAverage()).learn(times.first_event_s)
        if times.event_interval_s is not None:
            self._event_interval.setdefault(key, _MovingAverage()).learn(times.event_interval_s)

    def is_slow(self, service: ServiceName, route: str, times: AnswerTimes) -> bool:
        """Return whether an answer took longer than `SLOW_FACTOR` times the usual time."""
        key = (service, route)
        first_event = self._first_event.get(key)
        expected_s = times.expected_s
        if expected_s is None and first_event is not None:
            expected_s = first_event.value_s()
        if expected_s is not None and times.first_event_s > _limit_s(expected_s, MIN_FIRST_EVENT_S):
            return True
        interval = self._event_interval.get(key)
        usual_s = None if interval is None else interval.value_s()
        if usual_s is None or times.event_interval_s is None:
            return False
        return times.event_interval_s > _limit_s(usual_s, MIN_EVENT_INTERVAL_S)


def _limit_s(usual_s: float, min_s: float) -> float:
    return SLOW_FACTOR * max(usual_s, min_s)
