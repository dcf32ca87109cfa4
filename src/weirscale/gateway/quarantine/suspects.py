"""The rule of which request is the cause of crashes, and the memory of suspects.

A crash ends everything that ran beside its cause, so one proves little. A request is the cause once
`NUM_CRASHES` runs of back ends have ended under it since it was last answered, one of them at least
after another crash was known: a frequent request runs in many places when a zone loses power.
"""

from collections import OrderedDict

import msgspec

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint

NUM_CRASHES = 3
"""Back ends that crash under a request before it is taken for the cause. With two, each request
that was retried after a crash and met a second one would be refused. Not measured."""

SUSPECT_LIFE_S = 900.0
"""Seconds after its last crash at which a request is forgotten. Longer than a quarantine, after
which one more crash is enough. Not measured."""

MAX_SUSPECTS = 4096
"""Requests that are remembered: all that ran on 85 back ends of 48 slots; 2.9 MB at 720 bytes each
(docs/design/0022-quarantine.md). Beyond it the one with the oldest last crash is forgotten."""


class Suspect(msgspec.Struct):
    """What is known of one request.

    Attributes:
        crashed: Runs of back ends that ended under it, since it was last answered.
        forgiven: Runs that ended under it before that: gossip of them may still arrive.
        was_sent_after_crash: Whether one of them got it when another was known to have ended.
        was_quarantined: Whether it was taken for the cause before.
        crashed_at_s: Last crash.
    """

    crashed: set[RunId]
    forgiven: set[RunId]
    was_sent_after_crash: bool
    was_quarantined: bool
    crashed_at_s: float


class SuspectTracker:
    """The requests under which back ends crashed."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[RequestFingerprint, Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def __contains__(self, fingerprint: RequestFingerprint) -> bool:
        return fingerprint in self._suspects

    def is_suspect(self, fingerprint: RequestFingerprint) -> bool:
        """Whether a back end has crashed under a request since it was last answered."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.crashed)

    def crashes(self, fingerprint: RequestFingerprint) -> list[RunId]:
        """Return the runs of back ends that ended under a request since it was last answered."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else sorted(suspect.crashed)

    def note_crash(
        self, fingerprint: RequestFingerprint, run: RunId, was_sent_after_crash: bool, now_s: float
    ) -> bool:
        """Note a crash under a request; whether this is anything new.

        Args:
            fingerprint: The request.
            run: The run of the back end.
            was_sent_after_crash: Whether an earlier crash under it was known when it was sent.
            now_s: Time.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = Suspect(set(), set(), False, False, now_s)
            self._forget_beyond_bound()
        if run in suspect.forgiven:
            return False
        if run in suspect.crashed and suspect.was_sent_after_crash >= was_sent_after_crash:
            return False
        # Several nodes may have had the request at one run, some before they knew of another crash.
        suspect.crashed.add(run)
        suspect.was_sent_after_crash |= was_sent_after_crash
        suspect.crashed_at_s = now_s
        self._suspects.move_to_end(fingerprint)
        return True

    def is_cause(self, fingerprint: RequestFingerprint) -> bool:
        """Whether a request is taken for the cause of its crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashed:
            return False
        if suspect.was_quarantined:
            return True
        return len(suspect.crashed) >= NUM_CRASHES and suspect.was_sent_after_crash

    def note_answered(self, fingerprint: RequestFingerprint) -> bool:
        """A back end has answered a request; whether anything was held against it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not (suspect.crashed or suspect.was_quarantined):
            return False
        suspect.forgiven |= suspect.crashed
        suspect.crashed.clear()
        suspect.was_sent_after_crash = suspect.was_quarantined = False
        return True

    def note_quarantine_over(self, fingerprint: RequestFingerprint, now_s: float) -> None:
        """The time of a quarantine has passed: one more crash begins the next."""
        suspect = self._suspects.setdefault(fingerprint, Suspect(set(), set(), False, False, now_s))
        suspect.forgiven |= suspect.crashed
        suspect.crashed.clear()
        suspect.was_quarantined = True
        suspect.crashed_at_s = now_s
        self._suspects.move_to_end(fingerprint)
        self._forget_beyond_bound()

    def forget_old(self, now_s: float) -> None:
        """Forget the requests whose last crash is too long ago."""
        while self._suspects:
            oldest = next(iter(self._suspects))
            if now_s - self._suspects[oldest].crashed_at_s <= SUSPECT_LIFE_S:
                return
            del self._suspects[oldest]

    def _forget_beyond_bound(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
