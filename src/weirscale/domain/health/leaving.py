"""Announcements that a back end is about to stop: their sources, and the run that they apply to.

The back end's own announcement applies to that run permanently; only a new run (a higher
incarnation) clears it. The machine list lags, and an answer may be older than a previous one. So
its entry applies while it is listed and for LIST_HOLD_S after its removal, unless a new run is
seen. That time is bounded, because a late list may have meant the previous run.
"""

import enum

import msgspec

from weirscale.domain.identifiers import Incarnation

LIST_HOLD_S = 60.0
"""How long a leaving entry applies after its removal from the list; far above the usual lag."""


class LeavingSource(enum.Enum):
    """Source of the information that a back end is leaving."""

    MACHINE_LIST = "machine_list"
    LOAD_REPORT = "load_report"
    REFUSAL = "refusal"


class Leaving(msgspec.Struct, frozen=True):
    """The announcements that a back end is leaving.

    Attributes:
        source: How the back end itself announced it; None if it did not.
        incarnation: The run that announced it.
        is_listed: Whether the machine list has it as leaving now.
        listed_incarnation: The run known when it was first listed; None if none was known.
        hold_until_s: Time until which the list's entry applies after its removal.
    """

    source: LeavingSource | None = None
    incarnation: Incarnation = Incarnation(0)
    is_listed: bool = False
    listed_incarnation: Incarnation | None = None
    hold_until_s: float = 0.0

    def is_leaving_at(self, now_s: float) -> bool:
        """Return whether the back end must get no new work."""
        return self.source is not None or self.is_listed or now_s < self.hold_until_s

    def source_at(self, now_s: float) -> LeavingSource | None:
        """Return the source of the announcement; None while the back end is not leaving."""
        if self.source is not None:
            return self.source
        return LeavingSource.MACHINE_LIST if self.is_leaving_at(now_s) else None


STAYING = Leaving()
"""State of a back end without any announcement that it is leaving."""


def after_own_statement(
    leaving: Leaving, source: LeavingSource, incarnation: Incarnation
) -> Leaving:
    """Return the state after the back end itself announced that a run is leaving."""
    if leaving.source is not None and incarnation <= leaving.incarnation:
        return leaving
    return msgspec.structs.replace(leaving, source=source, incarnation=incarnation)


def after_machine_list(
    leaving: Leaving, is_leaving: bool, incarnation: Incarnation | None, now_s: float
) -> Leaving:
    """Return the state after a new machine list.

    Args:
        leaving: The state before.
        is_leaving: Whether the list has the back end as leaving.
        incarnation: The run known now; None if none is known.
        now_s: Current time.
    """
    if is_leaving == leaving.is_listed:
        return leaving
    if is_leaving:
        return msgspec.structs.replace(leaving, is_listed=True, listed_incarnation=incarnation)
    is_same_run = incarnation is None or incarnation == leaving.listed_incarnation
    hold_until_s = now_s + LIST_HOLD_S if is_same_run else 0.0
    return msgspec.structs.replace(leaving, is_listed=False, hold_until_s=hold_until_s)


def after_incarnation(leaving: Leaving, incarnation: Incarnation) -> Leaving:
    """Return the state for the current run; a newer run than the leaving one is not leaving."""
    if leaving is STAYING:
        return leaving
    if leaving.source is not None and incarnation > leaving.incarnation:
        leaving = msgspec.structs.replace(leaving, source=None)
    listed = leaving.listed_incarnation
    if leaving.hold_until_s and listed is not None and incarnation > listed:
        leaving = msgspec.structs.replace(leaving, hold_until_s=0.0)
    return leaving
