"""The node of the comparison: a whole node on real sockets, alone in its zone."""

import cProfile
import os
import sys
from random import Random

import anyio

from bench.setup import ZONE, ServerAddress, announce
from weirscale.domain.identifiers import ConfigurationRevision, NodeName
from weirscale.node.program import NodeProgram
from weirscale.node.settings import NodeSettings, PeerKeySettings
from weirscale.ports.event_log import start_line_log
from weirscale.ports.listeners import open_listener

LOOPBACK = "127.0.0.1"
PROFILE_VARIABLE = "WEIRSCALE_BENCH_PROFILE"
"""Names a file that the node's profile goes to when it stops."""


def _free_port() -> int:
    with open_listener(LOOPBACK, 0) as listener:
        port: int = listener.getsockname()[1]
        return port


async def main(key_value_address: str) -> None:
    """Serve until SIGTERM."""
    settings = NodeSettings(
        zone=ZONE,
        peer_keys=(PeerKeySettings(1, "bench-secret-of-16"),),
        name=NodeName("bench-node"),
        peer_port=_free_port(),
        key_value=(key_value_address,),
    )
    program = NodeProgram(settings, Random(3))
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(program.run, stop)
        await program.node.configuration.changed_after(ConfigurationRevision(0))
        announce(ServerAddress(f"{LOOPBACK}:{program.caller_port}"))
        await _wait_for_end_of_input()
        stop.set()


async def _wait_for_end_of_input() -> None:
    await anyio.to_thread.run_sync(sys.stdin.read)


if __name__ == "__main__":
    start_line_log(open(os.devnull, "w"))  # noqa: SIM115 - open until the process ends
    profile_file = os.environ.get(PROFILE_VARIABLE)
    profile = cProfile.Profile()
    if profile_file:
        profile.enable()
    anyio.run(main, sys.argv[1], backend_options={"use_uvloop": True})
    if profile_file:
        profile.disable()
        profile.dump_stats(profile_file)
