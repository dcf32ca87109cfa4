"""ASGI app of the stand-in, with the interface of the etcd v3 JSON gateway.

As in that gateway, keys and values are base64, 64-bit integers are strings, and errors have the
code and message of gRPC. Only operations that the router uses are implemented: range, txn with one
comparison, leases and watches.
"""

import base64
import math
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any

import anyio
import msgspec

from weirscale.ports.asgi import (
    JSON_HEADERS,
    Receive,
    Scope,
    Send,
    answer_lifespan,
    read_body,
    send_json,
    send_part,
    start_response,
)
from weirscale.standins.asgi_server import MAX_BODY_BYTES
from weirscale.standins.key_value.model import (
    Change,
    CompactedError,
    LeaseNotFoundError,
    StoredKey,
)
from weirscale.standins.key_value.server import (
    AnswerLostError,
    KeyValueServer,
    StoreDownError,
    StoreRateLimitedError,
)

GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_UNIMPLEMENTED = 12
GRPC_UNAVAILABLE = 14

NO_LEADER = "etcdserver: no leader"
"""Error of etcd for a call that it did not accept, so nothing changed."""
TIMED_OUT = "etcdserver: request timed out"
"""Error of etcd for an accepted call whose outcome is unknown."""

Body = dict[str, Any]
Effect = Callable[[float], Body]


class _BadRequestError(Exception):
    """The request does not follow the format of the gateway."""


class KeyValueApp:
    """ASGI application for `hypercorn.asyncio.serve`."""

    def __init__(self, server: KeyValueServer) -> None:
        self._server = server
        self._effects: dict[str, Callable[[Body], Effect]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._transaction,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request, or the startup and shutdown events of the server."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        try:
            body = await _read_object(receive)
            await self._answer(scope["path"], body, receive, send)
        except (_BadRequestError, KeyError, TypeError, ValueError) as error:
            await _send_error(send, 400, GRPC_INVALID_ARGUMENT, f"bad request: {error}")

    async def _answer(self, path: str, body: Body, receive: Receive, send: Send) -> None:
        if path == "/v3/watch":
            await self._watch_until_disconnect(body, receive, send)
        elif path in self._effects:
            await self._run(self._effects[path](body), send)
        else:
            await _send_error(send, 404, GRPC_UNIMPLEMENTED, f"unknown path {path}")

    async def _run(self, effect: Effect, send: Send) -> None:
        try:
            answer = await self._server.run(effect)
        except StoreDownError:
            await _send_error(send, 503, GRPC_UNAVAILABLE, NO_LEADER)
        except AnswerLostError:
            await _send_error(send, 503, GRPC_UNAVAILABLE, TIMED_OUT)
        except StoreRateLimitedError as error:
            await _send_rate_limited(send, error)
        except LeaseNotFoundError:
            message = "etcdserver: requested lease not found"
            await _send_error(send, 404, GRPC_NOT_FOUND, message)
        else:
            await send_json(send, 200, answer)

    def _header(self) -> Body:
        return {"revision": str(self._server.model.revision)}

    def _range(self, body: Body) -> Effect:
        key, range_end = _bytes(body, "key"), _bytes(body, "range_end")

        def effect(now_s: float) -> Body:
            stored_keys = self._server.model.range(key, range_end, now_s)
            return {"header": self._header(), **_range_body(stored_keys)}

        return effect

    def _transaction(self, body: Body) -> Effect:
        compares = body.get("compare", [])
        for compare in compares:
            if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
                raise _BadRequestError(
                    "only comparisons with target MOD and result EQUAL are supported"
                )

        def effect(now_s: float) -> Body:
            model = self._server.model
            succeeded = all(
                model.mod_revision(_bytes(c, "key"), now_s) == int(c.get("mod_revision", 0))
                for c in compares
            )
            operations = body.get("success" if succeeded else "failure", [])
            responses = [self._execute_operation(operation, now_s) for operation in operations]
            return {"header": self._header(), "succeeded": succeeded, "responses": responses}

        return effect

    def _execute_operation(self, operation: Body, now_s: float) -> Body:
        """Execute one operation of a transaction."""
        model = self._server.model
        if "request_put" in operation:
            put = operation["request_put"]
            lease_id = int(put.get("lease", 0))
            model.put(_bytes(put, "key"), _bytes(put, "value"), lease_id, now_s)
            return {"response_put": {"header": self._header()}}
        if "request_delete_range" in operation:
            existed = model.delete(_bytes(operation["request_delete_range"], "key"), now_s)
            return {"response_delete_range": {"deleted": str(int(existed))}}
        if "request_range" in operation:
            request = operation["request_range"]
            stored_keys = model.range(_bytes(request, "key"), _bytes(request, "range_end"), now_s)
            return {"response_range": _range_body(stored_keys)}
        raise _BadRequestError("unknown operation")

    def _grant(self, body: Body) -> Effect:
        time_to_live_s = math.ceil(float(body["TTL"]))

        def effect(now_s: float) -> Body:
            lease_id = self._server.model.grant_lease(time_to_live_s, now_s)
            return {"header": self._header(), "ID": str(lease_id), "TTL": str(time_to_live_s)}

        return effect

    def _keep_alive(self, body: Body) -> Effect:
        lease_id = int(body["ID"])

        def effect(now_s: float) -> Body:
            time_to_live_s = self._server.model.keep_lease_alive(lease_id, now_s)
            renewed = {"header": self._header(), "ID": str(lease_id)}
            if time_to_live_s:
                renewed["TTL"] = str(time_to_live_s)
            return {"result": renewed}

        return effect

    def _revoke(self, body: Body) -> Effect:
        lease_id = int(body["ID"])

        def effect(now_s: float) -> Body:
            self._server.model.revoke_lease(lease_id, now_s)
            return {"header": self._header()}

        return effect

    async def _watch_until_disconnect(self, body: Body, receive: Receive, send: Send) -> None:
        """Run a watch until its client disconnects, which only `receive` reports."""
        async with anyio.create_task_group() as tasks:

            async def end_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(end_on_disconnect)
            await self._watch(body, send)
            tasks.cancel_scope.cancel()

    async def _watch(self, body: Body, send: Send) -> None:
        """Stream one JSON object per line; the end of the stream is the end of the watch."""
        request = body["create_request"]
        key, range_end = _bytes(request, "key"), _bytes(request, "range_end")
        changes = self._server.changes(key, range_end, int(request.get("start_revision", 0)))
        await start_response(send, 200, JSON_HEADERS)
        try:
            created = {"header": self._header(), "created": True}
            await _send_line(send, {"result": created})
            async with aclosing(changes) as batches:
                await self._send_batches(batches, send)
        except CompactedError as error:
            cancelled = {"canceled": True, "compact_revision": str(error.compact_revision)}
            await _send_line(send, {"result": {"header": self._header(), **cancelled}})
        except StoreRateLimitedError as error:
            failed = {"grpc_code": GRPC_RESOURCE_EXHAUSTED, "message": str(error)}
            await _send_line(send, {"error": failed})
        except StoreDownError:
            await _send_line(send, {"error": {"grpc_code": GRPC_UNAVAILABLE, "message": NO_LEADER}})
        await send_part(send, b"", is_last=True)

    async def _send_batches(self, batches: AsyncIterator[list[Change]], send: Send) -> None:
        async for batch in batches:
            events = [_event_body(change) for change in batch]
            await _send_line(send, {"result": {"header": self._header(), "events": events}})


def _bytes(body: Body, field: str) -> bytes:
    return base64.b64decode(body.get(field, ""), validate=True)


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _key_body(stored: StoredKey) -> Body:
    body = {
        "key": _encode(stored.key),
        "create_revision": str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "version": str(stored.version),
        "value": _encode(stored.value),
    }
    if stored.lease_id:
        body["lease"] = str(stored.lease_id)
    return body


def _range_body(stored_keys: list[StoredKey]) -> Body:
    if not stored_keys:
        return {}
    return {"kvs": [_key_body(stored) for stored in stored_keys], "count": str(len(stored_keys))}


def _event_body(change: Change) -> Body:
    if change.stored is not None:
        return {"kv": _key_body(change.stored)}
    deleted = {"key": _encode(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": deleted}


async def _read_object(receive: Receive) -> Body:
    content = await read_body(receive, MAX_BODY_BYTES)
    if content is None:
        raise _BadRequestError("incomplete request body")
    try:
        return msgspec.json.decode(content or b"{}", type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise _BadRequestError(str(error)) from error


async def _send_line(send: Send, value: Body) -> None:
    await send_part(send, msgspec.json.encode(value) + b"\n")


async def _send_error(send: Send, status: int, code: int, message: str) -> None:
    await send_json(send, status, {"error": message, "code": code, "message": message})


async def _send_rate_limited(send: Send, error: StoreRateLimitedError) -> None:
    retry_after = f"{error.retry_after_s:.3f}".encode()
    await start_response(send, 429, (*JSON_HEADERS, (b"retry-after", retry_after)))
    body = {"code": GRPC_RESOURCE_EXHAUSTED, "message": "etcdserver: too many requests"}
    await send_part(send, msgspec.json.encode(body), is_last=True)
