"""The messages between a node and its relay, and the framing of the relayed answer bytes.

The node sends a `RelayRequest`, the relay answers with a `RelayReply`. After `CONNECTED`, the
node's bytes are passed on as they are. The back end's bytes come in frames, so that its end of the
connection is told from a failure: an empty frame marks the end, and a connection that ends without
one is broken.
"""

from typing import TypeVar

import cbor2
import msgspec
from anyio.streams.buffered import BufferedByteReceiveStream

from weirscale.gateway.paths.relays import RelayOutcome

LENGTH_BYTES = 4
"""Size of the big-endian length before each message and frame."""

MAX_MESSAGE_BYTES = 1024
"""Maximum size of a message; a longer one is not read."""

END_FRAME = bytes(LENGTH_BYTES)

_Message = TypeVar("_Message")


class RelayMessageError(ConnectionError):
    """The other side sent no valid message; it may be of another release."""


class RelayRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests a connection: an array, whose order of fields is part of the format.

    Attributes:
        token: The token in the relay's registration.
        address: IP:PORT of the back end.
    """

    token: str
    address: str


class RelayReply(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a request."""

    outcome: RelayOutcome


def encode_message(message: RelayRequest | RelayReply) -> bytes:
    """Encode a message with its length."""
    return encode_frame(cbor2.dumps(msgspec.to_builtins(message)))


def decode_request(data: bytes) -> RelayRequest:
    """Decode a request.

    Raises:
        RelayMessageError: The data is not a request.
    """
    return _decode(data, RelayRequest)


def decode_reply(data: bytes) -> RelayReply:
    """Decode a reply.

    Raises:
        RelayMessageError: The data is not a reply.
    """
    return _decode(data, RelayReply)


async def receive_message(stream: BufferedByteReceiveStream) -> bytes:
    """Receive one encoded message, without its length.

    Raises:
        RelayMessageError: The message is too long.
        anyio.IncompleteRead: The connection ended.
    """
    length = int.from_bytes(await stream.receive_exactly(LENGTH_BYTES), "big")
    if length > MAX_MESSAGE_BYTES:
        raise RelayMessageError("a relay message is too long")
    return await stream.receive_exactly(length)


def _decode(data: bytes, kind: type[_Message]) -> _Message:
    try:
        return msgspec.convert(cbor2.loads(data), kind)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as error:
        raise RelayMessageError("a relay message is invalid") from error


def encode_frame(data: bytes) -> bytes:
    """Return data with its length before it."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameDecoder:
    """Extracts the contents of frames from received bytes."""

    def __init__(self) -> None:
        self._header = bytearray()
        self._num_left = 0
        """Number of bytes of the current frame still to come."""
        self.is_ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the contents of the frames in these bytes; bytes after the end are ignored."""
        parts = []
        position = 0
        while position < len(data) and not self.is_ended:
            if self._num_left:
                part = data[position : position + self._num_left]
                self._num_left -= len(part)
                position += len(part)
                parts.append(part)
            else:
                position += self._read_header(data, position)
        return b"".join(parts)

    def _read_header(self, data: bytes, position: int) -> int:
        """Read bytes of a length; return how many."""
        part = data[position : position + LENGTH_BYTES - len(self._header)]
        self._header += part
        if len(self._header) == LENGTH_BYTES:
            self._num_left = int.from_bytes(self._header, "big")
            self._header.clear()
            self.is_ended = self._num_left == 0
        return len(part)
