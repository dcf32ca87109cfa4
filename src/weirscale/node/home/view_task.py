"""Task that receives digests and owns this node's view of the engines' caches."""

from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import anyio
import msgspec
from result import Ok

from weirscale.domain.identifiers import EngineName, NodeAddress
from weirscale.domain.prefix.cache_view import CacheView, ViewOutcome
from weirscale.messages.digest import (
    CacheDigest,
    DigestReply,
    DigestRequest,
    LoadDigest,
)
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.home.rate import RateLimiter
from weirscale.node.home.rules import HomeRules
from weirscale.node.mailbox import Mailbox
from weirscale.node.peers.link import PeerLink

EXPIRE_INTERVAL_S = 1.0
BURST_REQUESTS = 4


class _Arrived(msgspec.Struct, frozen=True):
    """A digest from another node, or from one of this node's own homes (without a source)."""

    source: NodeAddress | None
    digest: CacheDigest


class _Answered(msgspec.Struct, frozen=True):
    """A home node's reply to a request for missed digests; None if the request failed."""

    engine: EngineName
    reply: DigestReply | None


class _Expire(msgspec.Struct, frozen=True):
    pass


_Message = _Arrived | _Answered | _Expire


class CacheViewTask:
    """Receives digests; the routing task reads `view` on the same event loop.

    Neither an update of the view nor a match awaits anything, so a reader never sees a partial
    update.

    Args:
        link: Receives digests and requests missed ones.
        observations: Receives the loads that home nodes report.
        rules: Intervals and limits.
    """

    def __init__(self, link: PeerLink, observations: BackendDirectory, rules: HomeRules) -> None:
        self.view = CacheView()
        self._link = link
        self._observations = observations
        self._rules = rules
        self._mailbox: Mailbox[_Message] = Mailbox()
        self._pending_requests: set[EngineName] = set()
        self._request_limiter = RateLimiter(rules.requests_per_s, BURST_REQUESTS)
        self.num_dropped = 0
        link.on_cast(CacheDigest, self._receive_cache_digest)
        link.on_cast(LoadDigest, self._receive_load_digest)

    def apply_own_digest(self, digest: CacheDigest) -> None:
        """Queue a digest of an engine that this node itself is the home of."""
        self._post(_Arrived(None, digest))

    async def run(self) -> None:
        """Maintain the view until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire_at_intervals)
            while True:
                for request in self._handle(await self._mailbox.receive()):
                    tasks.start_soon(request)

    def _receive_cache_digest(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, CacheDigest)
        self._post(_Arrived(source, message))

    def _receive_load_digest(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, LoadDigest)
        report = message.load.report(
            message.engine, message.incarnation, message.model, message.weight_version
        )
        self._observations.record_load_report(report, message.load.age_s)

    def _post(self, message: _Message) -> None:
        if not self._mailbox.post(message):
            # The next digest reveals the gap, and the missed digests are requested then.
            self.num_dropped += 1

    def _handle(self, message: _Message) -> Iterator[Callable[[], Coroutine[Any, Any, None]]]:
        """Handle a message; yield requests to start."""
        now_s = anyio.current_time()
        match message:
            case _Arrived(source, digest):
                outcome = self.view.receive(digest, now_s)
                if outcome is ViewOutcome.GAP and source is not None:
                    yield from self._request_missed(digest.engine, source)
            case _Answered(engine, reply):
                self._pending_requests.discard(engine)
                self._apply_reply(reply, now_s)
            case _Expire():
                self.view.expire(now_s)

    def _request_missed(
        self, engine: EngineName, home: NodeAddress
    ) -> Iterator[Callable[[], Coroutine[Any, Any, None]]]:
        """Yield a request for the missed digests, unless one is in flight for the engine."""
        if engine in self._pending_requests:
            return
        self._pending_requests.add(engine)
        yield lambda: self._fetch_missed(engine, home)

    async def _fetch_missed(self, engine: EngineName, home: NodeAddress) -> None:
        await self._request_limiter.acquire()
        stream, sequence = self.view.position(engine)
        request = DigestRequest(engine, stream, sequence)
        answer = await self._link.call(home, request, self._rules.request_timeout_s)
        reply = answer.ok_value if isinstance(answer, Ok) else None
        await self._mailbox.put(
            _Answered(engine, reply if isinstance(reply, DigestReply) else None)
        )

    def _apply_reply(self, reply: DigestReply | None, now_s: float) -> None:
        if reply is None or not reply.is_home:
            return
        for digest in reply.digests:
            self.view.receive(digest, now_s)
        if reply.full is not None:
            self.view.receive_full(reply.full, now_s)

    async def _expire_at_intervals(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            await self._mailbox.put(_Expire())
