"""Connections of hypercorn that a stop closes only while nothing has come on them.

As a stop begins, hypercorn closes the connections that wait for a request, some turns of the event
loop after it has found them waiting. A request that came in between was handed to the application
and its connection closed under it: of 200 requests sent 2 to 8 turns after the beginning of a stop
all were begun and none was answered.
"""

from h11 import IDLE
from hypercorn.asyncio import run
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Event
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol


class _Closed:
    """Takes the place of the protocol once the connection is closed."""

    async def handle(self, event: Event) -> None:
        """Drop what comes."""


class IdleClosingServer(TCPServer):
    """Serves one connection."""

    async def _initiate_server_close(self) -> None:
        # From here to the closing nothing waits, so nothing can come in between. What is at work
        # now closes the connection itself once it is done.
        if self._is_at_work() or self._has_input():
            return
        await super()._initiate_server_close()
        # What was read just before goes no further: its caller has to come again, and may.
        self.protocol = _Closed()  # type: ignore[assignment]

    def _is_at_work(self) -> bool:
        protocol = self.protocol.protocol
        if isinstance(protocol, H11Protocol):
            # The head of a request has been read before its stream is made.
            return protocol.stream is not None or protocol.connection.their_state is not IDLE
        return isinstance(protocol, H2Protocol) and bool(protocol.streams)

    def _has_input(self) -> bool:
        """Whether bytes have been received that the protocol has not seen."""
        return bool(self.reader._buffer)  # type: ignore[attr-defined]  # it has no public way


def install() -> None:
    """Have hypercorn serve connections so; it has no setting for it."""
    setattr(run, "TCPServer", IdleClosingServer)  # noqa: B010 - the module does not export it
