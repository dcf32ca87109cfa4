"""Which requests are refused now because back ends crash under them, alike on all nodes.

Owns the suspects and the quarantines in force. Each node sends the others the crashes that it sees,
so that all count the same; a quarantine is written to the store besides, where nodes that start
find it. Every node may count to the end, so it does not matter which ones are lost meanwhile.
"""

from collections.abc import Callable

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.messages import AnsweredGossip, CrashGossip, Gossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, read_fingerprint
from weirscale.gateway.quarantine.gossip import QuarantineGossip
from weirscale.gateway.quarantine.record import QUARANTINE_S, QuarantineRecords
from weirscale.gateway.quarantine.suspects import SuspectTracker
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

RECORD_MARGIN_S = 5.0
"""Seconds by which a node's own end of a quarantine is later than its record's, which counts; for
quarantines whose record could not be written. Not measured."""

WRITE_INTERVAL_S = 0.2
"""Seconds between two looks at what must be written. Not measured."""

LEAVE_TO_FINDER_S = 1.0
"""Seconds that the other nodes leave the write of a record to the node that saw the last crash; the
delay of their rank comes on top. Not measured."""


class Quarantine:
    """What this node knows of requests that crash back ends; `run` must be running.

    Args:
        name: This node.
        cluster: Where the records are seen.
        store: Where they are written.
        delay_s: Returns the seconds for which this node leaves a write that any node can do to
            the others.
        event_log: Logs crashes, quarantines and their ends.
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
        self._delay_s = delay_s
        self._event_log = event_log
        self._clock = clock
        self._book = SuspectTracker()
        self._until_s: dict[RequestFingerprint, float] = {}
        """The requests that are refused."""
        self._records = QuarantineRecords(name, cluster, store, clock)
        self._gossip = QuarantineGossip()

    def is_tracking_requests(self) -> bool:
        """Whether any request needs to be recognised."""
        self._take_over_records()
        return bool(self._until_s) or len(self._book) > 0

    def remaining_s(self, fingerprint: RequestFingerprint) -> float | None:
        """Return for how many seconds a request is still refused; None if it may be sent on."""
        self._take_over_records()
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

    def note_crash(
        self, fingerprint: RequestFingerprint, run: RunId, was_sent_after_crash: bool
    ) -> None:
        """This node has seen a back end crash under a request."""
        if self._take_crash(fingerprint, run, was_sent_after_crash, source="own"):
            self._gossip.add(CrashGossip(fingerprint, run, was_sent_after_crash))

    def note_answered(self, fingerprint: RequestFingerprint) -> None:
        """A back end has answered a request to its end: it is not what crashes them."""
        if self._take_answered(fingerprint):
            self._gossip.add(AnsweredGossip(fingerprint))
            self._records.delete(fingerprint)

    def receive(self, gossip: Gossip) -> None:
        """Take over what another node has seen."""
        for crash in gossip.crashes:
            fingerprint = read_fingerprint(crash.request)
            if fingerprint is not None:
                run = RunId(crash.run)
                self._take_crash(fingerprint, run, crash.was_sent_after_crash, source="peer")
        for answered in gossip.answered:
            fingerprint = read_fingerprint(answered.request)
            if fingerprint is not None:
                self._take_answered(fingerprint)

    def add_to(self, outbox: GossipOutbox, must_refresh: bool) -> None:
        """Put into an outbox what is new, or again what was sent a moment ago."""
        self._gossip.add_to(outbox, must_refresh, self._clock())

    async def run(self) -> None:
        """Write and delete records until cancelled."""
        while True:
            await sleep_to_tick(WRITE_INTERVAL_S)
            self._take_over_records()
            self._book.forget_old(self._clock())
            await self._records.carry_out(self._book.crashes)

    def _take_crash(
        self, fingerprint: RequestFingerprint, run: RunId, was_sent_after_crash: bool, source: str
    ) -> bool:
        if not self._book.note_crash(fingerprint, run, was_sent_after_crash, self._clock()):
            return False
        num_crashes = len(self._book.crashes(fingerprint))
        if source == "own" or num_crashes > 1:
            self._event_log.event(
                "crash_under_request", request=fingerprint, run=run, source=source,
                came_again=int(was_sent_after_crash), crashes=num_crashes,
            )  # fmt: skip
        if fingerprint not in self._until_s and self._book.is_cause(fingerprint):
            self._begin(fingerprint, source)
            wait_s = 0.0 if source == "own" else LEAVE_TO_FINDER_S + self._delay_s()
            self._records.write_after(fingerprint, wait_s)
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
        was_refused = self._until_s.pop(fingerprint, None) is not None
        self._records.cancel_write(fingerprint)
        if was_refused:
            self._log_end(fingerprint, "answered")
        return self._book.note_answered(fingerprint) or was_refused

    def _end(self, fingerprint: RequestFingerprint, reason: str) -> None:
        del self._until_s[fingerprint]
        self._records.cancel_write(fingerprint)
        self._book.note_quarantine_over(fingerprint, self._clock())
        self._log_end(fingerprint, reason)

    def _log_end(self, fingerprint: RequestFingerprint, reason: str) -> None:
        self._event_log.event("request_released", request=fingerprint, reason=reason)

    def _take_over_records(self) -> None:
        """Begin and end quarantines by what has come into the store or gone from it."""
        changes = self._records.take_changes()
        for fingerprint in changes.added:
            if fingerprint not in self._until_s:
                self._begin(fingerprint, "record")
        for fingerprint in changes.gone:
            if fingerprint in self._until_s:
                self._end(fingerprint, "record_gone")
        for fingerprint in changes.lost:
            if fingerprint in self._until_s:
                self._records.write_after(fingerprint, self._delay_s())
