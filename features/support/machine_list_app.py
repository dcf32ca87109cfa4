"""The machine list as an ASGI app: `GET /machines`, and `/stand-in/...` for changes.

`POST /stand-in/faults` sets the faults. `POST /stand-in/machines` adds or replaces a machine and
`POST /stand-in/machines/remove` removes one, each with the machine as a JSON object.
"""

from collections.abc import Callable

import anyio
import msgspec

from weirscale.ports.asgi import (
    JSON_HEADERS,
    Receive,
    Scope,
    Send,
    answer_lifespan,
    read_body,
    send_part,
    start_response,
)
from weirscale.ports.machines import Machine
from weirscale.standins.asgi_server import MAX_BODY_BYTES
from weirscale.standins.machines.model import MachineListFaults, MachineListModel


class MachineListBody(msgspec.Struct, frozen=True):
    """Body of `GET /machines`."""

    machines: tuple[Machine, ...]


class MachineListApp:
    """ASGI application for `hypercorn.asyncio.serve`."""

    def __init__(
        self, model: MachineListModel, now: Callable[[], float] = anyio.current_time
    ) -> None:
        self._model = model
        self._now = now

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request or the lifespan events of the server."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        body = await read_body(receive, MAX_BODY_BYTES) or b""
        try:
            status, answer = await self._answer(scope["method"], scope["path"], body)
        except msgspec.MsgspecError as error:
            status, answer = 400, msgspec.json.encode({"message": str(error)})
        await start_response(send, status, JSON_HEADERS)
        await send_part(send, answer, is_last=True)

    async def _answer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Return status and body."""
        if (method, path) == ("GET", "/machines"):
            if self._model.faults.is_down:
                return 503, b"{}"
            await anyio.sleep(self._model.faults.delay_s)
            return 200, msgspec.json.encode(MachineListBody(self._model.listed(self._now())))
        if (method, path) == ("POST", "/stand-in/faults"):
            self._model.faults = msgspec.json.decode(body, type=MachineListFaults)
            return 200, b"{}"
        if (method, path) == ("POST", "/stand-in/machines"):
            self._model.put(msgspec.json.decode(body, type=Machine), self._now())
            return 200, b"{}"
        if (method, path) == ("POST", "/stand-in/machines/remove"):
            self._model.remove(msgspec.json.decode(body, type=Machine).host, self._now())
            return 200, b"{}"
        return 404, b"{}"
