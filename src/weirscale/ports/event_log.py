"""Event log of a node: eliot messages, written as one line of key=value pairs each."""

import sys
import time
from collections.abc import Mapping
from typing import Protocol, TextIO

import eliot

_PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@+,"
)
_ELIOT_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


class EventLog(Protocol):
    """Interface to which tasks log events."""

    def event(self, name: str, **fields: object) -> None:
        """Log one event without blocking."""
        ...


class SilentEventLog:
    """An event log that discards all events."""

    def event(self, name: str, **fields: object) -> None:
        """Discard the event."""


def render_value(value: object) -> str:
    """Render one value, quoted if it contains characters that would make the line ambiguous."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _PLAIN_CHARACTERS.issuperset(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(
        character if character.isprintable() else repr(character)[1:-1] for character in escaped
    )
    return f'"{printable}"'


def render_line(message: Mapping[str, object]) -> str:
    """Render an eliot message as one line: time, event name, then its fields in order."""
    raw_time_s = message.get("timestamp", 0.0)
    time_s = raw_time_s if isinstance(raw_time_s, float) else 0.0
    stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(time_s))
    milliseconds = int(time_s % 1 * 1000)
    name = message.get("message_type", message.get("action_type", "unnamed"))
    parts = [f"time={stamp}.{milliseconds:03d}Z", f"event={render_value(name)}"]
    for key, value in message.items():
        if key not in _ELIOT_FIELDS:
            parts.append(f"{key}={render_value(value)}")
    return " ".join(parts)


class LineDestination:
    """An eliot destination that writes key=value lines to a text stream."""

    def __init__(self, stream: TextIO = sys.stderr) -> None:
        self._stream = stream

    def __call__(self, message: Mapping[str, object]) -> None:
        """Write one message."""
        self._stream.write(render_line(message) + "\n")


class EliotEventLog:
    """Logs events with eliot; adds the fields given to the log to each event."""

    def __init__(self, **fields: object) -> None:
        self._fields = fields

    def event(self, name: str, **fields: object) -> None:
        """Log one event."""
        eliot.log_message(  # type: ignore[no-untyped-call]
            message_type=name, **self._fields, **fields
        )


def start_line_log(stream: TextIO = sys.stderr) -> None:
    """Write all eliot messages of this process to a stream as key=value lines."""
    eliot.add_destinations(LineDestination(stream))  # type: ignore[no-untyped-call]
