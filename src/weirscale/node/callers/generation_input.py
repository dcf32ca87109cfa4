"""Validation of completion calls and their conversion to generation requests."""

import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.model import CallerLimits, Deployment, Tenant
from weirscale.domain.identifiers import AdapterName, ModelName
from weirscale.domain.prefix.prompt import prompt_bytes
from weirscale.domain.request import refusals
from weirscale.domain.request.model import GenerationRequest
from weirscale.domain.request.refusal import Refusal
from weirscale.node.callers.caller_headers import CallerHeaders
from weirscale.node.callers.json_depth import is_deeper_than

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
DEFAULT_MAX_TOKENS = 256
ADAPTER_SEPARATOR = ":"

_decode = msgspec.json.Decoder().decode


class _ModelChoice(msgspec.Struct, frozen=True):
    model: ModelName
    adapter: AdapterName | None


def decode_object(body: bytes, limits: CallerLimits) -> Result[dict[str, object], Refusal]:
    """Decode a JSON object of bounded depth."""
    if is_deeper_than(body, limits.max_json_depth):
        return _invalid(
            f"The JSON body nests deeper than {limits.max_json_depth}.", "Send a flatter body."
        )
    try:
        decoded = _decode(body)
    except UnicodeDecodeError:
        return _invalid("The body is not valid UTF-8.", "Encode the body as UTF-8.")
    except (msgspec.DecodeError, RecursionError) as error:
        return _invalid(f"The body is not valid JSON: {error}", "Correct the JSON.")
    if not isinstance(decoded, dict):
        return _invalid("The body is not a JSON object.", "Send a JSON object.")
    return Ok(decoded)


def parse_generation(
    body: dict[str, object],
    path: str,
    tenant: Tenant,
    headers: CallerHeaders,
    deployment: Deployment,
    now_s: float,
) -> Result[GenerationRequest, Refusal]:
    """Check a completion call and build its generation request.

    Args:
        body: The decoded JSON body.
        path: The path of the call.
        tenant: The authenticated tenant.
        headers: The parsed headers.
        deployment: The deployment in force.
        now_s: When the call arrived; its deadline counts from then.
    """
    choice = _choose_model(body, deployment)
    if isinstance(choice, Err):
        return choice
    prompt = _prompt(body, path)
    if isinstance(prompt, Err):
        return prompt
    max_tokens = _max_tokens(body, deployment.callers.max_tokens)
    if isinstance(max_tokens, Err):
        return max_tokens
    streamed = body.get("stream", False)
    if not isinstance(streamed, bool):
        return _invalid("`stream` is not a boolean.", "Send true or false.")
    if body.get("n", 1) != 1:
        return _invalid("`n` is not 1.", "Send one request for each answer.")
    deadline_s = headers.deadline_s or deployment.callers.default_deadline_s
    return Ok(
        GenerationRequest(
            request_id=headers.request_id,
            tenant=tenant.name,
            model=choice.ok_value.model,
            adapter=choice.ok_value.adapter,
            prompt=prompt.ok_value,
            body=body,
            path=path,
            max_tokens=max_tokens.ok_value,
            priority=headers.priority,
            deadline_s=now_s + deadline_s,
            repeatable=headers.repeatable,
            idempotency_key=headers.idempotency_key,
            streamed=streamed,
        )
    )


def _choose_model(body: dict[str, object], deployment: Deployment) -> Result[_ModelChoice, Refusal]:
    name = body.get("model")
    if not isinstance(name, str):
        return _invalid("`model` is missing or not a string.", "Send a name from GET /v1/models.")
    model_name, _, adapter_name = name.partition(ADAPTER_SEPARATOR)
    for model in deployment.models:
        if model.name != model_name:
            continue
        if not adapter_name:
            return Ok(_ModelChoice(model.name, None))
        if adapter_name in model.adapters:
            return Ok(_ModelChoice(model.name, AdapterName(adapter_name)))
    return Err(refusals.unknown_model(name))


def _prompt(body: dict[str, object], path: str) -> Result[bytes, Refusal]:
    field = "messages" if path == CHAT_PATH else "prompt"
    remedy = (
        "Send a non-empty array of objects with `role` and `content` strings."
        if path == CHAT_PATH
        else "Send a string."
    )
    value = body.get(field)
    if not isinstance(value, list if path == CHAT_PATH else str):
        return _invalid(f"`{field}` is missing or of the wrong type.", remedy)
    prompt = prompt_bytes({field: value})
    if not prompt:
        return _invalid(f"`{field}` is empty or of the wrong type.", remedy)
    return Ok(prompt)


def _max_tokens(body: dict[str, object], limit: int) -> Result[int, Refusal]:
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return Ok(min(DEFAULT_MAX_TOKENS, limit))
    if not isinstance(value, int) or isinstance(value, bool) or not 0 < value <= limit:
        return _invalid(
            f"`max_tokens` is not a whole number from 1 to {limit}.",
            f"Send a number from 1 to {limit}, or leave it out.",
        )
    return Ok(value)


def _invalid(message: str, remedy: str) -> Err[Refusal]:
    return Err(refusals.invalid_request(message, remedy))
