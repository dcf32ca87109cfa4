"""Builds the HTTP requests of the engine port."""

from urllib.parse import quote

import msgspec

from weirscale.domain.identifiers import RequestId
from weirscale.ports import engine_wire as wire
from weirscale.ports.engine import GenerateCall


def encode_body(call: GenerateCall) -> bytes:
    """Return the body of a generation request: the caller's body with the engine's fields set."""
    body: dict[str, object] = {
        **call.body,
        "model": call.model,
        "max_tokens": call.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "cache_salt": call.cache_salt,
        "priority": call.priority,
    }
    if call.adapter is not None:
        body["adapter"] = call.adapter
    if call.continue_sequence or call.continue_text:
        body["continue_answer"] = wire.ContinueAnswer(
            call.continue_text, call.continue_sequence, call.continue_num_tokens
        )
    if call.kept_kv_store is not None and call.kept_kv_block_hash is not None:
        body["kv_transfer_params"] = wire.KvTransfer(call.kept_kv_store, call.kept_kv_block_hash)
    return msgspec.json.encode(body)


def generate_headers(call: GenerateCall) -> dict[str, str]:
    """Return the headers of a generation request."""
    headers = {
        "content-type": "application/json",
        wire.REQUEST_ID_HEADER: call.request_id,
        wire.ATTEMPT_HEADER: str(call.attempt),
        wire.TIME_LEFT_HEADER: f"{call.time_left_s:.3f}",
    }
    if call.expected_incarnation is not None:
        headers[wire.EXPECTED_INCARNATION_HEADER] = str(call.expected_incarnation)
    if call.expected_weight_version is not None:
        headers[wire.EXPECTED_VERSION_HEADER] = call.expected_weight_version
    return headers


def attempt_path(request_id: RequestId, attempt: int) -> str:
    """Return the path for resuming and cancelling an attempt."""
    return f"{wire.STREAMS_PATH}/{quote(request_id, safe='')}/{attempt}"
