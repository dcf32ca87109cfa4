"""Request headers that callers can set: id, deadline, repeatability, priority, idempotency key."""

import re
import uuid

import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import RequestId
from weirscale.domain.request import refusals
from weirscale.domain.request.refusal import Refusal

MAX_REQUEST_ID_CHARACTERS = 128
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
MAX_DEADLINE_MS = 3_600_000
"""Longest accepted deadline, one hour; a longer one is most likely a mistake."""

_REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:\-]{0,127}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_SMALL_NUMBER = re.compile(r"[0-9]{1,9}")
_BOOLEANS = {"true": True, "false": False}


class CallerHeaders(msgspec.Struct, frozen=True):
    """The parsed headers.

    Attributes:
        request_id: The caller's request id, or a new one.
        deadline_s: Seconds from the arrival of the call, or None for the default.
        repeatable: False if the caller forbids a second run; with True, the route decides.
        priority: The tenant's priority, or a lower one (a higher number) that the caller requested.
        idempotency_key: The key set by the caller, or None.
    """

    request_id: RequestId
    deadline_s: float | None
    repeatable: bool
    priority: int
    idempotency_key: str | None


def new_request_id() -> RequestId:
    """Return a new unique request id."""
    return RequestId("req-" + uuid.uuid4().hex)


def request_id_of(headers: dict[str, str]) -> RequestId | None:
    """Return the caller's request id if it is well-formed, otherwise None."""
    request_id = headers.get("x-request-id")
    if request_id is not None and _REQUEST_ID.fullmatch(request_id):
        return RequestId(request_id)
    return None


def parse_caller_headers(
    headers: dict[str, str], tenant: Tenant, request_id: RequestId
) -> Result[CallerHeaders, Refusal]:
    """Parse and check the headers; an absent header gets its default value."""
    if "x-request-id" in headers and request_id_of(headers) is None:
        return _bad_header(
            "x-request-id", f"1 to {MAX_REQUEST_ID_CHARACTERS} letters, digits, `_`, `.`, `:`, `-`"
        )
    deadline = _number(headers, "x-deadline-ms")
    if "x-deadline-ms" in headers and (deadline is None or not 0 < deadline <= MAX_DEADLINE_MS):
        return _bad_header("x-deadline-ms", f"whole milliseconds from 1 to {MAX_DEADLINE_MS}")
    repeatable = _BOOLEANS.get(headers.get("x-repeatable", "true").lower())
    if repeatable is None:
        return _bad_header("x-repeatable", "`true` or `false`")
    priority = _number(headers, "x-priority")
    if "x-priority" in headers and priority is None:
        return _bad_header("x-priority", "a whole number; lower is served first")
    key = headers.get("idempotency-key")
    if key is not None and not _IDEMPOTENCY_KEY.fullmatch(key):
        return _bad_header(
            "idempotency-key", f"1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} visible ASCII characters"
        )
    return Ok(
        CallerHeaders(
            request_id=request_id,
            deadline_s=None if deadline is None else deadline / 1000,
            repeatable=repeatable,
            # A caller may lower its tenant's priority (a higher number) but never raise it.
            priority=max(tenant.priority, priority or 0),
            idempotency_key=key,
        )
    )


def _number(headers: dict[str, str], name: str) -> int | None:
    text = headers.get(name)
    if text is None or not _SMALL_NUMBER.fullmatch(text):
        return None
    return int(text)


def _bad_header(name: str, expected: str) -> Err[Refusal]:
    return Err(refusals.invalid_request(f"The header {name} is malformed.", f"Send {expected}."))
