"""The record of a case: what was sent, answered and run."""

import time


class Record:
    """Writes lines with the seconds since the start.

    Args:
        path: The file.
    """

    def __init__(self, path: str) -> None:
        self._file = open(path, "w")  # noqa: SIM115 - closed by `close`
        self._began_s = time.monotonic()

    def add(self, line: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {line}\n")

    def close(self) -> None:
        """Write what is left."""
        self._file.close()
