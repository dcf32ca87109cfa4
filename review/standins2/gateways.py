"""Starts gateway processes by the deploy file's command, on loopback addresses."""

import asyncio
import os
import signal
import socket
import subprocess
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-S", "platform/run.py")
"""The command of `deploy/system.toml`."""

ZONES = {"r": ("hall-a", "hall-b", "hall-c"), "s": ("quay-a", "quay-b", "quay-c")}
"""Zones by region."""

HTTP_OK = b" 200 "
POLL_S = 0.01


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a free port of an address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def network() -> str:
    """Return the first three numbers of loopback addresses for this process."""
    pid = os.getpid()
    return f"127.{30 + pid // 250 % 60}.{1 + pid % 250}"


class Gateway:
    """One gateway, started again on demand.

    Args:
        number: Its number, from 0.
        net: First three numbers of its address.
        store: Address of the store.
        folder: Folder for its settings file and its log.
        bounds: Values that replace those of `DEFAULT_BOUNDS`.
        region: Its region; regions have zones of their own.
    """

    def __init__(
        self,
        number: int,
        net: str,
        store: str,
        folder: Path,
        bounds: dict[str, str] | None = None,
        region: str = "r",
    ) -> None:
        self.name = f"edge-{number}"
        self.host = f"{net}.{100 + number}"
        self.port = free_port(self.host)
        self.ready_port = free_port(self.host)
        self.peer_port = free_port(self.host, socket.SOCK_DGRAM)
        self.region = region
        self.zone = ZONES[region][number % 3]
        self._store = store
        self._settings = folder / f"{self.name}.toml"
        self._log_file = folder / f"{self.name}.log"
        self.bounds = {**DEFAULT_BOUNDS, **(bounds or {})}
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, *, is_first_start: bool) -> None:
        """Write the settings file as a whole."""
        bounds = "\n".join(f"{name} = {value}" for name, value in self.bounds.items())
        zones = "\n".join(f'{zone} = "{region}"' for region in ZONES for zone in ZONES[region])
        text = f"""node_name = "{self.name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "{self.host}"
zone = "{self.zone}"
region = "{self.region}"
internal_ports = [{self.peer_port}, {self.peer_port + 15}]
seed_nodes = []
bootstrap = {str(is_first_start).lower()}
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
frontend = "{self.host}:{self.port}"
ready = "{self.host}:{self.ready_port}"
[limits]
cpu_quota = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
{bounds}
[platform]
address = "{self._store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        written = self._settings.with_suffix(".new")
        written.write_text(text)
        written.rename(self._settings)

    def start(self, *, is_first_start: bool = True) -> None:
        """Start a process."""
        self.write_settings(is_first_start=is_first_start)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WEIRSCALE_NODE_FILE": str(self._settings),
        }
        with self._log_file.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    def log(self) -> str:
        """Return what its processes have logged."""
        return self._log_file.read_text(errors="replace")

    async def wait_until_ready(self, timeout_s: float = 15.0) -> bool:
        """Wait until it answers 200 to the platform's question."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self) -> bool:
        """Ask `GET /v1/readyz` once."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return HTTP_OK in line

    async def wait_ended(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; return its exit code, None if it still runs."""
        assert self.process is not None
        for _ in range(int(timeout_s / POLL_S)):
            if self.process.poll() is not None:
                break
            await asyncio.sleep(POLL_S)
        return self.process.poll()

    def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


DEFAULT_BOUNDS = {
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "strict_revoke": "true",
    "revoke_ms": "5000",
    "retry_budget_ratio": "0.2",
    "retry_window_s": "10",
    "retry_extra": "54",
    "recovery_s": "12",
    "fencing_required": "true",
    "lease_ms": "3000",
    "thaw_ms": "300",
    "version_ms": "8000",
    "version_all_ms": "11000",
}
"""The bounds of the small deployments (SYSTEM.md)."""
