"""Reads whole answers of limited size."""

import httpx

ENCODING = b"content-encoding"


class AnswerTooLargeError(httpx.RemoteProtocolError):
    """An answer has more bytes than any answer to this call; what sends them may never stop."""


async def read_whole_answer(response: httpx.Response, max_bytes: int) -> httpx.Response:
    """Read the body of an answer, and close it; the body is not decompressed.

    Args:
        response: The head of the answer.
        max_bytes: Maximum size of the body.

    Returns:
        The answer with its body.

    Raises:
        httpx.HTTPError: The body ended early, did not arrive in time, or is too large.
    """
    parts: list[bytes] = []
    num_bytes = 0
    stream = response.stream
    assert isinstance(stream, httpx.AsyncByteStream)
    try:
        async for part in stream:
            num_bytes += len(part)
            if num_bytes > max_bytes:
                raise AnswerTooLargeError(f"the answer has more than {max_bytes} bytes")
            parts.append(part)
    finally:
        await stream.aclose()
    return httpx.Response(
        response.status_code,
        headers=[field for field in response.headers.raw if field[0].lower() != ENCODING],
        content=b"".join(parts),
        extensions=response.extensions,
    )
