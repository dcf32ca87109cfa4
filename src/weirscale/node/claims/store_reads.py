"""Reads of the key-value service with retries while it limits the rate."""

import anyio
from result import Err, Result

from weirscale.ports.key_value import (
    KeyValueFailure,
    KeyValueFailureKind,
    KeyValuePort,
    ReadAnswer,
)

READ_ATTEMPTS = 5
"""Attempts at a rate-limited read; bursts of simultaneous reads last only seconds."""
MIN_WAIT_S = 0.1
MAX_WAIT_S = 1.0


async def read_with_retry(store: KeyValuePort, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
    """Read a prefix; retry after a wait while the service limits the rate."""
    answer = await store.read(prefix)
    for _ in range(READ_ATTEMPTS - 1):
        if not isinstance(answer, Err):
            return answer
        if answer.err_value.kind is not KeyValueFailureKind.RATE_LIMITED:
            return answer
        wait_s = answer.err_value.retry_after_s or 0.0
        await anyio.sleep(min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S))
        answer = await store.read(prefix)
    return answer
