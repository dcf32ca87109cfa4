"""JSON structures and names of the engine's HTTP interface, shared by the adapter and the stand-in.

The OpenAI-compatible parts follow vLLM's server; see docs/design/0002-engine-interface.md.
"""

import msgspec

from weirscale.ports.engine import EngineFailure, EngineFailureKind

REQUEST_ID_HEADER = "x-request-id"
ATTEMPT_HEADER = "x-attempt"
EXPECTED_INCARNATION_HEADER = "x-expected-incarnation"
EXPECTED_VERSION_HEADER = "x-expected-weight-version"
TIME_LEFT_HEADER = "x-time-left-s"

GENERATE_PATHS = ("/v1/chat/completions", "/v1/completions")
STREAMS_PATH = "/v1/streams"
LOAD_PATH = "/load"
EVENTS_PATH = "/cache/events"
DUMP_PATH = "/cache/dump"
ORDERS_PATH = "/orders"

END_OF_STREAM = b"[DONE]"
DATA_PREFIX = b"data: "
EVENT_END = b"\n\n"

ID_PREFIXES = ("chatcmpl-", "cmpl-")
"""vLLM adds one of these prefixes to the request id that it received."""


class WireError(msgspec.Struct, omit_defaults=True):
    """The OpenAI error object; `code` is a value of `EngineFailureKind`."""

    message: str = ""
    type: str = "engine_error"
    code: str | int | None = None
    retry_after_s: float | None = None


class ErrorBody(msgspec.Struct):
    """Body of an error response."""

    error: WireError


class Delta(msgspec.Struct, omit_defaults=True):
    """New text of a chat completion."""

    content: str | None = None


class StreamChoice(msgspec.Struct, omit_defaults=True):
    """The one choice of a chunk: `delta` for chat, `text` for completions."""

    index: int = 0
    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class PromptDetails(msgspec.Struct):
    """Details of the prompt's token count."""

    cached_tokens: int = 0


class Usage(msgspec.Struct, omit_defaults=True):
    """Token counts of a request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None


class StreamEvent(msgspec.Struct, omit_defaults=True):
    """One server-sent event of a streamed answer.

    Attributes:
        id: Id of the request, possibly after one of `ID_PREFIXES`.
        object: OpenAI's name of the object's type.
        model: Model that generates the answer.
        choices: One choice, or none in an event that carries only `usage`.
        usage: Token counts, at the end of the answer.
        sequence: Extension: number of the chunk; the adapter counts if it is missing.
        num_tokens: Extension: number of tokens in the chunk.
        error: Error that ends the stream early.
    """

    id: str = ""
    object: str = ""
    model: str = ""
    choices: list[StreamChoice] = []
    usage: Usage | None = None
    sequence: int | None = None
    num_tokens: int = 1
    error: WireError | None = None


class ContinueAnswer(msgspec.Struct):
    """Extension of a request's body: continue the answer where another engine stopped."""

    text: str
    sequence: int
    num_tokens: int


class KvTransfer(msgspec.Struct):
    """Value of vLLM's `kv_transfer_params`: import a prefix from a kept-KV store."""

    store: str
    block_hash: int


class GenerateExtensions(msgspec.Struct):
    """Fields that the stand-in reads from a request's body, apart from the prompt."""

    model: str
    max_tokens: int
    cache_salt: str = ""
    priority: int = 0
    adapter: str | None = None
    continue_answer: ContinueAnswer | None = None
    kv_transfer_params: KvTransfer | None = None


STATUS_OF_FAILURE = {
    EngineFailureKind.REFUSED_INVALID: 400,
    EngineFailureKind.NOT_FOUND: 404,
    EngineFailureKind.REFUSED_MISMATCH: 409,
    EngineFailureKind.REFUSED_STALE_ORDER: 412,
    EngineFailureKind.REFUSED_BUSY: 429,
    EngineFailureKind.REFUSED_LEAVING: 503,
    EngineFailureKind.TIMED_OUT: 504,
}
"""HTTP status of each failure that an engine can report; the others are broken connections."""

FAILURE_OF_STATUS = {
    400: EngineFailureKind.REFUSED_INVALID,
    401: EngineFailureKind.REFUSED_INVALID,
    404: EngineFailureKind.NOT_FOUND,
    413: EngineFailureKind.REFUSED_INVALID,
    422: EngineFailureKind.REFUSED_INVALID,
    429: EngineFailureKind.REFUSED_BUSY,
}
"""Failure for a status without a known code. With any other status the request may have run, so the
failure is BROKEN."""

REPORTED_FAILURE_CODES = frozenset(kind.value for kind in STATUS_OF_FAILURE)


def failure_of_answer(status: int, error: WireError | None) -> EngineFailure:
    """Return the failure for an error status and the error object of its body."""
    message = error.message if error else ""
    retry_after_s = error.retry_after_s if error else None
    if error is not None and error.code in REPORTED_FAILURE_CODES:
        return EngineFailure(EngineFailureKind(error.code), message, retry_after_s)
    kind = FAILURE_OF_STATUS.get(status, EngineFailureKind.BROKEN)
    return EngineFailure(kind, f"engine answered HTTP {status}: {message}", retry_after_s)
