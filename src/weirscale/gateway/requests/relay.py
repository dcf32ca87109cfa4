"""Passes back ends' answers on to the caller: whole ones at once, streams by whole events.

A stream that breaks off goes on with the next attempt after the last whole event that was passed
on, so the caller gets each event once and in order. The head waits for the first event: until
then another attempt may still give another answer.
"""

from collections.abc import Callable
from typing import Protocol

from weirscale.gateway.ports.back_end import Answer, BodyBrokenError
from weirscale.gateway.ports.callers import Headers
from weirscale.gateway.requests.events import EventCutter
from weirscale.gateway.requests.responder import Responder

MAX_WHOLE_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest answer in bytes that is gathered before it is passed on. Not measured."""


class StreamObserver(Protocol):
    """Follows the stream of one attempt."""

    def events_arrived(self) -> None:
        """Whole events have arrived and are about to be passed on."""
        ...

    def paused(self, pause_s: float, began_s: float) -> None:
        """The stream has paused for `pause_s` since `began_s`, maybe before this attempt began."""
        ...


class AnswerRelay:
    """The answer of one request, whichever attempts it comes from.

    Args:
        responder: The caller's side.
        arrived_at_s: When the request arrived.
        clock: Monotonic seconds.
    """

    def __init__(
        self, responder: Responder, arrived_at_s: float, clock: Callable[[], float]
    ) -> None:
        self._responder = responder
        self._arrived_at_s = arrived_at_s
        self._clock = clock
        self._cutter = EventCutter()
        self._last_event_s: float | None = None
        self.first_byte_s: float | None = None
        """Time from the request's arrival to the first byte of its answer."""
        self.longest_pause_s = 0.0
        """Longest time between two passed-on pieces of the stream."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got the head of an answer."""
        return self._responder.has_begun

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event that was passed on; None before the first that has one."""
        return self._cutter.last_id

    async def pass_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer the caller at once."""
        self._set_first_byte()
        await self._responder.send_whole(status, headers, body)

    async def pass_stream(self, answer: Answer, observer: StreamObserver) -> None:
        """Pass whole events on as they come, to the end of the stream.

        Raises:
            BodyBrokenError: The stream ended early; another attempt may go on with it.
        """
        cutter, responder = self._cutter, self._responder
        cutter.discard_incomplete()
        async for chunk in answer.body:
            events = cutter.feed(chunk)
            if not events:
                continue
            observer.events_arrived()
            if not responder.has_begun:
                await self._send_head(answer)
            self._measure_pause(observer)
            await responder.send_part(events)
            # A caller that reads slowly holds the stream up here: that is no pause of the engine.
            self._last_event_s = self._clock()
        if not responder.has_begun:
            await self._send_head(answer)
        rest = cutter.take_incomplete()
        if rest:
            await responder.send_part(rest)
        await responder.send_end()

    async def _send_head(self, answer: Answer) -> None:
        self._set_first_byte()
        await self._responder.send_head(answer.status, answer.headers)

    def _measure_pause(self, observer: StreamObserver) -> None:
        now_s = self._clock()
        if self._last_event_s is not None:
            pause_s = now_s - self._last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
            observer.paused(pause_s, self._last_event_s)
        self._last_event_s = now_s

    def _set_first_byte(self) -> None:
        if self.first_byte_s is None:
            self.first_byte_s = self._clock() - self._arrived_at_s


async def read_whole_body(answer: Answer) -> bytes:
    """Read a whole body.

    Raises:
        BodyBrokenError: It ended early or is larger than `MAX_WHOLE_ANSWER_BYTES`.
    """
    parts: list[bytes] = []
    num_bytes = 0
    async for chunk in answer.body:
        num_bytes += len(chunk)
        if num_bytes > MAX_WHOLE_ANSWER_BYTES:
            raise BodyBrokenError("answer too large")
        parts.append(chunk)
    return b"".join(parts)
