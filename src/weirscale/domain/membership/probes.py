"""Probes in flight and pings relayed for others."""

import msgspec

from weirscale.domain.identifiers import NodeAddress, NodeName
from weirscale.messages.membership import MemberUpdate


class Probe(msgspec.Struct):
    """A probe of one member.

    Attributes:
        target: The record that was probed.
        sent_at_s: When the ping was sent.
        helpers_asked: Whether indirect probes were asked for.
    """

    target: MemberUpdate
    sent_at_s: float
    helpers_asked: bool = False


class Relay(msgspec.Struct):
    """A ping sent for another node, whose ack is passed on to it."""

    origin: NodeAddress
    origin_sequence: int
    sent_at_s: float


class ProbeTable:
    """Probes and relays by the sequence of their pings."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._probed: set[NodeName] = set()
        self._relays: dict[int, Relay] = {}

    def start(self, target: MemberUpdate, now_s: float) -> int | None:
        """Start a probe; returns its sequence, or None if one of the member is in flight."""
        if target.name in self._probed:
            return None
        self._sequence += 1
        self._probes[self._sequence] = Probe(target, now_s)
        self._probed.add(target.name)
        return self._sequence

    def start_relay(self, origin: NodeAddress, origin_sequence: int, now_s: float) -> int:
        """Start a relayed ping; returns its own sequence."""
        self._sequence += 1
        self._relays[self._sequence] = Relay(origin, origin_sequence, now_s)
        return self._sequence

    def next_sequence(self) -> int:
        """Return a sequence for a ping whose ack is of no account."""
        self._sequence += 1
        return self._sequence

    def finish(self, sequence: int) -> Probe | None:
        """End the probe of an ack (or a failed one)."""
        probe = self._probes.pop(sequence, None)
        if probe is not None:
            self._probed.discard(probe.target.name)
        return probe

    def finish_relay(self, sequence: int) -> Relay | None:
        """End the relayed ping of an ack."""
        return self._relays.pop(sequence, None)

    def in_flight(self) -> list[tuple[int, Probe]]:
        """Return all probes in flight with their sequences."""
        return list(self._probes.items())

    def drop_relays(self, sent_before_s: float) -> None:
        """Forget relayed pings without an ack."""
        for sequence, relay in list(self._relays.items()):
            if relay.sent_at_s < sent_before_s:
                del self._relays[sequence]

    def clear(self) -> None:
        """Forget everything in flight: after a pause nothing can be concluded from it."""
        self._probes.clear()
        self._probed.clear()
        self._relays.clear()
