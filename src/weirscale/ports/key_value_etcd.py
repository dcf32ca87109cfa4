"""Implements `KeyValuePort` over the etcd v3 JSON gateway with httpx.

A write whose answer is lost is AMBIGUOUS, unless it is proved that the request was not sent or that
the service rejected it. A read changes nothing, so a failed read is UNREACHABLE.
"""

import math
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Sequence
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager
from typing import Any, TypeVar

import httpx
import msgspec
from result import Err, Ok, Result

from weirscale.ports import etcd_json
from weirscale.ports.etcd_json import Body
from weirscale.ports.http_client import shared_tls_context
from weirscale.ports.key_value import (
    KeyValueFailure,
    KeyValueFailureKind,
    ReadAnswer,
    SwapAnswer,
    WatchEvent,
)

DEFAULT_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
WATCH_IDLE_S = 60.0
"""A watch without data for longer counts as broken; the caller reads and watches again."""
HTTP_TOO_MANY_REQUESTS = 429
HTTP_NOT_FOUND = 404
REJECTION_MESSAGES = ("etcdserver: no leader", "etcdserver: too many requests")
"""Error messages with which etcd rejects a write before it processes it."""

DECODE_ERRORS = (msgspec.MsgspecError, LookupError, ValueError, TypeError, AttributeError)
"""Exceptions raised when decoding an answer that does not have the gateway's format."""

AnswerT = TypeVar("AnswerT")
Watch = AsyncIterator[Result[WatchEvent, KeyValueFailure]]


class EtcdKeyValue:
    """A client of an etcd cluster; must be closed with `aclose`."""

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_s: float = DEFAULT_TIMEOUT_S,
        watch_idle_s: float = WATCH_IDLE_S,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create a client without opening a connection.

        Args:
            addresses: host:port of the gateways; if one is unreachable, the next is tried.
            timeout_s: Timeout of an answer.
            watch_idle_s: Timeout of a watch without data.
            transport: Replaces the network in tests.
        """
        self._addresses = tuple(addresses)
        self._current_index = 0
        timeout = httpx.Timeout(timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s))
        self._client = httpx.AsyncClient(
            timeout=timeout,
            trust_env=False,
            transport=transport,
            verify=shared_tls_context(),
        )
        self._watch_timeout = httpx.Timeout(timeout_s, read=watch_idle_s)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
        """Read every key with a prefix, linearizably."""
        return await self._post(
            "/v3/kv/range", etcd_json.prefix_range(prefix), etcd_json.read_answer, is_write=False
        )

    async def compare_and_swap(
        self, key: str, expected_mod_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write or delete a key in one transaction that compares its revision."""
        name = etcd_json.encode_bytes(key.encode())
        read_back = {"request_range": {"key": name}}
        if value is None:
            change: Body = {"request_delete_range": {"key": name}}
        else:
            put = {"key": name, "value": etcd_json.encode_bytes(value), "lease": str(lease_id)}
            change = {"request_put": put}
        body = {
            "compare": [
                {
                    "key": name,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_mod_revision),
                }
            ],
            "success": [change, read_back],
            "failure": [read_back],
        }
        return await self._post("/v3/kv/txn", body, etcd_json.swap_answer, is_write=True)

    async def grant_lease(self, time_to_live_s: float) -> Result[int, KeyValueFailure]:
        """Create a lease and return its id; the time to live is rounded up to whole seconds."""
        body = {"TTL": str(math.ceil(time_to_live_s))}
        return await self._post("/v3/lease/grant", body, etcd_json.lease_id, is_write=True)

    async def keep_lease_alive(self, lease_id: int) -> Result[float, KeyValueFailure]:
        """Renew a lease once and return its time to live in seconds."""
        body = {"ID": str(lease_id)}
        answer = await self._post(
            "/v3/lease/keepalive", body, etcd_json.time_to_live_s, is_write=True
        )
        if isinstance(answer, Ok) and answer.ok_value <= 0:
            return Err(KeyValueFailure(KeyValueFailureKind.LEASE_LOST, "grant a new lease"))
        return answer

    async def revoke_lease(self, lease_id: int) -> Result[None, KeyValueFailure]:
        """End a lease and delete its keys."""
        body = {"ID": str(lease_id)}
        return await self._post("/v3/lease/revoke", body, lambda _: None, is_write=True)

    def watch(self, prefix: str, start_revision: int) -> AbstractAsyncContextManager[Watch]:
        """Follow changes from a revision on; leaving the context closes the connection."""
        return self._watch(prefix, start_revision)

    @asynccontextmanager
    async def _watch(self, prefix: str, start_revision: int) -> AsyncIterator[Watch]:
        async with aclosing(self._events(prefix, start_revision)) as events:
            yield events

    async def _events(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[Result[WatchEvent, KeyValueFailure], None]:
        create_request = {**etcd_json.prefix_range(prefix), "start_revision": str(start_revision)}
        url = self._url("/v3/watch")
        try:
            async with self._client.stream(
                "POST", url, json={"create_request": create_request}, timeout=self._watch_timeout
            ) as response:
                if response.is_error:
                    await response.aread()
                    yield Err(_failure_of(response, is_write=False))
                    return
                async for line in response.aiter_lines():
                    for event in _events_of(line):
                        yield event
        except (httpx.HTTPError, httpx.StreamError, *DECODE_ERRORS) as error:
            self._use_next_address()
            yield Err(_unreachable(error))
            return
        yield Err(_unreachable(EOFError("the watch ended")))

    async def _post(
        self, path: str, body: Body, parse: Callable[[Body], AnswerT], is_write: bool
    ) -> Result[AnswerT, KeyValueFailure]:
        """Post to the current address, or to the others while no connection can be opened."""
        failure = KeyValueFailure(KeyValueFailureKind.UNREACHABLE, "no address is configured")
        for _ in self._addresses:
            try:
                response = await self._client.post(self._url(path), json=body)
            except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
                self._use_next_address()
                failure = _unreachable(error)
                continue
            except httpx.HTTPError as error:
                self._use_next_address()
                return Err(_answer_lost(error, is_write))
            return _answer_of(response, parse, is_write)
        return Err(failure)

    def _url(self, path: str) -> str:
        return f"http://{self._addresses[self._current_index]}{path}"

    def _use_next_address(self) -> None:
        self._current_index = (self._current_index + 1) % len(self._addresses)


def _answer_of(
    response: httpx.Response, parse: Callable[[Body], AnswerT], is_write: bool
) -> Result[AnswerT, KeyValueFailure]:
    if response.is_error:
        return Err(_failure_of(response, is_write))
    try:
        return Ok(parse(msgspec.json.decode(response.content, type=dict[str, Any])))
    except DECODE_ERRORS as error:
        return Err(_answer_lost(error, is_write))


def _failure_of(response: httpx.Response, is_write: bool) -> KeyValueFailure:
    """Translate an error response into a failure."""
    try:
        body = msgspec.json.decode(response.content, type=dict[str, Any])
        message = str(body.get("message", ""))
    except DECODE_ERRORS:
        message = f"status {response.status_code}"
    if response.status_code == HTTP_TOO_MANY_REQUESTS:
        retry_after_s = _retry_after_s(response)
        return KeyValueFailure(KeyValueFailureKind.RATE_LIMITED, message, retry_after_s)
    if response.status_code == HTTP_NOT_FOUND and "lease" in message:
        return KeyValueFailure(KeyValueFailureKind.LEASE_LOST, "grant a new lease")
    if message in REJECTION_MESSAGES or not is_write:
        return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, f"{message}: try later")
    return _answer_lost(RuntimeError(message), is_write)


def _retry_after_s(response: httpx.Response) -> float | None:
    try:
        return float(response.headers["retry-after"])
    except (KeyError, ValueError):
        return None


def _unreachable(error: Exception) -> KeyValueFailure:
    detail = f"{type(error).__name__} {error}: check the store's addresses, or try later"
    return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, detail)


def _answer_lost(error: Exception, is_write: bool) -> KeyValueFailure:
    if not is_write:
        return _unreachable(error)
    detail = f"{type(error).__name__} {error}: read again to find out"
    return KeyValueFailure(KeyValueFailureKind.AMBIGUOUS, detail)


def _events_of(line: str) -> list[Result[WatchEvent, KeyValueFailure]]:
    """Decode one line of a watch's stream."""
    if not line.strip():
        return []
    body = msgspec.json.decode(line, type=dict[str, Any])
    if "error" in body:
        return [Err(_stream_failure(body["error"]))]
    result = body.get("result", {})
    if "compact_revision" in result:
        detail = f"compacted up to {result['compact_revision']}: read, then watch from there"
        return [Err(KeyValueFailure(KeyValueFailureKind.COMPACTED, detail))]
    if result.get("canceled"):
        return [Err(_unreachable(EOFError("the service cancelled the watch")))]
    return [Ok(etcd_json.watch_event(event)) for event in result.get("events", [])]


def _stream_failure(error: Body) -> KeyValueFailure:
    message = str(error.get("message", ""))
    if "too many requests" in message:
        return KeyValueFailure(KeyValueFailureKind.RATE_LIMITED, message)
    return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, f"{message}: watch again")
