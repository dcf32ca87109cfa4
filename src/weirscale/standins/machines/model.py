"""Model of the machine list, which shows the state of the machines with a delay."""

from collections.abc import Iterable

import msgspec

from weirscale.ports.machines import Machine

DEFAULT_LAG_S = 3.0


class MachineListFaults(msgspec.Struct):
    """Active faults; the fields may be changed at any time.

    Attributes:
        is_down: All calls fail.
        delay_s: Duration of each call.
        lag_s: Age of the state that the list shows.
        omitted_hosts: Machines that are wrongly missing from the list.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lag_s: float = DEFAULT_LAG_S
    omitted_hosts: tuple[str, ...] = ()


class MachineListModel:
    """Current machines and the past states that the list may show; the caller passes the time."""

    def __init__(self, machines: Iterable[Machine] = (), faults: MachineListFaults | None = None):
        self.faults = faults or MachineListFaults()
        initial = {machine.host: machine for machine in machines}
        self._history: list[tuple[float, dict[str, Machine]]] = [(float("-inf"), initial)]

    def put(self, machine: Machine, now_s: float) -> None:
        """Add or replace a machine."""
        self._record({**self._history[-1][1], machine.host: machine}, now_s)

    def remove(self, host: str, now_s: float) -> None:
        """Remove a machine."""
        machines = dict(self._history[-1][1])
        machines.pop(host, None)
        self._record(machines, now_s)

    def listed(self, now_s: float) -> tuple[Machine, ...]:
        """Return the machines that the list shows now, sorted by host."""
        shown_s = now_s - self.faults.lag_s
        past = [machines for since_s, machines in self._history if since_s <= shown_s]
        omitted = self.faults.omitted_hosts
        return tuple(past[-1][host] for host in sorted(past[-1]) if host not in omitted)

    def _record(self, machines: dict[str, Machine], now_s: float) -> None:
        self._history.append((now_s, machines))
