"""`weirscale trace`: the history of one request from the logs of several nodes.

Prints the request's log line with the node state on which its decisions were based. Reads lines of
key=value pairs; text before the first pair, as log collectors add, is skipped.
"""

import re
import sys
from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from weirscale.cli.exit_codes import EXIT_DONE, EXIT_FAILED, EXIT_USAGE

REQUEST_EVENT = "request_ended"
NODE_EVENTS = frozenset(
    {
        "configuration_taken",
        "store_lost",
        "store_regained",
        "weights_named",
        "node_started",
        "node_stopping",
    }
)
"""Events about the state of a whole node. Of each, the last one before the request is part of the
trace, and all during the request."""

INSTANCE_EVENTS = frozenset(
    {
        "back_end_seen",
        "back_end_leaving",
        "back_end_gone",
        "back_end_lapsed",
        "back_end_displaced",
        "back_end_doubted",
        "back_end_restored",
        "back_end_rest",
        "back_end_limit",
        "back_end_suspected",
        "back_end_recovered",
        "version_believed",
        "order_given",
    }
)
"""Events about a back end: its state as seen by a node, or an order to it."""

LOOKBACK = timedelta(seconds=1.0)
"""Other nodes' events about the same back ends are included from this long before the request."""

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_INSTANCE_CAUSE = re.compile(r"^([^:]+):")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        at: Time of the event.
        node: Name of the node that wrote the line.
        event: Name of the event.
        fields: All key=value pairs.
        text: The line, starting at its time.
    """

    at: datetime
    node: str
    event: str
    fields: dict[str, str]
    text: str


class TraceEntry(msgspec.Struct, frozen=True):
    """A line and the reason why it is part of the trace."""

    role: str
    line: LogLine


def parse_line(text: str) -> LogLine | None:
    """Parse a line of a log; return None if it is not an event."""
    start = text.find("time=")
    if start < 0:
        return None
    fields = {name: value.strip('"') for name, value in _PAIR.findall(text[start:])}
    try:
        at = datetime.fromisoformat(fields["time"].replace("Z", "+00:00"))
    except (KeyError, ValueError):
        return None
    if "event" not in fields:
        return None
    return LogLine(at, fields.get("node", ""), fields["event"], fields, text[start:].rstrip())


def trace(lines: Sequence[LogLine], request_id: str) -> list[TraceEntry]:
    """Return a request's line, the node state that it was based on, and simultaneous events."""
    entries: list[TraceEntry] = []
    for line in lines:
        if line.event == REQUEST_EVENT and line.fields.get("id") == request_id:
            entries.extend(_entries_for(lines, line))
    return sorted(entries, key=lambda entry: (entry.line.at, entry.role == "request"))


def _entries_for(lines: Sequence[LogLine], request: LogLine) -> Iterator[TraceEntry]:
    began_at = request.at - timedelta(milliseconds=float(request.fields.get("ms", "0")))
    instances = _instances(request)
    latest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.at > request.at:
            continue
        mentions_instance = line.event in INSTANCE_EVENTS and _mentions(line, instances)
        if line.node == request.node and line.at < began_at:
            if line.event in NODE_EVENTS or mentions_instance:
                latest[(line.event, line.fields.get("instance", ""))] = line
        elif line.at >= began_at - LOOKBACK and (mentions_instance or _is_of_node(line, request)):
            yield TraceEntry("meanwhile", line)
    for line in latest.values():
        yield TraceEntry("believed", line)
    yield TraceEntry("request", request)


def _is_of_node(line: LogLine, request: LogLine) -> bool:
    return line.node == request.node and line.event in NODE_EVENTS


def _mentions(line: LogLine, instances: frozenset[str]) -> bool:
    return line.fields.get("instance") in instances or line.fields.get("by") in instances


def _instances(request: LogLine) -> frozenset[str]:
    instances = {request.fields.get("instance", "")}
    for cause in request.fields.get("causes", "").split(","):
        match = _INSTANCE_CAUSE.match(cause)
        if match:
            instances.add(match.group(1))
    return frozenset(instances - {""})


def read_files(files: Iterable[str]) -> list[LogLine]:
    """Read several logs and return all their lines ordered by time.

    Raises:
        OSError: A file cannot be read.
    """
    parsed = (
        parse_line(text)
        for file in files
        for text in Path(file).read_text(errors="replace").splitlines()
    )
    return sorted((line for line in parsed if line is not None), key=lambda line: line.at)


def run(request_id: str, files: Sequence[str]) -> int:
    """Print a request's trace."""
    if not files:
        print("weirscale: give at least one log file", file=sys.stderr)
        return EXIT_USAGE
    try:
        lines = read_files(files)
    except OSError as error:
        print(f"weirscale: {error}; check the file's name", file=sys.stderr)
        return EXIT_FAILED
    entries = trace(lines, request_id)
    if not entries:
        print(
            f"weirscale: no request {request_id} in {len(lines)} log lines; give the logs of all"
            " nodes; note that successes beyond the log line budget are not logged",
            file=sys.stderr,
        )
        return EXIT_FAILED
    for entry in entries:
        print(f"{entry.role:10s} {entry.line.text}")
    return EXIT_DONE
