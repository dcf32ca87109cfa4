"""HTTP interface of the stand-in kept-KV store, and the client that engines use.

`POST /import` answers how many leading blocks of a chain are there; `POST /export` keeps a chain.
Both bodies are JSON lists of block hashes. No KV data is moved: its transfer time is modelled.
"""

from collections.abc import Sequence

import anyio
import httpx
import msgspec
from anyio.abc import TaskStatus
from result import Err, Ok, Result

from weirscale.domain.identifiers import BlockHash
from weirscale.ports.asgi import Receive, Scope, Send, answer_lifespan, read_body, send_json
from weirscale.ports.http_client import CONNECT_TIMEOUT_S, new_client
from weirscale.standins.admin import AdminApp
from weirscale.standins.asgi_server import MAX_BODY_BYTES, OutageServer
from weirscale.standins.faults import StoreFaults
from weirscale.standins.kept_kv.in_process import InProcessKeptKvStore, KeptKvSettings

IMPORT_PATH = "/import"
EXPORT_PATH = "/export"
MAX_CONNECTIONS = 64
CALL_TIMEOUT_S = 5.0
"""Engines give up sooner by themselves; this bounds calls that nobody waits for."""

OK = 200
BAD_REQUEST = 400
UNAVAILABLE = 503


class KeptKvApp:
    """ASGI app over one in-process store."""

    def __init__(self, store: InProcessKeptKvStore) -> None:
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
            hashes = msgspec.json.decode(body, type=list[BlockHash])
        except (msgspec.DecodeError, ValueError) as error:
            await send_json(send, BAD_REQUEST, {"error": str(error)})
            return
        answer: Result[int, str] | Result[None, str]
        if scope["path"] == IMPORT_PATH:
            answer = await self._store.import_blocks(hashes)
        else:
            answer = await self._store.export_blocks(hashes)
        if isinstance(answer, Err):
            await send_json(send, UNAVAILABLE, {"error": answer.err_value})
        else:
            await send_json(send, OK, answer.ok_value)


class HttpKeptKvStore:
    """A store at an address; a `BlockStore` for stand-in engines in other processes."""

    def __init__(self, address: str) -> None:
        self._root = f"http://{address}"
        timeout = httpx.Timeout(CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._client = new_client(MAX_CONNECTIONS, timeout)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    async def import_blocks(self, block_hashes: Sequence[BlockHash]) -> Result[int, str]:
        """Read a chain of blocks; answers how many leading ones were there."""
        answer = await self._post(IMPORT_PATH, block_hashes)
        return answer.map(lambda body: msgspec.json.decode(body, type=int))

    async def export_blocks(self, block_hashes: Sequence[BlockHash]) -> Result[None, str]:
        """Keep a chain of blocks."""
        answer = await self._post(EXPORT_PATH, block_hashes)
        return answer.map(lambda _: None)

    async def _post(self, path: str, block_hashes: Sequence[BlockHash]) -> Result[bytes, str]:
        content = msgspec.json.encode(list(block_hashes))
        try:
            response = await self._client.post(self._root + path, content=content)
        except httpx.HTTPError as error:
            return Err(f"the kept-KV store cannot be reached: {type(error).__name__}: {error}")
        if response.status_code != OK:
            return Err(f"the kept-KV store answered HTTP {response.status_code}")
        return Ok(response.content)


class KeptKvServer(msgspec.Struct, frozen=True):
    """A stand-in store that is being served."""

    store: InProcessKeptKvStore
    address: str
    admin_address: str


async def serve_kept_kv(
    store: InProcessKeptKvStore | KeptKvSettings,
    *,
    port: int = 0,
    admin_port: int = 0,
    task_status: TaskStatus[KeptKvServer] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a store on loopback until cancelled; arguments as of `serve_engine`."""
    if isinstance(store, KeptKvSettings):
        store = InProcessKeptKvStore(store)
    server = OutageServer(KeptKvApp(store), lambda: True, port)
    admin = AdminApp(store.faults, StoreFaults, records=lambda: store.num_blocks, actions={})
    admin_server = OutageServer(admin, lambda: True, admin_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        tasks.start_soon(admin_server.run)
        task_status.started(KeptKvServer(store, server.address, admin_server.address))
