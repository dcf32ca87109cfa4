"""Opens TCP connections, directly or through another node."""

from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from weirscale.gateway.model.addresses import host_of, port_of
from weirscale.gateway.model.identifiers import Address
from weirscale.gateway.paths.relay_messages import (
    FrameDecoder,
    RelayRequest,
    decode_reply,
    encode_message,
    receive_message,
)
from weirscale.gateway.paths.relays import RelayFailedError, RelayOutcome
from weirscale.gateway.peers.registrations import RelayPeer
from weirscale.ports.keep_alive import keep_alive

READ_BYTES = 64 * 1024
"""Maximum number of bytes of one read."""


class TcpOpener:
    """Implements `StreamOpener`."""

    async def open(self, address: Address) -> ByteStream:
        """Open a direct connection."""
        return await open_tcp(address)

    async def open_through(self, relay: RelayPeer, address: Address) -> ByteStream:
        """Open a connection through another node."""
        stream = keep_alive(await anyio.connect_tcp(relay.address.host, relay.address.port))
        try:
            return await _request_connection(stream, relay, address)
        except (anyio.BrokenResourceError, anyio.IncompleteRead) as error:
            await anyio.aclose_forcefully(stream)
            raise ConnectionError("the relay closed the connection") from error
        except BaseException:
            await anyio.aclose_forcefully(stream)
            raise


TCP_OPENER = TcpOpener()


async def open_tcp(address: Address) -> SocketStream:
    """Open a connection to an address.

    Raises:
        OSError: The connection could not be opened.
    """
    return keep_alive(await anyio.connect_tcp(host_of(address), port_of(address)))


async def _request_connection(
    stream: SocketStream, relay: RelayPeer, address: Address
) -> "RelayedStream":
    await stream.send(encode_message(RelayRequest(relay.token, address)))
    buffered = BufferedByteReceiveStream(stream)
    reply = decode_reply(await receive_message(buffered))
    if reply.outcome is not RelayOutcome.CONNECTED:
        raise RelayFailedError(reply.outcome)
    return RelayedStream(stream, buffered)


class RelayedStream(ByteStream):
    """A connection to a back end through a relay.

    Args:
        stream: The connection to the relay.
        buffered: Receives from that connection.
    """

    def __init__(self, stream: SocketStream, buffered: BufferedByteReceiveStream) -> None:
        self._stream = stream
        self._buffered = buffered
        self._decoder = FrameDecoder()

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Receive bytes of the back end.

        Raises:
            anyio.EndOfStream: The back end has ended the connection.
            anyio.BrokenResourceError: The connection to the relay or the back end broke.
        """
        while not self._decoder.is_ended:
            try:
                data = self._decoder.feed(await self._buffered.receive(max_bytes))
            except anyio.EndOfStream as error:
                raise anyio.BrokenResourceError from error
            if data:
                return data
        raise anyio.EndOfStream

    async def send(self, item: bytes) -> None:
        """Send bytes to the back end."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """End the sending direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection; the relay then closes its own to the back end."""
        await self._stream.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return the attributes of the connection to the relay."""
        return self._stream.extra_attributes
