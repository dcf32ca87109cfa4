"""Callers' requests, and the interface that parses them and encodes refusals."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from weirscale.gateway.model.identifiers import RequestId
from weirscale.gateway.model.prompt import Prompt

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields in order; names in lower case."""


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request with its headers parsed.

    Attributes:
        request_id: The caller's id of this sending of the request; empty if it sent none.
        method: HTTP method.
        target: Raw path and query.
        host: Host header.
        path: Decoded path, by which the route is chosen.
        key: API key, or None.
        timeout_s: How long the caller waits, or None if not stated.
        prompt: The prompt's outline, for generation requests.
        num_tokens: Stated sum of the prompt's tokens and the answer's maximum, or None.
        resume_after: Id of the last event that the caller has received, or None.
        headers: Header fields that are forwarded to the back end.
        resumes: If the caller takes a stream up, the id of its try that received the stream's first
            event; None if it names none.
    """

    request_id: RequestId
    method: str
    target: bytes
    host: str
    path: str
    key: str | None
    timeout_s: float | None
    prompt: Prompt | None
    num_tokens: int | None
    resume_after: str | None
    headers: Headers
    resumes: RequestId | None = None


class RequestCodec(Protocol):
    """Parses requests and encodes refusals."""

    def parse(self, scope: Mapping[str, object]) -> CallerRequest | str:
        """Parse the head of an ASGI request; return a description of the error if it is invalid."""
        ...

    def refusal_headers(self, request_id: RequestId, retry_after_s: float | None) -> Headers:
        """Return the header fields of an answer that the gateway itself gives."""
        ...
