"""Expected one-way delay from this node to a zone, from what the configuration says of regions."""

from weirscale.domain.identifiers import ZoneName
from weirscale.node.interfaces import ConfigurationView

SAME_ZONE_DELAY_S = 0.0003
"""Machines of one zone share a switch."""

SAME_REGION_DELAY_S = 0.0015
"""Between zones of one site, as the users measured it."""

OTHER_REGION_DELAY_S = 0.030
"""Between regions: a typical wide-area path."""


class LinkDelays:
    """Answers delays from one zone.

    Args:
        configuration: Tells which zones share a region.
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
