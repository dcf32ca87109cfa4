"""Reports errors that nobody expected, where they must end one piece of work and nothing else.

A task that works for many back ends, nodes or callers would otherwise end by what one of them sent,
and the process with it, again after each restart. Only such tasks catch errors this way; each error
is a fault of the program and is reported as one.
"""

from collections.abc import Callable
from pathlib import PurePath
from traceback import extract_tb

from weirscale.ports.event_log import EventLog

MAX_DETAIL_CHARS = 200
"""Maximum number of characters of an error's message that are logged."""


def ignore_count(work: str) -> None:
    """Count nothing."""


class UnexpectedErrors:
    """Logs and counts unexpected errors.

    Args:
        event_log: Receives an event for each error.
        count: Called with the kind of the work that an error ended.
    """

    def __init__(self, event_log: EventLog, count: Callable[[str], None] = ignore_count) -> None:
        self._event_log = event_log
        self._count = count

    def report(self, work: str, subject: str, error: Exception) -> None:
        """Report an error.

        Args:
            work: Kind of the work that it ended.
            subject: The back end, node, address or key that the work was for.
            error: The error.
        """
        self._count(work)
        self._event_log.event(
            "unexpected_error", work=work, subject=subject, error=type(error).__name__,
            detail=str(error)[:MAX_DETAIL_CHARS], raised_at=_origin(error),
            remedy="this work was given up, all other goes on; report the line as a defect",
        )  # fmt: skip


def _origin(error: Exception) -> str:
    """Return the file and line that raised an error."""
    frames = extract_tb(error.__traceback__)
    if not frames:
        return "unknown"
    return f"{PurePath(frames[-1].filename).name}:{frames[-1].lineno}"
