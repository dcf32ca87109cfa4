"""Request and response bodies of the etcd v3 JSON gateway.

Keys and values are in base64, 64-bit numbers are strings.
"""

import base64
from typing import Any

from weirscale.ports.key_value import KeyValue, ReadAnswer, SwapAnswer, WatchEvent, prefix_end

Body = dict[str, Any]


def prefix_range(prefix: str) -> Body:
    """Return the key and range end of all keys with a prefix."""
    start = prefix.encode()
    return {"key": encode_bytes(start), "range_end": encode_bytes(prefix_end(start))}


def encode_bytes(value: bytes) -> str:
    """Encode a key or value."""
    return base64.b64encode(value).decode()


def revision(body: Body) -> int:
    """Return the store's revision from an answer's header."""
    return int(body["header"]["revision"])


def read_answer(body: Body) -> ReadAnswer:
    """Decode the answer to a range request."""
    return ReadAnswer(revision(body), tuple(key_value(stored) for stored in body.get("kvs", [])))


def lease_id(body: Body) -> int:
    """Decode the answer to a lease grant."""
    return int(body["ID"])


def time_to_live_s(body: Body) -> float:
    """Return a lease's time to live, 0 if the lease does not exist: the gateway then omits it."""
    return float(body["result"].get("TTL", 0))


def key_value(body: Body) -> KeyValue:
    """Decode one key."""
    return KeyValue(
        key=base64.b64decode(body["key"]).decode(),
        value=base64.b64decode(body.get("value", "")),
        create_revision=int(body["create_revision"]),
        mod_revision=int(body["mod_revision"]),
        lease_id=int(body.get("lease", 0)),
    )


def swap_answer(body: Body) -> SwapAnswer:
    """Decode the answer to a transaction whose last operation reads the key."""
    stored = body["responses"][-1]["response_range"].get("kvs", [])
    current = key_value(stored[0]) if stored else None
    return SwapAnswer(bool(body.get("succeeded", False)), revision(body), current)


def watch_event(event: Body) -> WatchEvent:
    """Decode one event of a watch."""
    stored = event["kv"]
    key = base64.b64decode(stored["key"]).decode()
    mod_revision = int(stored["mod_revision"])
    value = None if event.get("type") == "DELETE" else key_value(stored)
    return WatchEvent(key, value, mod_revision)
