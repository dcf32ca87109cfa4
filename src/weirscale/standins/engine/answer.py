"""Generated text as a pure function of the prompt, so that checkers can verify whole answers."""

import xxhash

CHARACTERS_PER_TOKEN = 4
"""Every token consists of four hexadecimal digits."""

TOKENS_PER_DIGEST = 8
"""A 128-bit digest has 32 hexadecimal digits."""

DIGEST_INDEX_BYTES = 4


def expected_text(prompt: bytes, num_tokens: int) -> str:
    """Return the first tokens of the answer to a prompt.

    Args:
        prompt: Canonical prompt bytes.
        num_tokens: Number of tokens from the start of the answer.

    Returns:
        The text of these tokens, CHARACTERS_PER_TOKEN characters each.
    """
    prompt_digest = xxhash.xxh3_128_digest(prompt)
    num_digests = -(-num_tokens // TOKENS_PER_DIGEST)
    parts = [
        xxhash.xxh3_128_hexdigest(prompt_digest + index.to_bytes(DIGEST_INDEX_BYTES, "big"))
        for index in range(num_digests)
    ]
    return "".join(parts)[: num_tokens * CHARACTERS_PER_TOKEN]
