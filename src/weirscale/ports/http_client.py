"""Shared by the HTTP adapters: the client of one back end and the interpretation of its errors."""

import ssl
from functools import lru_cache

import httpx

from weirscale.ports.refusals import is_caused_by_refusal

CONNECT_TIMEOUT_S = 1.0
"""Seconds to wait for a connection. Back ends are in the same region, so connecting takes
milliseconds or fails."""

KEEP_ALIVE_S = 4.0
"""Seconds for which idle connections are kept. Less than the usual 5 s of servers, so that few
requests hit a connection that is being closed."""


def new_client(max_connections: int, timeout: httpx.Timeout) -> httpx.AsyncClient:
    """Return a client for one back end; no connection is opened yet."""
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
    """Return the TLS context that all clients share; it trusts no certificate authority.

    Back ends are called over plain HTTP. By default each client would load the system's
    certificates into its own context, which costs 0.7 MB and 20 ms for each engine of the
    deployment.
    """
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def was_refused(error: httpx.HTTPError) -> bool:
    """Return whether an error proves that a reachable host refused the connection."""
    return isinstance(error, httpx.ConnectError) and is_caused_by_refusal(error)


def was_never_sent(error: httpx.HTTPError) -> bool:
    """Return whether an error of the client proves that the request was not sent."""
    return isinstance(
        error,
        httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout | httpx.LocalProtocolError,
    )
