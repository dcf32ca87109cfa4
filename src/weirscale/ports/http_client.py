"""What the HTTP adapters share: the client of one back end and the reading of its errors."""

import ssl
from functools import lru_cache

import httpx

CONNECT_TIMEOUT_S = 1.0
"""Back ends stand in the same region: a connection takes milliseconds or does not come."""

KEEP_ALIVE_S = 4.0
"""Below the usual 5 s of servers, so that a request seldom meets a connection being closed."""


def new_client(max_connections: int, timeout: httpx.Timeout) -> httpx.AsyncClient:
    """Return the client of one back end; no connection is opened yet."""
    limits = httpx.Limits(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=KEEP_ALIVE_S,
    )
    return httpx.AsyncClient(
        timeout=timeout,
        limits=limits,
        headers={"accept-encoding": "identity"},
        trust_env=False,
        verify=shared_tls_context(),
    )


@lru_cache(maxsize=1)
def shared_tls_context() -> ssl.SSLContext:
    """Return the one context of all clients, which trusts no authority.

    Back ends are reached over plain HTTP. By default each client would read the system's
    certificates into a context of its own: 0.7 MB and 20 ms for each engine of the deployment.
    """
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def was_refused(error: httpx.HTTPError) -> bool:
    """Whether a client's error proves that nobody listens at an address that can be reached."""
    if not isinstance(error, httpx.ConnectError):
        return False
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__
    return False


def was_never_sent(error: httpx.HTTPError) -> bool:
    """Whether a client's error proves that the request was not sent."""
    return isinstance(error, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout)
