"""The decision log: rate-limited lines through eliot, written by one task without blocking.

Beyond the rate limit, lines of answered requests are dropped first. Refusals, failures and state
changes are dropped last. Dropped lines are counted, and the count is logged.
"""

import os
import time
from collections import deque
from collections.abc import Mapping

import eliot

from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import render_line

MAX_QUEUED_LINES = 2_000
"""Maximum number of lines that wait to be written; further lines are dropped. Bounds the memory."""

FLUSH_INTERVAL_S = 0.1
"""Seconds between two flushes."""

MAX_BYTES_PER_WRITE = 32 * 1024
"""Size in bytes at which a block for one write is full; its last line may exceed it."""

ORDINARY_LINES_PER_S = 200.0
"""Maximum rate of lines for answered requests; further ones are dropped and counted."""

LINES_PER_S = 600.0
"""Maximum rate of lines of all kinds together."""

ORDINARY_EVENT = "request_ended"
ORDINARY_OUTCOME = "answered"


class _LineTokenBucket:
    """A token bucket for lines; its capacity is the number of lines of one second."""

    def __init__(self, lines_per_s: float) -> None:
        self._rate = lines_per_s
        self._tokens = lines_per_s
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
    """An event log with a bounded queue; `run` writes the queued lines.

    Args:
        descriptor: File descriptor to write to; `install` sets it to non-blocking mode.
        fields: Fields that are added to each line.
    """

    def __init__(self, descriptor: int, **fields: object) -> None:
        self._descriptor = descriptor
        self._fields = fields
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._ordinary_bucket = _LineTokenBucket(ORDINARY_LINES_PER_S)
        self._all_lines_bucket = _LineTokenBucket(LINES_PER_S)
        self.num_dropped = 0
        self._num_drops_logged = 0

    def event(self, name: str, **fields: object) -> None:
        """Log one event without blocking, or count it as dropped."""
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
        if is_ordinary and not self._ordinary_bucket.try_take():
            return False
        return self._all_lines_bucket.try_take()

    def take_message(self, message: Mapping[str, object]) -> None:
        """Queue an eliot message; `install` registers this as a destination of eliot."""
        self._lines.append(render_line(message).encode() + b"\n")

    def install(self) -> None:
        """Set the descriptor to non-blocking mode, and register as a destination of eliot."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.take_message)  # type: ignore[no-untyped-call]

    async def run(self) -> None:
        """Write queued lines periodically until cancelled."""
        while True:
            await sleep_to_tick(FLUSH_INTERVAL_S)
            self._log_dropped()
            self.flush()

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                num_written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                # The reader is slow: the remaining lines wait for the next flush.
                return
            except OSError:
                # The reader has closed the log, so there is nowhere to report the error.
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[num_written:]

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        num_bytes = 0
        while self._lines and num_bytes < MAX_BYTES_PER_WRITE:
            line = self._lines.popleft()
            block.append(line)
            num_bytes += len(line)
        return b"".join(block)

    def _log_dropped(self) -> None:
        if self.num_dropped != self._num_drops_logged and self._all_lines_bucket.try_take():
            self.event("log_lines_dropped", total=self.num_dropped)
            self._num_drops_logged = self.num_dropped
