"""The rule of when an answer counts as slow, against the usual times of older versions.

Inputs: the seconds to the first event, what was expected of them, and the seconds between events.
Both sides of a rollout are judged by the same limit, so it need not be exact: a version that is
several times slower exceeds it several times as often.
"""

import msgspec

from weirscale.domain.identifiers import ServiceName

SLOW_FACTOR = 2.0
"""An answer that takes longer than this multiple of the usual time is slow. Not measured by itself;
what a verdict finds with it is in docs/design/0019-version-rollouts.md, "Verdict"."""

LEAST_TIME_S = 0.02
"""Seconds to the first event below which times do not differ: the network alone takes some
milliseconds. Not measured."""

LEAST_PACE_S = 0.005
"""Seconds between two events below which times do not differ. Not measured."""

LEARNING_WEIGHT = 0.05
"""Weight of one answer in the usual time: the last 20 or so count. Not measured."""

NUM_TO_KNOW = 5
"""Answers before a usual time is used. Not measured."""


class AnswerTimes(msgspec.Struct, frozen=True):
    """What one attempt took, in seconds.

    Attributes:
        first_event_s: Until the first event, or the whole answer.
        expected_s: What was expected of that, or None where nothing is.
        pace_s: Time from one event to the next on average, or None without several.
    """

    first_event_s: float
    expected_s: float | None = None
    pace_s: float | None = None


class AttemptTimes(msgspec.Struct):
    """What an attempt has taken so far; its exchange updates it.

    Attributes:
        first_event_s: Until the first event, or None before it.
        num_parts: Parts of the answer with whole events.
    """

    first_event_s: float | None = None
    num_parts: int = 0

    def answer_times(self, ended_s: float, expected_s: float | None) -> AnswerTimes:
        """Return the times of an attempt that has ended.

        Args:
            ended_s: When, since its beginning.
            expected_s: What was expected of its first event, or None where nothing is.
        """
        if self.first_event_s is None:
            return AnswerTimes(ended_s, expected_s)
        pace_s = None
        if self.num_parts > 1:
            pace_s = (ended_s - self.first_event_s) / (self.num_parts - 1)
        return AnswerTimes(self.first_event_s, expected_s, pace_s)


class _Usual:
    """A mean that forgets."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._num = 0

    def learn(self, took_s: float) -> None:
        self._num += 1
        weight = max(LEARNING_WEIGHT, 1.0 / self._num)
        self._mean_s += weight * (took_s - self._mean_s)

    def known_s(self) -> float | None:
        return self._mean_s if self._num >= NUM_TO_KNOW else None


class UsualPace:
    """Learns what answers of older versions take, by route."""

    def __init__(self) -> None:
        self._first: dict[tuple[ServiceName, str], _Usual] = {}
        self._pace: dict[tuple[ServiceName, str], _Usual] = {}

    def learn(self, service: ServiceName, route: str, times: AnswerTimes) -> None:
        """Learn from an answer of an older version."""
        key = (service, route)
        self._first.setdefault(key, _Usual()).learn(times.first_event_s)
        if times.pace_s is not None:
            self._pace.setdefault(key, _Usual()).learn(times.pace_s)

    def is_slow(self, service: ServiceName, route: str, times: AnswerTimes) -> bool:
        """Whether an answer took several times as long as usual."""
        key = (service, route)
        usual = self._first.get(key)
        expected_s = times.expected_s
        if expected_s is None and usual is not None:
            expected_s = usual.known_s()
        if expected_s is not None and times.first_event_s > _limit_s(expected_s, LEAST_TIME_S):
            return True
        pace = self._pace.get(key)
        usual_s = None if pace is None else pace.known_s()
        if usual_s is None or times.pace_s is None:
            return False
        return times.pace_s > _limit_s(usual_s, LEAST_PACE_S)


def _limit_s(usual_s: float, least_s: float) -> float:
    return SLOW_FACTOR * max(usual_s, least_s)
