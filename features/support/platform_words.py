"""The platform's names for settings, requests and configurations, as the fault soak uses them.

No other module of the soak contains these names.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from bench.fault_soak.history import (
    ConfigurationVersion,
    InstanceName,
    Outcome,
    RequestEnded,
    RequestId,
    RequestKind,
    WeightsVersion,
)

CALLER_PORT = 8782
READY_PORT = 8789
PEER_PORTS = (7340, 7355)
STORE_PORT = 8784
RUNNER_PORT = 8080
READY_PATH = "/v1/readyz"
SETTINGS_VARIABLE = "WEIRSCALE_NODE_FILE"
HOST = "h.example"
MODEL = "m"
TENANT = "soak-tenant"
REQUEST_ID_HEADER = "x-attempt-id"
STOP_TIME_S = 8.0
"""Time between SIGTERM and SIGKILL."""
KEY_REMOVAL_S = 5.0
WEIGHTS_BOUND_S = 8.0
CONFIGURATION_BOUND_S = 2.0
CONTACT_S = 3.0
TIMEOUT_S = 4.0
MILLISECONDS_PER_S = 1000

REQUIRED_FIELDS = frozenset({"id", "data"})
EVENT_FIELDS = REQUIRED_FIELDS | {"x-weight-versions"}
MALFORMED = -1
"""Stands for the number of a malformed event."""

CONFIGURATION_KEY = "op/config"
WEIGHTS_KEY = f"op/version/{MODEL}"
RUNNERS_KEY = "servers/"
ORDERING = "orders"
GENERATING = "lm"

KEYED_PATH = "/k/"
PATHS: Mapping[str, RequestKind] = {
    "/o/": RequestKind.AT_MOST_ONCE,
    "/s/": RequestKind.REPEATABLE,
    "/a/": RequestKind.RESUMABLE_STREAM,
    "/f/": RequestKind.STREAM,
    KEYED_PATH: RequestKind.REPEATABLE,
}

_TYPES = {
    RequestKind.REPEATABLE: "idempotent",
    RequestKind.AT_MOST_ONCE: "mutating",
    RequestKind.STREAM: "streaming",
    RequestKind.RESUMABLE_STREAM: "streaming",
}


def node_settings(
    name: str, host: str, zone: str, store_host: str, *, is_first_start: bool, extra: int
) -> str:
    """Return the text of a node's settings file; the soak changes `extra`, the retry budget's extra."""
    return f"""node_name = "{name}"
ip = "{host}"
zone = "{zone}"
internal_ports = [{PEER_PORTS[0]}, {PEER_PORTS[1]}]
bootstrap = {str(is_first_start).lower()}
[zones]
hall-a = "r"
hall-b = "r"
[listen]
frontend = "{host}:{CALLER_PORT}"
ready = "{host}:{READY_PORT}"
[bounds]
drain_ms = 2000
grace_s = {STOP_TIME_S:.0f}
strict_revoke = true
revoke_ms = {KEY_REMOVAL_S * MILLISECONDS_PER_S:.0f}
retry_budget_ratio = 0.2
retry_window_s = 10
retry_extra = {extra}
lease_ms = 3000
version_ms = {WEIGHTS_BOUND_S * MILLISECONDS_PER_S:.0f}
[platform]
address = "{store_host}:{STORE_PORT}"
form = "kv"
ttl_min_ms = 1000
"""


def _route(name: str, prefix: str, kind: RequestKind, *, is_public: bool) -> dict[str, object]:
    is_stream = kind in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "type": _TYPES[kind],
        "timeout_ms": int(TIMEOUT_S * MILLISECONDS_PER_S),
        "slo_ms": 800,
        "service": GENERATING if is_stream else ORDERING,
        "max_attempts": 3,
        "public": is_public,
        "resumable": kind is RequestKind.RESUMABLE_STREAM,
    }


def configuration(
    version: ConfigurationVersion, marker: str, keys: Sequence[str]
) -> dict[str, object]:
    """Return a configuration whose route `marker` is unique to its version."""
    routes = [
        _route(prefix.strip("/"), prefix, kind, is_public=prefix != KEYED_PATH)
        for prefix, kind in PATHS.items()
    ]
    routes.append(_route("marker", marker, RequestKind.REPEATABLE, is_public=True))
    engine = {"slots": 8, "kv_capacity": 1_000_000, "models": [{"name": MODEL}]}
    health = {"health_path": "/healthz", "max_conns": 200}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": ORDERING, **health},
            {"name": GENERATING, **health, "engine": engine},
        ],
        "limits": {"max_body_bytes": 10_000},
        "tenants": [{"name": TENANT, "api_keys": list(keys)}],
    }


def target_version_entry(version: WeightsVersion) -> dict[str, object]:
    """Return the store entry that sets the target version of the weights."""
    return {"model": MODEL, "version": version}


def request_headers(
    request: RequestId,
    kind: RequestKind,
    deadline_s: float,
    key: str | None,
    resumes: RequestId | None = None,
    after: int = 0,
    blocks: Sequence[str] = (),
) -> dict[str, str]:
    """Return the header fields of a request of a caller, which may take up a stream.

    `blocks` are the blocks of its prompt that other requests have too.
    """
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request,
        "X-Deadline-Ms": f"{deadline_s * MILLISECONDS_PER_S:.0f}",
    }
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    if kind in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM):
        headers["X-Model"] = MODEL
        headers["X-Token-Usage"] = "1000,20"
        shared = "".join(f"{block}:400," for block in blocks)
        headers["X-Prefix-Hash"] = f"{shared}{prompt_hash(request):x}:200"
    if resumes is not None:
        headers["Resumes"] = resumes
        headers["Last-Event-Id"] = str(after)
    return headers


def has_block(headers: Mapping[str, str], block: str) -> bool:
    """Return whether a request's prompt has a block."""
    parts = headers.get("x-prefix-hash", "").split(",")
    return any(part.partition(":")[0] == block for part in parts)


def prompt_hash(request: RequestId) -> int:
    """Return the hash of the last part of a request's prompt."""
    return int.from_bytes(request.encode()[-6:], "big")


class AnswerHead(msgspec.Struct, frozen=True):
    """The signature and the request id in an answer's header fields; see `RequestEnded`."""

    signature: str | None
    named: str | None


def answer_head(headers: Mapping[str, str]) -> AnswerHead:
    """Read an answer's header fields."""
    return AnswerHead(headers.get("x-response-seal"), headers.get("x-attempt-id"))


def signature_of(instance: InstanceName) -> str:
    """Return the signature that a back end adds to its answers."""
    return f"seal-{instance}"


def whole_body(request: RequestId, instance: InstanceName) -> str:
    """Return the complete body of an answer that is not a stream."""
    return f"done by {instance} for {request}"


def parse_events(body: str) -> tuple[tuple[int, ...], tuple[str, ...]]:
    """Return number and data of each complete event; the number of a malformed event is MALFORMED."""
    numbers, origins = [], []
    for event in body.split("\n\n")[:-1]:
        lines = [line.partition(": ") for line in event.split("\n")]
        fields = {name.lower(): value for name, _, value in lines}
        is_whole = len(fields) == len(lines) and REQUIRED_FIELDS <= fields.keys() <= EVENT_FIELDS
        numbers.append(int(fields["id"]) if is_whole and fields["id"].isdigit() else MALFORMED)
        origins.append(fields.get("data", ""))
    return tuple(numbers), tuple(origins)


def with_events(ended: RequestEnded) -> RequestEnded:
    """Return the end of a stream with the events that its body contains.

    Bytes after the last event are ignored if the stream broke off, and malformed if it completed.
    """
    numbers, origins = parse_events(ended.body)
    if ended.outcome is Outcome.ANSWERED and not ended.body.endswith("\n\n") and ended.body:
        numbers = (*numbers, MALFORMED)
    return msgspec.structs.replace(ended, event_numbers=numbers, event_origins=origins)


def fence_of(order: Mapping[str, Any]) -> tuple[str, int]:
    """Return the holder and the fencing token of an order."""
    return order["holder"], order["fence_token"]
