"""Steps of `path_hostile_input.feature`; `INPUTS` maps each input's name to the bytes to send."""

import random
import re
from itertools import chain, repeat

import anyio
import h2.config
import h2.connection
from behave import then, when

from features.support.path_engine import ScriptedEngine
from features.support.path_node import API_KEY, PathNode, generation_body
from features.support.path_sockets import CountingApp, exchange, serving
from weirscale.domain.configuration.model import CallerLimits
from weirscale.ports.http_server import (
    MAX_HEAD_BYTES,
    MAX_STREAMS_OF_CONNECTION,
    ConnectionLimits,
)

MAX_BODY_BYTES = 100_000
READ_BYTES = 64 * 1024
LONG_TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.05
NUM_REPEATS = 4096
PATH = b"/v1/chat/completions"
STATUS = re.compile(rb"HTTP/1\.1 (\d{3})")
GOOD_BODY = generation_body()


def head(*headers, path=PATH, method=b"POST"):
    lines = [method + b" " + path + b" HTTP/1.1", b"host: node", b"connection: close"]
    lines += [b"authorization: Bearer " + API_KEY.encode(), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def head_with_length(length):
    return head(b"content-length: %d" % length)


GOOD = head_with_length(len(GOOD_BODY)) + GOOD_BODY
CHUNKED = head(b"transfer-encoding: chunked")
HALF_REQUEST = head_with_length(len(GOOD_BODY)) + GOOD_BODY[:20]
FLOOD = [b"x-flood-%d: %s" % (i, b"v" * 100) for i in range(1000)]
WRONG_KEY = GOOD.replace(API_KEY.encode(), b"nobody").replace(b"connection: close\r\n", b"")
RANDOM_BYTES = b"\x00" + random.Random(7).randbytes(200) + b"\r\n\r\n"
HUGE_FRAME = b"\xff\xff\xff" + bytes(200)
WEBSOCKET = (
    b"GET /v1/models HTTP/1.1\r\nhost: node\r\nconnection: upgrade\r\nupgrade: websocket\r\n"
    b"sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
H2_HEADERS = [(":method", "POST"), (":path", PATH.decode()), (":scheme", "http")]
H2_HEADERS += [(":authority", "node"), ("authorization", f"Bearer {API_KEY}")]


def h2_request(num_streams, extra=()):
    """Return the bytes that open streams with unfinished bodies, ignoring the server's limits."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    client.remote_settings.max_concurrent_streams = num_streams + 1
    for number in range(num_streams):
        client.send_headers(2 * number + 1, [*H2_HEADERS, *extra])
    return client.data_to_send()


def endless_parts(start, piece):
    return chain([start], repeat(piece, NUM_REPEATS))


INPUTS = {
    "headers over the callers' limit": lambda: [head(*FLOOD[:400])],
    "a thousand headers": lambda: [head(*FLOOD)],
    "one header of a megabyte": lambda: [head(b"x-huge: " + b"v" * 1_000_000)],
    "headers without an end": lambda: endless_parts(
        head()[:-2], b"x-flood: " + b"v" * 1000 + b"\r\n"
    ),
    "a request line without an end": lambda: endless_parts(b"GET /", b"a" * 1000),
    "half the headers and then nothing": lambda: [head()[:40]],
    "nothing at all": list,
    "half a body and then nothing": lambda: [HALF_REQUEST],
    "half the headers and a half-closed socket": lambda: [head()[:40]],
    "half a body and a half-closed socket": lambda: [HALF_REQUEST],
    "a declared length over the limit": lambda: [head_with_length(10**12)],
    "chunks without an end": lambda: endless_parts(CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
    "a chunk header without an end": lambda: endless_parts(CHUNKED, b"1;" + b"x" * 1000),
    "a malformed chunk": lambda: [CHUNKED + b"zz\r\nhello\r\n"],
    "random bytes": lambda: [RANDOM_BYTES],
    "the start of a TLS handshake": lambda: [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"
    ],
    "a header without a colon": lambda: [head(b"what is this")],
    "a negative length": lambda: [head_with_length(-1)],
    "two lengths that differ": lambda: [head(b"content-length: 5", b"content-length: 6")],
    "a request for everything": lambda: [head(path=b"*", method=b"OPTIONS")],
    "a websocket": lambda: [WEBSOCKET],
    "twenty pipelined requests with a wrong key": lambda: [
        WRONG_KEY * 19 + GOOD.replace(API_KEY.encode(), b"nobody")
    ],
    "a pipelined request after half a body": lambda: [HALF_REQUEST + GOOD],
    "too many HTTP/2 streams": lambda: [h2_request(MAX_STREAMS_OF_CONNECTION + 1)],
    "too many HTTP/2 headers": lambda: [
        h2_request(1, [(f"x-{i}", "v" * 1000) for i in range(MAX_HEAD_BYTES // 1000 + 1)])
    ],
    "a huge HTTP/2 frame": lambda: [PREFACE + HUGE_FRAME],
    "the HTTP/2 preface and then nothing": lambda: [PREFACE],
}


@when('a hostile client sends "{name}" to a node behind a real server')
def step_hostile(context, name):
    half_close = name.endswith("half-closed socket")
    is_silent = half_close or name.endswith("nothing") or name == "nothing at all"
    limit_s = SHORT_TIMEOUT_S if is_silent else LONG_TIMEOUT_S
    limits = CallerLimits(max_body_bytes=MAX_BODY_BYTES, body_timeout_s=limit_s)
    node = PathNode([ScriptedEngine("runner-1", arrives_together=True)], callers=limits)
    app = CountingApp(node.app)

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.canceller.run)
            async with serving(app, ConnectionLimits(limit_s, limit_s)) as port:
                context.received = await exchange(port, INPUTS[name](), half_close)
                context.num_read, context.num_calls = app.num_bytes, len(node.engines[0].calls)
                context.num_running = node.drain.num_running
                context.next_answer = await send_good_request(port)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    context.node = node


async def send_good_request(port):
    """Send a valid request; retry if the server closed the new connection as idle."""
    for _ in range(20):
        answer = await exchange(port, [GOOD])
        if answer:
            return answer
    return b""


@then('the hostile client gets "{outcome}"')
def step_outcome(context, outcome):
    statuses = [status.decode() for status in STATUS.findall(context.received)]
    num_times = int(outcome.partition(" x ")[2] or 1)
    allowed = [
        [s] * num_times if s != "closed" else [] for s in outcome.split(" x ")[0].split(" or ")
    ]
    assert statuses in allowed, (statuses, context.received[:500])


@then("the node read a bounded amount, reached no engine and serves the next request")
def step_node_in_service(context):
    assert context.num_read <= MAX_BODY_BYTES + READ_BYTES, context.num_read
    assert context.num_calls == 0 and context.node.admission.num_admitted == 1
    assert context.next_answer.startswith(b"HTTP/1.1 200"), context.next_answer[:200]
    assert b"[DONE]" in context.next_answer
    assert context.node.admission.num_held == 0 and context.node.drain.num_running == 0
