"""What faults act on."""

from weirscale.domain.identifiers import ZoneName
from weirscale.experiments.memory_network import MemoryNetwork
from weirscale.experiments.run.fleet import Fleet
from weirscale.experiments.run.operator import Operator
from weirscale.experiments.run.platform import Platform
from weirscale.experiments.run.recorder import Recorder


class World:
    """All parts of a virtual run.

    Attributes:
        platform: The stand-ins.
        fleet: The nodes.
        network: The network between nodes.
        operator: Applies configurations.
        recorder: Takes records of faults.
        cut_zones: Zones that are cut off now.
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
        """Make the network between nodes agree with `cut_zones`."""
        self.network.heal()
        for zone in self.cut_zones:
            inside = {place.address for place in self.fleet.places if place.zone == zone}
            outside = {place.address for place in self.fleet.places if place.zone != zone}
            self.network.cut_both_ways(inside, outside)
