"""Keeps requests that crash back ends from them, on all nodes.

Each node tells the others the crashes that it sees, so that all count the same; a quarantine is
written to the store besides, where nodes that start find it. Every node may count to the end, so it
does not matter who is lost or cut off meanwhile.
"""

from collections.abc import Callable, Iterable

from result import Err

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.messages import AnsweredGossip, CrashGossip, Gossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, read_fingerprint
from weirscale.gateway.quarantine.record import (
    QUARANTINE_PREFIX,
    quarantine_key,
    read_quarantine_key,
)
from weirscale.gateway.quarantine.suspects import SuspectBook
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.expiring_record import write_timed_record
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

QUARANTINE_S = 600.0
"""How long a request is refused; then it is tried again, and one more crash begins the next
quarantine. The longest life that the store gives a lease."""

RECORD_MARGIN_S = 5.0
"""The record's end counts; a node's own reckoning ends later, for where none could be written."""

TELL_FOR_S = 3.0
"""A crash is told again each second for this long: single datagrams are lost."""

WRITE_INTERVAL_S = 0.2
WRITE_WITHIN_S = 2.0
WRITE_AGAIN_S = 1.0

LEAVE_TO_FINDER_S = 1.0
"""The node that saw the last crash writes the record; the others only if it is missing after this
and their rank's delay."""


class Quarantine:
    """What this node knows of requests that crash back ends; `run` must be running.

    Args:
        name: This node.
        knowledge: Where the records are seen.
        store: Where they are written.
        delay_s: Returns how long this node leaves a write that any node can do to the others.
        event_log: Decisions.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        cluster: ClusterState,
        store: KeyValuePort,
        delay_s: Callable[[], float],
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._cluster = cluster
        self._store = store
        self._delay_s = delay_s
        self._event_log = event_log
        self._clock = clock
        self._book = SuspectBook()
        self._until_s: dict[RequestFingerprint, float] = {}
        """The requests that are refused."""
        self._recorded: frozenset[RequestFingerprint] = frozenset()
        self._num_record_changes = -1
        self._write_at_s: dict[RequestFingerprint, float] = {}
        self._delete_at_s: dict[RequestFingerprint, float] = {}
        self._untold: list[CrashGossip | AnsweredGossip] = []
        self._told: list[tuple[CrashGossip | AnsweredGossip, float]] = []

    def is_watching(self) -> bool:
        """Whether any request needs to be recognised."""
        self._look_at_records()
        return bool(self._until_s) or len(self._book) > 0

    def remaining_s(self, fingerprint: RequestFingerprint) -> float | None:
        """Return for how long a request is still refused, or None if it may be sent on."""
        self._look_at_records()
        until_s = self._until_s.get(fingerprint)
        if until_s is None:
            return None
        left_s = until_s - self._clock()
        if left_s > 0.0:
            return min(left_s, QUARANTINE_S)
        self._end(fingerprint, "time_over")
        return None

    def is_suspect(self, fingerprint: RequestFingerprint) -> bool:
        """Whether a back end has crashed under a request since it was last answered."""
        return self._book.is_suspect(fingerprint)

    def num_suspects(self) -> int:
        """Return how many requests are remembered for crashes."""
        return len(self._book)

    def num_quarantined(self) -> int:
        """Return how many requests are refused."""
        return len(self._until_s)

    def note_crash(self, fingerprint: RequestFingerprint, run: RunId, came_again: bool) -> None:
        """This node has seen a back end crash under a request."""
        if self._take_crash(fingerprint, run, came_again, source="own"):
            self._untold.append(CrashGossip(fingerprint, run, came_again))

    def note_answered(self, fingerprint: RequestFingerprint) -> None:
        """A back end has answered a request to its end: it is not what crashes them."""
        if self._take_answered(fingerprint):
            self._untold.append(AnsweredGossip(fingerprint))
            self._delete_at_s[fingerprint] = self._clock()

    def receive(self, gossip: Gossip) -> None:
        """Take over what another node has seen."""
        for crash in gossip.crashes:
            fingerprint = read_fingerprint(crash.request)
            if fingerprint is not None:
                self._take_crash(fingerprint, RunId(crash.run), crash.came_again, source="peer")
        for answered in gossip.answered:
            fingerprint = read_fingerprint(answered.request)
            if fingerprint is not None:
                self._take_answered(fingerprint)

    def add_to(self, outbox: GossipOutbox, must_refresh: bool) -> None:
        """Put into an outbox what is new, or again what was told of late."""
        if not (self._untold or self._told):
            return
        now_s = self._clock()
        untold, self._untold = self._untold, []
        self._told = [(gossip, until_s) for gossip, until_s in self._told if until_s > now_s]
        again = [gossip for gossip, _ in self._told] if must_refresh else []
        self._told.extend((gossip, now_s + TELL_FOR_S) for gossip in untold)
        _add_all(outbox, [*untold, *again])

    async def run(self) -> None:
        """Write and delete records until cancelled."""
        while True:
            await sleep_to_tick(WRITE_INTERVAL_S)
            self._look_at_records()
            self._book.forget_old(self._clock())
            for fingerprint in self._due(self._write_at_s):
                await self._write(fingerprint)
            for fingerprint in self._due(self._delete_at_s):
                await self._delete(fingerprint)

    def _take_crash(
        self, fingerprint: RequestFingerprint, run: RunId, came_again: bool, source: str
    ) -> bool:
        now_s = self._clock()
        if not self._book.note_crash(fingerprint, run, came_again, now_s):
            return False
        num_crashes = len(self._book.crashes(fingerprint))
        if source == "own" or num_crashes > 1:
            self._event_log.event(
                "crash_under_request", request=fingerprint, run=run, source=source,
                came_again=int(came_again), crashes=num_crashes,
            )  # fmt: skip
        if fingerprint not in self._until_s and self._book.is_cause(fingerprint):
            self._begin(fingerprint, source)
            wait_s = 0.0 if source == "own" else LEAVE_TO_FINDER_S + self._delay_s()
            self._write_at_s[fingerprint] = now_s + wait_s
        return True

    def _begin(self, fingerprint: RequestFingerprint, source: str) -> None:
        self._until_s[fingerprint] = self._clock() + QUARANTINE_S + RECORD_MARGIN_S
        self._event_log.event(
            "request_quarantined", request=fingerprint, source=source, for_s=QUARANTINE_S,
            runs=",".join(self._book.crashes(fingerprint)),
        )  # fmt: skip

    def _take_answered(self, fingerprint: RequestFingerprint) -> bool:
        if fingerprint not in self._book and fingerprint not in self._until_s:
            return False
        was_held = self._until_s.pop(fingerprint, None) is not None
        self._write_at_s.pop(fingerprint, None)
        if was_held:
            self._tell_end(fingerprint, "answered")
        return self._book.note_answered(fingerprint) or was_held

    def _end(self, fingerprint: RequestFingerprint, reason: str) -> None:
        del self._until_s[fingerprint]
        self._write_at_s.pop(fingerprint, None)
        self._book.note_quarantine_over(fingerprint, self._clock())
        self._tell_end(fingerprint, reason)

    def _tell_end(self, fingerprint: RequestFingerprint, reason: str) -> None:
        self._event_log.event("request_released", request=fingerprint, reason=reason)

    def _look_at_records(self) -> None:
        """Take over what has come into the store or gone from it since the last look."""
        if self._num_record_changes == self._cluster.records.num_changes:
            return
        self._num_record_changes = self._cluster.records.num_changes
        keys = (
            read_quarantine_key(key) for key, _ in self._cluster.records.under(QUARANTINE_PREFIX)
        )
        recorded = frozenset(one for one in keys if one is not None)
        for fingerprint in recorded - self._recorded:
            self._write_at_s.pop(fingerprint, None)
            if fingerprint not in self._until_s:
                self._begin(fingerprint, "record")
        for fingerprint in self._recorded - recorded:
            # Its time is over, or an operator has deleted it.
            if fingerprint in self._until_s:
                self._end(fingerprint, "record_gone")
        self._recorded = recorded

    def _due(self, at_s: dict[RequestFingerprint, float]) -> Iterable[RequestFingerprint]:
        now_s = self._clock()
        return [one for one, due_s in at_s.items() if due_s <= now_s]

    async def _write(self, fingerprint: RequestFingerprint) -> None:
        self._write_at_s[fingerprint] = self._clock() + WRITE_AGAIN_S
        crashes = ",".join(self._book.crashes(fingerprint))
        value = f"{self._name} {crashes}".encode()
        await write_timed_record(
            self._store,
            quarantine_key(fingerprint),
            value,
            QUARANTINE_S,
            WRITE_WITHIN_S,
            self._clock,
        )

    async def _delete(self, fingerprint: RequestFingerprint) -> None:
        key = quarantine_key(fingerprint)
        self._delete_at_s[fingerprint] = self._clock() + WRITE_AGAIN_S
        if key not in self._cluster.records:
            del self._delete_at_s[fingerprint]
            return
        revision = self._cluster.revision_of(key)
        deleted = await self._store.compare_and_swap(key, revision, None)
        if not isinstance(deleted, Err):
            self._delete_at_s.pop(fingerprint, None)


def _add_all(outbox: GossipOutbox, gossip: Iterable[CrashGossip | AnsweredGossip]) -> None:
    for one in gossip:
        if isinstance(one, CrashGossip):
            outbox.add_crash(one)
        else:
            outbox.add_answered(one)
