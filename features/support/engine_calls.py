"""Engine calls and waits that scenarios of engines and services share."""

import anyio
import msgspec

from weirscale.ports.engine import GenerateCall

PROMPT = b"The whole yearbook draft of one class. " * 40
LONG_S = 60.0
MAX_CONNECTION_TRIES = 1000


def make_call(**changes):
    call = GenerateCall(
        request_id="request/1",
        attempt=0,
        path="/v1/completions",
        body={"prompt": PROMPT.decode()},
        prompt=PROMPT,
        max_tokens=8,
        priority=10,
        time_left_s=LONG_S,
        cache_salt="bole-school",
        model="qalam",
        adapter=None,
        expected_incarnation=None,
        expected_weight_version=None,
    )
    return msgspec.structs.replace(call, **changes)


async def collect(stream):
    async with stream as items:
        return [item async for item in items]


async def wait_until_closed(address):
    host, port = address.split(":")
    for _ in range(MAX_CONNECTION_TRIES):
        try:
            connection = await anyio.connect_tcp(host, int(port))
        except OSError:
            return
        await connection.aclose()
        await anyio.sleep(0.01)
    raise AssertionError("the server still accepts connections")
