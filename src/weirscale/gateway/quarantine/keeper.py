"""Decides which requests are refused because back ends crash while serving them.

Owns the suspects and the quarantines in force, which are the same on all nodes. Each node sends the
crashes that it sees to the other nodes, so all count the same. A quarantine is also written to the
store, where nodes find it when they start. Every node can complete the count, so it does not matter
which nodes fail meanwhile.
"""

from collections.abc import Callable

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.gossip_entries import AnsweredGossip, CrashGossip
from weirscale.gateway.peers.messages import Gossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.quarantine.active import ActiveQuarantines
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, read_fingerprint
from weirscale.gateway.quarantine.gossip import QuarantineGossip
from weirscale.gateway.quarantine.record import QUARANTINE_S, REQUEST_RECORDS, QuarantineRecords
from weirscale.gateway.quarantine.suspects import SuspectTracker
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

WRITE_INTERVAL_S = 0.2
"""Seconds between two checks for records to write or delete."""


class Quarantine:
    """Tracks requests that crash back ends and refuses them for a time; `run` must be running.

    Args:
        name: Name of this node.
        cluster: Provides the records in the store.
        store: Where records are written.
        delay_s: Returns the seconds for which this node leaves a write that any node can do to
            the others.
        event_log: Logs crashes, and the start and end of quarantines.
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
        self._event_log = event_log
        self._clock = clock
        self._suspects = SuspectTracker()
        self._records = QuarantineRecords(REQUEST_RECORDS, name, cluster, store, clock)
        self._active = ActiveQuarantines(self._records, delay_s, self, clock)
        self._gossip = QuarantineGossip()

    def is_tracking_requests(self) -> bool:
        """Return whether any request is suspected or refused, so that fingerprints are needed."""
        self._active.apply_record_changes()
        return len(self._active) > 0 or len(self._suspects) > 0

    def remaining_s(self, fingerprint: RequestFingerprint) -> float | None:
        """Return for how many seconds a request is still refused; None if it may be sent."""
        self._active.apply_record_changes()
        return self._active.remaining_s(fingerprint)

    def is_suspect(self, fingerprint: RequestFingerprint) -> bool:
        """Return whether a back end crashed while serving a request since it was last answered."""
        return self._suspects.is_suspect(fingerprint)

    def num_suspects(self) -> int:
        """Return the number of requests tracked because of crashes."""
        return len(self._suspects)

    def num_quarantined(self) -> int:
        """Return the number of requests that are refused."""
        return len(self._active)

    def note_crash(
        self, fingerprint: RequestFingerprint, run: RunId, was_sent_after_crash: bool
    ) -> None:
        """Record that this node saw a back end crash while serving a request."""
        if self._record_crash(fingerprint, run, was_sent_after_crash, source="own"):
            self._gossip.add(CrashGossip(fingerprint, run, was_sent_after_crash))

    def note_answered(self, fingerprint: RequestFingerprint) -> None:
        """Record that a back end answered a request completely, so it does not cause crashes."""
        if self._record_answered(fingerprint):
            self._gossip.add(AnsweredGossip(fingerprint))
            self._records.delete(fingerprint)

    def receive(self, gossip: Gossip) -> None:
        """Apply the crashes and answers that another node saw."""
        for crash in gossip.crashes:
            fingerprint = read_fingerprint(crash.request)
            if fingerprint is not None:
                run = RunId(crash.run)
                self._record_crash(fingerprint, run, crash.was_sent_after_crash, source="peer")
        for answered in gossip.answered:
            fingerprint = read_fingerprint(answered.request)
            if fingerprint is not None:
                self._record_answered(fingerprint)

    def add_to(self, outbox: GossipOutbox, must_refresh: bool) -> None:
        """Add new items to an outbox; with a refresh, also repeat those sent recently."""
        self._gossip.add_to(outbox, must_refresh, self._clock())

    async def run(self) -> None:
        """Write and delete records, and forget old suspects, until cancelled."""
        while True:
            await sleep_to_tick(WRITE_INTERVAL_S)
            self._active.apply_record_changes()
            self._suspects.forget_old(self._clock())
            await self._records.apply_due(self._suspects.crashes)

    def _record_crash(
        self, fingerprint: RequestFingerprint, run: RunId, was_sent_after_crash: bool, source: str
    ) -> bool:
        if not self._suspects.note_crash(fingerprint, run, was_sent_after_crash, self._clock()):
            return False
        num_crashes = len(self._suspects.crashes(fingerprint))
        if source == "own" or num_crashes > 1:
            self._event_log.event(
                "crash_under_request", request=fingerprint, run=run, source=source,
                came_again=int(was_sent_after_crash), crashes=num_crashes,
            )  # fmt: skip
        if self._suspects.is_cause(fingerprint):
            self._active.begin(fingerprint, source)
        return True

    def quarantine_begun(self, subject: RequestFingerprint, source: str) -> None:
        """Log the beginning of a quarantine."""
        self._event_log.event(
            "request_quarantined", request=subject, source=source, for_s=QUARANTINE_S,
            runs=",".join(self._suspects.crashes(subject)),
        )  # fmt: skip

    def quarantine_over(self, subject: RequestFingerprint, reason: str) -> None:
        """Let one crash begin the next quarantine."""
        self._suspects.note_quarantine_over(subject, self._clock())
        self._log_end(subject, reason)

    def _record_answered(self, fingerprint: RequestFingerprint) -> bool:
        if fingerprint not in self._suspects and fingerprint not in self._active:
            return False
        was_refused = self._active.release(fingerprint)
        if was_refused:
            self._log_end(fingerprint, "answered")
        return self._suspects.note_answered(fingerprint) or was_refused

    def _log_end(self, fingerprint: RequestFingerprint, reason: str) -> None:
        self._event_log.event("request_released", request=fingerprint, reason=reason)
