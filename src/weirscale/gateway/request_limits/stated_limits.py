"""Which back ends have stated a request limit, as far as this node knows.

A back end states its limit in its answers, for as long as it holds. Answers reach a node out of
order, and the other nodes tell what they were answered. So each statement counts by when it was
made: a later one replaces an earlier one, whatever the order in which they come.
"""

import enum

import msgspec

from weirscale.gateway.model.back_ends import instance_of
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.recent_runs import RecentRuns
from weirscale.ports.event_log import EventLog

UNLIMITED_PER_S = 1e6
"""Requests a second from which a limit is none: no fleet sends so many to one back end."""

PEER_DELAY_S = 1.0
"""Seconds that a statement may have been on its way from another node, over two heads of groups. By
as much it may be older than it seems."""


class StatementSource(enum.Enum):
    """How a node knows of a limit, for the log."""

    ANSWER = "answer"
    """The back end's answer to this node."""
    PEER = "peer"
    """Its answer to another node."""


class LimitStatement(msgspec.Struct, frozen=True):
    """What a back end said last.

    Attributes:
        limit_per_s: Requests a second that it takes from all nodes together; None for no limit.
        made_at_s: When it said so, in monotonic seconds of this node.
    """

    limit_per_s: float | None
    made_at_s: float


class StatedLimits:
    """Owns the statements, the latest of each run of a back end.

    Args:
        event_log: Where limits that begin, change or end are logged.
    """

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._statements: RecentRuns[LimitStatement] = RecentRuns()

    def statement(self, run: RunId) -> LimitStatement | None:
        """Return what a run said last; None if it never stated a limit."""
        return self._statements.get(run)

    def limit_per_s(self, run: RunId) -> float | None:
        """Return the requests a second that a run takes from all nodes together; None for any."""
        statement = self._statements.get(run)
        return None if statement is None else statement.limit_per_s

    def record_limit(self, run: RunId, limit_per_s: float, now_s: float) -> bool:
        """Take a limit that an answer states now; returns whether it changes what holds."""
        limit = None if limit_per_s >= UNLIMITED_PER_S else limit_per_s
        return self._replace(run, LimitStatement(limit, now_s), StatementSource.ANSWER)

    def record_no_limit(self, run: RunId, asked_at_s: float, now_s: float) -> bool:
        """Take an answer that states no limit; returns whether one has ended by it.

        Args:
            run: Who answered.
            asked_at_s: When its request was sent. An answer to one that was sent before the limit
                was last stated may have been begun before it, and says nothing of it.
            now_s: When the answer was read.
        """
        known = self._statements.get(run)
        if known is None or asked_at_s <= known.made_at_s:
            return False
        return self._replace(run, LimitStatement(None, now_s), StatementSource.ANSWER)

    def record_peer_statement(self, run: RunId, statement: LimitStatement) -> bool:
        """Take what a run said to another node; returns whether it changes what holds.

        A statement seems younger than it is by its way here. So a limit of which this node has
        heard meanwhile is not ended by another node's older word.
        """
        known = self._statements.get(run)
        if known is not None:
            is_end = statement.limit_per_s is None and known.limit_per_s is not None
            since_s = known.made_at_s + (PEER_DELAY_S if is_end else 0.0)
            if statement.made_at_s <= since_s:
                return False
        elif statement.limit_per_s is None:
            return False
        return self._replace(run, statement, StatementSource.PEER)

    def _replace(self, run: RunId, statement: LimitStatement, source: StatementSource) -> bool:
        previous = self.limit_per_s(run)
        self._statements.put(run, statement)
        if statement.limit_per_s == previous:
            return False
        self._event_log.event(
            "back_end_limit", instance=instance_of(run), limit_per_s=statement.limit_per_s,
            previous_per_s=previous, source=source.value,
        )  # fmt: skip
        return True
