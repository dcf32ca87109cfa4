"""The decision log: bounded lines through eliot, written by one task that never blocks.

Past the budget of lines, ordinary successes are dropped first; refusals, failures and changes of
belief last. What was dropped is counted and logged.
"""

import os
import time
from collections import deque
from collections.abc import Mapping

import eliot

from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import render_line

MAX_QUEUED_LINES = 2_000
"""Lines that wait for the reader of the log; beyond it lines are dropped. Bounds memory; not
measured."""

FLUSH_INTERVAL_S = 0.1
"""Seconds between two writes. Not measured."""

MAX_BYTES_PER_WRITE = 32 * 1024
"""Bytes handed to the descriptor at once. Not measured."""

ORDINARY_LINES_PER_S = 200.0
"""Lines a second for requests that were answered; the rest is dropped and counted. Not measured."""

LINES_PER_S = 600.0
"""Lines a second of all kinds. Not measured."""

ORDINARY_EVENT = "request_ended"
ORDINARY_OUTCOME = "answered"


class _LineBudget:
    """A bucket of lines that holds one second's worth."""

    def __init__(self, lines_a_second: float) -> None:
        self._rate = lines_a_second
        self._tokens = lines_a_second
        self._filled_at_s = time.monotonic()

    def try_take(self) -> bool:
        now_s = time.monotonic()
        self._tokens = min(self._rate, self._tokens + (now_s - self._filled_at_s) * self._rate)
        self._filled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LineLog:
    """An event log with a bounded queue; `run` writes it out.

    Args:
        descriptor: Where lines go; set to non-blocking mode.
        fields: Added to each line.
    """

    def __init__(self, descriptor: int, **fields: object) -> None:
        self._descriptor = descriptor
        self._fields = fields
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._ordinary = _LineBudget(ORDINARY_LINES_PER_S)
        self._all = _LineBudget(LINES_PER_S)
        self.num_dropped = 0
        self._num_logged = 0

    def event(self, name: str, **fields: object) -> None:
        """Log one event, or count it as dropped; never blocks."""
        if not self._may_log(name, fields.get("outcome")):
            self.num_dropped += 1
            return
        eliot.log_message(  # type: ignore[no-untyped-call]
            message_type=name, **self._fields, **fields
        )

    def _may_log(self, name: str, outcome: object) -> bool:
        if len(self._lines) >= MAX_QUEUED_LINES:
            return False
        is_ordinary = name == ORDINARY_EVENT and outcome == ORDINARY_OUTCOME
        if is_ordinary and not self._ordinary.try_take():
            return False
        return self._all.try_take()

    def take_message(self, message: Mapping[str, object]) -> None:
        """Queue an eliot message; registered as eliot's destination."""
        self._lines.append(render_line(message).encode() + b"\n")

    def install(self) -> None:
        """Make this the destination of eliot's messages."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.take_message)  # type: ignore[no-untyped-call]

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            await sleep_to_tick(FLUSH_INTERVAL_S)
            self._log_dropped()
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_block()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                # The reader is slow: the rest waits for the next flush.
                return
            except OSError:
                # Nobody reads the log any more, so there is nowhere to report it.
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        num_bytes = 0
        while self._lines and num_bytes < MAX_BYTES_PER_WRITE:
            line = self._lines.popleft()
            block.append(line)
            num_bytes += len(line)
        return b"".join(block)

    def _log_dropped(self) -> None:
        if self.num_dropped != self._num_logged and self._all.try_take():
            self.event("log_lines_dropped", total=self.num_dropped)
            self._num_logged = self.num_dropped
