"""Callers that keep their connections open until the process behind them is gone."""

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

PATIENCE_S = 6.0
"""Longer than a request's time: an answer that its node owes arrives before the caller gives up."""

CONNECT_TIMEOUT_S = 1.0
MEAN_PAUSE_S = 0.2
NOBODY_PAUSE_S = 0.2
LEAVE_SHARE = 0.04
LEAVE_WITHIN_S = 0.4
SWITCH_SHARE = 0.1
"""How often a caller goes to another node though its own still answers."""

BODY_SIZES = (0, 5, 400, 9000)
DEADLINES_S = (1.5, 4.0, 4.0, 4.0, 4.0, 5.0)
HELD_PAUSE_S = 0.5
READ_BYTES = 4096


class Call(msgspec.Struct, frozen=True):
    """A request that a caller wants to make."""

    request: RequestId
    kind: RequestKind
    path: str
    body: str = ""
    key: str | None = None
    deadline_s: float = TIMEOUT_S
    leave_after_s: float | None = None


class _Partial(msgspec.Struct):
    """What of an answer has arrived."""

    status: int = 0
    signature: str | None = None
    named: str | None = None
    body: bytes = b""


class CallerClient:
    """Sends requests over connections that stay open, and notes what came of them.

    Args:
        recorder: Where requests are noted.
        hosts: Address of each node.
    """

    def __init__(self, recorder: Recorder, hosts: Mapping[NodeName, str]) -> None:
        self._recorder = recorder
        self._hosts = hosts
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(PATIENCE_S, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=None, keepalive_expiry=None),
            trust_env=False,
        )

    async def send(self, node: NodeName, call: Call) -> RequestEnded:
        """Send one request, once, and return how it ended."""
        self._recorder.note(
            RequestSent(
                at_s=self._recorder.now_s(),
                request=call.request,
                node=node,
                kind=call.kind,
                path=call.path,
                body=call.body,
                key=call.key,
                deadline_s=min(call.deadline_s, TIMEOUT_S),
            )
        )
        partial = _Partial()
        outcome = Outcome.LEFT
        with anyio.move_on_after(call.leave_after_s):
            outcome = await self._exchange(node, call, partial)
        ended = RequestEnded(
            at_s=self._recorder.now_s(),
            request=call.request,
            outcome=outcome,
            status=partial.status,
            signature=partial.signature,
            named=partial.named,
            body=partial.body.decode("latin-1"),
        )
        if call.kind in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM):
            ended = with_events(ended)
        self._recorder.note(ended)
        return ended

    async def _exchange(self, node: NodeName, call: Call, partial: _Partial) -> Outcome:
        url = f"http://{self._hosts[node]}:{CALLER_PORT}{call.path}"
        headers = request_headers(call.request, call.kind, call.deadline_s, call.key)
        try:
            async with self._client.stream(
                "POST", url, headers=headers, content=call.body
            ) as answer:
                head = answer_head(answer.headers)
                partial.status = answer.status_code
                partial.signature, partial.named = head.signature, head.named
                async for part in answer.aiter_raw():
                    partial.body += part
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return Outcome.NOT_CONNECTED
        except httpx.TimeoutException:
            return Outcome.TIMED_OUT
        except httpx.TransportError:
            return Outcome.BROKEN
        return Outcome.ANSWERED


class Caller:
    """One caller: it stays with a node while that one answers.

    Args:
        name: Begins the ids of its requests.
        client: Its connections.
        random: What it asks, and when.
        ready_nodes: Nodes that take new connections now.
        newest_keys: Keys of the newest configuration, newest last.
    """

    def __init__(
        self,
        name: str,
        client: CallerClient,
        random: Random,
        ready_nodes: Callable[[], Sequence[NodeName]],
        newest_keys: Callable[[], Sequence[str]],
    ) -> None:
        self._name = name
        self._client = client
        self._random = random
        self._ready_nodes = ready_nodes
        self._newest_keys = newest_keys
        self._num_requests = 0

    async def run(self, stop: anyio.Event) -> None:
        """Send requests until `stop` is set; the last one ends by itself."""
        node: NodeName | None = None
        while not stop.is_set():
            if node is None or self._random.random() < SWITCH_SHARE:
                node = self._choose_node()
            if node is None:
                await anyio.sleep(NOBODY_PAUSE_S)
                continue
            ended = await self._client.send(node, self._draw_call())
            if ended.outcome in (Outcome.BROKEN, Outcome.NOT_CONNECTED):
                node = None
            await anyio.sleep(self._random.expovariate(1.0 / MEAN_PAUSE_S))

    def _choose_node(self) -> NodeName | None:
        nodes = self._ready_nodes()
        return self._random.choice(nodes) if nodes else None

    def _draw_call(self) -> Call:
        self._num_requests += 1
        path = self._random.choice(list(PATHS))
        does_leave = self._random.random() < LEAVE_SHARE
        return Call(
            request=RequestId(f"{self._name}-{self._num_requests}"),
            kind=PATHS[path],
            path=f"{path}{self._num_requests}?of={self._name}",
            body="x" * self._random.choice(BODY_SIZES),
            key=self._random.choice(self._newest_keys()) if path == KEYED_PATH else None,
            deadline_s=self._random.choice(DEADLINES_S),
            leave_after_s=self._random.uniform(0.0, LEAVE_WITHIN_S) if does_leave else None,
        )


async def hold_connections(hosts: Sequence[str], stop: anyio.Event) -> None:
    """Keep an unused connection to each node open until the node closes it, then open another."""
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
            await anyio.sleep(HELD_PAUSE_S)
