"""Simulated links between the zones of a virtual fleet, and from zones to the platform."""

import anyio
import msgspec

from weirscale.domain.identifiers import ZoneName

SAME_ZONE_DELAY_S = 0.0002
ZONE_DELAY_S = 0.0015
"""One-way delay between zones."""
CALLER_DELAY_S = 0.001
"""One-way delay between a caller and a node."""
CONNECT_TIMEOUT_S = 1.0
"""Time after which a connection attempt over a cut link fails."""


class Links:
    """Tracks which zones can reach one another and the platform."""

    def __init__(self) -> None:
        self._cut_zones: set[ZoneName] = set()
        self._zones_without_platform: set[ZoneName] = set()
        self._changed = anyio.Event()

    def cut_zone(self, zone: ZoneName) -> None:
        """Cut a zone off from all other zones and from the platform."""
        self._cut_zones.add(zone)
        self._zones_without_platform.add(zone)
        self._notify()

    def cut_platform(self, zone: ZoneName) -> None:
        """Cut a zone off from the platform only."""
        self._zones_without_platform.add(zone)
        self._notify()

    def rejoin(self, zone: ZoneName) -> None:
        """Restore all links of a zone."""
        self._cut_zones.discard(zone)
        self._zones_without_platform.discard(zone)
        self._notify()

    def rejoin_platform(self, zone: ZoneName) -> None:
        """Restore a zone's link to the platform, unless the whole zone is cut off."""
        if zone not in self._cut_zones:
            self._zones_without_platform.discard(zone)
        self._notify()

    def are_connected(self, first: ZoneName, second: ZoneName) -> bool:
        """Return whether two zones can reach each other."""
        if first == second:
            return True
        return first not in self._cut_zones and second not in self._cut_zones

    def reaches_platform(self, zone: ZoneName) -> bool:
        """Return whether a zone can reach the platform."""
        return zone not in self._zones_without_platform

    async def wait_for_change(self) -> None:
        """Wait until any link changes."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class ZonePath(msgspec.Struct, frozen=True):
    """The path from one zone to another."""

    links: Links
    source: ZoneName
    destination: ZoneName

    @property
    def delay_s(self) -> float:
        """One-way delay in seconds."""
        return SAME_ZONE_DELAY_S if self.source == self.destination else ZONE_DELAY_S

    @property
    def is_connected(self) -> bool:
        """Whether the zones can reach each other."""
        return self.links.are_connected(self.source, self.destination)

    async def connect(self) -> bool:
        """Wait for the one-way delay; return False after the connect timeout if the path is cut."""
        if not self.is_connected:
            await anyio.sleep(CONNECT_TIMEOUT_S)
            return False
        await anyio.sleep(self.delay_s)
        return True

    async def wait_until_connected(self) -> None:
        """Wait until the path is open, as unacknowledged bytes of a connection do."""
        while not self.is_connected:
            await self.links.wait_for_change()
