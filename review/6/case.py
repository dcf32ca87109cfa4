"""Case 6: an entry of another writer ends the process of whoever gives orders, again and again."""

import asyncio
import itertools
import os
import signal
import sys
import tempfile
import traceback
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins2.client import Client
from review.standins2.engine import MODEL, Engine
from review.standins2.gateways import Gateway, free_port, network
from review.standins2.record import Record
from review.standins2.store import Store

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "qalam"
NUM_GATEWAYS = 4
NUM_ENGINES = 6
NUM_CLIENTS = 16
DEADLINE_S = 6.0
ENTRY_AT_S = 3.0
VERSION_AT_S = 5.0
TRAFFIC_END_S = 28.0
VERSION_S = 8.0
CALM_S = 1.5 * VERSION_S
"""The rule counts from here on after the acknowledgement, in calm."""

RESTART_DELAY_S = 0.3
FOREIGN_KEY = "servers/i-5f21c0aa"
FOREIGN_ENTRY = {
    "service": "qalam-spare",
    "address": "[::1:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "stage": "unified",
    "models": [{"name": MODEL, "version": 1, "adapters": []}],
}
"""Its service isn't named anywhere, and its address can't be read."""

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def configuration() -> dict[str, object]:
    """Return the operator's configuration."""
    route = {
        "name": "dedication",
        "host": "press.example",
        "path_prefix": "/dedication/",
        "service": SERVICE,
        "type": "streaming",
        "max_attempts": 1,
        "timeout_ms": 15000,
        "slo_ms": 600,
        "public": True,
    }
    engine = {"slots": 64, "kv_capacity": 100000, "models": [{"name": MODEL}]}
    service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 360, "engine": engine}
    return {"version": 1, "routes": [route], "services": [service], "limits": {}, "tenants": []}


class Case:
    """The whole case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(FOLDER / "record.txt")
        self.net = network()
        self.store = Store()
        self.store_port = free_port(f"{self.net}.1")
        address = f"{self.net}.1:{self.store_port}"
        self.gateways = [
            Gateway(number, self.net, address, folder) for number in range(NUM_GATEWAYS)
        ]
        self.engines = [
            Engine(SERVICE, number, self.net, self.store, self.record)
            for number in range(NUM_ENGINES)
        ]
        self.names = itertools.count()
        self.ends: Counter[str] = Counter()
        self.statuses: Counter[str] = Counter()
        self.began_s = 0.0
        self.is_ending = False

    async def play(self) -> bool:
        """Play the case; return False if it couldn't run."""
        await self.store.serve(f"{self.net}.1", self.store_port)
        tasks = [asyncio.ensure_future(self.store.expire_leases())]
        tasks += [asyncio.ensure_future(engine.run()) for engine in self.engines]
        self.store.put_json("op/config", configuration())
        self.store.put_json(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
        await asyncio.sleep(0.2)
        for gateway in self.gateways:
            gateway.start()
        if not all([await gateway.wait_until_ready() for gateway in self.gateways]):
            return False
        tasks += [asyncio.ensure_future(self._keep(gateway)) for gateway in self.gateways]
        await asyncio.sleep(1.0)
        self.began_s = self.record.now_s()
        clients = [asyncio.ensure_future(self._client(number)) for number in range(NUM_CLIENTS)]
        await self._sleep_until(ENTRY_AT_S)
        if HAS_TROUBLE:
            self.store.put_json(FOREIGN_KEY, FOREIGN_ENTRY)
            self.record.add(f"another writer puts {FOREIGN_KEY}: {FOREIGN_ENTRY}")
        await self._sleep_until(VERSION_AT_S)
        self.store.put_json(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        self.record.add("the operator names version 2; the store has taken it")
        await asyncio.gather(*clients)
        self.is_ending = True
        for task in tasks:
            task.cancel()
        return True

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.began_s + at_s - self.record.now_s()))

    async def _keep(self, gateway: Gateway) -> None:
        """Start a process again that has ended by itself, as the platform does."""
        while not self.is_ending:
            code = await gateway.wait_ended(0.5)
            if code is not None:
                self.ends[gateway.name] += 1
                self.record.add(f"{gateway.name} has ended by itself with {code}")
                await asyncio.sleep(RESTART_DELAY_S)
                gateway.start(is_first_start=False)

    async def _client(self, number: int) -> None:
        random = Random(1000 + number)
        client = Client("press.example")
        gateway = self.gateways[number % NUM_GATEWAYS]
        await asyncio.sleep(random.random())
        while self.record.now_s() < self.began_s + TRAFFIC_END_S:
            name = f"d-{next(self.names):05d}"
            headers = {
                "X-Model": MODEL,
                "X-Token-Usage": "826,73",
                "X-Prefix-Hash": f"5c1e07a2:198,{random.getrandbits(32):08x}:628",
            }
            at = (gateway.host, gateway.port)
            outcome = await client.ask(
                at, "POST", "/dedication/d", name, DEADLINE_S, b"words", headers
            )
            is_whole = outcome.answer is not None and outcome.answer.is_whole
            result = f"{outcome.status or outcome.why}{'' if is_whole else ' cut'}"
            second = int(self.record.now_s() - self.began_s)
            phase = "late" if second >= VERSION_AT_S + VERSION_S else "early"
            self.statuses[f"{phase} {result}"] += 1
            self.record.add(f"{name} to {gateway.name} got {result}")
            await asyncio.sleep(0.1 + 0.2 * random.random())
        client.close()

    def judge(self) -> list[str]:
        """Return what broke the rule VERSION, at the end of the traffic."""
        old = [engine.instance for engine in self.engines if engine.version < 2]
        has_waited = TRAFFIC_END_S - VERSION_AT_S >= CALM_S
        if has_waited and len(old) > 1 and len(old) > 0.1 * NUM_ENGINES:
            waited_s = TRAFFIC_END_S - VERSION_AT_S
            return [
                f"VERSION: {len(old)} of {NUM_ENGINES} runners hold version 1 still,"
                f" {waited_s:.0f} s after version 2 was acknowledged"
            ]
        return []


def main() -> int:
    """Play the case and judge it."""
    # Whoever ends the script early still has all its processes ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="review-6-") as folder:
        case = Case(Path(folder))
        try:
            is_played = asyncio.run(case.play())
        finally:
            for gateway in case.gateways:
                gateway.end()
        errors = Counter(
            line.strip()
            for gateway in case.gateways
            for line in gateway.log().splitlines()
            if "InvalidURL:" in line
        )
    if not is_played:
        print("the gateways did not become ready")
        return EXIT_NOT_RUN
    broken = case.judge()
    summary = [
        f"trouble={int(HAS_TROUBLE)} clients, until {VERSION_S:.0f} s after the version was named"
        f" (early) and after it (late): {dict(sorted(case.statuses.items()))}",
        f"processes that ended by themselves: {dict(case.ends)}; they say: {dict(errors)}",
        f"orders taken: {sum(engine.num_orders for engine in case.engines)}",
        *broken,
    ]
    for line in summary:
        case.record.add(line)
        print(line)
    case.record.write()
    return EXIT_BROKEN if broken else EXIT_HELD


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception:
        # A fault of the script itself shows nothing about the rule.
        traceback.print_exc()
        sys.exit(EXIT_NOT_RUN)
