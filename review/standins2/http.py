"""HTTP/1.1 over asyncio streams: enough of it to stand in for servers and clients."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

CRLF = b"\r\n"
READ_BYTES = 64 * 1024


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
        first: The three parts of the first line.
        headers: Header fields in lower case, in order.
        body: The body.
        is_whole: Whether the body ended as its head announced.
        closes: Whether the connection ends with the message.
    """

    first: tuple[str, str, str]
    headers: list[tuple[str, str]]
    body: bytes = b""
    is_whole: bool = True
    closes: bool = False

    def header(self, name: str) -> str | None:
        """Return the last value of a header field; None if there is none."""
        return dict(self.headers).get(name)

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None if the connection ends before it."""
    try:
        raw = await reader.readuntil(CRLF + CRLF)
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    first = (*lines[0].split(" ", 2), "", "")[:3]
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = [(name.strip().lower(), value.strip()) for name, _, value in pairs]
    return Message((first[0], first[1], first[2]), headers)


async def read_body(reader: asyncio.StreamReader, message: Message, *, is_answer: bool) -> None:
    """Read the body that follows a head."""
    message.closes = "close" in (message.header("connection") or "").lower()
    try:
        if "chunked" in (message.header("transfer-encoding") or "").lower():
            message.body = await _read_chunks(reader)
        elif (length := message.header("content-length")) is not None:
            message.body = await reader.readexactly(int(length))
        elif is_answer:
            message.body = await reader.read(-1)
            message.closes = True
    except asyncio.IncompleteReadError as error:
        message.body, message.is_whole, message.closes = error.partial, False, True
    except (ConnectionError, OSError, ValueError):
        message.is_whole, message.closes = False, True


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts: list[bytes] = []
    while True:
        try:
            line = await reader.readuntil(CRLF)
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(len(CRLF))
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            raise asyncio.IncompleteReadError(b"".join(parts), None) from error
        if size == 0:
            return b"".join(parts)
        parts.append(data)


async def read_message(reader: asyncio.StreamReader, *, is_answer: bool) -> Message | None:
    """Read a whole message; None if the connection ends before its head."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message, is_answer=is_answer)
    return message


REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def stream_head(headers: dict[str, str]) -> bytes:
    """Return the head of an answer in chunks."""
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
    return "\r\n".join(lines).encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection, also while the event loop ends."""
    with contextlib.suppress(RuntimeError):
        writer.close()


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
