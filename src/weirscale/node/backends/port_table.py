"""Port objects of back ends; closed when idle after removal from the configuration."""

from collections.abc import Callable, Hashable
from typing import Generic, Protocol, TypeVar, runtime_checkable

KeyT = TypeVar("KeyT", bound=Hashable)
PortT = TypeVar("PortT")

RETIRE_GRACE_S = 5.0
"""Shortest time that a retired port stays open: an attempt chosen just before may still use it."""


@runtime_checkable
class ClosablePort(Protocol):
    """A port that holds connections."""

    async def aclose(self) -> None:
        """Close every connection."""
        ...


class _Entry(Generic[PortT]):
    __slots__ = ("num_attempts", "port", "retired_at_s")

    def __init__(self, port: PortT) -> None:
        self.port = port
        self.num_attempts = 0
        self.retired_at_s: float | None = None


class PortTable(Generic[KeyT, PortT]):
    """Ports by back end and address; owned by the directory's task.

    Args:
        make_port: Creates a port from the back end's declaration.
        counts_attempts: Whether attempts are counted; if not, a retired port stays open for the
            whole drain time.
    """

    def __init__(self, make_port: Callable[[KeyT], PortT], counts_attempts: bool) -> None:
        self._make_port = make_port
        self._counts_attempts = counts_attempts
        self._entries: dict[tuple[str, str], _Entry[PortT]] = {}

    def get(self, name: str, address: str, declared: KeyT) -> PortT:
        """Return the port of a back end; creates it on first use and reactivates a retired port."""
        entry = self._entries.get((name, address))
        if entry is None:
            entry = _Entry(self._make_port(declared))
            self._entries[name, address] = entry
        entry.retired_at_s = None
        return entry.port

    def retire_except(self, in_use: set[tuple[str, str]], now_s: float) -> None:
        """Retire the ports whose name and address are not in use."""
        for key, entry in self._entries.items():
            if key not in in_use and entry.retired_at_s is None:
                entry.retired_at_s = now_s

    def record_start(self, name: str, address: str) -> None:
        """Count an attempt that uses a port."""
        entry = self._entries.get((name, address))
        if entry is not None:
            entry.num_attempts += 1

    def record_end(self, name: str, address: str) -> None:
        """Count the end of an attempt."""
        entry = self._entries.get((name, address))
        if entry is not None and entry.num_attempts > 0:
            entry.num_attempts -= 1

    def take_idle(self, now_s: float, drain_timeout_s: float) -> list[PortT]:
        """Remove and return the retired ports to close.

        Args:
            now_s: Current time.
            drain_timeout_s: Longest wait for attempts to end. A port is closed after this time even
                if the message about the end of an attempt was lost.
        """
        idle = [
            key
            for key, entry in self._entries.items()
            if self._is_idle(entry, now_s, drain_timeout_s)
        ]
        return [self._entries.pop(key).port for key in idle]

    def _is_idle(self, entry: _Entry[PortT], now_s: float, drain_timeout_s: float) -> bool:
        if entry.retired_at_s is None:
            return False
        retired_for_s = now_s - entry.retired_at_s
        if retired_for_s >= max(drain_timeout_s, RETIRE_GRACE_S):
            return True
        has_ended = self._counts_attempts and entry.num_attempts == 0
        return has_ended and retired_for_s >= RETIRE_GRACE_S
