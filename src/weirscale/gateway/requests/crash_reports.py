"""Reports back-end crashes, and tracks which requests may have caused them."""

from collections.abc import Callable

from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.peers.gossip_entries import SuspectGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.quarantine.crash_check import CrashCheck, InterruptedRequest
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, fingerprint_of
from weirscale.gateway.quarantine.keeper import Quarantine
from weirscale.gateway.requests.admission import AdmittedRequest
from weirscale.gateway.requests.attempt_verdict import CONNECTION_LOST, SUCCESS, Verdict
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.request_summary import MAX_LOGGED_ID_CHARS
from weirscale.ports.event_log import EventLog


class CrashReporter:
    """Checks back ends after lost connections and reports crashes.

    `crash_check.run` must be running.

    Args:
        cluster: Registrations of the back ends.
        port_of: Returns the port of a back end.
        quarantine: Tracks requests that crash back ends.
        health: Circuit breakers of the back ends.
        outbox: Queues gossip for the other nodes.
        send_gossip_now: Sends queued gossip without waiting for the next regular message.
        event_log: Receives the crash events.
        clock: Returns the current time in monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        port_of: Callable[[BackEnd], BackEndPort],
        quarantine: Quarantine,
        health: BackEndHealth,
        outbox: GossipOutbox,
        send_gossip_now: Callable[[], None],
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self.quarantine = quarantine
        self._cluster = cluster
        self.crash_check = CrashCheck(cluster, port_of, self._report_crash)
        self._health = health
        self._outbox = outbox
        self._send_gossip_now = send_gossip_now
        self._event_log = event_log
        self._clock = clock

    def _report_crash(self, back_end: BackEnd, interrupted: tuple[InterruptedRequest, ...]) -> None:
        """Stop sending requests to a crashed back end, and gossip the crash at once."""
        self._event_log.event(
            "back_end_crashed", instance=back_end.instance, run=back_end.run_id,
            requests=len(interrupted),
        )  # fmt: skip
        self._health.unreachable(back_end.instance, "crashed", self._clock())
        self._cluster.back_ends.mark_crashed(back_end.run_id)
        self._outbox.add_suspect(SuspectGossip(back_end.instance))
        for request in interrupted:
            self._log_interrupted(back_end, request)
            self.quarantine.note_crash(
                request.fingerprint, back_end.run_id, request.was_sent_after_crash
            )
        self._send_gossip_now()

    def _log_interrupted(self, back_end: BackEnd, request: InterruptedRequest) -> None:
        writing_s = request.writing_s
        self._event_log.event(
            "request_interrupted", request=request.fingerprint, run=back_end.run_id,
            blocks=",".join(block[:MAX_LOGGED_ID_CHARS] for block in request.blocks),
            writing_ms="none" if writing_s is None else round(writing_s * MILLISECONDS_PER_S),
        )  # fmt: skip


class CrashGuard:
    """Tracks whether one request may have crashed back ends.

    Args:
        reporter: Reports crashes, and holds the node's quarantine.
        admitted: The request.
    """

    def __init__(self, reporter: CrashReporter, admitted: AdmittedRequest) -> None:
        self._reporter = reporter
        self._quarantine = reporter.quarantine
        self._admitted = admitted
        self._has_lost_back_end = False
        self.known_fingerprint: RequestFingerprint | None = None
        """Fingerprint of the request; computed only for the few requests that need it."""

    def quarantined_for_s(self) -> float | None:
        """Return for how many seconds the request is still quarantined, or None if it is not.

        The quarantine also covers requests that the caller sent to other nodes before.
        """
        if not self._quarantine.is_tracking_requests():
            return None
        return self._quarantine.remaining_s(self._fingerprint())

    def is_crash_suspect(self) -> bool:
        """Return whether a back end may already have crashed while serving the request."""
        if self._has_lost_back_end or not self._quarantine.is_tracking_requests():
            return self._has_lost_back_end
        return self._quarantine.is_suspect(self._fingerprint())

    def add_verdict(
        self,
        back_end: BackEnd,
        verdict: Verdict,
        was_crash_suspect: bool,
        writing_s: float | None = None,
    ) -> None:
        """Request a crash check if the connection was lost, or record that the request succeeded.

        Args:
            back_end: Back end of the attempt.
            verdict: How the attempt ended.
            was_crash_suspect: Result of `is_crash_suspect` before the attempt.
            writing_s: Seconds from the first event to the end; None if no event arrived.
        """
        if verdict.reason in CONNECTION_LOST:
            self._has_lost_back_end = True
            interrupted = InterruptedRequest(
                self._fingerprint(), was_crash_suspect, self._shared_blocks(), writing_s
            )
            self._reporter.crash_check.request(back_end, interrupted)
        elif verdict == SUCCESS and self._quarantine.is_tracking_requests():
            self._quarantine.note_answered(self._fingerprint())

    def _shared_blocks(self) -> tuple[str, ...]:
        prompt = self._admitted.request.prompt
        if prompt is None:
            return ()
        return tuple(block.block_id for block in prompt.shared_blocks)

    def _fingerprint(self) -> RequestFingerprint:
        if self.known_fingerprint is None:
            admitted = self._admitted
            self.known_fingerprint = fingerprint_of(
                admitted.request, admitted.tenant, admitted.body
            )
        return self.known_fingerprint
