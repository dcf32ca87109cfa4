"""Stand-in of the platform's store with injectable faults, written from the published protocol."""

import base64
import json
from random import Random

import anyio
import httpx

HISTORY_LENGTH = 200
SILENT_S = 3600.0
LOST_ANSWER_S = 1.0
"""The time after which the adapter stops waiting for an answer."""

JSON_TYPE = {"content-type": "application/json"}


class StoreStandIn:
    """A linearizable store with items, leases, transactions and watches."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.lives_ms = {}
        self.history = []
        self.revision = 0
        self.oldest = 0
        self.calls = []
        self.changed = anyio.Event()
        self.is_down = False
        self.is_silent = False
        self.lose_answers = False
        self.lose_share = 0.0
        self.random = Random(5)
        self.jitter_s = 0.0
        self.late_writes_s = None
        self.withholds_events = False
        self.next_lease = 100
        self.num_cuts = 0
        self.era = 0
        """How often the store was restored from a backup; unless 0, every answer states it."""
        self.backup = None
        self.withheld_answers = []
        """Paths of calls whose next answer is withheld until `release_answers` is called."""
        self.answers_released = anyio.Event()

    # Changes that a test makes directly, in place of the operator or a runner.

    def put(self, key, value, lease=0):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._change(key, raw, lease)

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self._append_event({"private_key": key, "revision": self.revision, "gone": True})

    def compact(self):
        """Drop all history, which ends the watches from earlier revisions."""
        self.history.clear()
        self.oldest = self.revision
        self._wake_watches()

    def cut_watches(self):
        """Reset the connections of all waiting watches."""
        self.num_cuts += 1
        self._wake_watches()

    def take_backup(self):
        """Back up all items, except those that are attached to a lease."""
        items = {key: item for key, item in self.items.items() if not item["lease"]}
        self.backup = (items, self.revision)

    def restore(self):
        """Restore the backup: later writes and all leases are lost."""
        items, self.revision = self.backup
        self.items = dict(items)
        self.leases.clear()
        self.era += 1
        self.compact()
        self.cut_watches()

    def release_answers(self):
        """Send the answers that were withheld."""
        released, self.answers_released = self.answers_released, anyio.Event()
        released.set()

    def _change(self, key, raw, lease):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {
            "private_key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "made": made,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)

    def _append_event(self, event):
        self.history.append(event)
        self._wake_watches()

    def _wake_watches(self):
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def _expire(self):
        now_s = anyio.current_time()
        for lease in [lease for lease, until_s in self.leases.items() if until_s <= now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    # The protocol.

    async def handle(self, request):
        body = json.loads(request.content or b"{}")
        path = request.url.path
        self.calls.append((request.method, path))
        if self.is_silent:
            await anyio.sleep(SILENT_S)
        if self.is_down:
            raise httpx.ConnectError("refused")
        await anyio.sleep(0.004 + self.jitter_s * self.random.random())
        self._expire()
        response = await self._answer(request, path, body)
        if self.era:
            response.headers["Store-Era"] = str(self.era)
        if path in self.withheld_answers:
            self.withheld_answers.remove(path)
            await self.answers_released.wait()
        return response

    async def _answer(self, request, path, body):
        if path == "/v1/kv-range":
            prefix = request.url.params["path_prefix"]
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
            return reply(200, {"items": items, "more": False, "at": self.revision})
        if path == "/v1/kv-watch":
            return await self._watch(request.url.params)
        if path == "/v1/kv-txn":
            return await self._write(lambda: self._transaction(body))
        if path == "/v1/kv-lease":
            return await self._write(lambda: self._grant(body["ttl_ms"]))
        if path.startswith("/v1/kv-keep/"):
            return self._renew_lease(int(path.rsplit("/", 1)[1]))
        if path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return reply(200, {})
        return reply(400, {})

    async def _watch(self, parameters):
        after = int(parameters["after"])
        num_cuts = self.num_cuts
        with anyio.move_on_after(int(parameters["wait_ms"]) / 1000.0):
            while True:
                if self.num_cuts != num_cuts:
                    raise httpx.ReadError("connection reset")
                if after < self.oldest or after > self.revision:
                    return reply(410, {})
                prefix = parameters["path_prefix"]
                events = [
                    event
                    for event in self.history
                    if event["revision"] > after and event["private_key"].startswith(prefix)
                ]
                if events and not self.withholds_events:
                    return reply(200, {"events": events, "at": self.revision})
                await self.changed.wait()
        return reply(200, {"events": [], "at": after if self.withholds_events else self.revision})

    async def _write(self, change):
        if self.late_writes_s is not None:
            await anyio.sleep(self.late_writes_s)
        answer = change()
        if self.lose_answers:
            raise httpx.RemoteProtocolError("answer lost")
        if self.random.random() < self.lose_share:
            await anyio.sleep(LOST_ANSWER_S)
            raise httpx.ReadTimeout("answer lost")
        return answer

    def _transaction(self, body):
        for condition in body["if_revision"]:
            item = self.items.get(condition["private_key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                keys = [condition["private_key"] for condition in body["if_revision"]]
                current = [self.items[key] for key in keys if key in self.items]
                return reply(412, {"items": current})
        for put in body["put"]:
            if put["lease"] and put["lease"] not in self.leases:
                return reply(404, {})
        for put in body["put"]:
            self._change(put["private_key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["delete"]:
            self.delete(key)
        return reply(200, {"revision": self.revision})

    def _grant(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = anyio.current_time() + ttl_ms / 1000.0
        self.lives_ms[self.next_lease] = ttl_ms
        return reply(200, {"lease": self.next_lease, "ttl_ms": ttl_ms})

    def _renew_lease(self, lease):
        if lease not in self.leases:
            return reply(404, {})
        ttl_ms = self.lives_ms[lease]
        self.leases[lease] = anyio.current_time() + ttl_ms / 1000.0
        return reply(200, {"ttl_ms": ttl_ms})


def reply(status, body):
    return httpx.Response(status, headers=JSON_TYPE, content=json.dumps(body).encode())
