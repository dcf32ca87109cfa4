"""HTTP interface of the stand-in weight store, and the client that engines use.

`POST /loads` answers when a read is complete. No weights are moved: the time is modelled.
"""

import anyio
import httpx
import msgspec
from anyio.abc import TaskStatus
from result import Err, Ok, Result

from weirscale.domain.identifiers import EngineName
from weirscale.ports.asgi import Receive, Scope, Send, answer_lifespan, read_body, send_json
from weirscale.ports.engine import LoadModel
from weirscale.ports.http_client import CONNECT_TIMEOUT_S, new_client
from weirscale.standins.admin import AdminApp
from weirscale.standins.asgi_server import MAX_BODY_BYTES, OutageServer
from weirscale.standins.faults import StoreFaults
from weirscale.standins.weight_store.in_process import InProcessWeightStore, WeightStoreSettings

LOADS_PATH = "/loads"
MAX_CONNECTIONS = 4
"""An engine loads one model at a time."""

OK = 200
BAD_REQUEST = 400
UNAVAILABLE = 503


class LoadRequest(msgspec.Struct, frozen=True):
    """Body of `POST /loads`."""

    engine: EngineName
    load: LoadModel
    num_bytes: int


class WeightStoreApp:
    """ASGI app over one in-process store."""

    def __init__(self, store: InProcessWeightStore) -> None:
        self._store = store

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        try:
            request = msgspec.json.decode(body, type=LoadRequest)
        except (msgspec.DecodeError, ValueError) as error:
            await send_json(send, BAD_REQUEST, {"error": str(error)})
            return
        fetched = await self._store.fetch(request.engine, request.load, request.num_bytes)
        if isinstance(fetched, Err):
            await send_json(send, UNAVAILABLE, {"error": fetched.err_value})
        else:
            await send_json(send, OK, {})


class HttpWeightStore:
    """A store at an address; a `WeightSource` for stand-in engines in other processes."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}{LOADS_PATH}"
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S)
        self._client = new_client(MAX_CONNECTIONS, timeout)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    async def fetch(self, engine: EngineName, load: LoadModel, num_bytes: int) -> Result[None, str]:
        """Read all weights; takes as long as the reading does."""
        content = msgspec.json.encode(LoadRequest(engine, load, num_bytes))
        try:
            response = await self._client.post(self._url, content=content)
        except httpx.HTTPError as error:
            return Err(f"the weight store cannot be reached: {type(error).__name__}: {error}")
        if response.status_code != OK:
            return Err(f"the weight store answered HTTP {response.status_code}")
        return Ok(None)


class WeightStoreServer(msgspec.Struct, frozen=True):
    """A stand-in store that is being served."""

    store: InProcessWeightStore
    address: str
    admin_address: str


async def serve_weight_store(
    store: InProcessWeightStore | WeightStoreSettings,
    *,
    port: int = 0,
    admin_port: int = 0,
    task_status: TaskStatus[WeightStoreServer] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a store on loopback until cancelled; arguments as of `serve_engine`."""
    if isinstance(store, WeightStoreSettings):
        store = InProcessWeightStore(store)
    server = OutageServer(WeightStoreApp(store), lambda: True, port)
    admin = AdminApp(store.faults, StoreFaults, records=lambda: store.loads, actions={})
    admin_server = OutageServer(admin, lambda: True, admin_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        tasks.start_soon(admin_server.run)
        task_status.started(WeightStoreServer(store, server.address, admin_server.address))
