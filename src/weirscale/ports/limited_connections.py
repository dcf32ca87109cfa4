"""Extends hypercorn's connections: adjustable time limits, and a stop that closes only idle ones.

hypercorn has one fixed timeout for idle connections and none for receiving the head of a request.
When a stop begins, hypercorn also closes connections several event-loop iterations after it found
them idle. A request that arrived in between was started and its connection closed before the
answer: of 200 requests sent 2 to 8 iterations after the start of a stop, all were started and none
was answered.
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
        limits: Time limits on connections; read each time that a limit is applied.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        super().__init__()
        self.limits = limits
        # hypercorn's own fixed timeout would be added to the one of `LimitedServer`.
        self.keep_alive_timeout = 0.0


class _ClosedProtocol:
    """Replaces the protocol of a closed connection."""

    protocol = None

    async def handle(self, event: Event) -> None:
        """Discard the event."""


class LimitedServer(TCPServer):
    """Serves one connection within the limits of `LimitedConfig`."""

    _head_started_s: float | None = None
    """When the first byte of a head arrived that is not complete yet."""

    async def run(self) -> None:
        """Serve the connection; an error ends it alone.

        As the server stops, it waits for all connections together: an error of one would end the
        wait for the others, whose requests are running.
        """
        try:
            await super().run()
        except Exception as error:
            self.loop.call_exception_handler(
                {"message": "an error ended a connection", "exception": error}
            )

    async def _idle_timeout(self) -> None:
        started_s = self.loop.time()
        while (remaining_s := started_s + self._limits().keep_alive_s - self.loop.time()) > 0.0:
            with anyio.move_on_after(remaining_s):
                await self.context.terminated.wait()
                break
            # The limit may have been raised meanwhile, so it is read again.
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
            if data is None and self._has_buffered_input():
                continue  # Received while this process was suspended: the caller was not slow.
            if data is None:
                await self._refuse_slow_head()
                break
            await self.protocol.handle(RawData(data))
            self._update_head_start()
        await self.protocol.handle(Closed())

    def _update_head_start(self) -> None:
        if not self._has_partial_head():
            self._head_started_s = None
        elif self._head_started_s is None:
            self._head_started_s = self.loop.time()

    def _read_timeout_s(self) -> float:
        limits = self._limits()
        if self._head_started_s is None:
            return limits.silence_s
        return max(0.0, self._head_started_s + limits.head_s - self.loop.time())

    async def _refuse_slow_head(self) -> None:
        """Answer 408 to an incomplete head in HTTP/1.1, so that the caller may retry."""
        protocol = self.protocol.protocol
        if self._head_started_s is not None and isinstance(protocol, H11Protocol):
            await protocol._send_error_response(HTTPStatus.REQUEST_TIMEOUT)
            await protocol.send(Closed())

    def _has_partial_head(self) -> bool:
        protocol = self.protocol.protocol
        if not isinstance(protocol, H11Protocol) or protocol.stream is not None:
            return False
        connection = protocol.connection
        return connection.their_state is IDLE and bool(connection.trailing_data[0])

    async def _initiate_server_close(self) -> None:
        # There is no await between this check and the close, so no request can arrive in between. A
        # request that is running now closes the connection when it ends.
        if self._is_busy() or self._has_buffered_input():
            return
        await super()._initiate_server_close()
        # Data read just before the close is discarded. It was not processed: the caller may retry.
        self.protocol = _ClosedProtocol()  # type: ignore[assignment]

    def _is_busy(self) -> bool:
        protocol = self.protocol.protocol
        if isinstance(protocol, H11Protocol):
            # hypercorn reads the head of a request before it creates the stream.
            return protocol.stream is not None or protocol.connection.their_state is not IDLE
        return isinstance(protocol, H2Protocol) and bool(protocol.streams)

    def _has_buffered_input(self) -> bool:
        """Return whether bytes were received that were not passed to the protocol yet."""
        return bool(self.reader._buffer)  # type: ignore[attr-defined]  # no public attribute


def install() -> None:
    """Make hypercorn use `LimitedServer`; it has no setting for this."""
    setattr(run, "TCPServer", LimitedServer)  # noqa: B010 - the module does not export it
