"""A minimal HTTP/1.1 server side and client side on asyncio streams."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

MAX_HEAD_BYTES = 65536


@dataclass
class Message:
    """A request or an answer: first line, headers with lower-case names, body."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    extra: dict[str, object] = field(default_factory=dict)

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message that has a length or chunks.

    Raises:
        asyncio.IncompleteReadError: The connection ended within the body.
    """
    if "chunked" in message.headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            parts.append(data[:-2])
        message.body = b"".join(parts)
        return
    length = int(message.headers.get("content-length", "0"))
    if length:
        message.body = await reader.readexactly(length)


def answer_bytes(status: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encode a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request_bytes(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Encode a whole request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
