"""Reports back-end crashes, and tracks which requests may have caused them."""

from collections.abc import Callable

import msgspec

from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.peers.gossip_entries import SuspectGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.quarantine.block_keeper import counted_blocks
from weirscale.gateway.quarantine.block_key import group_text
from weirscale.gateway.quarantine.block_suspects import BlocksCrash
from weirscale.gateway.quarantine.crash_check import CrashCheck, InterruptedRequest
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, fingerprint_of
from weirscale.gateway.quarantine.quarantines import Quarantines
from weirscale.gateway.requests.admission import AdmittedRequest
from weirscale.gateway.requests.attempt_verdict import CONNECTION_LOST, SUCCESS, Verdict
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.request_summary import RequestCause
from weirscale.ports.event_log import EventLog

HARMLESS_WRITING_S = 1.0
"""Seconds after the first event of an answer at which its prompt no longer counts as what crashed
the back end: a block that crashes back ends does so as they begin to write."""


class QuarantineRefusal(msgspec.Struct, frozen=True):
    """Why a request is refused because of crashes.

    Attributes:
        cause: Cause for the log.
        remaining_s: Seconds for which it is still refused.
    """

    cause: RequestCause
    remaining_s: float


class CrashReporter:
    """Checks back ends after lost connections and reports crashes.

    `crash_check.run` must be running.

    Args:
        cluster: Registrations of the back ends.
        port_of: Returns the port of a back end.
        quarantines: Track requests and prompt blocks that crash back ends.
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
        quarantines: Quarantines,
        health: BackEndHealth,
        outbox: GossipOutbox,
        send_gossip_now: Callable[[], None],
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self.quarantine = quarantines.requests
        self.blocks = quarantines.blocks
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
            if request.writing_s is None or request.writing_s < HARMLESS_WRITING_S:
                self.blocks.note_crash(
                    BlocksCrash(
                        back_end.run_id, request.fingerprint, request.blocks,
                        request.were_blocks_suspect,
                    )
                )  # fmt: skip
        self._send_gossip_now()

    def _log_interrupted(self, back_end: BackEnd, request: InterruptedRequest) -> None:
        writing_s = request.writing_s
        self._event_log.event(
            "request_interrupted", request=request.fingerprint, run=back_end.run_id,
            blocks=",".join(request.blocks),
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
        prompt = admitted.request.prompt
        shared = () if prompt is None else prompt.shared_blocks
        self._blocks = counted_blocks([block.block_id for block in shared])
        self._has_lost_back_end = False
        self._was_suspect = False
        self._were_blocks_suspect = False
        self._was_accepting: bool | None = None
        self.known_fingerprint: RequestFingerprint | None = None
        """Fingerprint of the request; computed only for the few requests that need it."""
        self.quarantined_blocks = ""
        """The blocks for which the request was refused, as text; empty if it was not."""

    def refusal(self) -> QuarantineRefusal | None:
        """Return why the request is refused because of crashes, or None if it may be sent.

        A quarantine also covers requests that the caller sent to other nodes before.
        """
        refused = self._reporter.blocks.refusal(self._blocks) if self._blocks else None
        if refused is not None:
            self.quarantined_blocks = group_text(refused.group)
            return QuarantineRefusal(RequestCause.BLOCKS_QUARANTINED, refused.remaining_s)
        if not self._quarantine.is_tracking_requests():
            return None
        remaining_s = self._quarantine.remaining_s(self._fingerprint())
        if remaining_s is None:
            return None
        return QuarantineRefusal(RequestCause.QUARANTINED, remaining_s)

    def attempt_begins(self) -> None:
        """Record which crashes are known when the request is sent to a back end."""
        self._was_accepting = None
        self._were_blocks_suspect = self._reporter.blocks.is_suspect(self._blocks)
        self._was_suspect = self._has_lost_back_end
        if not self._was_suspect and self._quarantine.is_tracking_requests():
            self._was_suspect = self._quarantine.is_suspect(self._fingerprint())

    def connection_ended(self, back_end: BackEnd) -> None:
        """Record the state of a back end whose connection has just ended with its answer.

        Whether the connection was lost is known later, when its registration may have changed.
        """
        self._was_accepting = self._reporter.crash_check.is_accepting(back_end)

    def attempt_ended(self, back_end: BackEnd, verdict: Verdict, writing_s: float | None) -> None:
        """Request a crash check if the connection was lost, or record that the request succeeded.

        Args:
            back_end: Back end of the attempt.
            verdict: How the attempt ended.
            writing_s: Seconds from the first event to the end; None if no event arrived.
        """
        if verdict.reason in CONNECTION_LOST:
            self._has_lost_back_end = True
            interrupted = InterruptedRequest(
                self._fingerprint(), self._was_suspect, self._blocks, self._were_blocks_suspect,
                writing_s,
            )  # fmt: skip
            if self._was_accepting is None:
                self.connection_ended(back_end)
            if self._was_accepting:
                self._reporter.crash_check.request(back_end, interrupted)
        elif verdict == SUCCESS:
            self._reporter.blocks.note_answered(self._blocks)
            if self._quarantine.is_tracking_requests():
                self._quarantine.note_answered(self._fingerprint())

    def _fingerprint(self) -> RequestFingerprint:
        if self.known_fingerprint is None:
            admitted = self._admitted
            self.known_fingerprint = fingerprint_of(
                admitted.request, admitted.tenant, admitted.body
            )
        return self.known_fingerprint
