"""Decides which requests are refused because back ends crash on a block of their prompts.

Owns the suspected blocks and the quarantines of groups of blocks. As for whole requests (`keeper`),
each node tells the others what it sees, so all count the same, and a quarantine is also written to
the store.
"""

from collections.abc import Callable, Sequence

import msgspec

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.gossip_entries import AnsweredBlockGossip, BlocksCrashGossip
from weirscale.gateway.peers.messages import Gossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.quarantine.active import ActiveQuarantines
from weirscale.gateway.quarantine.answered_blocks import AnsweredBlocks
from weirscale.gateway.quarantine.block_key import BlockGroup, BlockKey, block_key, group_text
from weirscale.gateway.quarantine.block_suspects import BlocksCrash, BlockSuspects
from weirscale.gateway.quarantine.fingerprint import read_fingerprint
from weirscale.gateway.quarantine.gossip import QuarantineGossip
from weirscale.gateway.quarantine.record import BLOCK_RECORDS, QUARANTINE_S, QuarantineRecords
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

CHECK_INTERVAL_S = 0.2
"""Seconds between two checks for causes, and for records to write or delete."""

MAX_BLOCKS = 16
"""Maximum number of blocks of a request that are counted, the most widely shared first."""


class BlockQuarantined(msgspec.Struct, frozen=True):
    """Why a request is refused.

    Attributes:
        group: The blocks for which it is refused.
        remaining_s: Seconds for which they are still refused.
    """

    group: BlockGroup
    remaining_s: float


class BlockQuarantine:
    """Tracks prompt blocks that crash back ends, and refuses requests with them for a time.

    `run` must be running.

    Args:
        name: Name of this node.
        cluster: Provides the records in the store.
        store: Where records are written.
        delay_s: Returns the seconds for which this node leaves a write that any node can do to
            the others.
        hears_most_nodes: Returns whether this node lately received messages of most other nodes.
        event_log: Logs crashes, and the start and end of quarantines.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        cluster: ClusterState,
        store: KeyValuePort,
        delay_s: Callable[[], float],
        hears_most_nodes: Callable[[], bool],
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._hears_most_nodes = hears_most_nodes
        self._event_log = event_log
        self._clock = clock
        self._suspects = BlockSuspects()
        self._answered = AnsweredBlocks()
        self._records = QuarantineRecords(BLOCK_RECORDS, name, cluster, store, clock)
        self._active = ActiveQuarantines(self._records, delay_s, self, clock)
        self._gossip = QuarantineGossip()

    def refusal(self, blocks: Sequence[BlockKey]) -> BlockQuarantined | None:
        """Return why a request with these shared blocks is refused; None if it may be sent."""
        self._active.apply_record_changes()
        if not len(self._active):
            return None
        for group in self._active.subjects():
            remaining_s = self._active.remaining_s(group) if group.issubset(blocks) else None
            if remaining_s is not None:
                return BlockQuarantined(group, remaining_s)
        return None

    def is_suspect(self, blocks: Sequence[BlockKey]) -> bool:
        """Return whether a back end crashed with one of these blocks since it was answered."""
        return any(self._suspects.is_suspect(block) for block in blocks)

    def num_suspects(self) -> int:
        """Return the number of blocks tracked because of crashes."""
        return len(self._suspects)

    def num_quarantined(self) -> int:
        """Return the number of groups of blocks that are refused."""
        return len(self._active)

    def note_crash(self, crash: BlocksCrash) -> None:
        """Record that this node saw a back end crash as it began to answer a request."""
        if crash.blocks and self._record_crash(crash, "own"):
            self._gossip.add(
                BlocksCrashGossip(
                    crash.run, crash.request, crash.blocks, crash.was_sent_after_crash
                )
            )

    def note_answered(self, blocks: Sequence[BlockKey]) -> None:
        """Record that a back end answered a request completely, so its blocks crash none."""
        self._answered.add(blocks)
        if not self._is_tracking():
            return
        for block in blocks:
            if self._record_answered(block):
                self._gossip.add(AnsweredBlockGossip(block))

    def _is_tracking(self) -> bool:
        return len(self._suspects) > 0 or len(self._active) > 0

    def receive(self, gossip: Gossip) -> None:
        """Apply the crashes and answers that another node saw."""
        for told in gossip.blocks_crashes:
            request = read_fingerprint(told.request)
            if request is not None:
                blocks = counted_blocks(told.blocks)
                crash = BlocksCrash(RunId(told.run), request, blocks, told.was_sent_after_crash)
                self._record_crash(crash, "peer")
        for answered in gossip.answered_blocks:
            if answered.was_before:
                self._suspects.note_answered_before(block_key(answered.block))
            else:
                self._record_answered(block_key(answered.block))

    def add_to(self, outbox: GossipOutbox, must_refresh: bool) -> None:
        """Add new items to an outbox; with a refresh, also repeat those sent recently."""
        self._gossip.add_to(outbox, must_refresh, self._clock())

    async def run(self) -> None:
        """Find causes, write and delete records, and forget old suspects, until cancelled."""
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            self._active.apply_record_changes()
            self._suspects.forget_old(self._clock())
            self._quarantine_causes("own")
            await self._records.apply_due(self._suspects.runs)

    def _record_crash(self, crash: BlocksCrash, source: str) -> bool:
        if not self._suspects.note_crash(crash, self._clock()):
            return False
        for block in crash.blocks:
            if block in self._answered and self._suspects.note_answered_before(block):
                self._gossip.add(AnsweredBlockGossip(block, was_before=True))
        self._log_crash(crash, source)
        self._quarantine_causes(source)
        return True

    def _log_crash(self, crash: BlocksCrash, source: str) -> None:
        """Log a crash, unless another node saw it and it is the first with each of its blocks."""
        num_crashes = [len(self._suspects.runs(frozenset([block]))) for block in crash.blocks]
        if source != "own" and max(num_crashes, default=0) <= 1:
            return
        self._event_log.event(
            "crash_with_blocks", run=crash.run, request=crash.request,
            blocks=",".join(crash.blocks), source=source,
            came_again=int(crash.was_sent_after_crash),
            crashes=",".join(str(num) for num in num_crashes),
        )  # fmt: skip

    def _quarantine_causes(self, source: str) -> None:
        if not len(self._suspects):
            return
        for group in self._suspects.causes(self._clock(), self._hears_most_nodes()):
            self._active.begin(group, source)

    def _record_answered(self, block: BlockKey) -> bool:
        """Clear a block; return whether that is news to the other nodes."""
        was_suspect = self._suspects.note_answered(block)
        was_refused = False
        for group in self._active.subjects():
            if block in group and self._active.release(group):
                was_refused = True
                self._records.delete(group)
                self._log_end(group, "answered")
        return was_suspect or was_refused

    def quarantine_begun(self, subject: BlockGroup, source: str) -> None:
        """Log the beginning of a quarantine."""
        self._event_log.event(
            "blocks_quarantined", blocks=group_text(subject), source=source, for_s=QUARANTINE_S,
            runs=",".join(self._suspects.runs(subject)),
        )  # fmt: skip

    def quarantine_over(self, subject: BlockGroup, reason: str) -> None:
        """Let one crash begin the next quarantine."""
        self._suspects.note_quarantine_over(subject, self._clock())
        self._log_end(subject, reason)

    def _log_end(self, group: BlockGroup, reason: str) -> None:
        self._event_log.event("blocks_released", blocks=group_text(group), reason=reason)


def counted_blocks(block_ids: Sequence[str]) -> tuple[BlockKey, ...]:
    """Return the keys of a request's shared blocks that are counted."""
    return tuple(block_key(block_id) for block_id in block_ids[:MAX_BLOCKS])
