"""Zones of nodes and back ends, and the regions that the zones belong to.

Crossing zones within a region costs a few milliseconds. Links between regions have high latency and
low bandwidth. A deployment without regions counts as a single region.
"""

from collections.abc import Mapping

import msgspec

from weirscale.domain.identifiers import RegionName, ZoneName

NO_REGION = RegionName("")
"""Region of a zone that is missing from the settings; it counts as part of every region."""


class Topology:
    """Maps zones to regions.

    Args:
        regions: The region of each zone.
    """

    def __init__(self, regions: Mapping[ZoneName, RegionName]) -> None:
        self._regions = dict(regions)

    def region_of(self, zone: ZoneName) -> RegionName:
        """Return a zone's region; `NO_REGION` if the zone is unknown."""
        return self._regions.get(zone, NO_REGION)

    def is_cross_region(self, zone: ZoneName, other: ZoneName) -> bool:
        """Return whether two zones are known to be in different regions."""
        return are_different_regions(self.region_of(zone), self.region_of(other))


def are_different_regions(region: RegionName, other: RegionName) -> bool:
    """Return whether two regions are both known and differ."""
    return region != other and NO_REGION not in (region, other)


ONE_REGION = Topology({})
"""Topology of a deployment without regions."""


class Location(msgspec.Struct, frozen=True):
    """Location of a node.

    Attributes:
        zone: The node's zone.
        topology: The regions of all zones.
    """

    zone: ZoneName
    topology: Topology = ONE_REGION

    def is_cross_region(self, zone: ZoneName) -> bool:
        """Return whether a zone is known to be in another region."""
        return self.topology.is_cross_region(self.zone, zone)
