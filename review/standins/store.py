"""A stand-in of the platform's metadata store, as `PROTOCOL.md` describes it.

It is sound, but may come back from a copy (`Store-Era`), where a case asks for that.
"""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from standins.http1 import Message, answer_bytes, read_body, read_head

ANSWER_S = 0.004
"""The store takes 4 ms for an answer."""

HISTORY_S = 20.0
SWEEP_S = 0.02


@dataclass
class Item:
    """One key."""

    key: str
    value: bytes
    revision: int
    made: int
    lease: int = 0

    def encoded(self) -> dict[str, object]:
        """Return the item as the store sends it."""
        return {
            "private_key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "made": self.made,
            "lease": self.lease,
        }


@dataclass
class Copy:
    """What the store held at one moment."""

    revision: int
    items: dict[str, Item]
    lease_lives_s: dict[int, tuple[float, float]]


class Store:
    """Keys, leases and history in memory, served over HTTP."""

    def __init__(self) -> None:
        self.revision = 100
        self._oldest_revision = 0
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.events: list[tuple[float, dict[str, object]]] = []
        self._changed = asyncio.Event()
        self._next_lease = 7000
        self._era = 0
        self._is_away = False
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        self._sweeper = asyncio.create_task(self._sweep())

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key as the operator or a runner does; return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._apply([(key, data, lease)], [])

    def delete(self, key: str) -> int:
        """Delete a key; return the revision."""
        return self._apply([], [key])

    def copy(self) -> Copy:
        """Return a copy of what the store holds now."""
        now_s = time.monotonic()
        lives_s = {
            lease: (until_s - now_s, life_s) for lease, (until_s, life_s) in self.leases.items()
        }
        return Copy(self.revision, dict(self.items), lives_s)

    def go_away(self) -> None:
        """Answer nobody until `come_back`."""
        self._is_away = True
        self._wake()

    def come_back(self, copy: Copy) -> None:
        """Answer again from a copy; what was written since then is gone, leases too."""
        now_s = time.monotonic()
        self._era += 1
        self.revision, self.items, self.events = copy.revision, dict(copy.items), []
        self._oldest_revision = copy.revision
        self.leases = {
            lease: (now_s + left_s, life_s)
            for lease, (left_s, life_s) in copy.lease_lives_s.items()
        }
        self._is_away = False

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _apply(self, puts: list[tuple[str, bytes, int]], deletes: list[str]) -> int:
        self.revision += 1
        now_s = time.monotonic()
        for key, value, lease in puts:
            old = self.items.get(key)
            made = old.made if old else self.revision
            item = Item(key, value, self.revision, made, lease)
            self.items[key] = item
            self.events.append((now_s, item.encoded()))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                gone = {"private_key": key, "revision": self.revision, "gone": True}
                self.events.append((now_s, gone))
        self._wake()
        return self.revision

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = time.monotonic()
            for lease, (until_s, _) in list(self.leases.items()):
                if until_s <= now_s:
                    self._end_lease(lease)
            while self.events and self.events[0][0] < now_s - HISTORY_S:
                self._oldest_revision = int(str(self.events.pop(0)[1]["revision"]))

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self._apply([], keys)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(request)
                if self._is_away:
                    break
                data = json.dumps(body).encode() if body is not None else b""
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self._era))]
                writer.write(answer_bytes(status, headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = url.path
        if path == "/v1/kv-key":
            item = self.items.get(query.get("private_key", ""))
            return (404, None) if item is None else (200, {**item.encoded(), "at": self.revision})
        if path == "/v1/kv-range":
            return 200, self._range(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transaction(json.loads(request.body))
        if path == "/v1/kv-lease":
            life_ms = json.loads(request.body)["ttl_ms"]
            self._next_lease += 1
            life_s = life_ms / 1000
            self.leases[self._next_lease] = (time.monotonic() + life_s, life_s)
            return 200, {"lease": self._next_lease, "ttl_ms": life_ms}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if lease not in self.leases:
            return 404, None
        if path.startswith("/v1/kv-keep/"):
            life_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + life_s, life_s)
            return 200, {"ttl_ms": life_s * 1000}
        self._end_lease(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> object:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key].encoded() for key in keys[:500]]
        return {"items": items, "more": len(keys) > len(items), "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self._era
        while True:
            if self._is_away or era != self._era or not self._has_history(after):
                return 410, None
            found = [
                event
                for _, event in self.events
                if int(str(event["revision"])) > after
                and str(event["private_key"]).startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _has_history(self, after: int) -> bool:
        return self._oldest_revision <= after <= self.revision

    def _transaction(self, body: dict[str, list]) -> tuple[int, object]:
        rows = body.get("if_revision", [])
        current = [self.items.get(row["private_key"]) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if row["revision"] != (item.revision if item else 0):
                return 412, {"items": [item.encoded() if item else None for item in current]}
        puts = [
            (row["private_key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body.get("put", [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, None
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, None
        return 200, {"revision": self._apply(puts, body.get("delete", []))}
