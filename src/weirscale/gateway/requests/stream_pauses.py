"""What streams have shown of a service's engines: usual pauses, and the limit on queues.

Sets the two timeouts of an attempt: until its first event, and between two events.
"""

import math

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.requests.overload import QueueLimit
from weirscale.gateway.routing.candidate import Choice

FIRST_EVENT_OBJECTIVE_FACTOR = 1.2
"""First-event timeout as a multiple of the route's objective. Paired plays of overloaded days at
two sites: worth 0.663 and 0.694 with 1.2, 0.655 and 0.672 with 0.6."""

FIRST_EVENT_ESTIMATE_FACTOR = 3.0
"""The first-event timeout is at least this multiple of the estimated time."""

STALL_FACTOR = 1.5
"""Stall timeout as a multiple of the longest pause that the route allows."""

USUAL_PAUSE_FACTOR = 3.0
"""The stall timeout is at least this multiple of the usual pause: where all engines read long
prompts, all streams pause, and another engine would only read the prompt once more. Streams cut at
pauses of 0.75 s were read again and paused as well; the figure alone is not measured
(`docs/design/0015-overload.md`)."""

PAUSE_WEIGHT = 0.02
"""Weight of one pause in the usual pause, so that some 50 pauses count."""

DEFAULT_MAX_PAUSE_S = 0.5
"""Longest pause in seconds that a route allows that does not say."""


class _EngineStreams(msgspec.Struct):
    """Streams of this node at one engine that have begun and not ended.

    Attributes:
        num_open: How many.
        stalled_until_s: Until when stalls of the engine have been counted.
    """

    num_open: int = 0
    stalled_until_s: float = -math.inf


class StreamPauses:
    """Pauses of streams as this node sees them, by service.

    Streams that one engine leaves silent at the same time show one stall, not one each.
    """

    def __init__(self) -> None:
        self._usual_pause_s: dict[ServiceName, float] = {}
        self._queue_limits: dict[ServiceName, QueueLimit] = {}
        self._engines: dict[ServiceName, dict[InstanceId, _EngineStreams]] = {}

    def first_event_timeout_s(self, route: Route, choice: Choice) -> float:
        """Return how long a back end may be silent before its first event."""
        return max(
            FIRST_EVENT_OBJECTIVE_FACTOR * route.objective_s,
            FIRST_EVENT_ESTIMATE_FACTOR * choice.estimate_s,
        )

    def stall_timeout_s(self, route: Route, service: ServiceName) -> float:
        """Return how long a stream may be silent between two events."""
        usual_s = self._usual_pause_s.get(service, 0.0)
        longest_s = route.max_pause_s or DEFAULT_MAX_PAUSE_S
        return max(STALL_FACTOR * longest_s, USUAL_PAUSE_FACTOR * usual_s)

    def queue_limit(self, service: ServiceName) -> QueueLimit:
        """Return the limit on the queues of a service."""
        return self._queue_limits.setdefault(service, QueueLimit())

    def record_pause(self, service: ServiceName, pause_s: float) -> None:
        """Learn from a pause between two events of one attempt."""
        usual_s = self._usual_pause_s.get(service, pause_s)
        self._usual_pause_s[service] = usual_s + PAUSE_WEIGHT * (pause_s - usual_s)

    def stream_began(self, engine: BackEnd) -> None:
        """A stream has had its first event from an engine."""
        engines = self._engines.setdefault(engine.service, {})
        engines.setdefault(engine.instance, _EngineStreams()).num_open += 1

    def stream_ended(self, engine: BackEnd) -> None:
        """A stream that had begun has ended at an engine."""
        engines = self._engines[engine.service]
        streams = engines[engine.instance]
        streams.num_open -= 1
        if streams.num_open == 0:
            del engines[engine.instance]

    def record_stall(self, engine: BackEnd, route: Route, pause_s: float, now_s: float) -> None:
        """Learn from a pause between two events of a stream that has begun.

        Args:
            engine: Whose stream it is.
            route: Its route.
            pause_s: How long it was silent until now.
            now_s: The time.
        """
        too_long_s = pause_s - (route.max_pause_s or DEFAULT_MAX_PAUSE_S)
        if too_long_s <= 0.0:
            return
        engines = self._engines[engine.service]
        streams = engines[engine.instance]
        stalled_s = now_s - max(now_s - too_long_s, streams.stalled_until_s)
        if stalled_s > 0.0:
            streams.stalled_until_s = now_s
            self.queue_limit(engine.service).record_stall(stalled_s / len(engines))
