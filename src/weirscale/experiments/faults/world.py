"""The parts of a virtual run that faults act on."""

from weirscale.domain.identifiers import ZoneName
from weirscale.experiments.memory_network import MemoryNetwork
from weirscale.experiments.run.fleet import Fleet
from weirscale.experiments.run.operator import Operator
from weirscale.experiments.run.platform import Platform
from weirscale.experiments.run.recorder import Recorder


class World:
    """All parts of a virtual run.

    Attributes:
        platform: Stand-ins of the external systems.
        fleet: Fleet of nodes.
        network: Network between nodes.
        operator: Applies configurations.
        recorder: Receives the records of faults.
        cut_zones: Zones that are currently cut off.
    """

    def __init__(
        self,
        platform: Platform,
        fleet: Fleet,
        network: MemoryNetwork,
        operator: Operator,
        recorder: Recorder,
    ) -> None:
        self.platform = platform
        self.fleet = fleet
        self.network = network
        self.operator = operator
        self.recorder = recorder
        self.cut_zones: set[ZoneName] = set()

    def apply_cuts(self) -> None:
        """Apply `cut_zones` to the network between nodes."""
        self.network.heal()
        for zone in self.cut_zones:
            inside = {place.address for place in self.fleet.places if place.zone == zone}
            outside = {place.address for place in self.fleet.places if place.zone != zone}
            self.network.cut_both_ways(inside, outside)
