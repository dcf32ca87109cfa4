"""The record of a case: what was sent, answered and run, in the order of time."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start of the case.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now_s():9.4f} {text}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self.lines) + "\n")
