"""One call of a caller: what the routes share, and its line in the log."""

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal
from weirscale.node.callers.errors import send_refusal
from weirscale.node.callers.metrics import ABANDONED_CODE, OK_CODE
from weirscale.node.execution.history import RequestHistory
from weirscale.ports.asgi import Receive, Scope, Send


class Call:
    """One call; used by the task that serves it.

    Attributes:
        scope: The ASGI scope.
        receive: The ASGI receive callable.
        send: The ASGI send callable.
        headers: Decoded headers with lower-case names.
        request_id: The caller's id if well-formed, else a new one.
        started_s: When it arrived.
        tenant: The tenant's name, once known.
        code: Code for the log and the metrics.
        run_status: Whether it ran, for the log and the metrics.
        http_status: The status sent, 0 before any.
        ttft_s: Time to the first chunk, None without one.
        has_response_started: Whether the status line is out.
        history: What happened on back ends; empty until the call is run.
    """

    __slots__ = (
        "code",
        "has_response_started",
        "headers",
        "history",
        "http_status",
        "num_cached_tokens",
        "num_prompt_tokens",
        "num_tokens",
        "receive",
        "request_id",
        "run_status",
        "scope",
        "send",
        "started_s",
        "tenant",
        "ttft_s",
    )

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        headers: dict[str, str],
        request_id: RequestId,
        started_s: float,
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.headers = headers
        self.request_id = request_id
        self.started_s = started_s
        self.tenant = ""
        # Until an answer is out, the call counts as left by its caller.
        self.code = ABANDONED_CODE
        self.run_status = RunStatus.UNKNOWN
        self.http_status = 0
        self.ttft_s: float | None = None
        self.num_tokens = 0
        self.num_prompt_tokens = 0
        self.num_cached_tokens = 0
        self.has_response_started = False
        self.history = RequestHistory()

    @property
    def method(self) -> str:
        """The HTTP method."""
        return str(self.scope["method"])

    @property
    def path(self) -> str:
        """The decoded path."""
        return str(self.scope["path"])

    def note_response_started(self, http_status: int) -> None:
        """The status line goes out; no other one can follow."""
        self.http_status = http_status
        self.has_response_started = True

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
        self.note_refused(refusal)
        self.note_response_started(refusal.http_status)
        await send_refusal(self.send, refusal, self.request_id)

    def note_refused(self, refusal: Refusal) -> None:
        """The call ends with a refusal."""
        self.code = refusal.code.value
        self.run_status = refusal.run_status

    def note_answered(self) -> None:
        """The call has got its whole answer."""
        self.code = OK_CODE
        self.run_status = RunStatus.RAN
