"""Service port over HTTP; requests and answers are read completely before they are passed on."""

import anyio
import httpx
from result import Err, Ok, Result

from weirscale.domain.request.model import ServiceRequest, ServiceResponse
from weirscale.ports.h11_connection import MAX_STATUS
from weirscale.ports.http_client import CONNECT_TIMEOUT_S, new_client, was_never_sent
from weirscale.ports.service import ServiceFailure, ServiceFailureKind
from weirscale.ports.service_headers import (
    CONNECTION_HEADERS,
    answers_request,
    request_headers,
)

MAX_CONNECTIONS = 256
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Larger answers are rejected, because an answer is held in memory completely."""


class HttpService:
    """Implements `ServicePort` for one back end at one address, with an HTTP client of its own."""

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Create the port without opening a connection.

        Args:
            address: host:port.
            connect_timeout_s: Timeout for opening a connection.
            max_answer_bytes: Larger answers are CORRUPT.
        """
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._client = new_client(MAX_CONNECTIONS, httpx.Timeout(None))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def call(
        self, request: ServiceRequest, time_left_s: float
    ) -> Result[ServiceResponse, ServiceFailure]:
        """Send the request once; an answer with any HTTP status is Ok."""
        try:
            with anyio.fail_after(time_left_s):
                return await self._send(request, time_left_s)
        except httpx.HTTPError as error:
            return Err(failure_of_error(error))
        except httpx.InvalidURL as error:
            detail = f"the path cannot be sent: {error}"
            return Err(ServiceFailure(ServiceFailureKind.UNREACHABLE, detail))
        except TimeoutError:
            detail = f"no answer within {time_left_s} s"
            return Err(ServiceFailure(ServiceFailureKind.TIMED_OUT, detail))

    async def _send(
        self, request: ServiceRequest, time_left_s: float
    ) -> Result[ServiceResponse, ServiceFailure]:
        connect_s = min(self._connect_timeout_s, time_left_s)
        outgoing = self._client.build_request(
            request.method,
            f"http://{self.address}/{request.path.removeprefix('/')}",
            headers=request_headers(request),
            content=request.body,
            timeout=httpx.Timeout(None, connect=connect_s, pool=connect_s),
        )
        response = await self._client.send(outgoing, stream=True)
        try:
            return await self._read(request, response)
        finally:
            await response.aclose()

    async def _read(
        self, request: ServiceRequest, response: httpx.Response
    ) -> Result[ServiceResponse, ServiceFailure]:
        if not answers_request(response.headers, request):
            detail = "the answer belongs to another request"
            return Err(ServiceFailure(ServiceFailureKind.CORRUPT, detail))
        if response.status_code > MAX_STATUS:
            detail = f"{response.status_code} is no HTTP status"
            return Err(ServiceFailure(ServiceFailureKind.CORRUPT, detail))
        body = bytearray()
        async for part in response.aiter_raw():
            body += part
            if len(body) > self._max_answer_bytes:
                detail = f"the answer is larger than {self._max_answer_bytes} bytes"
                return Err(ServiceFailure(ServiceFailureKind.CORRUPT, detail))
        headers = {
            name: value
            for name, value in response.headers.items()
            if name not in CONNECTION_HEADERS
        }
        return Ok(ServiceResponse(response.status_code, headers, bytes(body)))


def failure_of_error(error: httpx.HTTPError) -> ServiceFailure:
    """Translate an error of the HTTP client; after an unknown error the request may have run."""
    detail = f"{type(error).__name__}: {error}"
    if was_never_sent(error):
        return ServiceFailure(ServiceFailureKind.UNREACHABLE, detail)
    if isinstance(error, httpx.TimeoutException):
        return ServiceFailure(ServiceFailureKind.TIMED_OUT, detail)
    return ServiceFailure(ServiceFailureKind.BROKEN, detail)
