"""How knowledge travels in the comparison: lagging, lossy events, home indexes, digests, loads."""

from collections.abc import Callable
from random import Random

import msgspec

from weirscale.domain.prefix.cache_view import CacheView, ViewOutcome
from weirscale.domain.prefix.digest_publisher import DigestPublisher
from weirscale.domain.prefix.engine_index import ApplyOutcome, EngineIndex
from weirscale.experiments.choice.engine import EngineModel
from weirscale.messages.cache import CacheEventBatch
from weirscale.messages.digest import CacheDigest, DigestReply, DigestRequest

Schedule = Callable[[float, Callable[[], None]], None]
"""Runs a function after a delay in seconds."""

REPLAY_DELAY_S = 0.005
"""A replay or a digest asked for again takes a round trip."""

MIN_DUMP_INTERVAL_S = 2.0
"""A home asks one engine for a dump at most so often."""


class KnowledgeFaults(msgspec.Struct, frozen=True):
    """How late and lossy knowledge is.

    Attributes:
        event_lag_s: From an engine's change to its home's learning of it.
        event_loss: Share of event batches that do not arrive.
        replay_loss: Share of gaps that the replay window has passed, so that a dump is needed.
        digest_loss: Share of digests that do not arrive.
        digest_interval_s: Time between digests.
        report_interval_s: Time between load reports.
        report_lag_s: Age of a load report on arrival.
        digest_bytes_per_s: Budget for one engine's digests to all nodes together.
        note_delay_s: Time until other nodes learn of a send.
        min_noted_tokens: Sends that make an engine compute less are not told.
    """

    event_lag_s: float = 2.0
    event_loss: float = 0.05
    replay_loss: float = 0.1
    digest_loss: float = 0.01
    digest_interval_s: float = 1.0
    report_interval_s: float = 1.0
    report_lag_s: float = 0.2
    digest_bytes_per_s: float = 3000.0
    note_delay_s: float = 0.01
    min_noted_tokens: int = 0


class HomeModel:
    """The home of one engine: follows its events and publishes digests to all views."""

    def __init__(
        self,
        engine: EngineModel,
        views: list[CacheView],
        faults: KnowledgeFaults,
        random: Random,
        schedule: Schedule,
        clock: Callable[[], float],
    ) -> None:
        self._engine = engine
        self._views = views
        self._faults = faults
        self._random = random
        self._schedule = schedule
        self._clock = clock
        self._log: list[CacheEventBatch] = []
        self._index = EngineIndex(engine.name)
        self._publisher = DigestPublisher(
            self._index, stream=1, bytes_per_s=faults.digest_bytes_per_s
        )
        self._dumped_at_s = -MIN_DUMP_INTERVAL_S
        self.num_digest_bytes = 0

    def follow_engine(self) -> None:
        """Take what the engine has published; it arrives late or not at all."""
        batch = self._engine.take_batch()
        if batch is None:
            return
        self._log.append(batch)
        if self._random.random() >= self._faults.event_loss:
            self._schedule(self._faults.event_lag_s, lambda: self._receive(batch))

    def publish(self) -> None:
        """Send digests to all views."""
        now_s = self._clock()
        self._index.expire(now_s)
        for digest in self._publisher.publish(len(self._views), now_s):
            self.num_digest_bytes += len(digest.added) + len(digest.removed)
            for view in self._views:
                if self._random.random() >= self._faults.digest_loss:
                    self._deliver(view, digest)

    def _deliver(self, view: CacheView, digest: CacheDigest) -> None:
        if view.receive(digest, self._clock()) is not ViewOutcome.GAP:
            return
        stream, sequence = view.position(self._engine.name)
        reply = self._publisher.answer(DigestRequest(self._engine.name, stream, sequence))
        self._schedule(REPLAY_DELAY_S, lambda: self._catch_up(view, reply))

    def _catch_up(self, view: CacheView, reply: DigestReply) -> None:
        for digest in reply.digests:
            view.receive(digest, self._clock())
        if reply.full is not None:
            view.receive_full(reply.full, self._clock())

    def _receive(self, batch: CacheEventBatch) -> None:
        now_s = self._clock()
        if self._index.apply(batch, now_s) is not ApplyOutcome.GAP:
            return
        if self._random.random() >= self._faults.replay_loss:
            self._schedule(REPLAY_DELAY_S, lambda: self._replay(batch.sequence))
        elif now_s - self._dumped_at_s >= MIN_DUMP_INTERVAL_S:
            self._dumped_at_s = now_s
            self._schedule(REPLAY_DELAY_S, self._load_dump)

    def _replay(self, until_sequence: int) -> None:
        for batch in self._log[self._index.sequence : until_sequence]:
            self._index.apply(batch, self._clock())

    def _load_dump(self) -> None:
        self.follow_engine()
        self._index.load_dump(self._engine.dump(), self._clock())
