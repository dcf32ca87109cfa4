"""The machine list: what is so, and what the list says a while later."""

from collections.abc import Iterable

import msgspec

from weirscale.ports.machines import Machine

DEFAULT_LAG_S = 3.0


class MachineListFaults(msgspec.Struct):
    """Faults in force; change the fields at any time.

    Attributes:
        is_down: Every call fails.
        delay_s: Each call takes this long.
        lag_s: The list shows what was so this long ago.
        omitted_hosts: Machines that the list wrongly leaves out.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lag_s: float = DEFAULT_LAG_S
    omitted_hosts: tuple[str, ...] = ()


class MachineListModel:
    """Machines as they are, with the past that the list still shows; no clock of its own."""

    def __init__(self, machines: Iterable[Machine] = (), faults: MachineListFaults | None = None):
        self.faults = faults or MachineListFaults()
        first = {machine.host: machine for machine in machines}
        self._history: list[tuple[float, dict[str, Machine]]] = [(float("-inf"), first)]

    def put(self, machine: Machine, now_s: float) -> None:
        """Add a machine, or change whether it is leaving."""
        self._remember({**self._history[-1][1], machine.host: machine}, now_s)

    def remove(self, host: str, now_s: float) -> None:
        """Take a machine away."""
        machines = dict(self._history[-1][1])
        machines.pop(host, None)
        self._remember(machines, now_s)

    def listed(self, now_s: float) -> tuple[Machine, ...]:
        """Return the list as it is shown now, sorted by host."""
        shown_s = now_s - self.faults.lag_s
        past = [machines for since_s, machines in self._history if since_s <= shown_s]
        omitted = self.faults.omitted_hosts
        return tuple(past[-1][host] for host in sorted(past[-1]) if host not in omitted)

    def _remember(self, machines: dict[str, Machine], now_s: float) -> None:
        self._history.append((now_s, machines))
