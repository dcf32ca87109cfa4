"""Which callers are told to come back under overload, and when.

A request that waits in a long queue is late and makes others late; one that is told at once to
come back finds the queue shorter. The queue that callers may join is bounded by a share of the
objective. A caller that has come back may join a longer one than one that asks for the first time.

Where prompts are read without end, engines generate one token for each piece that they read, so
that every stream pauses although no queue is long. So the bound follows what streams show: each
stream that paused longer than its route allows lowers it, each one that did not raises it.
"""

import msgspec

from weirscale.gateway.model.configuration import Route
from weirscale.gateway.routing.candidate import Choice

OVERLOAD_FACTOR = 0.8
"""A first event estimated later than this multiple of the objective is not waited for."""

RETURN_FACTOR = 3.0
"""A caller that has come back may wait for this many times as long: a second refusal loses it."""

FREE_WAIT_S = 0.05
"""A wait that others cause is no reason for a refusal up to this: nobody reads there."""

FRESH_SHARE = 0.99
"""A caller that still has this share of its route's time, and no more than all of it, asks for the
first time. One that has more may have asked before: nothing tells."""

LEAST_SHARE = 0.02
"""Least share of its time that a caller is told to stay away, so that it is known when it comes."""

MOST_SHARE = 0.3
"""Largest share of its time that a caller is told to stay away."""

LATE_STREAM_FACTOR = 0.8
SOUND_STREAM_RISE = 0.02
"""What a stream does to the share of the bound in force: at a share of a half, it falls once more
than one in five streams pauses for too long."""

LEAST_LIMIT_SHARE = 0.05


class QueueLimit(msgspec.Struct):
    """How much of the bound on queues is in force for a service.

    Attributes:
        share: From `LEAST_LIMIT_SHARE` to 1.
    """

    share: float = 1.0

    def note_stream(self, is_late: bool) -> None:
        """Learn from one run of a stream whether it paused longer than its route allows."""
        if is_late:
            self.share = max(LEAST_LIMIT_SHARE, self.share * LATE_STREAM_FACTOR)
        else:
            self.share = min(1.0, self.share + SOUND_STREAM_RISE)


def should_come_back(
    choice: Choice, route: Route, timeout_s: float | None, limit: QueueLimit
) -> bool:
    """Return whether a request should be refused rather than join the queue here.

    Args:
        choice: The best back end and what is expected of it.
        route: The request's route.
        timeout_s: How long the caller waits, or None if it did not say.
        limit: The bound in force.
    """
    if choice.scope is None or timeout_s is None:
        return False
    asks_first = FRESH_SHARE <= timeout_s / route.timeout_s <= 1.0
    others_s = choice.estimate_s - choice.idle_s
    objective_s = OVERLOAD_FACTOR * route.objective_s
    limit_s = limit.share * objective_s * (1.0 if asks_first else RETURN_FACTOR)
    # A prompt that alone takes longer than the objective is late anyway: only the queue counts.
    own_s = choice.idle_s if choice.idle_s <= objective_s else 0.0
    return others_s > max(FREE_WAIT_S, limit_s - own_s)


def come_back_s(choice: Choice, timeout_s: float | None, least_s: float) -> float:
    """Return how long a caller should stay away.

    Args:
        choice: The best back end and what is expected of it.
        timeout_s: How long the caller waits, or None if it did not say.
        least_s: Least time.
    """
    wait_s = max(least_s, choice.estimate_s / 2.0)
    if timeout_s is None:
        return wait_s
    return min(MOST_SHARE * timeout_s, max(LEAST_SHARE * timeout_s, wait_s))
