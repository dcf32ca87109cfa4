"""Connections of hypercorn with limits that may change, which a stop closes only while unused.

hypercorn has one fixed time for unused connections and none for the head of a request. And as a
stop begins, it closes the connections that wait for a request, some turns of the event loop after
it has found them waiting. A request that came in between was handed to the application and its
connection closed under it: of 200 requests sent 2 to 8 turns after the beginning of a stop all were
begun and none was answered.
"""

from http import HTTPStatus

import anyio
from h11 import IDLE
from hypercorn.asyncio import run
from hypercorn.asyncio.tcp_server import MAX_RECV, TCPServer
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol

from weirscale.ports.connection_limits import ConnectionLimits


class LimitedConfig(Config):
    """A server's configuration.

    Args:
        limits: How long its connections may be unused; read each time that they count.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        super().__init__()
        self.limits = limits
        # hypercorn's own wait, which is fixed, comes after the one for these limits.
        self.keep_alive_timeout = 0.0


class _Closed:
    """Takes the place of the protocol once the connection is closed."""

    protocol = None

    async def handle(self, event: Event) -> None:
        """Drop what comes."""


class LimitedServer(TCPServer):
    """Serves one connection."""

    _head_began_s: float | None = None
    """When the first byte of a head came that is not whole yet."""

    async def _idle_timeout(self) -> None:
        began_s = self.loop.time()
        while (left_s := began_s + self._limits().keep_alive_s - self.loop.time()) > 0.0:
            with anyio.move_on_after(left_s):
                await self.context.terminated.wait()
                break
            # The limit may have become longer meanwhile: it is looked at once more.
        await super()._idle_timeout()

    def _limits(self) -> ConnectionLimits:
        assert isinstance(self.config, LimitedConfig)
        return self.config.limits

    async def _read_data(self) -> None:
        while not self.reader.at_eof():
            data = None
            try:
                with anyio.move_on_after(self._read_timeout_s()):
                    data = await self.reader.read(MAX_RECV)
            except OSError:
                break
            if data is None and self._has_input():
                continue  # It came while this process stood still: the caller was not slow.
            if data is None:
                await self._refuse_slow_head()
                break
            await self.protocol.handle(RawData(data))
            self._note_head()
        await self.protocol.handle(Closed())

    def _note_head(self) -> None:
        if not self._has_part_of_head():
            self._head_began_s = None
        elif self._head_began_s is None:
            self._head_began_s = self.loop.time()

    def _read_timeout_s(self) -> float:
        limits = self._limits()
        if self._head_began_s is None:
            return limits.silence_s
        return max(0.0, self._head_began_s + limits.head_s - self.loop.time())

    async def _refuse_slow_head(self) -> None:
        """Tell a caller that its request was not read in time, so that it may come again."""
        protocol = self.protocol.protocol
        if self._head_began_s is not None and isinstance(protocol, H11Protocol):
            await protocol._send_error_response(HTTPStatus.REQUEST_TIMEOUT)
            await protocol.send(Closed())

    def _has_part_of_head(self) -> bool:
        protocol = self.protocol.protocol
        if not isinstance(protocol, H11Protocol) or protocol.stream is not None:
            return False
        connection = protocol.connection
        return connection.their_state is IDLE and bool(connection.trailing_data[0])

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
    setattr(run, "TCPServer", LimitedServer)  # noqa: B010 - the module does not export it
