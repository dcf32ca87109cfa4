"""Measures what relaying costs: `python -m bench.relay_cost`.

Server, relay and client share this process, so the relay's part is the difference between streams
through it and direct ones.
"""

import time
from random import Random

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from weirscale.domain.identifiers import ServiceName, ZoneName
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory, BackEndState
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_server import RelayGate, RelayServer
from weirscale.gateway.paths.tcp_opener import TcpOpener
from weirscale.gateway.peers.registrations import RelayPeer
from weirscale.gateway.settings import ListenAddress
from weirscale.ports.event_log import SilentEventLog
from weirscale.ports.unexpected_errors import UnexpectedErrors

LOOPBACK = "127.0.0.1"
TOKEN = "token"
NUM_STREAMS = 300
NUM_PARTS = 128
PART = b"x" * 200
SETTLE_S = 0.1
MICROSECONDS_PER_S = 1e6


async def _serve(stream: SocketStream) -> None:
    async with stream:
        await stream.receive()
        for _ in range(NUM_PARTS):
            await stream.send(PART)
            await anyio.lowlevel.checkpoint()


async def _read(stream: ByteStream) -> None:
    async with stream:
        await stream.send(b"request")
        left = NUM_PARTS * len(PART)
        while left:
            left -= len(await stream.receive())


async def _seconds_a_stream(relay: RelayPeer | None, address: Address) -> float:
    opener = TcpOpener()
    began_s = time.process_time()
    for _ in range(NUM_STREAMS):
        if relay is None:
            await _read(await opener.open(address))
        else:
            await _read(await opener.open_through(relay, address))
    return (time.process_time() - began_s) / NUM_STREAMS


def _new_relay(address: Address, port: int) -> RelayServer:
    directory = BackEndDirectory()
    directory.put(
        BackEnd(
            InstanceId("i"), ServiceName("s"), address, ZoneName("z"), BackEndState.READY, 1
        )
    )  # fmt: skip
    state = PathState(SilentEventLog(), time.monotonic)
    gate = RelayGate(TOKEN, directory, state, TcpOpener(), Random(1))
    log = SilentEventLog()
    listen = ListenAddress(LOOPBACK, port)
    return RelayServer(listen, gate, log, time.monotonic, UnexpectedErrors(log))


async def _main() -> None:
    listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
    address = Address(f"{LOOPBACK}:{listener.extra(SocketAttribute.local_port)}")
    probe = await anyio.create_tcp_listener(local_host=LOOPBACK)
    port = probe.extra(SocketAttribute.local_port)
    await probe.aclose()
    relay = RelayPeer("node-2", ListenAddress(LOOPBACK, port), ZoneName("z"), TOKEN)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _serve)
        tasks.start_soon(_new_relay(address, port).run)
        await anyio.sleep(SETTLE_S)
        direct_s = await _seconds_a_stream(None, address)
        relayed_s = await _seconds_a_stream(relay, address)
        tasks.cancel_scope.cancel()
    print(f"a stream of {NUM_PARTS} parts of {len(PART)} bytes, processor time:")
    print(
        f"direct {MICROSECONDS_PER_S * direct_s:.0f} us, "
        f"relayed {MICROSECONDS_PER_S * relayed_s:.0f} us"
    )


if __name__ == "__main__":
    anyio.run(_main, backend_options={"use_uvloop": True})
