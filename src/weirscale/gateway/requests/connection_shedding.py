"""Closes new connections of callers unread while this process accepts fewer than arrive.

The platform may send most new connections to one node. What a node has read it must serve in time;
a connection that is closed unread costs its caller a new one, which other nodes get. The event loop
accepts one connection a turn, so a process that cannot keep up leaves them waiting in the queue of
the listener: those that are left there are accepted and closed.
"""

import select
import socket
from collections.abc import Callable

import anyio
import anyio.lowlevel

from weirscale.gateway.ticks import TICK_S, sleep_to_tick
from weirscale.ports.event_log import EventLog

NUM_TURNS = 8
"""Number of turns of the event loop, each of which accepts a connection, after which connections
that still wait make a long queue."""

NUM_TICKS = 4
"""Number of successive ticks (0.16 s) with a long queue after which connections are closed, and
without one after which none are."""


class ConnectionShedder:
    """Closes connections that wait too long to be accepted; `run` must be running.

    Args:
        listener: The listener of callers; another owner accepts from it too.
        event_log: Logs the beginning and the end of overloads.
        count_shed: Counts a connection that is closed unread.
        num_running: Returns the number of requests of callers that are being served.
    """

    def __init__(
        self,
        listener: socket.socket,
        event_log: EventLog,
        count_shed: Callable[[], None],
        num_running: Callable[[], int],
    ) -> None:
        # The other owner may close its descriptor at any time.
        self._listener = listener.dup()
        self._listener.setblocking(False)
        self._poller = select.poll()
        self._poller.register(self._listener, select.POLLIN)
        self._event_log = event_log
        self._count_shed = count_shed
        self._num_running = num_running
        self._num_ticks = 0
        """Number of successive ticks whose queue was long, or not, unlike `is_shedding`."""
        self._num_shed = 0
        self.is_shedding = False

    async def run(self, stop: anyio.Event) -> None:
        """Watch the queue until `stop` is set or cancelled, then release the listener."""
        with self._listener:
            while not stop.is_set():
                await sleep_to_tick(TICK_S)
                self.observe(await self._is_queue_long())
                if self.is_shedding:
                    self._close_waiting()

    async def _is_queue_long(self) -> bool:
        for _ in range(NUM_TURNS):
            if not self._poller.poll(0):
                return False
            await anyio.lowlevel.checkpoint()
        return bool(self._poller.poll(0))

    def observe(self, is_queue_long: bool) -> None:
        """Take the state of the queue at a tick; begin or end to close connections."""
        self._num_ticks = 0 if is_queue_long == self.is_shedding else self._num_ticks + 1
        if self._num_ticks < NUM_TICKS:
            return
        self._num_ticks = 0
        self.is_shedding = is_queue_long
        if is_queue_long:
            self._event_log.event("connections_shed", running=self._num_running())
        else:
            self._event_log.event("connections_admitted", shed=self._num_shed)
            self._num_shed = 0

    def _close_waiting(self) -> None:
        while self._poller.poll(0):
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return  # The event loop or the caller was faster.
            connection.close()
            self._num_shed += 1
            self._count_shed()
