"""Cuts a stream into whole events without decoding them, and reads their ids.

Format: server-sent events (WHATWG HTML, section 9.2): events end with a blank line; a line
`id: TEXT` names one.
"""

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventCutter:
    """Holds back the unfinished event at the end of what has arrived."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Take a chunk; returns all events that are now whole, as they came."""
        data = self._rest + chunk if self._rest else chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        cut = end + len(_EVENT_END)
        whole, self._rest = data[:cut], data[cut:]
        self._note_last_id(whole)
        return whole

    def take_incomplete(self) -> bytes:
        """Return what is held back, once the stream has ended."""
        rest, self._rest = self._rest, b""
        return rest

    def discard_incomplete(self) -> None:
        """Drop the unfinished event of a broken stream."""
        self._rest = b""

    def _note_last_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\n" + _ID_FIELD)
        if start >= 0:
            start += 1
        elif whole.startswith(_ID_FIELD):
            start = 0
        else:
            return
        end = whole.index(b"\n", start)
        self.last_id = whole[start + len(_ID_FIELD) : end].strip().decode("latin-1")
