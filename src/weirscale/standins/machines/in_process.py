"""`MachineListPort` that calls a stand-in in the same event loop, for fleets in virtual time."""

from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from weirscale.ports.machines import Machine, MachineListFailure
from weirscale.standins.machines.model import MachineListModel

DEFAULT_TIMEOUT_S = 3.0


class InProcessMachineList:
    """A client of a `MachineListModel`."""

    def __init__(
        self,
        model: MachineListModel,
        now: Callable[[], float] = anyio.current_time,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._model = model
        self._now = now
        self._timeout_s = timeout_s

    async def machines(self) -> Result[tuple[Machine, ...], MachineListFailure]:
        """Read the list."""
        if self._model.faults.is_down:
            return Err(
                MachineListFailure("the machine list is unavailable; keep using the last one")
            )
        with anyio.move_on_after(self._timeout_s):
            await anyio.sleep(self._model.faults.delay_s)
            return Ok(self._model.listed(self._now()))
        return Err(
            MachineListFailure("the machine list did not answer in time; keep using the last one")
        )
