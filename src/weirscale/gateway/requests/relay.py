"""Relays answers of back ends to the caller, either as a whole or as a stream of complete events.

If a stream is interrupted, the next attempt resumes it after the last complete event that was
relayed, so the caller gets each event once and in order. The response head is sent only with the
first event, because until then another attempt may still produce a different answer.
"""

from collections.abc import Callable
from typing import Protocol

from weirscale.gateway.ports.back_end import Answer, BodyBrokenError, BodyEnd
from weirscale.gateway.ports.callers import Headers
from weirscale.gateway.requests.answer_buffers import AnswerBuffer, AnswerBuffers
from weirscale.gateway.requests.events import EventSplitter
from weirscale.gateway.requests.responder import Responder

MAX_BUFFERED_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size in bytes of an answer that is buffered before it is relayed."""

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size in bytes of an event, which is held until it is complete."""


class StreamObserver(Protocol):
    """Observes the stream of one attempt."""

    def events_arrived(self) -> None:
        """Handle the arrival of complete events that are about to be relayed."""
        ...

    async def stream_begins(self) -> None:
        """Handle that the first event of the whole answer is about to be relayed."""
        ...

    async def events_relayed(self) -> None:
        """Handle that complete events were relayed, and the stream goes on."""
        ...

    async def body_ended(self) -> None:
        """Handle the end of the body.

        Raises:
            BodyBrokenError: The back end may not have ended it.
        """
        ...

    def paused(self, pause_s: float, began_s: float) -> None:
        """Handle a pause of the stream.

        Args:
            pause_s: Duration of the pause.
            began_s: Start of the pause, which may lie before the start of this attempt.
        """
        ...


class AnswerRelay:
    """Relays the answer to one request, which may come from several attempts.

    Args:
        responder: Sends the response to the caller.
        buffers: All answers that the node holds.
        arrived_at_s: When the request arrived.
        clock: Returns the current time in monotonic seconds.
    """

    def __init__(
        self,
        responder: Responder,
        buffers: AnswerBuffers,
        arrived_at_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._responder = responder
        self._buffers = buffers
        self._arrived_at_s = arrived_at_s
        self._clock = clock
        self._splitter = EventSplitter()
        self._last_event_s: float | None = None
        self.first_byte_s: float | None = None
        """Time from the request's arrival to the first byte of its answer."""
        self.longest_pause_s = 0.0
        """Longest time between two relayed parts of the stream."""

    @property
    def has_begun(self) -> bool:
        """Whether the head of a response was sent to the caller."""
        return self._responder.has_begun

    @property
    def last_event_id(self) -> str | None:
        """Id of the last relayed event that has one; None before the first."""
        return self._splitter.last_id

    @property
    def can_continue(self) -> bool:
        """Whether another attempt can go on where the answer ends now.

        Once events have been relayed, this takes the id of the last one.
        """
        return not self.has_begun or self.last_event_id is not None

    async def relay_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer to the caller."""
        self._set_first_byte()
        await self._responder.send_whole(status, headers, body)

    async def relay_stream(
        self, answer: Answer, observer: StreamObserver, must_have_events: bool = False
    ) -> None:
        """Relay complete events as they arrive, up to the end of the stream.

        Args:
            answer: The answer.
            observer: Observes the stream.
            must_have_events: Whether an answer without events is broken, not empty.

        Raises:
            BodyBrokenError: The stream ended early or inside an event, or its back end may not have
                ended it; another attempt may resume it.
        """
        buffer = self._buffers.open(self._splitter.discard_incomplete)
        try:
            await self._relay_events(answer, observer, buffer)
        finally:
            buffer.close()
        if self._splitter.is_inside_event():
            raise BodyBrokenError(BodyEnd.INSIDE_EVENT)
        if must_have_events and not self.has_begun:
            raise BodyBrokenError(BodyEnd.BEFORE_EVENT)
        await observer.body_ended()
        if not self.has_begun:
            await self._send_head(answer)
        await self._responder.send_end()

    async def _relay_events(
        self, answer: Answer, observer: StreamObserver, buffer: AnswerBuffer
    ) -> None:
        """Relay complete events until the body ends; the incomplete event is in the buffer."""
        splitter, responder = self._splitter, self._responder
        splitter.discard_incomplete()
        async for chunk in answer.body:
            # Checked before the next part is read: events that are complete are relayed first, so
            # that another attempt goes on after them.
            if splitter.num_incomplete > MAX_EVENT_BYTES:
                raise BodyBrokenError(BodyEnd.TOO_LARGE)
            buffer.resize(splitter.num_incomplete)
            events = splitter.feed(chunk)
            if not events:
                continue
            observer.events_arrived()
            if not responder.has_begun:
                await observer.stream_begins()
                await self._send_head(answer)
            self._measure_pause(observer)
            await responder.send_part(events)
            await observer.events_relayed()
            # Do not count the time that a slow caller blocks the send as a pause of the engine.
            self._last_event_s = self._clock()
        buffer.check()

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


async def read_whole_body(answer: Answer, buffers: AnswerBuffers) -> bytes:
    """Return the complete body of an answer.

    Args:
        answer: The answer.
        buffers: All answers that the node holds.

    Raises:
        BodyBrokenError: The body ended early, is larger than `MAX_BUFFERED_ANSWER_BYTES`, or was
            the largest when the node held too much.
    """
    parts: list[bytes] = []
    buffer = buffers.open(parts.clear)
    try:
        async for chunk in answer.body:
            num_bytes = buffer.num_bytes + len(chunk)
            if num_bytes > MAX_BUFFERED_ANSWER_BYTES:
                raise BodyBrokenError(BodyEnd.TOO_LARGE)
            parts.append(chunk)
            buffer.resize(num_bytes)
        buffer.check()
        return b"".join(parts)
    finally:
        buffer.close()
