"""A stand-in of an application runner, by PROTOCOL.md, "Runners" and "Service discovery"."""

import asyncio
from collections import Counter
from random import Random

from review.standins2.gateways import ZONES, free_port
from review.standins2.http import Message, answer_bytes, close, read_message
from review.standins2.record import Record
from review.standins2.store import Store

HEARTBEAT_S = 1.2
HEALTH_PATH = "/healthz"


class Runner:
    """One runner: works on `slots` requests at once, queues some more and rejects the rest.

    Args:
        service: Its service.
        number: Its number in the service.
        net: First three numbers of its address.
        store: Where it registers.
        record: Where its runs are recorded.
        random: Draws the times of work.
        slots: Requests at once.
        queue: Requests that wait.
        work_s: Mean seconds of work on a request.
    """

    def __init__(
        self,
        service: str,
        number: int,
        net: str,
        store: Store,
        record: Record,
        random: Random,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.06,
    ) -> None:
        self.service = service
        self.instance = f"i-{service}-{number}-{random.getrandbits(32):08x}"
        self.host = f"{net}.{10 + number % 80}"
        self.port = free_port(self.host)
        self.zone = ZONES["r"][number % 3]
        self.state = "ready"
        self.runs: Counter[str] = Counter()
        self.answered = 0
        self.record = record
        self.random = random
        self.drops_closed = True
        """Whether it drops a request whose connection has closed, as most do."""
        self.serving: set[asyncio.Task[None]] = set()
        """Its open connections."""
        self._store = store
        self._slots = slots
        self._places = slots + queue
        self._work_s = work_s
        self._num_present = 0
        self._free = asyncio.Semaphore(slots)

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 1,
        }

    async def run(self) -> None:
        """Register and serve until cancelled."""
        server = await asyncio.start_server(self._serve, self.host, self.port)
        async with server:
            self._store.put_json(f"servers/{self.instance}", self.entry())
            await server.serve_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection: dict[str, bytes] = {}
        task = asyncio.current_task()
        assert task is not None
        self.serving.add(task)
        try:
            while (request := await read_message(reader, is_answer=False)) is not None:
                await self.before_answer(connection, writer, request)
                answering = asyncio.ensure_future(self._answer(request, writer))
                answer = await self._until_closed(answering, reader)
                if answer is None or not await self.send(connection, writer, answer):
                    return
        except (ConnectionError, OSError, asyncio.CancelledError):
            return
        finally:
            self.serving.discard(task)
            close(writer)

    async def _until_closed(
        self, answering: "asyncio.Future[bytes]", reader: asyncio.StreamReader
    ) -> bytes | None:
        """Wait for an answer; drop the request, and return None, when the connection closes."""
        while not answering.done():
            await asyncio.wait([answering], timeout=0.02)
            if reader.at_eof() and not answering.done() and self.drops_closed:
                answering.cancel()
                return None
        return answering.result()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bytes:
        method, target, _ = request.first
        name = request.header("x-attempt-id")
        is_health = method == "GET" and target == HEALTH_PATH
        if not is_health and request.header("x-expect-instance") not in (None, self.instance):
            self.record.add(f"{self.instance} 421 {name}")
            return answer_bytes(421, _named({}, name), b"")
        if self._num_present >= self._places:
            self.record.add(f"{self.instance} rejects {name or 'a health check'}")
            return answer_bytes(503, _named({"X-Not-Executed": "1"}, name), b"")
        self._num_present += 1
        try:
            async with self._free:
                if is_health:
                    return answer_bytes(200, {"X-Instance-Id": self.instance}, b"ok")
                return await self.execute(request, name, writer)
        finally:
            self._num_present -= 1

    async def execute(
        self, request: Message, name: str | None, writer: asyncio.StreamWriter
    ) -> bytes:
        """Run a request, and return the answer, or what is still to be sent of it."""
        self.runs[name or ""] += 1
        self.record.add(f"{self.instance} runs {name}")
        await asyncio.sleep(self._work_s * (0.5 + self.random.random()))
        seal = {"X-Response-Seal": f"{self.instance}.{name}"}
        return answer_bytes(200, _named(seal, name), f"done {name}".encode())

    async def before_answer(
        self, connection: dict[str, bytes], writer: asyncio.StreamWriter, request: Message
    ) -> None:
        """Do something as the next request on a connection has been read; a sound one doesn't."""

    async def send(
        self, connection: dict[str, bytes], writer: asyncio.StreamWriter, answer: bytes
    ) -> bool:
        """Send an answer; return whether the connection goes on."""
        self.answered += 1
        writer.write(answer)
        await writer.drain()
        return True


def _named(headers: dict[str, str], name: str | None) -> dict[str, str]:
    """Add the id that a request came with, which answers carry back."""
    return headers if name is None else {"X-Attempt-Id": name, **headers}
