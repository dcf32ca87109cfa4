"""Splits a stream into complete events without decoding them, and reads their ids.

Format: server-sent events (WHATWG HTML, section 9.2). An event ends with a blank line. A line
`id: TEXT` sets the event's id.
"""

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


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
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._incomplete = data
            return b""
        split_at = end + len(_EVENT_END)
        events, self._incomplete = data[:split_at], data[split_at:]
        self._record_last_id(events)
        return events

    def take_incomplete(self) -> bytes:
        """Return and clear the buffered data; used at the end of the stream."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete

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
