"""A caller's request and how requests and refusals are written on the wire."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from weirscale.gateway.model.identifiers import RequestId
from weirscale.gateway.model.prompt import Prompt

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields in order; names in lower case."""


class CallerRequest(msgspec.Struct, frozen=True):
    """A request as the caller sent it, its headers understood.

    Attributes:
        request_id: The caller's id of this attempt; empty if it sent none.
        method: HTTP method.
        target: Raw path and query.
        host: Host header.
        path: Decoded path, for the route.
        key: API key, or None.
        timeout_s: How long the caller waits, or None if it did not say.
        prompt: The prompt's outline, for generations.
        num_tokens: Tokens that it names, of the prompt and at most of the answer, or None.
        resume_after: Id of the last event that the caller has, or None.
        headers: What travels on to the back end.
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


class RequestCodec(Protocol):
    """How requests and refusals are written on the wire."""

    def parse(self, scope: Mapping[str, object]) -> CallerRequest | str:
        """Read the head of an ASGI request; a string says what is wrong with it."""
        ...

    def refusal_headers(self, request_id: RequestId, retry_after_s: float | None) -> Headers:
        """Return the header fields of an answer of the gateway's own."""
        ...
