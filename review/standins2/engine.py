"""A stand-in of a model runner that takes weight orders, by PROTOCOL.md, "Requests"."""

import asyncio
import json
import time
from random import Random

from review.standins2.http import Message, answer_bytes, chunk, stream_head
from review.standins2.record import Record
from review.standins2.runner import Runner
from review.standins2.store import Store

MODEL = "m0"
LOAD_S = 0.6
REPORT_LAG_S = 0.2
ACCEPTED = 202


class Engine(Runner):
    """An engine with one model.

    Args:
        service: Its service.
        number: Its number.
        net: First three numbers of its address.
        store: Where it registers.
        record: Where runs and orders are recorded.
    """

    def __init__(self, service: str, number: int, net: str, store: Store, record: Record) -> None:
        super().__init__(service, number, net, store, record, Random(number), slots=64)
        self.version = 1
        self.num_orders = 0
        self._is_loading = False
        self._past: list[tuple[float, int, int, bool]] = [(0.0, 1, 0, False)]

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        return {**super().entry(), "stage": "unified", "models": self._models(self.version)}

    def _models(self, version: int) -> list[dict[str, object]]:
        return [{"name": MODEL, "version": version, "adapters": []}]

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bytes:
        method, target, _ = request.first
        if request.header("x-expect-instance") not in (None, self.instance):
            return _json(421, {})
        if target == "/v1/report" and method == "GET":
            return _json(200, self._report())
        if target == "/v1/order" and method == "POST":
            return self._take(json.loads(request.body))
        expected = request.header("x-expect-version")
        if expected not in (None, str(self.version)):
            return _json(421, {})
        return await super()._answer(request, writer)

    def _report(self) -> object:
        """Return the state as of some hundred milliseconds ago."""
        past_s = time.monotonic() - REPORT_LAG_S
        _, version, seq, is_loading = [row for row in self._past if row[0] <= past_s][-1]
        return {
            "stage": "unified",
            "models": self._models(version),
            "utilization": is_loading,
            "seq": seq,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 100000,
            "handles": 0,
        }

    def _take(self, body: dict[str, object]) -> bytes:
        version = int(str(body["version"]))
        status = 200 if self.version >= version else ACCEPTED
        if self._is_loading or body.get("if_revision", self.num_orders) != self.num_orders:
            status = 409
        self.record.add(f"{self.instance} order of {body['holder']}: version {version}, {status}")
        if status == ACCEPTED:
            self.num_orders += 1
            self._is_loading = True
            self._note()
            asyncio.get_running_loop().call_later(LOAD_S, self._loaded, version)
        return _json(status, {})

    def _loaded(self, version: int) -> None:
        self.version, self._is_loading = version, False
        self._note()
        self._store.put_json(f"servers/{self.instance}", self.entry())

    def _note(self) -> None:
        self._past.append((time.monotonic(), self.version, self.num_orders, self._is_loading))

    async def execute(
        self, request: Message, name: str | None, writer: asyncio.StreamWriter
    ) -> bytes:
        """Run a stream of a few events."""
        self.runs[name or ""] += 1
        self.record.add(f"{self.instance} runs {name} on version {self.version}")
        seal = f"{self.instance}.{name}"
        head = {"X-Response-Seal": seal, "X-Weight-Versions": str(self.version)}
        writer.write(stream_head({"X-Attempt-Id": name or "", **head}))
        for number in range(1, 6):
            await asyncio.sleep(0.02)
            writer.write(chunk(f"id: {number}\ndata: {name} {number}\n\n".encode()))
        return chunk(b"")


def _json(status: int, body: object) -> bytes:
    return answer_bytes(status, {"Content-Type": "application/json"}, json.dumps(body).encode())
