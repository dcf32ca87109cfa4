"""Where machines and back ends stand: zones, and the regions that they belong to.

Within a region a zone more or less costs some milliseconds; between regions links are long and
thin. A deployment without regions counts as one region.
"""

from collections.abc import Mapping

import msgspec

from weirscale.domain.identifiers import RegionName, ZoneName

NO_REGION = RegionName("")
"""Of a zone that the settings do not name: it is near to everything."""


class Topology:
    """Which zones are in which region.

    Args:
        regions: The region of each zone.
    """

    def __init__(self, regions: Mapping[ZoneName, RegionName]) -> None:
        self._regions = dict(regions)

    def region_of(self, zone: ZoneName) -> RegionName:
        """Return a zone's region."""
        return self._regions.get(zone, NO_REGION)

    def is_cross_region(self, zone: ZoneName, other: ZoneName) -> bool:
        """Whether two zones are known to stand in different regions."""
        return are_different_regions(self.region_of(zone), self.region_of(other))


def are_different_regions(region: RegionName, other: RegionName) -> bool:
    """Whether two regions are known and differ."""
    return region != other and NO_REGION not in (region, other)


ONE_REGION = Topology({})
"""A deployment that names no regions."""


class Location(msgspec.Struct, frozen=True):
    """Where a node stands.

    Attributes:
        zone: Its zone.
        topology: Which zones are far from one another.
    """

    zone: ZoneName
    topology: Topology = ONE_REGION

    def is_cross_region(self, zone: ZoneName) -> bool:
        """Whether a zone is known to be in another region."""
        return self.topology.is_cross_region(self.zone, zone)
