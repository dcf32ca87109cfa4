"""An HTTP/1.1 server on a loopback port that sends bytes which are no answer until its client closes."""

import gzip
import itertools

import anyio
from anyio.abc import SocketAttribute

from weirscale.standins.asgi_server import LOOPBACK

PIECE_BYTES = 32 * 1024
TRICKLE_INTERVAL_S = 0.02
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


def in_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def informational(size):
    return b"", itertools.repeat(INFORMATIONAL * max(1, size // len(INFORMATIONAL)))


def header_fields(size):
    return OK_HEAD, itertools.repeat(b"X-Filler: %b\r\n" % (b"y" * min(size, 2000)))


def status_line(size):
    return b"HTTP/1.1 200 ", itertools.repeat(b"O" * size)


def body_in_chunks(size):
    return CHUNKED_HEAD, itertools.repeat(in_chunk(b" " * size))


def body_without_length(size):
    return OK_HEAD + b"\r\n", itertools.repeat(b" " * size)


def body_of_enormous_length(size):
    return OK_HEAD + b"Content-Length: 900000000000\r\n\r\n", itertools.repeat(b" " * size)


def chunk_extension(size):
    return CHUNKED_HEAD + b"1;", itertools.repeat(b"e" * size)


def trailer_fields(size):
    return CHUNKED_HEAD + b"2\r\n{}\r\n0\r\n", itertools.repeat(
        b"X-T: %b\r\n" % (b"y" * min(size, 2000))
    )


def body_that_unpacks(size):
    packed = gzip.compress(b" " * (64 * 1024 * 1024), compresslevel=1)
    head = OK_HEAD + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(packed)
    return head + packed, ()


CONTENTS = {
    "informational answers": informational,
    "header fields": header_fields,
    "a status line": status_line,
    "a body in chunks": body_in_chunks,
    "a body without length": body_without_length,
    "a body of enormous length": body_of_enormous_length,
    "one chunk's extension": chunk_extension,
    "trailer fields": trailer_fields,
    "a body that unpacks": body_that_unpacks,
}


class EndlessServer:
    """Answers each request with bytes without end, at full speed or some bytes at a time."""

    def __init__(self, behaviour):
        verb, _, contents = behaviour.partition(" ")
        self._is_trickle = verb == "trickles"
        self._begin, self._pieces = CONTENTS[contents](1 if self._is_trickle else PIECE_BYTES)
        self.num_bytes = 0
        self.num_open = 0
        self.address = None

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        self.address = f"{LOOPBACK}:{listener.extra(SocketAttribute.local_port)}"
        task_status.started(self.address)
        await listener.serve(self._serve)

    async def _serve(self, stream):
        self.num_open += 1
        try:
            async with stream:
                await stream.receive()
                await self._send_without_end(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        finally:
            self.num_open -= 1

    async def _send_without_end(self, stream):
        await self._send(stream, self._begin)
        for piece in self._pieces:
            if self._is_trickle:
                await anyio.sleep(TRICKLE_INTERVAL_S)
            await self._send(stream, piece)
        await stream.receive()

    async def _send(self, stream, data):
        if data:
            await stream.send(data)
            self.num_bytes += len(data)
