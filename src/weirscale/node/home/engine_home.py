"""The home of one engine: reads its cache events and load, keeps its index, publishes digests."""

import math
from collections.abc import Callable, Sequence
from random import Random

import anyio
from result import Err, Ok

from weirscale.domain.configuration.model import Engine
from weirscale.domain.identifiers import NodeAddress
from weirscale.domain.prefix.digest_publisher import DigestPublisher
from weirscale.domain.prefix.engine_index import NO_INCARNATION, ApplyOutcome, EngineIndex
from weirscale.messages.cache import CacheEventBatch, LoadReport
from weirscale.messages.digest import (
    CacheDigest,
    DigestReply,
    DigestRequest,
    LoadDigest,
    LoadSummary,
)
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.home.rate import RateLimiter
from weirscale.node.home.rules import HomeRules
from weirscale.node.peers.link import PeerLink
from weirscale.ports.engine import EngineFailure, EngineFailureKind, EnginePort

LOAD_DIGEST_BYTES = 160
"""Encoded size of a load digest with its signature."""

REPLAY_PAUSE_S = 0.05
"""Pause before a replay is requested, so that replays that keep failing cannot busy-loop."""

MAX_DUMP_BACKOFF_S = 8.0
"""Longest backoff after failed dumps. Without backoff, a dead engine would use up the dump rate
limit that all engines of this node share."""

GetReceivers = Callable[[], Sequence[NodeAddress]]
"""Returns the other nodes that receive the engine's digests."""

ApplyOwnDigest = Callable[[CacheDigest], None]
"""Applies a digest to this node's own view."""


class EngineHome:
    """Acts as home of one engine until `run` is cancelled.

    Args:
        engine: The engine's declaration.
        port: Calls the engine.
        stream: Number of the digest stream; higher than that of any earlier home.
        digest_bytes_per_s: Budget for this engine's digests, over all receivers.
        max_digest_keys: Limit on the keys of this engine that each receiver stores.
        load_bytes_per_s: Budget for this engine's load reports, over all receivers.
        receivers: Returns the other nodes that receive the engine's digests.
        apply_own_digest: Applies digests to this node's own view.
        link: Sends to other nodes.
        observations: Receives load reports and failed load requests.
        dump_limiter: Limits dumps over all engines of this node.
        rules: Intervals and limits.
        random: For jitter of dumps and of the first digest.
    """

    def __init__(
        self,
        engine: Engine,
        port: EnginePort,
        stream: int,
        digest_bytes_per_s: float,
        max_digest_keys: int,
        load_bytes_per_s: float,
        receivers: GetReceivers,
        apply_own_digest: ApplyOwnDigest,
        link: PeerLink,
        observations: BackendDirectory,
        dump_limiter: RateLimiter,
        rules: HomeRules,
        random: Random,
    ) -> None:
        self._engine = engine
        self._port = port
        self._load_bytes_per_s = load_bytes_per_s
        self._load_sent_at_s = -math.inf
        self._receivers = receivers
        self._apply_own_digest = apply_own_digest
        self._link = link
        self._observations = observations
        self._dump_limiter = dump_limiter
        self._rules = rules
        self._random = random
        self.index = EngineIndex(engine.name)
        self._publisher = DigestPublisher(self.index, stream, digest_bytes_per_s, max_digest_keys)
        self._stream_lost_since_s: float | None = None
        self._dump_backoff_s = 0.0

    def set_budgets(self, digest_bytes_per_s: float, load_bytes_per_s: float) -> None:
        """Set the budgets, each over all receivers together."""
        self._publisher.set_budget(digest_bytes_per_s)
        self._load_bytes_per_s = load_bytes_per_s

    async def run(self) -> None:
        """Act as home until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_events)
            tasks.start_soon(self._publish_at_intervals)
            tasks.start_soon(self._report_load_at_intervals)

    def answer(self, request: DigestRequest) -> DigestReply:
        """Return the digests that a receiver has missed."""
        return self._publisher.answer(request)

    async def _follow_events(self) -> None:
        """Keep the index current: load a dump if its state is unknown, then apply the events."""
        while True:
            if self.index.needs_dump:
                await self._load_dump()
            needs_replay = await self._read_stream()
            await anyio.sleep(REPLAY_PAUSE_S if needs_replay else self._rules.retry_interval_s)

    async def _read_stream(self) -> bool:
        """Apply events from the stream; return whether a replay is needed.

        A replay is needed if a batch is missing, or if no batch arrives for
        `stream_idle_timeout_s`: the loss of the last batches would not be noticed otherwise. The
        result is False if the stream ends or the index needs a dump.
        """
        index_incarnation = self.index.incarnation
        incarnation = None if index_incarnation == NO_INCARNATION else index_incarnation
        async with self._port.cache_events(incarnation, self.index.sequence) as stream:
            while not self.index.needs_dump:
                with anyio.move_on_after(self._rules.stream_idle_timeout_s) as idle_timeout:
                    item = await anext(stream, None)
                if idle_timeout.cancelled_caught:
                    self._stream_lost_since_s = None
                    return True
                if item is None or isinstance(item, Err):
                    self._record_stream_failure(item.err_value if item is not None else None)
                    return False
                if self._apply_batch(item.ok_value):
                    return True
        return False

    def _apply_batch(self, batch: CacheEventBatch) -> bool:
        """Apply a batch; return whether an earlier one is missing."""
        self._stream_lost_since_s = None
        return self.index.apply(batch, anyio.current_time()) is ApplyOutcome.GAP

    def _record_stream_failure(self, failure: EngineFailure | None) -> None:
        if failure is not None and failure.kind is EngineFailureKind.NOT_FOUND:
            # The events are no longer in the replay window, or the engine has restarted.
            self.index.invalidate()
        if self._stream_lost_since_s is None:
            self._stream_lost_since_s = anyio.current_time()

    async def _load_dump(self) -> None:
        jitter_s = self._random.random() * self._rules.dump_jitter_s
        await anyio.sleep(jitter_s + self._dump_backoff_s)
        await self._dump_limiter.acquire()
        with anyio.move_on_after(self._rules.dump_timeout_s):
            answer = await self._port.cache_dump()
            if isinstance(answer, Ok):
                self.index.load_dump(answer.ok_value, anyio.current_time())
                self._dump_backoff_s = 0.0
                self._stream_lost_since_s = None
                return
        next_backoff_s = max(2.0 * self._dump_backoff_s, self._rules.retry_interval_s)
        self._dump_backoff_s = min(next_backoff_s, MAX_DUMP_BACKOFF_S)

    async def _publish_at_intervals(self) -> None:
        await anyio.sleep(self._random.random() * self._rules.publish_interval_s)
        while True:
            await self._publish(anyio.current_time())
            await anyio.sleep(self._rules.publish_interval_s)

    async def _publish(self, now_s: float) -> None:
        self.index.expire(now_s)
        stream_lost_since_s = self._stream_lost_since_s
        if (
            stream_lost_since_s is not None
            and now_s - stream_lost_since_s > self._rules.max_stream_loss_s
        ):
            self._stream_lost_since_s = now_s
            self.index.invalidate()
        if self.index.incarnation == NO_INCARNATION:
            return
        receivers = self._receivers()
        for digest in self._publisher.publish(len(receivers), now_s):
            self._apply_own_digest(digest)
            for address in receivers:
                await self._link.cast(address, digest)

    async def _report_load_at_intervals(self) -> None:
        while True:
            await self._report_load()
            await anyio.sleep(self._rules.load_interval_s)

    async def _report_load(self) -> None:
        sent_at_s = anyio.current_time()
        with anyio.move_on_after(self._rules.load_timeout_s) as timeout:
            answer = await self._port.load()
        if timeout.cancelled_caught:
            self._observations.record_unreachable(self._engine.name, "load report timed out")
            return
        if isinstance(answer, Err):
            self._observations.record_unreachable(self._engine.name, answer.err_value.detail)
            return
        await self._publish_load(answer.ok_value, anyio.current_time() - sent_at_s)

    async def _publish_load(self, report: LoadReport, age_s: float) -> None:
        if report.weight_version is not None:
            self.index.record_run(report.incarnation, report.weight_version)
        self._observations.record_load_report(report, age_s)
        receivers = self._receivers()
        now_s = anyio.current_time()
        # With many receivers, reports are sent less often than they are read.
        interval_s = LOAD_DIGEST_BYTES * len(receivers) / self._load_bytes_per_s
        if now_s - self._load_sent_at_s < interval_s:
            return
        self._load_sent_at_s = now_s
        digest = LoadDigest(
            engine=report.engine,
            incarnation=report.incarnation,
            model=report.model,
            weight_version=report.weight_version,
            load=LoadSummary.of(report, age_s),
        )
        for address in receivers:
            await self._link.cast(address, digest)
