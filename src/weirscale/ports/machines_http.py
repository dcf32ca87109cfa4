"""Implements `MachineListPort` over HTTP: `GET /machines` returns a JSON object with the list."""

import httpx
import msgspec
from result import Err, Ok, Result

from weirscale.ports.http_client import shared_tls_context
from weirscale.ports.machines import Machine, MachineListFailure

DEFAULT_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Enough for 40,000 machines at about 100 bytes each."""


class MachineListAnswer(msgspec.Struct, frozen=True):
    """Body of the answer."""

    machines: tuple[Machine, ...]


class HttpMachineList:
    """A client of the machine list; must be closed with `aclose`."""

    def __init__(
        self,
        address: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create a client without opening a connection.

        Args:
            address: host:port of the list.
            timeout_s: Timeout of an answer.
            transport: Replaces the network in tests.
        """
        self._url = f"http://{address}/machines"
        self._client = httpx.AsyncClient(
            timeout=timeout_s,
            trust_env=False,
            transport=transport,
            verify=shared_tls_context(),
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def machines(self) -> Result[tuple[Machine, ...], MachineListFailure]:
        """Read the list, which may be several seconds old."""
        try:
            response = await self._client.get(self._url)
        except httpx.HTTPError as error:
            return _failed(f"{type(error).__name__} {error}")
        if response.status_code != httpx.codes.OK:
            return _failed(f"status {response.status_code}")
        if len(response.content) > MAX_ANSWER_BYTES:
            return _failed(f"the answer is too large: {len(response.content)} bytes")
        try:
            return Ok(msgspec.json.decode(response.content, type=MachineListAnswer).machines)
        except msgspec.MsgspecError as error:
            return _failed(f"not a machine list: {error}")


def _failed(problem: str) -> Err[MachineListFailure]:
    return Err(MachineListFailure(f"{problem}: continuing with the last list and own probes"))
