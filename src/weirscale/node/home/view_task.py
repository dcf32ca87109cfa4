"""The task that receives digests and owns this node's view of the engines' caches."""

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
from weirscale.node.home.rate import RateGate
from weirscale.node.home.rules import HomeRules
from weirscale.node.mailbox import Mailbox
from weirscale.node.peers.link import PeerLink

EXPIRE_INTERVAL_S = 1.0
BURST_REQUESTS = 4


class _Arrived(msgspec.Struct, frozen=True):
    """A digest from another node, or from this node's own homes (no source)."""

    source: NodeAddress | None
    digest: CacheDigest


class _Answered(msgspec.Struct, frozen=True):
    """A home's answer to a request for missed digests."""

    engine: EngineName
    reply: DigestReply | None


class _Expire(msgspec.Struct, frozen=True):
    pass


_Message = _Arrived | _Answered | _Expire


class CacheViewTask:
    """Receives digests; `view` is read by the routing task of the same event loop.

    The view changes only between two awaits of this task, and a match awaits nothing, so a reader
    never sees half a change.

    Args:
        link: Receives digests and asks for missed ones.
        observations: Learns of the loads that homes report.
        rules: Intervals and limits.
    """

    def __init__(self, link: PeerLink, observations: BackendDirectory, rules: HomeRules) -> None:
        self.view = CacheView()
        self._link = link
        self._observations = observations
        self._rules = rules
        self._mailbox: Mailbox[_Message] = Mailbox()
        self._asking: set[EngineName] = set()
        self._requests = RateGate(rules.requests_per_s, BURST_REQUESTS)
        self.num_dropped = 0
        link.on_cast(CacheDigest, self._note_cache_digest)
        link.on_cast(LoadDigest, self._note_load_digest)

    def apply_own_digest(self, digest: CacheDigest) -> None:
        """Take in a digest of an engine that this node itself is home of."""
        self._post(_Arrived(None, digest))

    async def run(self) -> None:
        """Own the view until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire_at_intervals)
            while True:
                for ask in self._handle(await self._mailbox.receive()):
                    tasks.start_soon(ask)

    def _note_cache_digest(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, CacheDigest)
        self._post(_Arrived(source, message))

    def _note_load_digest(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, LoadDigest)
        report = message.load.report(
            message.engine, message.incarnation, message.model, message.weight_version
        )
        self._observations.record_load_report(report, message.load.age_s)

    def _post(self, message: _Message) -> None:
        if not self._mailbox.post(message):
            # The next digest shows the gap, and the missed ones are asked for.
            self.num_dropped += 1

    def _handle(self, message: _Message) -> Iterator[Callable[[], Coroutine[Any, Any, None]]]:
        """Act on a message; yields requests to start."""
        now_s = anyio.current_time()
        match message:
            case _Arrived(source, digest):
                outcome = self.view.receive(digest, now_s)
                if outcome is ViewOutcome.GAP and source is not None:
                    yield from self._request(digest.engine, source)
            case _Answered(engine, reply):
                self._asking.discard(engine)
                self._take_reply(reply, now_s)
            case _Expire():
                self.view.expire(now_s)

    def _request(
        self, engine: EngineName, home: NodeAddress
    ) -> Iterator[Callable[[], Coroutine[Any, Any, None]]]:
        """Yield a request for what was missed, unless one is on its way."""
        if engine in self._asking:
            return
        self._asking.add(engine)
        yield lambda: self._ask(engine, home)

    async def _ask(self, engine: EngineName, home: NodeAddress) -> None:
        await self._requests.pass_through()
        stream, sequence = self.view.position(engine)
        request = DigestRequest(engine, stream, sequence)
        answer = await self._link.call(home, request, self._rules.request_timeout_s)
        reply = answer.ok_value if isinstance(answer, Ok) else None
        await self._mailbox.put(
            _Answered(engine, reply if isinstance(reply, DigestReply) else None)
        )

    def _take_reply(self, reply: DigestReply | None, now_s: float) -> None:
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
