"""Probes in flight and pings relayed for other nodes."""

import msgspec

from weirscale.domain.identifiers import NodeAddress, NodeName
from weirscale.messages.membership import MemberUpdate


class Probe(msgspec.Struct):
    """A probe of one member.

    Attributes:
        target: The probed member's record when the probe started.
        sent_at_s: When the ping was sent.
        helpers_asked: Whether indirect probes were requested.
    """

    target: MemberUpdate
    sent_at_s: float
    helpers_asked: bool = False


class Relay(msgspec.Struct):
    """A ping sent for another node; its ack is forwarded to that node."""

    origin: NodeAddress
    origin_sequence: int
    sent_at_s: float


class ProbeTable:
    """Probes and relays by the sequence number of their pings."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._probed: set[NodeName] = set()
        self._relays: dict[int, Relay] = {}

    def start(self, target: MemberUpdate, now_s: float) -> int | None:
        """Start a probe; return its sequence, or None if a probe of the member is in flight."""
        if target.name in self._probed:
            return None
        self._sequence += 1
        self._probes[self._sequence] = Probe(target, now_s)
        self._probed.add(target.name)
        return self._sequence

    def start_relay(self, origin: NodeAddress, origin_sequence: int, now_s: float) -> int:
        """Start a relayed ping; return its sequence."""
        self._sequence += 1
        self._relays[self._sequence] = Relay(origin, origin_sequence, now_s)
        return self._sequence

    def next_sequence(self) -> int:
        """Return a sequence for a ping whose ack is ignored."""
        self._sequence += 1
        return self._sequence

    def finish(self, sequence: int) -> Probe | None:
        """End a probe that was acknowledged or failed; return None if it is not in flight."""
        probe = self._probes.pop(sequence, None)
        if probe is not None:
            self._probed.discard(probe.target.name)
        return probe

    def finish_relay(self, sequence: int) -> Relay | None:
        """End an acknowledged relayed ping; return None if it is not in flight."""
        return self._relays.pop(sequence, None)

    def in_flight(self) -> list[tuple[int, Probe]]:
        """Return all probes in flight with their sequences."""
        return list(self._probes.items())

    def drop_relays(self, sent_before_s: float) -> None:
        """Drop unacknowledged relayed pings that were sent before a given time."""
        for sequence, relay in list(self._relays.items()):
            if relay.sent_at_s < sent_before_s:
                del self._relays[sequence]

    def clear(self) -> None:
        """Drop everything in flight, because missing acks prove nothing after a suspension."""
        self._probes.clear()
        self._probed.clear()
        self._relays.clear()
