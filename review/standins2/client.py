"""A stand-in of the platform's clients, by PROTOCOL.md, "Ingress", "Requests" and "Answers"."""

import asyncio
import time
from dataclasses import dataclass

from review.standins2.http import Message, read_message, request_bytes


@dataclass
class Outcome:
    """How a client attempt ended.

    Attributes:
        name: Its id.
        answer: The answer; None if the connection ended without a head, or none came in time.
        why: Why there is no answer.
        sent_s: When it was sent, in monotonic seconds.
        took_s: How long it took.
    """

    name: str
    answer: Message | None
    why: str
    sent_s: float
    took_s: float

    @property
    def status(self) -> int:
        """Status of the answer; 0 if there is none."""
        return self.answer.status if self.answer else 0


class Client:
    """A client with one kept connection.

    Args:
        host: Host header of its requests.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._at: tuple[str, int] | None = None
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self,
        at: tuple[str, int],
        method: str,
        target: str,
        name: str,
        deadline_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Outcome:
        """Send a request to a gateway, and wait for the whole answer until the deadline."""
        sent_s = time.monotonic()
        answer, why = None, ""
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await self._connection(at)
                sent_s = time.monotonic()
                fields = {
                    "Host": self._host,
                    "X-Attempt-Id": name,
                    "X-Deadline-Ms": str(int(deadline_s * 1000)),
                    **(headers or {}),
                }
                writer.write(request_bytes(method, target, fields, body))
                await writer.drain()
                answer = await read_message(reader, is_answer=True)
                why = "" if answer else "closed"
        except TimeoutError:
            why = "deadline"
        except (ConnectionError, OSError) as error:
            why = type(error).__name__
        if answer is None or answer.closes:
            self.close()
        return Outcome(name, answer, why, sent_s, time.monotonic() - sent_s)

    async def _connection(
        self, at: tuple[str, int]
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is not None and (self._at != at or self._streams[0].at_eof()):
            self.close()
        if self._streams is None:
            self._streams = await asyncio.open_connection(*at)
            self._at = at
        return self._streams

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
