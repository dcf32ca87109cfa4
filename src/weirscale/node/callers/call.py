"""State of one call that the routes share, with the values of its log line."""

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal
from weirscale.node.callers.errors import send_refusal
from weirscale.node.callers.metrics import ABANDONED_CODE, OK_CODE
from weirscale.node.execution.history import RequestHistory
from weirscale.ports.asgi import Receive, Scope, Send


class Call:
    """One call; used only by the task that serves it.

    Attributes:
        scope: The ASGI scope.
        receive: The ASGI receive callable.
        send: The ASGI send callable.
        headers: Decoded headers with lower-case names.
        request_id: The caller's id if it is well-formed, otherwise a new one.
        started_s: When the call arrived.
        tenant: The tenant's name; empty until the call is authenticated.
        code: Code for the log and the metrics.
        run_status: Whether the request ran, for the log and the metrics.
        http_status: The HTTP status sent, 0 before that.
        ttft_s: Time from arrival to the first chunk, None without a chunk.
        num_tokens: Completion tokens received.
        num_prompt_tokens: Prompt tokens, as counted by the engine.
        num_cached_tokens: Prompt tokens served from the cache, as counted by the engine.
        has_response_started: Whether the status line has been sent.
        history: Attempts on back ends; empty until the call is run.
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
        # Until its answer is sent, the call counts as abandoned by its caller.
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
        """Return the HTTP method."""
        return str(self.scope["method"])

    @property
    def path(self) -> str:
        """Return the decoded path."""
        return str(self.scope["path"])

    def record_response_started(self, http_status: int) -> None:
        """Record that the status line is being sent, after which no other status can be sent."""
        self.http_status = http_status
        self.has_response_started = True

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
        self.record_refusal(refusal)
        self.record_response_started(refusal.http_status)
        await send_refusal(self.send, refusal, self.request_id)

    def record_refusal(self, refusal: Refusal) -> None:
        """Record that the call ends with a refusal."""
        self.code = refusal.code.value
        self.run_status = refusal.run_status

    def record_answer(self) -> None:
        """Record that the whole answer has been sent."""
        self.code = OK_CODE
        self.run_status = RunStatus.RAN
