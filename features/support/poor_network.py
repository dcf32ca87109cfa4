"""An in-memory network with links of different, changing quality, open to an attacker."""

import msgspec

from weirscale.experiments.memory_network import MemoryNetwork
from weirscale.ports.peers import Datagram


class PoorNetwork(MemoryNetwork):
    """Add link qualities between zones, a record of datagrams, and forged datagrams."""

    def __init__(self, tasks, random, default_quality=None):
        super().__init__(tasks, random, default_quality)
        self._zone_quality = {}
        self.recorded = None
        """Pairs of destination and payload of all datagrams sent, if set to a list."""

    def set_zone_quality(self, first, second, quality):
        """Set the quality between two zones, both ways (or within one zone)."""
        self._zone_quality[first, second] = quality
        self._zone_quality[second, first] = quality

    def set_default_quality(self, quality):
        """Set the quality of links that have no quality of their own."""
        self.default_quality = quality

    def set_drop_rate(self, drop_rate):
        """Set the share of datagrams and calls lost on every link."""
        self.default_quality = msgspec.structs.replace(self.default_quality, drop_rate=drop_rate)
        for zones, quality in list(self._zone_quality.items()):
            self._zone_quality[zones] = msgspec.structs.replace(quality, drop_rate=drop_rate)

    def inject(self, source, destination, payload):
        """Deliver a datagram with any source address, as an attacker could."""
        endpoint = self.endpoints.get(destination)
        if endpoint is not None:
            endpoint.enqueue(Datagram(source, payload))

    def carry(self, source, destination, payload):
        """Deliver one datagram, and record it if `recorded` is set."""
        if self.recorded is not None:
            self.recorded.append((destination, payload))
        super().carry(source, destination, payload)

    def quality_of(self, source, destination):
        """Return the quality of the link between two nodes."""
        endpoint = self.endpoints.get(destination)
        if endpoint is None:
            return self.default_quality
        return self._zone_quality.get((source.zone, endpoint.zone), self.default_quality)
