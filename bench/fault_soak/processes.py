"""Processes of one run: each is started, signalled and ended by its own process id."""

import contextlib
import os
import signal
import subprocess
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

import anyio
import anyio.to_thread

END_TIMEOUT_S = 5.0


class RunningProcess:
    """One process that this run started.

    Attributes:
        name: What it is.
        log_file: Its standard output and error.
        started_at_s: Start on the monotonic clock.

    Args:
        name: What it is.
        command: Program and arguments.
        log_file: Where its output goes.
        environment: Its variables; None hands on those of this process.
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        log_file: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log_file = log_file
        self.started_at_s = time.monotonic()
        with log_file.open("wb") as log:
            # A session of its own: an interrupt of the terminal reaches the harness alone.
            self._process = subprocess.Popen(
                command,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    @property
    def is_running(self) -> bool:
        """Whether it has not ended, paused or not."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Its exit code; negative for a signal, None while it runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless it has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for its end and return the exit code."""
        while True:
            code = self._process.poll()
            if code is not None:
                return code
            await anyio.sleep(0.01)

    def wait_blocking(self, timeout_s: float) -> bool:
        """Wait for its end; False if it still runs after the time."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True


class ProcessSet:
    """Starts processes and ends every one of them at the end of the run.

    Args:
        directory: Where the logs go.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._started: list[RunningProcess] = []
        self._owner_pid = os.getpid()

    def start_program(
        self, name: str, command: Sequence[str], environment: Mapping[str, str] | None = None
    ) -> RunningProcess:
        """Start one process of any program; None hands on this process's environment."""
        log_file = self._directory / f"{len(self._started):02d}-{name}.log"
        process = RunningProcess(name, command, log_file, environment)
        self._started.append(process)
        return process

    @property
    def started(self) -> tuple[RunningProcess, ...]:
        """Every process started so far."""
        return tuple(self._started)

    def end_all(self) -> None:
        """End what still runs: kill after a polite request that is not followed."""
        running = [process for process in self._started if process.is_running]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline_s = time.monotonic() + END_TIMEOUT_S
        for process in running:
            if not process.wait_blocking(max(0.0, deadline_s - time.monotonic())):
                process.signal(signal.SIGKILL)
                process.wait_blocking(END_TIMEOUT_S)
