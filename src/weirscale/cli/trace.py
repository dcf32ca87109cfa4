"""`weirscale trace`: the life of one request from several nodes' logs, with what it rested on.

Reads lines of key=value pairs, also with words before the first pair (as log collectors add).
"""

import re
import sys
from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from weirscale.cli.exit_codes import EXIT_DONE, EXIT_FAILED, EXIT_USAGE

REQUEST_EVENT = "request_ended"
BELIEF_EVENTS = frozenset(
    {
        "configuration_taken",
        "store_lost",
        "store_regained",
        "weights_named",
        "node_started",
        "node_stopping",
    }
)
"""What a node believed as a whole; of each, the last before the request's end counts."""

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
"""What a node believed of a back end, or did to it."""

NEARBY = timedelta(seconds=1.0)
"""Other nodes' events about the same back ends count from this long before the request."""

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_INSTANCE_CAUSE = re.compile(r"^([^:]+):")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        at: Its time.
        node: The node that wrote it.
        event: Name of the event.
        fields: All pairs.
        text: The line from its time on.
    """

    at: datetime
    node: str
    event: str
    fields: dict[str, str]
    text: str


class TraceEntry(msgspec.Struct, frozen=True):
    """A line and why it is part of the trace."""

    role: str
    line: LogLine


def parse_line(text: str) -> LogLine | None:
    """Parse a line; None for any other text."""
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
    """Return a request's line, the beliefs that it rested on and what happened meanwhile."""
    entries: list[TraceEntry] = []
    for line in lines:
        if line.event == REQUEST_EVENT and line.fields.get("id") == request_id:
            entries.extend(_about(lines, line))
    return sorted(entries, key=lambda entry: (entry.line.at, entry.role == "request"))


def _about(lines: Sequence[LogLine], request: LogLine) -> Iterator[TraceEntry]:
    began_at = request.at - timedelta(milliseconds=float(request.fields.get("ms", "0")))
    instances = _instances(request)
    last: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.at > request.at:
            continue
        names_instance = line.event in INSTANCE_EVENTS and _names(line, instances)
        if line.node == request.node and line.at < began_at:
            if line.event in BELIEF_EVENTS or names_instance:
                last[(line.event, line.fields.get("instance", ""))] = line
        elif line.at >= began_at - NEARBY and (names_instance or _is_of_node(line, request)):
            yield TraceEntry("meanwhile", line)
    for line in last.values():
        yield TraceEntry("believed", line)
    yield TraceEntry("request", request)


def _is_of_node(line: LogLine, request: LogLine) -> bool:
    return line.node == request.node and line.event in BELIEF_EVENTS


def _names(line: LogLine, instances: frozenset[str]) -> bool:
    return line.fields.get("instance") in instances or line.fields.get("by") in instances


def _instances(request: LogLine) -> frozenset[str]:
    found = {request.fields.get("instance", "")}
    for cause in request.fields.get("causes", "").split(","):
        named = _INSTANCE_CAUSE.match(cause)
        if named:
            found.add(named.group(1))
    return frozenset(found - {""})


def read_files(files: Iterable[str]) -> list[LogLine]:
    """Read all lines of several logs in the order of their times.

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
        print("weirscale: name at least one log file", file=sys.stderr)
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
            " nodes, and mind that successes beyond the budget of lines are not logged",
            file=sys.stderr,
        )
        return EXIT_FAILED
    for entry in entries:
        print(f"{entry.role:10s} {entry.line.text}")
    return EXIT_DONE
