"""Splits a stream into complete events without decoding them, and reads their ids.

Format: server-sent events (WHATWG HTML, section 9.2). An event ends with a blank line; lines end
with LF or CRLF. A line `id: TEXT` sets the event's id, a line `: TEXT` is a comment.
"""

from weirscale.gateway.ports.callers import Headers

_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_COMMENT = b":"
_CONTENT_TYPE = b"content-type"
_EVENTS_TYPE = b"text/event-stream"
_ID_FIELD = b"id:"


def may_be_events(headers: Headers) -> bool:
    """Return whether an answer may be a stream of events: its content type is that, or unstated."""
    content_type = dict(headers).get(_CONTENT_TYPE, _EVENTS_TYPE)
    return content_type.strip().lower().startswith(_EVENTS_TYPE)


class EventSplitter:
    """Returns complete events and buffers the incomplete event at the end of the data.

    Attributes:
        last_id: Id of the last complete event that has one; None before the first.
    """

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk, and return all events that are now complete, unchanged."""
        data = self._incomplete + chunk if self._incomplete else chunk
        split_at = max(_end_of_last(data, event_end) for event_end in _EVENT_ENDS)
        if split_at == 0:
            self._incomplete = data
            return b""
        events, self._incomplete = data[:split_at], data[split_at:]
        self._record_last_id(events)
        return events

    @property
    def num_incomplete(self) -> int:
        """Number of bytes of the incomplete event at the end of the data."""
        return len(self._incomplete)

    def is_inside_event(self) -> bool:
        """Return whether an event has begun that is not complete."""
        lines = self._incomplete.splitlines()
        return any(line and not line.startswith(_COMMENT) for line in lines)

    def discard_incomplete(self) -> None:
        """Discard the incomplete event of an interrupted stream."""
        self._incomplete = b""

    def _record_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + _ID_FIELD)
        if start >= 0:
            start += 1
        elif events.startswith(_ID_FIELD):
            start = 0
        else:
            return
        end = events.index(b"\n", start)
        self.last_id = events[start + len(_ID_FIELD) : end].strip().decode("latin-1")


def _end_of_last(data: bytes, event_end: bytes) -> int:
    """Return the position after the last occurrence of an event's end; 0 if there is none."""
    start = data.rfind(event_end)
    return start + len(event_end) if start >= 0 else 0
