"""The request limits that back ends have stated, as received by this node.

A back end states its limit in its answers for as long as the limit holds. Answers reach a node out
of order, and other nodes forward the limits from theirs. So statements are ordered by when they
were made: a later statement replaces an earlier one, whatever the order of arrival.
"""

import enum

import msgspec

from weirscale.gateway.model.back_ends import instance_of
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.recent_runs import RecentRuns
from weirscale.ports.event_log import EventLog

UNLIMITED_PER_S = 1e6
"""Requests per second from which a limit counts as none: no fleet sends one back end as many."""

PEER_DELAY_S = 1.0
"""Maximum delay in seconds of a statement forwarded by another node through two group heads. The
statement may be older than it appears by as much."""


class StatementSource(enum.Enum):
    """Where a statement came from, for the log."""

    ANSWER = "answer"
    """An answer to this node."""
    PEER = "peer"
    """An answer to another node."""


class LimitStatement(msgspec.Struct, frozen=True):
    """A back end's statement of its request limit.

    Attributes:
        limit_per_s: Requests per second accepted from all nodes together; None for no limit.
        made_at_s: When the back end stated it, in monotonic seconds of this node.
    """

    limit_per_s: float | None
    made_at_s: float


class StatedLimits:
    """Owns the latest statement of each run of a back end.

    Args:
        event_log: Logs limits that begin, change or end.
    """

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._statements: RecentRuns[LimitStatement] = RecentRuns()

    def statement(self, run: RunId) -> LimitStatement | None:
        """Return the latest statement of a run; None if it never stated a limit."""
        return self._statements.get(run)

    def limit_per_s(self, run: RunId) -> float | None:
        """Return the limit of a run in requests per second; None if it has none."""
        statement = self._statements.get(run)
        return None if statement is None else statement.limit_per_s

    def record_limit(self, run: RunId, limit_per_s: float, now_s: float) -> bool:
        """Record the limit in an answer; return whether the limit in force changed."""
        limit = None if limit_per_s >= UNLIMITED_PER_S else limit_per_s
        return self._replace(run, LimitStatement(limit, now_s), StatementSource.ANSWER)

    def record_no_limit(self, run: RunId, request_sent_at_s: float, now_s: float) -> bool:
        """Record an answer that states no limit; return whether this ended a limit.

        Args:
            run: Run of the back end that answered.
            request_sent_at_s: When the request was sent. If that was before the limit was last
                stated, the answer may have begun before the limit and is ignored.
            now_s: When the answer was read.
        """
        current = self._statements.get(run)
        if current is None or request_sent_at_s <= current.made_at_s:
            return False
        return self._replace(run, LimitStatement(None, now_s), StatementSource.ANSWER)

    def record_peer_statement(self, run: RunId, statement: LimitStatement) -> bool:
        """Record a statement to another node; return whether the limit in force changed.

        A statement appears younger than it is by the time it took to arrive. `PEER_DELAY_S`
        prevents an older statement of no limit from ending a limit stated since.
        """
        current = self._statements.get(run)
        if current is not None:
            ends_limit = statement.limit_per_s is None and current.limit_per_s is not None
            newer_than_s = current.made_at_s + (PEER_DELAY_S if ends_limit else 0.0)
            if statement.made_at_s <= newer_than_s:
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
