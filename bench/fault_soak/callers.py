"""Callers that keep their connections open until the node process ends."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

import anyio
import httpx
import msgspec

from bench.fault_soak.history import (
    NodeName,
    Outcome,
    RequestEnded,
    RequestId,
    RequestKind,
    RequestSent,
)
from bench.fault_soak.recorder import Recorder
from features.support.platform_words import (
    CALLER_PORT,
    KEYED_PATH,
    PATHS,
    TIMEOUT_S,
    answer_head,
    request_headers,
    with_events,
)

RESPONSE_TIMEOUT_S = 6.0
"""Longer than a request's deadline: the node's answer arrives before the caller times out."""

CONNECT_TIMEOUT_S = 1.0
MEAN_PAUSE_S = 0.2
NO_NODE_PAUSE_S = 0.2
DISCONNECT_SHARE = 0.04
MAX_DISCONNECT_DELAY_S = 0.4
TAKEN_UP_SHARE = 0.5
MAX_TAKEN_UP_DELAY_S = 1.2
"""Callers of resumable streams lose their connections more often, and take the streams up."""

MAX_TAKE_UPS = 2
MAX_TAKE_UP_PAUSE_S = 0.2
HTTP_OK = 200
SWITCH_SHARE = 0.1
"""How often a caller switches to another node although its own still answers."""

FIRST_BLOCKS = ("aa", "ab", "ac")
FATAL_SHARE = 0.2
BODY_SIZES = (0, 5, 400, 9000)
DEADLINES_S = (1.5, 4.0, 4.0, 4.0, 4.0, 5.0)
RECONNECT_PAUSE_S = 0.5
READ_BYTES = 4096


class Pressure(msgspec.Struct):
    """What all callers do besides their usual requests.

    Attributes:
        block: A block on which back ends crash, which some prompts have; None for none.
        node: The node that gets all new connections; None if each caller chooses.
    """

    block: str | None = None
    node: NodeName | None = None


class Call(msgspec.Struct, frozen=True):
    """A request for a caller to send."""

    request: RequestId
    kind: RequestKind
    path: str
    body: str = ""
    key: str | None = None
    deadline_s: float = TIMEOUT_S
    disconnect_after_s: float | None = None
    resumes: RequestId | None = None
    after: int = 0
    blocks: tuple[str, ...] = ()
    is_last: bool = False
    """Whether the caller wants the connection closed after the answer."""


class _PartialResponse(msgspec.Struct):
    """The part of an answer that has arrived."""

    status: int = 0
    signature: str | None = None
    named: str | None = None
    body: bytes = b""


class CallerClient:
    """Sends requests over persistent connections, and records how they end.

    Args:
        recorder: Records requests and their ends.
        hosts: Address of each node.
    """

    def __init__(self, recorder: Recorder, hosts: Mapping[NodeName, str]) -> None:
        self._recorder = recorder
        self._hosts = hosts
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(RESPONSE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=None, keepalive_expiry=None),
            trust_env=False,
        )

    async def send(self, node: NodeName, call: Call) -> RequestEnded:
        """Send a request without retries, and return how it ended."""
        self._recorder.record(
            RequestSent(
                at_s=self._recorder.now_s(),
                request=call.request,
                node=node,
                kind=call.kind,
                path=call.path,
                body=call.body,
                key=call.key,
                deadline_s=min(call.deadline_s, TIMEOUT_S),
                resumes=call.resumes,
                after=call.after,
                blocks=call.blocks,
            )
        )
        response = _PartialResponse()
        outcome = Outcome.LEFT
        with anyio.move_on_after(call.disconnect_after_s):
            outcome = await self._exchange(node, call, response)
        ended = RequestEnded(
            at_s=self._recorder.now_s(),
            request=call.request,
            outcome=outcome,
            status=response.status,
            signature=response.signature,
            named=response.named,
            body=response.body.decode("latin-1"),
        )
        if call.kind in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM):
            ended = with_events(ended)
        self._recorder.record(ended)
        return ended

    async def _exchange(self, node: NodeName, call: Call, response: _PartialResponse) -> Outcome:
        url = f"http://{self._hosts[node]}:{CALLER_PORT}{call.path}"
        headers = request_headers(
            call.request, call.kind, call.deadline_s, call.key, call.resumes, call.after,
            call.blocks,
        )  # fmt: skip
        if call.is_last:
            headers["Connection"] = "close"
        try:
            async with self._client.stream(
                "POST", url, headers=headers, content=call.body
            ) as answer:
                head = answer_head(answer.headers)
                response.status = answer.status_code
                response.signature, response.named = head.signature, head.named
                async for part in answer.aiter_raw():
                    response.body += part
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return Outcome.NOT_CONNECTED
        except httpx.TimeoutException:
            return Outcome.TIMED_OUT
        except httpx.TransportError:
            return Outcome.BROKEN
        return Outcome.ANSWERED


class Caller:
    """A caller that stays with a node while the node answers.

    Args:
        name: Prefix of its request ids.
        client: Its connections.
        random: Determines requests and their times.
        ready_nodes: Returns the nodes that accept new connections now.
        newest_keys: Returns the keys of the newest configuration, newest last.
        pressure: What all callers do now besides.
    """

    def __init__(
        self,
        name: str,
        client: CallerClient,
        random: Random,
        ready_nodes: Callable[[], Sequence[NodeName]],
        newest_keys: Callable[[], Sequence[str]],
        pressure: Pressure,
    ) -> None:
        self._pressure = pressure
        self._name = name
        self._client = client
        self._random = random
        self._ready_nodes = ready_nodes
        self._newest_keys = newest_keys
        self._num_requests = 0

    async def run(self, stop: anyio.Event) -> None:
        """Send requests until `stop` is set, and let the last request finish."""
        node: NodeName | None = None
        while not stop.is_set():
            if node is None or self._pressure.node or self._random.random() < SWITCH_SHARE:
                node = self._choose_node()
            if node is None:
                await anyio.sleep(NO_NODE_PAUSE_S)
                continue
            ended = await self._send_with_take_ups(node, self._make_call())
            if ended.outcome in (Outcome.BROKEN, Outcome.NOT_CONNECTED):
                node = None
            await anyio.sleep(self._random.expovariate(1.0 / MEAN_PAUSE_S))

    async def _send_with_take_ups(self, node: NodeName, call: Call) -> RequestEnded:
        """Send a request; take its stream up at any node while it ends before its last event.

        Returns:
            How the request ended at the first node.
        """
        first = ended = await self._client.send(node, call)
        for _ in range(MAX_TAKE_UPS):
            call = msgspec.structs.replace(call, after=call.after + len(ended.event_numbers))
            other = self._choose_node()
            if not call.after or other is None or not _may_take_up(call, ended):
                break
            self._num_requests += 1
            call = msgspec.structs.replace(
                call,
                request=RequestId(f"{self._name}-{self._num_requests}"),
                resumes=call.resumes or call.request,
                disconnect_after_s=None,
            )
            await anyio.sleep(self._random.uniform(0.0, MAX_TAKE_UP_PAUSE_S))
            ended = await self._client.send(other, call)
        return first

    def _choose_node(self) -> NodeName | None:
        nodes = self._ready_nodes()
        if self._pressure.node in nodes:
            return self._pressure.node
        return self._random.choice(nodes) if nodes else None

    def _make_call(self) -> Call:
        self._num_requests += 1
        path = self._random.choice(list(PATHS))
        is_resumable = PATHS[path] is RequestKind.RESUMABLE_STREAM
        share = TAKEN_UP_SHARE if is_resumable else DISCONNECT_SHARE
        max_delay_s = MAX_TAKEN_UP_DELAY_S if is_resumable else MAX_DISCONNECT_DELAY_S
        disconnects = self._random.random() < share
        return Call(
            request=RequestId(f"{self._name}-{self._num_requests}"),
            kind=PATHS[path],
            path=f"{path}{self._num_requests}?of={self._name}",
            body="x" * self._random.choice(BODY_SIZES),
            key=self._random.choice(self._newest_keys()) if path == KEYED_PATH else None,
            deadline_s=self._random.choice(DEADLINES_S),
            disconnect_after_s=self._random.uniform(0.0, max_delay_s) if disconnects else None,
            blocks=self._draw_blocks(PATHS[path]),
            is_last=self._pressure.node is not None,
        )

    def _draw_blocks(self, kind: RequestKind) -> tuple[str, ...]:
        """Return the shared blocks of a prompt; a fatal one is in some of them."""
        if kind not in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM):
            return ()
        blocks = (self._random.choice(FIRST_BLOCKS),)
        fatal = self._pressure.block
        if fatal is not None and self._random.random() < FATAL_SHARE:
            return (*blocks, fatal)
        return blocks


def _may_take_up(call: Call, ended: RequestEnded) -> bool:
    """Return whether a caller comes again for the rest of a stream."""
    is_whole = ended.outcome is Outcome.ANSWERED and ended.status == HTTP_OK
    return call.kind is RequestKind.RESUMABLE_STREAM and not is_whole


async def hold_connections(hosts: Sequence[str], stop: anyio.Event) -> None:
    """Keep an idle connection open to each node; open another whenever the node closes it."""
    async with anyio.create_task_group() as tasks:
        for host in hosts:
            tasks.start_soon(_hold_connection, host)
        await stop.wait()
        tasks.cancel_scope.cancel()


async def _hold_connection(host: str) -> None:
    while True:
        try:
            async with await anyio.connect_tcp(host, CALLER_PORT) as stream:
                while True:
                    await stream.receive(READ_BYTES)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            await anyio.sleep(RECONNECT_PAUSE_S)
