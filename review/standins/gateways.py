"""Starts the project's gateway as the deploy file says, on loopback addresses."""

import asyncio
import atexit
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from standins.http1 import read_head, request_bytes

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """\
node_name = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "addis"
internal_ports = [{internal},{internal_last}]
seed_nodes = []
bootstrap = {bootstrap}
fault_counted = false
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","tenants","platform"]
[zones]
bole-hall = "addis"
kirkos-hall = "addis"
yeka-hall = "addis"
[listen]
frontend = "{host}:{frontend}"
ready = "{host}:{ready}"
control_plane = "{host}:{control}"
[limits]
cpu_quota = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_skew_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_extra = 54
recovery_s = 12
transit_ms = 120
retry_after_s = 10
fencing_required = true
lease_ms = 3000
thaw_ms = 300
version_ms = 8000
version_all_ms = 11000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def temporary_folder() -> Path:
    """Return a new folder that is removed at the end of this process."""
    folder = Path(tempfile.mkdtemp(prefix="weirscale-review-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    return folder


def free_ports(host: str, number: int) -> list[int]:
    """Return ports that are free for TCP at an address."""
    sockets = []
    for _ in range(number):
        opened = socket.socket()
        opened.bind((host, 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class Gateway:
    """One process of the gateway.

    Args:
        name: Name of its machine.
        host: Its loopback address.
        zone: Its zone.
        store: Address of the store.
        directory: Folder for its settings file and its log.
    """

    def __init__(self, name: str, host: str, zone: str, store: str, directory: Path) -> None:
        self.name, self.host, self.zone, self._store = name, host, zone, store
        self.frontend, self.ready, self.control, self.internal = free_ports(host, 4)
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, bootstrap: bool) -> None:
        """Start the process with `run` of the deploy file."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                internal=self.internal,
                internal_last=self.internal + 15,
                bootstrap=str(bootstrap).lower(),
                frontend=self.frontend,
                ready=self.ready,
                control=self.control,
                store=self._store,
            )
        )
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WEIRSCALE_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "platform/run.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def log_lines(self) -> list[str]:
        """Return the lines of its log."""
        return self._log.read_text(errors="replace").splitlines()

    async def is_ready(self) -> bool:
        """Ask for its readiness as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
        except OSError:
            return False
        try:
            writer.write(request_bytes("GET", "/v1/readyz", [("Host", self.host)]))
            answer = await asyncio.wait_for(read_head(reader), 1.0)
            return answer is not None and answer.status == 200
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


async def start_gateways(store: str, number: int) -> list[Gateway]:
    """Start gateways in the zones in turn, and wait until all are ready.

    Raises:
        RuntimeError: A gateway was not ready in time.
    """
    directory = temporary_folder()
    zones = ("bole-hall", "kirkos-hall", "yeka-hall")
    gateways = [
        Gateway(f"edge-{index}", f"127.0.0.{11 + index}", zones[index % 3], store, directory)
        for index in range(number)
    ]
    for gateway in gateways:
        gateway.start(bootstrap=True)
    until_s = time.monotonic() + 15.0
    for gateway in gateways:
        while not await gateway.is_ready():
            if time.monotonic() > until_s:
                for started in gateways:
                    started.end()
                raise RuntimeError(f"{gateway.name} was not ready in 15 s")
            await asyncio.sleep(0.1)
    return gateways
