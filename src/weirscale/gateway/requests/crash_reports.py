"""Requests whose back end crashed under them: what is reported, and whether one may be sent on."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.peers.messages import SuspectGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.quarantine.crash_check import CrashCheck, InterruptedRequest
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, fingerprint_of
from weirscale.gateway.quarantine.keeper import Quarantine
from weirscale.gateway.requests.admission import AdmittedRequest
from weirscale.gateway.requests.attempt_verdict import CONNECTION_LOST, WHOLE_SUCCESS, Verdict
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog


class CrashReporter:
    """Has lost connections looked into and reports the crashes; `crash_check.run` must be running.

    Args:
        cluster: Registrations.
        port_of: Returns the port of a back end.
        quarantine: Requests that crash back ends.
        health: Circuits.
        outbox: Gossip.
        send_gossip_now: Has gossip sent without waiting for the next regular message.
        event_log: Decisions.
        clock: Monotonic seconds.
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

    def _report_crash(self, back_end: BackEnd, lost: tuple[InterruptedRequest, ...]) -> None:
        """Send nothing more to a back end that crashed, and let the other nodes know at once."""
        self._event_log.event(
            "back_end_crashed", instance=back_end.instance, run=back_end.run_id,
            requests=len(lost),
        )  # fmt: skip
        self._health.unreachable(back_end.instance, "crashed", self._clock())
        self._cluster.back_ends.mark_crashed(back_end.run_id)
        self._outbox.add_suspect(SuspectGossip(back_end.instance))
        for one in lost:
            self.quarantine.note_crash(one.fingerprint, back_end.run_id, one.was_sent_after_crash)
        self._send_gossip_now()


class CrashGuard:
    """Whether one request may have crashed back ends.

    Args:
        reports: What the node knows of crashes.
        admitted: The request.
    """

    def __init__(self, reports: CrashReporter, admitted: AdmittedRequest) -> None:
        self._reports = reports
        self._quarantine = reports.quarantine
        self._admitted = admitted
        self._has_lost_back_end = False
        self.known_fingerprint: RequestFingerprint | None = None
        """What the request is recognised by; worked out for the few that need it."""

    def quarantined_for_s(self) -> float | None:
        """Return for how long the request is refused, at whichever node it came before.

        None if it may be sent on.
        """
        if not self._quarantine.is_tracking_requests():
            return None
        return self._quarantine.remaining_s(self._fingerprint())

    def has_known_crash(self) -> bool:
        """Whether a back end is known to have crashed under the request before it is sent on."""
        if self._has_lost_back_end or not self._quarantine.is_tracking_requests():
            return self._has_lost_back_end
        return self._quarantine.is_suspect(self._fingerprint())

    def add_verdict(self, back_end: BackEnd, verdict: Verdict, had_known_crash: bool) -> None:
        """Have found out whether the back end crashed, or report that the request was answered.

        Args:
            back_end: Where the request was sent.
            verdict: How the attempt ended.
            had_known_crash: What `has_known_crash` was before the attempt.
        """
        if verdict.reason in CONNECTION_LOST:
            self._has_lost_back_end = True
            lost = InterruptedRequest(self._fingerprint(), had_known_crash)
            self._reports.crash_check.request(back_end, lost)
        elif verdict == WHOLE_SUCCESS and self._quarantine.is_tracking_requests():
            self._quarantine.note_answered(self._fingerprint())

    def _fingerprint(self) -> RequestFingerprint:
        if self.known_fingerprint is None:
            admitted = self._admitted
            self.known_fingerprint = fingerprint_of(
                admitted.request, admitted.tenant, admitted.body
            )
        return self.known_fingerprint
