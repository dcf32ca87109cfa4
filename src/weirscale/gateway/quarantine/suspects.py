"""The rule that decides which request causes crashes, and the record of suspects.

A crash interrupts all requests that the back end was serving, so a single crash proves little. A
request is considered the cause once `NUM_CRASHES` runs of back ends have crashed while serving it
since it was last answered, at least one of them after another crash was known. The last condition
is needed because a frequent request runs in many places when a zone loses power.
"""

from collections import OrderedDict

import msgspec

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint

NUM_CRASHES = 3
"""Number of back ends that must crash while serving a request before it is considered the cause.
With two, each request that was retried after a crash and hit a second one would be refused."""

SUSPECT_LIFETIME_S = 900.0
"""Seconds after its last crash at which a request is forgotten. Longer than a quarantine, because
after a quarantine a single crash begins the next."""

MAX_SUSPECTS = 4096
"""Maximum number of suspects: all requests running on 85 back ends of 48 slots, or 2.9 MB at 720
bytes each (docs/design/0022-quarantine.md). Beyond it, the suspect whose last crash is oldest is
forgotten."""


class Suspect(msgspec.Struct):
    """A request during which back ends crashed.

    Attributes:
        crashed_runs: Runs of back ends that crashed while serving the request since it was last
            answered.
        ignored_runs: Runs that crashed before that; late gossip of these crashes is ignored.
        was_sent_after_crash: Whether one of `crashed_runs` got the request when the crash of
            another was known.
        was_quarantined: Whether the request was considered the cause before.
        crashed_at_s: Time of the last crash.
    """

    crashed_runs: set[RunId]
    ignored_runs: set[RunId]
    was_sent_after_crash: bool
    was_quarantined: bool
    crashed_at_s: float


class SuspectTracker:
    """Tracks requests during which back ends crashed, and decides which of them are the cause."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[RequestFingerprint, Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def __contains__(self, fingerprint: RequestFingerprint) -> bool:
        return fingerprint in self._suspects

    def is_suspect(self, fingerprint: RequestFingerprint) -> bool:
        """Return whether a back end crashed while serving a request since it was last answered."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.crashed_runs)

    def crashes(self, fingerprint: RequestFingerprint) -> list[RunId]:
        """Return the runs of back ends that crashed during a request since it was last answered."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else sorted(suspect.crashed_runs)

    def note_crash(
        self, fingerprint: RequestFingerprint, run: RunId, was_sent_after_crash: bool, now_s: float
    ) -> bool:
        """Record a crash during a request; return whether the report was new.

        Args:
            fingerprint: Fingerprint of the request.
            run: Run of the back end.
            was_sent_after_crash: Whether an earlier crash during the request was known when it was
                sent to this run.
            now_s: Current time.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = Suspect(set(), set(), False, False, now_s)
            self._forget_excess()
        if run in suspect.ignored_runs:
            return False
        if run in suspect.crashed_runs and suspect.was_sent_after_crash >= was_sent_after_crash:
            return False
        # Several nodes may have sent the request to this run, some before knowing of another crash.
        suspect.crashed_runs.add(run)
        suspect.was_sent_after_crash |= was_sent_after_crash
        suspect.crashed_at_s = now_s
        self._suspects.move_to_end(fingerprint)
        return True

    def is_cause(self, fingerprint: RequestFingerprint) -> bool:
        """Return whether a request is considered the cause of its crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashed_runs:
            return False
        if suspect.was_quarantined:
            return True
        return len(suspect.crashed_runs) >= NUM_CRASHES and suspect.was_sent_after_crash

    def note_answered(self, fingerprint: RequestFingerprint) -> bool:
        """Clear a request that a back end answered; return whether it was suspected."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not (suspect.crashed_runs or suspect.was_quarantined):
            return False
        suspect.ignored_runs |= suspect.crashed_runs
        suspect.crashed_runs.clear()
        suspect.was_sent_after_crash = suspect.was_quarantined = False
        return True

    def note_quarantine_over(self, fingerprint: RequestFingerprint, now_s: float) -> None:
        """Record that a quarantine has ended: one more crash begins the next."""
        suspect = self._suspects.setdefault(fingerprint, Suspect(set(), set(), False, False, now_s))
        suspect.ignored_runs |= suspect.crashed_runs
        suspect.crashed_runs.clear()
        suspect.was_quarantined = True
        suspect.crashed_at_s = now_s
        self._suspects.move_to_end(fingerprint)
        self._forget_excess()

    def forget_old(self, now_s: float) -> None:
        """Forget requests whose last crash is older than `SUSPECT_LIFETIME_S`."""
        while self._suspects:
            oldest = next(iter(self._suspects))
            if now_s - self._suspects[oldest].crashed_at_s <= SUSPECT_LIFETIME_S:
                return
            del self._suspects[oldest]

    def _forget_excess(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
