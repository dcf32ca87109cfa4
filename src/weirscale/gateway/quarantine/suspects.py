"""Which requests back ends crashed under: the rule of what is kept from them.

A crash ends everything that ran beside its cause, so one proves little. A request is taken for the
cause once several back ends have crashed under it, none has answered it since the first, and not
all at one stroke: what is asked often is in many places when a zone loses power.
"""

from collections import OrderedDict

import msgspec

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint

NUM_CRASHES = 3
"""Back ends that crash under a request before it is taken for the cause. With two, each request
that was repeated after a crash and met a second one would be refused."""

SUSPECT_LIFE_S = 900.0
"""A request that no back end has crashed under for this long is forgotten. Longer than a
quarantine, after which one more crash is enough."""

MAX_SUSPECTS = 4096
"""Bound on the memory, some 2 MB: all that ran on 85 back ends of 48 slots. Beyond it the request
whose last crash is the oldest is forgotten."""


class Suspect(msgspec.Struct):
    """What is known of one request.

    Attributes:
        crashed: Runs of back ends that ended under it, since it was last answered.
        forgiven: Runs that ended under it before that: news of them may come again.
        came_again: Whether one of them began it when another was known to have ended.
        was_quarantined: Whether it was taken for the cause before.
        crashed_at_s: Last crash.
    """

    crashed: set[RunId]
    forgiven: set[RunId]
    came_again: bool
    was_quarantined: bool
    crashed_at_s: float


class SuspectBook:
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
        self, fingerprint: RequestFingerprint, run: RunId, came_again: bool, now_s: float
    ) -> bool:
        """Note a crash under a request; whether this tells anything new.

        Args:
            fingerprint: The request.
            run: The run of the back end.
            came_again: Whether it began the request when an earlier crash under it was known.
            now_s: Time.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = Suspect(set(), set(), False, False, now_s)
            self._forget_beyond_bound()
        if run in suspect.forgiven:
            return False
        if run in suspect.crashed and suspect.came_again >= came_again:
            return False
        # Several nodes may have had the request at one run, some before they knew of another crash.
        suspect.crashed.add(run)
        suspect.came_again |= came_again
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
        return len(suspect.crashed) >= NUM_CRASHES and suspect.came_again

    def note_answered(self, fingerprint: RequestFingerprint) -> bool:
        """A back end has answered a request; whether anything was held against it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not (suspect.crashed or suspect.was_quarantined):
            return False
        suspect.forgiven |= suspect.crashed
        suspect.crashed.clear()
        suspect.came_again = suspect.was_quarantined = False
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
