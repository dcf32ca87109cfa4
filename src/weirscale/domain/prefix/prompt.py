"""Canonical prompt bytes of an OpenAI-shaped body.

The simulated engine and the router hash the same bytes. For an engine that hashes token ids, an
adapter must rehash the `token_ids` of its events, or tokenize here.
"""

from collections.abc import Mapping

ROLE_SEPARATOR = "\x1e"
"""Terminates a role name and a message; a control character that texts do not contain."""


def prompt_bytes(body: Mapping[str, object]) -> bytes | None:
    """Return the canonical bytes of a body's `prompt` or `messages`.

    Args:
        body: Parsed request body.

    Returns:
        The bytes, or None if the body has neither field in a supported form.
    """
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    parts: list[str] = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        role = message.get("role")
        content = message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            return None
        parts.append(role + ROLE_SEPARATOR + content + ROLE_SEPARATOR)
    return "".join(parts).encode("utf-8", "surrogatepass")
