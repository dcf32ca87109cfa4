"""Admin port of a stand-in: read and set its faults, read its records, run its actions.

`GET /faults`, `PUT /faults` (JSON of the fault settings), `GET /records`, `POST /actions/NAME`.
"""

from collections.abc import Callable, Mapping
from typing import Generic

import msgspec

from weirscale.ports.asgi import Receive, Scope, Send, answer_lifespan, read_body, send_json
from weirscale.standins.asgi_server import MAX_BODY_BYTES
from weirscale.standins.faults import FaultsT, FaultSwitch

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
ACTIONS_PREFIX = "/actions/"


class AdminApp(Generic[FaultsT]):
    """ASGI app over one stand-in's faults and records."""

    def __init__(
        self,
        faults: FaultSwitch[FaultsT],
        faults_type: type[FaultsT],
        *,
        records: Callable[[], object],
        actions: Mapping[str, Callable[[], object]],
    ) -> None:
        self._faults = faults
        self._faults_type = faults_type
        self._records = records
        self._actions = actions

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        match scope["method"], scope["path"]:
            case "GET", "/faults":
                await send_json(send, OK, self._faults.current)
            case "PUT", "/faults":
                await self._set_faults(receive, send)
            case "GET", "/records":
                await send_json(send, OK, self._records())
            case "POST", path if path.removeprefix(ACTIONS_PREFIX) in self._actions:
                self._actions[path.removeprefix(ACTIONS_PREFIX)]()
                await send_json(send, OK, {})
            case _:
                await send_json(send, NOT_FOUND, {"error": "no such path"})

    async def _set_faults(self, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        try:
            faults = msgspec.json.decode(body, type=self._faults_type)
        except (msgspec.DecodeError, ValueError) as error:
            await send_json(send, BAD_REQUEST, {"error": str(error)})
            return
        self._faults.set(faults)
        await send_json(send, OK, faults)
