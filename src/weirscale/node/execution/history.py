"""What happened to one request, told in its line in the log."""

from weirscale.domain.request.retry_policy import NextStep

MAX_CAUSES = 8
"""Causes told one by one; a long chain of resumes is cut to its beginning and a number."""

NO_CAUSES = "-"


class RequestHistory:
    """Attempts of one request and why there was more than one; used by one task.

    Attributes:
        backend: The back end of the latest attempt, empty before the first.
        num_attempts: Attempts made, hedges included.
        num_resumes: Streams resumed on the same engine.
        num_hedges: Attempts made beside a slow one.
    """

    __slots__ = ("_causes", "_num_failures", "backend", "num_attempts", "num_hedges", "num_resumes")

    def __init__(self) -> None:
        self.backend = ""
        self.num_attempts = 0
        self.num_resumes = 0
        self.num_hedges = 0
        self._causes: list[str] = []
        self._num_failures = 0

    def note_attempt(self, backend: str) -> None:
        """An attempt is made."""
        self.num_attempts += 1
        self.backend = backend

    def note_failure(self, backend: str, failure: str, step: NextStep) -> None:
        """An attempt has failed, and `step` follows."""
        self._num_failures += 1
        if len(self._causes) < MAX_CAUSES:
            self._causes.append(f"{backend}:{failure}:{step.value}")

    def note_hedge(self, slow_backend: str) -> None:
        """An attempt is made beside a slow one."""
        self.num_hedges += 1
        self._num_failures += 1
        if len(self._causes) < MAX_CAUSES:
            self._causes.append(f"{slow_backend}:slow:hedge")

    @property
    def causes(self) -> str:
        """Return `backend:failure:next step` of each failure in turn, separated by commas."""
        num_more = self._num_failures - len(self._causes)
        more = [f"+{num_more}"] if num_more else []
        return ",".join(self._causes + more) or NO_CAUSES
