"""Whether a back end is about to stop, from any source, and for which of its runs.

What a back end says of itself holds for that run for good; only a new run (a higher incarnation)
clears it. The machine list lags, and its answers may be older than ones seen before: it holds while
it says so, and for a while after it stops saying so unless a new run is seen. The while is bounded,
since a late list may have meant the run before.
"""

import enum

import msgspec

from weirscale.domain.identifiers import Incarnation

LIST_HOLD_S = 60.0
"""How long a leaving entry outlasts its removal from the list; far above the list's usual lag."""


class LeavingSource(enum.Enum):
    """Who said that a back end leaves."""

    MACHINE_LIST = "machine_list"
    LOAD_REPORT = "load_report"
    REFUSAL = "refusal"


class Leaving(msgspec.Struct, frozen=True):
    """What is known of a back end's leaving.

    Attributes:
        source: How the back end itself said so, None if it did not.
        incarnation: The run that said so.
        is_listed: Whether the machine list says so now.
        listed_incarnation: The run known when the list began to say so, None if not known.
        hold_until_s: Until when the list's entry holds after its removal.
    """

    source: LeavingSource | None = None
    incarnation: Incarnation = Incarnation(0)
    is_listed: bool = False
    listed_incarnation: Incarnation | None = None
    hold_until_s: float = 0.0

    def is_leaving_at(self, now_s: float) -> bool:
        """Whether it must get no new work."""
        return self.source is not None or self.is_listed or now_s < self.hold_until_s

    def source_at(self, now_s: float) -> LeavingSource | None:
        """Who says so, None while it stays."""
        if self.source is not None:
            return self.source
        return LeavingSource.MACHINE_LIST if self.is_leaving_at(now_s) else None


STAYING = Leaving()
"""Nobody said that it leaves."""


def after_own_statement(
    leaving: Leaving, source: LeavingSource, incarnation: Incarnation
) -> Leaving:
    """Learn from the back end itself that a run of it leaves."""
    if leaving.source is not None and incarnation <= leaving.incarnation:
        return leaving
    return msgspec.structs.replace(leaving, source=source, incarnation=incarnation)


def after_machine_list(
    leaving: Leaving, is_leaving: bool, incarnation: Incarnation | None, now_s: float
) -> Leaving:
    """Learn what the machine list says now.

    Args:
        leaving: What was known.
        is_leaving: What the list says.
        incarnation: The run known now; None if none is known.
        now_s: Time.
    """
    if is_leaving == leaving.is_listed:
        return leaving
    if is_leaving:
        return msgspec.structs.replace(leaving, is_listed=True, listed_incarnation=incarnation)
    is_same_run = incarnation is None or incarnation == leaving.listed_incarnation
    hold_until_s = now_s + LIST_HOLD_S if is_same_run else 0.0
    return msgspec.structs.replace(leaving, is_listed=False, hold_until_s=hold_until_s)


def after_incarnation(leaving: Leaving, incarnation: Incarnation) -> Leaving:
    """Learn which run is there now; a higher one than the run that left stays."""
    if leaving is STAYING:
        return leaving
    if leaving.source is not None and incarnation > leaving.incarnation:
        leaving = msgspec.structs.replace(leaving, source=None)
    listed = leaving.listed_incarnation
    if leaving.hold_until_s and listed is not None and incarnation > listed:
        leaving = msgspec.structs.replace(leaving, hold_until_s=0.0)
    return leaving
