"""Compares a node with a bare relay, side by side in one run (`make bench`).

Both stand before the same stand-in engine. Rounds alternate between them, so that whatever else
the machine does meets both. Reported: processor time a request, first byte and whole answer.
"""

import subprocess
import sys
import time
from collections.abc import Callable
from typing import TypeVar

import anyio
import httpx
import msgspec
import psutil
from hdrh.histogram import HdrHistogram

from bench.setup import (
    API_KEY,
    NUM_TOKENS,
    PROMPT_BYTES,
    READY_PREFIX,
    PlatformAddresses,
    ServerAddress,
    body,
)

CONCURRENCIES = (8, 64)
NUM_ROUNDS = 5
REQUESTS_OF_ROUND = {8: 64, 64: 192}
ANSWER_S = {8: 1.8, 64: 3.2}
"""About the time of a whole answer. Workers begin spread over it, and stay spread as all answers
take the same time: requests that come in one burst would measure the burst."""

NUM_WARM_UP = 24
STOP_TIMEOUT_S = 20.0
SETTLE_S = 2.0
IDLE_S = 10.0
MICROSECONDS = 1_000_000
MAX_MICROSECONDS = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
DONE_MARK = b"[DONE]"

AddressT = TypeVar("AddressT", bound=msgspec.Struct)


class Child:
    """One process of the comparison."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._module = module
        self._process: subprocess.Popen[str] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._usage = psutil.Process(self._process.pid)  # type: ignore[no-untyped-call]

    def addresses(self, shape: type[AddressT]) -> AddressT:
        """Wait until the process serves."""
        assert self._process.stdout is not None
        for line in self._process.stdout:
            if line.startswith(READY_PREFIX):
                return msgspec.json.decode(line[len(READY_PREFIX) :], type=shape)
        raise SystemExit(f"{self._module} ended before it served")

    def processor_s(self) -> float:
        """Return the processor time used so far, user and system."""
        times = self._usage.cpu_times()
        return float(times.user + times.system)

    def resident_mib(self) -> float:
        """Return the resident memory."""
        return float(self._usage.memory_info().rss / 2**20)

    def stop(self) -> None:
        """End this process."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(STOP_TIMEOUT_S / 10)
        except subprocess.TimeoutExpired:
            self._process.terminate()
            self._process.wait(STOP_TIMEOUT_S)


class Side:
    """The relay's or the node's measurements at one concurrency."""

    def __init__(self, name: str, child: Child, address: str) -> None:
        self.name = name
        self.child = child
        self.address = address
        self.idle_share = 0.0
        self.reset()

    def reset(self) -> None:
        """Forget what was measured."""
        self.first_byte = _new_histogram()
        self.whole = _new_histogram()
        self.processor_s = 0.0
        self.load_processor_s = 0.0
        self.elapsed_s = 0.0
        self.num_requests = 0
        self.num_failed = 0

    @property
    def processor_ms(self) -> float:
        """Processor time a request."""
        return self.processor_s / self.num_requests * 1000

    @property
    def busy_percent(self) -> float:
        """Share of a core used while measured; far below 100, or first bytes measure queues."""
        return self.processor_s / self.elapsed_s * 100

    @property
    def load_busy_percent(self) -> float:
        """The same of the process that sends the requests."""
        return self.load_processor_s / self.elapsed_s * 100

    @property
    def processor_ms_above_idle(self) -> float:
        """Processor time a request, less what the process uses when nobody asks."""
        idle_s = self.idle_share * self.elapsed_s
        return (self.processor_s - idle_s) / self.num_requests * 1000

    def first_byte_ms(self, percentile: float) -> float:
        """Time to the first byte of the answer's body."""
        return _milliseconds(self.first_byte, percentile)

    def whole_ms(self, percentile: float) -> float:
        """Time to the end of the answer."""
        return _milliseconds(self.whole, percentile)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(  # type: ignore[no-untyped-call]
        1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def _milliseconds(histogram: HdrHistogram, percentile: float) -> float:
    microseconds = histogram.get_value_at_percentile(percentile)  # type: ignore[no-untyped-call]
    return float(microseconds / 1000)


def _record(histogram: HdrHistogram, duration_s: float) -> None:
    histogram.record_value(int(duration_s * MICROSECONDS))  # type: ignore[no-untyped-call]


async def ask(client: httpx.AsyncClient, side: Side, number: int, label: str) -> None:
    """Send one request and read its whole answer."""
    headers = {
        "authorization": f"Bearer {API_KEY}",
        "content-type": "application/json",
        "x-request-id": f"{label}-{number}",
    }
    started = time.perf_counter()
    last = b""
    is_first = True
    async with client.stream(
        "POST", "/v1/chat/completions", content=body(number), headers=headers
    ) as response:
        async for part in response.aiter_raw():
            if is_first:
                is_first = False
                _record(side.first_byte, time.perf_counter() - started)
            last = last[-32:] + part
    _record(side.whole, time.perf_counter() - started)
    side.num_requests += 1
    side.num_failed += DONE_MARK not in last


async def run_round(side: Side, concurrency: int, num_requests: int, label: str) -> None:
    """Send requests from as many workers as the concurrency says."""
    numbers = iter(range(num_requests))

    async def work(start_after_s: float) -> None:
        await anyio.sleep(start_after_s)
        for number in numbers:
            await ask(client, side, number, label)

    limits = httpx.Limits(max_connections=concurrency, max_keepalive_connections=concurrency)
    async with httpx.AsyncClient(
        base_url=f"http://{side.address}", timeout=60.0, limits=limits, trust_env=False
    ) as client:
        before_s = side.child.processor_s()
        own_before_s = time.process_time()
        started = time.perf_counter()
        async with anyio.create_task_group() as tasks:
            for worker in range(concurrency):
                tasks.start_soon(work, worker / concurrency * ANSWER_S[concurrency])
        side.processor_s += side.child.processor_s() - before_s
        side.elapsed_s += time.perf_counter() - started
        side.load_processor_s += time.process_time() - own_before_s


async def compare(sides: tuple[Side, Side], concurrency: int) -> None:
    """Run all rounds at one concurrency and print the table."""
    num_requests = REQUESTS_OF_ROUND[concurrency]
    for side in sides:
        await run_round(side, concurrency, NUM_WARM_UP, f"warm-{side.name}-{concurrency}")
        side.reset()
    for number in range(NUM_ROUNDS):
        order = sides if number % 2 == 0 else sides[::-1]
        for side in order:
            label = f"{side.name}-{concurrency}-{number}"
            await run_round(side, concurrency, num_requests, label)
    print_table(sides, concurrency)


def print_table(sides: tuple[Side, Side], concurrency: int) -> None:
    """Print both sides and their ratios."""
    relay, node = sides
    rows: tuple[tuple[str, Callable[[Side], float]], ...] = (
        ("processor ms a request", lambda side: side.processor_ms),
        ("the same above idle", lambda side: side.processor_ms_above_idle),
        ("first byte p50 ms", lambda side: side.first_byte_ms(50)),
        ("first byte p95 ms", lambda side: side.first_byte_ms(95)),
        ("whole answer p50 ms", lambda side: side.whole_ms(50)),
        ("busy, percent of a core", lambda side: side.busy_percent),
        ("load generator busy, percent", lambda side: side.load_busy_percent),
        ("resident MiB", lambda side: side.child.resident_mib()),
    )
    print(f"\nconcurrency {concurrency}, {relay.num_requests} requests on each side")
    print(f"{'':30}{'relay':>10}{'node':>10}{'ratio':>8}{'added':>9}")
    for name, value in rows:
        of_relay, of_node = value(relay), value(node)
        ratio = of_node / of_relay
        print(f"{name:30}{of_relay:10.2f}{of_node:10.2f}{ratio:8.2f}{of_node - of_relay:9.2f}")
    print(f"{'not whole':30}{relay.num_failed:10}{node.num_failed:10}", flush=True)


async def measure_idle(sides: tuple[Side, Side]) -> None:
    """Measure the share of a core that each side uses while nobody asks."""
    await anyio.sleep(SETTLE_S)
    before_s = [side.child.processor_s() for side in sides]
    await anyio.sleep(IDLE_S)
    for side, before in zip(sides, before_s, strict=True):
        side.idle_share = (side.child.processor_s() - before) / IDLE_S
        print(f"{side.name} idle: {side.idle_share:.2%} of a core")


async def measure(relay: Side, node: Side) -> None:
    """Compare at every concurrency."""
    print(f"prompts of {PROMPT_BYTES} bytes, {NUM_TOKENS} streamed tokens")
    await measure_idle((relay, node))
    for concurrency in CONCURRENCIES:
        await compare((relay, node), concurrency)


def main() -> None:
    """Start the processes, measure and stop them."""
    children: list[Child] = []

    def start(module: str, *arguments: str) -> Child:
        children.append(Child(module, *arguments))
        return children[-1]

    try:
        platform = start("bench.platform_process").addresses(PlatformAddresses)
        relay = start("bench.bare_relay", platform.engine)
        node = start("bench.node_process", platform.key_value)
        relay_side = Side("relay", relay, relay.addresses(ServerAddress).address)
        node_side = Side("node", node, node.addresses(ServerAddress).address)
        anyio.run(measure, relay_side, node_side, backend_options={"use_uvloop": True})
    finally:
        for child in reversed(children):
            child.stop()


if __name__ == "__main__":
    main()
