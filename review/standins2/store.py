"""A stand-in of the platform's metadata store, by PROTOCOL.md, "The platform's metadata store"."""

import asyncio
import base64
import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from review.standins2.http import Message, answer_bytes, close, read_message

PAGE_ITEMS = 500
ANSWER_S = 0.004
"""The store takes 4 ms an answer (SYSTEM.md)."""


@dataclass
class Item:
    """An item of the store."""

    value: bytes
    revision: int
    made: int
    lease: int


@dataclass
class Store:
    """The store; `serve` must run. It loses nothing that it has acknowledged.

    Attributes:
        revision: Rises with each change.
        items: Items by key.
        events: All changes, in order.
        leases: End of each lease in monotonic seconds, and its time to live.
        calls: Number of calls by caller.
    """

    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)
    on_page: Callable[[str, int], None] | None = None
    """Called with where each page of a read of everything begins, and its revision."""
    _next_lease: int = 1000
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item; return the revision."""
        self.revision += 1
        old = self.items.get(key)
        made = old.made if old else self.revision
        item = self.items[key] = Item(value, self.revision, made, lease)
        self._add_event(_row(key, item))
        return self.revision

    def delete(self, key: str) -> None:
        """Delete an item, if it is there."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"private_key": key, "revision": self.revision, "gone": True})

    def put_json(self, key: str, value: object) -> None:
        """Write a JSON value, as the operator and runners do."""
        self.put(key, json.dumps(value).encode())

    def _add_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(
        self, host: str, port: int, one_way_s: float = 0.0, caller: str = ""
    ) -> asyncio.Server:
        """Serve calls at an address that lies some seconds away, one way.

        Args:
            host: The address.
            port: The port.
            one_way_s: How far away it lies.
            caller: Who calls there.
        """
        return await asyncio.start_server(
            partial(self._serve_connection, one_way_s, caller), host, port
        )

    async def expire_leases(self) -> None:
        """End leases in time, until cancelled."""
        while True:
            now_s = time.monotonic()
            for lease in [one for one, (end_s, _) in self.leases.items() if end_s <= now_s]:
                self._end_lease(lease)
            await asyncio.sleep(0.02)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    async def _serve_connection(
        self,
        one_way_s: float,
        caller: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (request := await read_message(reader, is_answer=False)) is not None:
                self.calls[caller] += 1
                await asyncio.sleep(one_way_s + ANSWER_S)
                status, body = await self._answer(request)
                await asyncio.sleep(one_way_s)
                head = {"Content-Type": "application/json"}
                writer.write(answer_bytes(status, head, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            return
        finally:
            close(writer)

    async def _answer(self, request: Message) -> tuple[int, object]:
        method, target, _ = request.first
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        path = unquote(url.path)
        if path == "/v1/kv-range":
            return 200, self._range(query)
        if path == "/v1/kv-watch":
            return 200, await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/v1/kv-lease":
            return 200, self._grant(json.loads(request.body)["ttl_ms"] / 1000.0)
        lease = int(path.rpartition("/")[2]) if path.rpartition("/")[2].isdigit() else 0
        if path.startswith("/v1/kv-keep/") and lease in self.leases:
            life_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + life_s, life_s)
            return 200, {"ttl_ms": life_s * 1000.0}
        if path.startswith("/v1/kv-lease-end/") and method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> object:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [_row(key, self.items[key]) for key in keys[:PAGE_ITEMS]]
        if self.on_page is not None and not prefix:
            self.on_page(after, self.revision)
        return {"items": rows, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> object:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000.0
        prefix = query.get("path_prefix", "")
        end_s = time.monotonic() + wait_s
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["private_key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0.0:
                return {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, object]:
        for row in body.get("if_revision", []):
            item = self.items.get(row["private_key"])
            if (item.revision if item else 0) != row["revision"]:
                current = [
                    _row(one["private_key"], self.items[one["private_key"]])
                    if one["private_key"] in self.items
                    else None
                    for one in body["if_revision"]
                ]
                return 412, {"items": current}
        if any(row.get("lease") and row["lease"] not in self.leases for row in body["put"]):
            return 404, {}
        for row in body["put"]:
            self.put(row["private_key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    def _grant(self, life_s: float) -> object:
        self._next_lease += 1
        self.leases[self._next_lease] = (time.monotonic() + life_s, life_s)
        return {"lease": self._next_lease, "ttl_ms": life_s * 1000.0}


def _row(key: str, item: Item) -> dict[str, Any]:
    return {
        "private_key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "made": item.made,
        "lease": item.lease,
    }
