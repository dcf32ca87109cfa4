"""The attempts and failures of one request, for its log line."""

from weirscale.domain.request.retry_policy import NextStep

MAX_CAUSES = 8
"""Maximum number of causes listed; the rest of a long chain of resumes is only counted."""

NO_CAUSES = "-"


class RequestHistory:
    """Attempts of one request, and the causes of further attempts; used by one task.

    Attributes:
        backend: The back end of the latest attempt, empty before the first.
        num_attempts: Attempts started, hedges included.
        num_resumes: Streams resumed on the same engine.
        num_hedges: Attempts started in parallel with a slow one.
    """

    __slots__ = ("_causes", "_num_failures", "backend", "num_attempts", "num_hedges", "num_resumes")

    def __init__(self) -> None:
        self.backend = ""
        self.num_attempts = 0
        self.num_resumes = 0
        self.num_hedges = 0
        self._causes: list[str] = []
        self._num_failures = 0

    def record_attempt(self, backend: str) -> None:
        """Record the start of an attempt."""
        self.num_attempts += 1
        self.backend = backend

    def record_failure(self, backend: str, failure: str, step: NextStep) -> None:
        """Record that an attempt has failed and that `step` follows."""
        self._num_failures += 1
        if len(self._causes) < MAX_CAUSES:
            self._causes.append(f"{backend}:{failure}:{step.value}")

    def record_hedge(self, slow_backend: str) -> None:
        """Record the start of a hedge because `slow_backend` is slow."""
        self.num_hedges += 1
        self._num_failures += 1
        if len(self._causes) < MAX_CAUSES:
            self._causes.append(f"{slow_backend}:slow:hedge")

    @property
    def causes(self) -> str:
        """Return `backend:failure:next step` of each failure in order, separated by commas."""
        num_more = self._num_failures - len(self._causes)
        more = [f"+{num_more}"] if num_more else []
        return ",".join(self._causes + more) or NO_CAUSES
