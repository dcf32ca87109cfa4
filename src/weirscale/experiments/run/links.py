"""Links between zones and to the platform, as back ends and nodes of a virtual fleet see them."""

import anyio
import msgspec

from weirscale.domain.identifiers import ZoneName

SAME_ZONE_DELAY_S = 0.0002
ZONE_DELAY_S = 0.0015
"""One way between zones."""
CALLER_DELAY_S = 0.001
"""One way between a caller and a node."""
CONNECT_TIMEOUT_S = 1.0
"""Connecting over a cut link fails after this time."""


class Links:
    """Which zones can reach one another and the platform."""

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
        """Make all links of a zone whole."""
        self._cut_zones.discard(zone)
        self._zones_without_platform.discard(zone)
        self._notify()

    def rejoin_platform(self, zone: ZoneName) -> None:
        """Give a zone the platform back, unless the zone itself is cut off."""
        if zone not in self._cut_zones:
            self._zones_without_platform.discard(zone)
        self._notify()

    def are_joined(self, first: ZoneName, second: ZoneName) -> bool:
        """Whether two zones reach each other."""
        if first == second:
            return True
        return first not in self._cut_zones and second not in self._cut_zones

    def reaches_platform(self, zone: ZoneName) -> bool:
        """Whether a zone reaches the platform."""
        return zone not in self._zones_without_platform

    async def wait_for_change(self) -> None:
        """Wait until any link changes."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class Path(msgspec.Struct, frozen=True):
    """The way from one zone to another."""

    links: Links
    source: ZoneName
    destination: ZoneName

    @property
    def delay_s(self) -> float:
        """One-way delay."""
        return SAME_ZONE_DELAY_S if self.source == self.destination else ZONE_DELAY_S

    @property
    def is_joined(self) -> bool:
        """Whether the way is open."""
        return self.links.are_joined(self.source, self.destination)

    async def connect(self) -> bool:
        """Travel there once; False, after the connect timeout, if the way is cut."""
        if not self.is_joined:
            await anyio.sleep(CONNECT_TIMEOUT_S)
            return False
        await anyio.sleep(self.delay_s)
        return True

    async def wait_until_joined(self) -> None:
        """Wait as bytes on a connection do: until the way is open."""
        while not self.is_joined:
            await self.links.wait_for_change()
