"""Unit costs of control that a fleet run does not show apart: `python -m bench.control_units`.

Memory of one engine's port and of the configuration, bytes and time of a machine list, of a load
report over HTTP and of cache events.
"""

import gc
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable

import anyio
import msgspec

from bench.control_setup import resident_bytes
from bench.setup import READY_PREFIX, PlatformAddresses
from weirscale.domain.configuration.encode import decode_deployment, encode_deployment
from weirscale.domain.prefix.digest_publisher import DigestPublisher
from weirscale.domain.prefix.engine_index import EngineIndex
from weirscale.experiments.control_cost.deployment import design_deployment
from weirscale.experiments.control_cost.hollow_engine import EVENTS_PER_S, HollowEngine
from weirscale.messages.cache import CacheEventBatch
from weirscale.ports.engine_http import HttpEngine
from weirscale.ports.machines import Machine
from weirscale.ports.machines_http import MachineListAnswer

NUM_ENGINES = 1700
NUM_NODES = 400
NUM_BLOCKS = 70_000
NUM_BATCHES = 200
NUM_POLLS = 1000
NUM_RECEIVERS = 21
DIGEST_BYTES_PER_S = 700.0
KILO = 1000.0
MICRO = 1e6


def _traced_bytes(make: Callable[[], object]) -> tuple[int, object]:
    gc.collect()
    tracemalloc.start()
    made = make()
    num_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return num_bytes, made


def measure_ports() -> None:
    """Print the memory of a client for each engine, none of them connected."""
    HttpEngine("10.0.0.1:8000")
    before, started_s = resident_bytes(), time.process_time()
    ports = [HttpEngine(f"10.0.0.1:{number}") for number in range(NUM_ENGINES)]
    took_s = time.process_time() - started_s
    each = (resident_bytes() - before) / len(ports)
    print(f"port of an engine: {each / KILO:.2f} kB, {took_s / len(ports) * KILO:.3f} ms to make")


def measure_configuration() -> None:
    """Print size, time to decode and memory of the configuration."""
    deployment = design_deployment(NUM_ENGINES, NUM_BLOCKS)
    encoded = encode_deployment(deployment)
    started_s = time.process_time()
    num_bytes, _ = _traced_bytes(lambda: decode_deployment(encoded))
    took_s = time.process_time() - started_s
    print(
        f"configuration: {len(encoded) / KILO:.1f} kB encoded, {num_bytes / KILO:.0f} kB held, "
        f"at most {took_s * KILO:.0f} ms to decode"
    )


def measure_machine_list() -> None:
    """Print bytes and time of one read of the machine list."""
    machines = tuple(
        Machine(f"10.{100 + number // 250}.0.{number % 250}", is_leaving=False)
        for number in range(NUM_ENGINES + NUM_NODES)
    )
    body = msgspec.json.encode(MachineListAnswer(machines))
    started_s = time.process_time()
    for _ in range(NUM_BATCHES):
        msgspec.json.decode(body, type=MachineListAnswer)
    took_s = (time.process_time() - started_s) / NUM_BATCHES
    print(f"machine list: {len(body) / KILO:.0f} kB, {took_s * KILO:.2f} ms to decode")


def measure_events() -> None:
    """Print bytes and time of a second of one engine's cache events, and the index's memory."""
    declared = design_deployment(1, NUM_BLOCKS).engines[0]
    engine = HollowEngine(declared)
    dump = engine.dump(0.0)
    index = EngineIndex(declared.name)
    started_s = time.process_time()
    num_bytes, _ = _traced_bytes(lambda: index.load_dump(dump, 0.0))
    print(
        f"dump: {num_bytes / NUM_BLOCKS:.1f} bytes a block, {time.process_time() - started_s:.2f} s"
    )
    publisher = DigestPublisher(index, 1, DIGEST_BYTES_PER_S)
    publisher.publish(NUM_RECEIVERS, 0.0)
    bodies = [
        msgspec.json.encode(engine.batch(dump.sequence + 1 + number))
        for number in range(NUM_BATCHES)
    ]
    started_s = time.process_time()
    batches = [msgspec.json.decode(body, type=CacheEventBatch) for body in bodies]
    decoded_s = time.process_time() - started_s
    started_s = time.process_time()
    for number, batch in enumerate(batches):
        index.apply(batch, float(number))
    applied_s = time.process_time() - started_s
    started_s = time.process_time()
    for number in range(NUM_BATCHES):
        publisher.publish(NUM_RECEIVERS, float(number))
    published_s = time.process_time() - started_s
    num_events = NUM_BATCHES * EVENTS_PER_S
    print(
        f"cache event: {len(bodies[0]) / len(batches[0].events):.0f} bytes, "
        f"{decoded_s / num_events * MICRO:.2f} us to decode, "
        f"{applied_s / num_events * MICRO:.2f} us to apply; "
        f"publishing {published_s / NUM_BATCHES * KILO:.2f} ms a second of one engine"
    )


async def measure_polls(address: str) -> None:
    """Print the processor time of one load report over HTTP."""
    port = HttpEngine(address)
    await port.load()
    started_s = time.process_time()
    for _ in range(NUM_POLLS):
        await port.load()
    took_s = (time.process_time() - started_s) / NUM_POLLS
    await port.aclose()
    print(f"load report over HTTP: {took_s * MICRO:.0f} us")


def main() -> None:
    """Print every unit cost."""
    measure_ports()
    measure_configuration()
    measure_machine_list()
    measure_events()
    command = [sys.executable, "-m", "bench.platform_process"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as platform:
        assert platform.stdout is not None
        line = platform.stdout.readline().removeprefix(READY_PREFIX)
        addresses = msgspec.json.decode(line, type=PlatformAddresses)
        anyio.run(measure_polls, addresses.engine, backend_options={"use_uvloop": True})
        platform.kill()


if __name__ == "__main__":
    main()
