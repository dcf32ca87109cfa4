"""Simulates nodes before back ends that fall over if they must refuse too many requests."""

import anyio

from features.support.platform_runner import RunnerStandIn
from features.support.speaking_back_ends import StatementSimulation

FALLEN_S = 3.0
"""Seconds until a back end that fell over is back, as a new run."""


class BrittleSimulation(StatementSimulation):
    """Back ends with little room, which state that they are brittle."""

    def __init__(self, num_nodes, num_back_ends, num_zones=1):
        super().__init__(num_nodes, num_back_ends, num_zones)
        self.falls = []
        """Times at which back ends fell over, and their names."""
        self.num_runs = 0

    def make_brittle(self, service, value, room):
        """Let the back ends of a service state that they are brittle, and let few requests wait."""
        for back_end in list(self.back_ends.values()):
            if back_end.service == service:
                self._make_one_brittle(back_end, value, room)

    def _make_one_brittle(self, back_end, value, room):
        back_end.brittle, back_end.room = value, room
        back_end.on_fall = lambda: self.fleet.tasks.start_soon(self._fall, back_end)

    async def _fall(self, back_end):
        """End a back end's process; a new run starts at its address some seconds later."""
        self.falls.append((anyio.current_time(), back_end.instance))
        del self.fleet.targets[back_end.address]
        await anyio.sleep(FALLEN_S)
        self.fleet.store.delete(f"servers/{back_end.instance}")
        self.num_runs += 1
        successor = RunnerStandIn(
            f"{back_end.instance}-{self.num_runs}", back_end.address, back_end.service,
            model=back_end.model,
        )  # fmt: skip
        self._make_one_brittle(successor, back_end.brittle, back_end.room)
        self.back_ends[successor.instance] = successor
        self.fleet.add_runner(successor)
        self.record_traffic(successor)

    def num_refused(self):
        return sum(len(one.refused_s) for one in self.back_ends.values())
