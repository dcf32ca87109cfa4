"""The decision log: bounded lines through eliot, written by one task that never blocks.

Past the budget of lines, ordinary successes are dropped first; refusals, failures and changes of
belief last. What was dropped is counted and told once a second.
"""

import os
import time
from collections import deque
from collections.abc import Mapping

import eliot

from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import render_line

MAX_QUEUED_LINES = 2_000
FLUSH_INTERVAL_S = 0.1
MAX_BYTES_A_WRITE = 32 * 1024
ORDINARY_LINES_A_SECOND = 200.0
"""Successes logged; the rest is counted."""

LINES_A_SECOND = 600.0
"""All lines logged."""

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
        self._ordinary = _LineBudget(ORDINARY_LINES_A_SECOND)
        self._all = _LineBudget(LINES_A_SECOND)
        self.num_dropped = 0
        self._num_told = 0

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
            self._tell_dropped()
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_block()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        num_bytes = 0
        while self._lines and num_bytes < MAX_BYTES_A_WRITE:
            line = self._lines.popleft()
            block.append(line)
            num_bytes += len(line)
        return b"".join(block)

    def _tell_dropped(self) -> None:
        if self.num_dropped != self._num_told and self._all.try_take():
            self.event("log_lines_dropped", total=self.num_dropped)
            self._num_told = self.num_dropped
