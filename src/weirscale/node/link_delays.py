"""Expected one-way delay from this node to a zone, based on the configured regions."""

from weirscale.domain.identifiers import ZoneName
from weirscale.node.interfaces import ConfigurationView

SAME_ZONE_DELAY_S = 0.0003
"""Delay within one zone, where machines share a switch."""

SAME_REGION_DELAY_S = 0.0015
"""Delay between zones of one region, as at the users' sites."""

OTHER_REGION_DELAY_S = 0.030
"""Delay between regions, typical of a wide-area network path."""


class LinkDelays:
    """Estimates network delays from one zone.

    Args:
        configuration: Defines which zones share a region.
        zone: This node's zone.
    """

    def __init__(self, configuration: ConfigurationView, zone: ZoneName) -> None:
        self._configuration = configuration
        self._zone = zone

    def delay_s(self, zone: ZoneName) -> float:
        """Return the expected one-way delay to a zone, in seconds."""
        if zone == self._zone:
            return SAME_ZONE_DELAY_S
        in_force = self._configuration.current()
        regions = in_force.deployment.regions if in_force is not None else ()
        shares_region = any(
            zone in region.zones and self._zone in region.zones for region in regions
        )
        return SAME_REGION_DELAY_S if shares_region else OTHER_REGION_DELAY_S
