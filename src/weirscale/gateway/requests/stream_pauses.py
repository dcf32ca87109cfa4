"""Tracks the pauses of streams by service, and derives timeouts and queue limits from them.

Determines both timeouts of an attempt: until its first event, and between two events.
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
"""First-event timeout as a multiple of the route's objective. In paired runs under overload at two
sites, the worth (value earned less cost, as a share of the maximum) was 0.663 and 0.694 with 1.2,
and 0.655 and 0.672 with 0.6."""

FIRST_EVENT_ESTIMATE_FACTOR = 3.0
"""Minimum first-event timeout as a multiple of the estimated time to the first event."""

STALL_FACTOR = 1.5
"""Stall timeout as a multiple of the longest pause that the route allows."""

AVERAGE_PAUSE_FACTOR = 3.0
"""Minimum stall timeout as a multiple of the average pause. While all engines prefill long prompts,
all streams pause, and another engine would only repeat the prefill. Streams that were abandoned
after pauses of 0.75 s were prefilled again and paused as well (`docs/design/0015-overload.md`)."""

PAUSE_WEIGHT = 0.02
"""Weight of one pause in the moving average of pauses, which covers about 50 pauses."""

DEFAULT_MAX_PAUSE_S = 0.5
"""Longest allowed pause in seconds on a route that does not state one."""


class _EngineStreams(msgspec.Struct):
    """Open streams of this node at one engine, from their first event to their end.

    Attributes:
        num_open: Number of open streams.
        stalled_until_s: Time up to which stalls of the engine have been counted.
    """

    num_open: int = 0
    stalled_until_s: float = -math.inf


class StreamPauses:
    """Pauses of this node's streams, by service.

    Simultaneous pauses of several streams at one engine count as a single stall.
    """

    def __init__(self) -> None:
        self._average_pause_s: dict[ServiceName, float] = {}
        self._queue_limits: dict[ServiceName, QueueLimit] = {}
        self._engines: dict[ServiceName, dict[InstanceId, _EngineStreams]] = {}

    def first_event_timeout_s(self, route: Route, choice: Choice) -> float:
        """Return the maximum time in seconds until the first event of an attempt."""
        return max(
            FIRST_EVENT_OBJECTIVE_FACTOR * route.objective_s,
            FIRST_EVENT_ESTIMATE_FACTOR * choice.estimate_s,
        )

    def stall_timeout_s(self, route: Route, service: ServiceName) -> float:
        """Return the maximum time in seconds between two events of a stream."""
        average_s = self._average_pause_s.get(service, 0.0)
        max_pause_s = route.max_pause_s or DEFAULT_MAX_PAUSE_S
        return max(STALL_FACTOR * max_pause_s, AVERAGE_PAUSE_FACTOR * average_s)

    def queue_limit(self, service: ServiceName) -> QueueLimit:
        """Return the queue limit of a service, creating it if necessary."""
        return self._queue_limits.setdefault(service, QueueLimit())

    def record_pause(self, service: ServiceName, pause_s: float) -> None:
        """Add a pause between two events of one attempt to the service's average."""
        average_s = self._average_pause_s.get(service, pause_s)
        self._average_pause_s[service] = average_s + PAUSE_WEIGHT * (pause_s - average_s)

    def stream_began(self, engine: BackEnd) -> None:
        """Record the first event of a stream from an engine."""
        engines = self._engines.setdefault(engine.service, {})
        engines.setdefault(engine.instance, _EngineStreams()).num_open += 1

    def stream_ended(self, engine: BackEnd) -> None:
        """Record the end of a stream for which `stream_began` was called."""
        engines = self._engines[engine.service]
        streams = engines[engine.instance]
        streams.num_open -= 1
        if streams.num_open == 0:
            del engines[engine.instance]

    def record_stall(self, engine: BackEnd, route: Route, pause_s: float, now_s: float) -> None:
        """Lower the queue limit if an open stream paused for longer than its route allows.

        Args:
            engine: Engine that the stream comes from.
            route: Route of the request.
            pause_s: Duration of the pause, which ends now.
            now_s: The current time.
        """
        excess_s = pause_s - (route.max_pause_s or DEFAULT_MAX_PAUSE_S)
        if excess_s <= 0.0:
            return
        engines = self._engines[engine.service]
        streams = engines[engine.instance]
        stalled_s = now_s - max(now_s - excess_s, streams.stalled_until_s)
        if stalled_s > 0.0:
            streams.stalled_until_s = now_s
            self.queue_limit(engine.service).record_stall(stalled_s / len(engines))
