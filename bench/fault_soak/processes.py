"""Child processes, each started, signalled and stopped by its own process id."""

import contextlib
import os
import signal
import subprocess
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

import anyio
import anyio.to_thread

STOP_TIMEOUT_S = 5.0


class RunningProcess:
    """A child process.

    Attributes:
        name: Its name in logs.
        log_file: Its standard output and error.
        started_at_s: Start on the monotonic clock.

    Args:
        name: Its name in logs.
        command: Program and arguments.
        log_file: File for its output.
        environment: Its environment; None passes on the environment of this process.
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
            # A separate session, so that Ctrl-C in the terminal interrupts only the soak test.
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
        """Whether the process has not ended; it may be paused."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code; negative for a signal, None while the process runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process ends, and return its exit code."""
        while True:
            code = self._process.poll()
            if code is not None:
                return code
            await anyio.sleep(0.01)

    def wait_blocking(self, timeout_s: float) -> bool:
        """Wait until the process ends; return False if it still runs after the timeout."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True


class ProcessSet:
    """Starts processes, and stops all of them at the end of the run.

    Args:
        directory: Directory for their logs.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._started: list[RunningProcess] = []
        self._owner_pid = os.getpid()

    def start_program(
        self, name: str, command: Sequence[str], environment: Mapping[str, str] | None = None
    ) -> RunningProcess:
        """Start a program; without an environment, it gets the environment of this process."""
        log_file = self._directory / f"{len(self._started):02d}-{name}.log"
        process = RunningProcess(name, command, log_file, environment)
        self._started.append(process)
        return process

    @property
    def started(self) -> tuple[RunningProcess, ...]:
        """All processes started so far."""
        return tuple(self._started)

    def stop_all(self) -> None:
        """Stop all running processes: SIGTERM, then SIGKILL for those that ignore it."""
        running = [process for process in self._started if process.is_running]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            if not process.wait_blocking(max(0.0, deadline_s - time.monotonic())):
                process.signal(signal.SIGKILL)
                process.wait_blocking(STOP_TIMEOUT_S)
