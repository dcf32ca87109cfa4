"""Load on each back end, from this node and, as gossip reports it, from the other nodes.

Received loads are stored by source. A source is another node of this node's group, or another group
as a whole (`peers.groups`). The sum over all sources is updated with each change, since each choice
reads it for every back end.
"""

from collections.abc import Callable

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S, SWEEP_INTERVAL_S


class Load(msgspec.Struct, frozen=True):
    """Load on one back end.

    Attributes:
        num_requests: Requests without a complete answer.
        waiting_tokens: Prompt tokens to prefill for requests without a first event.
        held_tokens: Prompt tokens of all these requests, which occupy the engine's memory.
    """

    num_requests: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum."""
        return Load(
            self.num_requests + other.num_requests,
            self.waiting_tokens + other.waiting_tokens,
            self.held_tokens + other.held_tokens,
        )

    def minus(self, other: "Load") -> "Load":
        """Return the difference."""
        return Load(
            self.num_requests - other.num_requests,
            self.waiting_tokens - other.waiting_tokens,
            self.held_tokens - other.held_tokens,
        )


NO_LOAD = Load()


class _ReceivedLoad(msgspec.Struct, frozen=True):
    load: Load
    received_at_s: float


class FleetLoad:
    """Sums the load of all nodes on each back end."""

    def __init__(self) -> None:
        self._own: dict[InstanceId, Load] = {}
        self._received: dict[str, dict[InstanceId, _ReceivedLoad]] = {}
        """By source, then by back end."""
        self._received_sums: dict[InstanceId, Load] = {}
        self._swept_at_s = 0.0
        self._changed: set[InstanceId] = set()

    def request_sent(self, instance: InstanceId, waiting_tokens: int, held_tokens: int) -> None:
        """Record that this node sent a request.

        Args:
            instance: Back end that it was sent to.
            waiting_tokens: Prompt tokens that the engine has to prefill for it.
            held_tokens: Prompt tokens that occupy the engine's memory.
        """
        self._add(instance, Load(1, waiting_tokens, held_tokens))

    def first_event_received(self, instance: InstanceId, waiting_tokens: int) -> None:
        """Record that the prompt of a request was prefilled."""
        self._add(instance, Load(0, -waiting_tokens, 0))

    def request_ended(self, instance: InstanceId, held_tokens: int) -> None:
        """Record that a request has ended."""
        self._add(instance, Load(-1, 0, -held_tokens))

    def _add(self, instance: InstanceId, change: Load) -> None:
        _add_to(self._own, instance, change)
        self._changed.add(instance)

    def receive(self, source: str, instance: InstanceId, load: Load, now_s: float) -> None:
        """Replace the load of a source on a back end by a newly received one."""
        received = self._received.setdefault(source, {})
        previous = received.pop(instance, None)
        if load != NO_LOAD:
            received[instance] = _ReceivedLoad(load, now_s)
        change = load if previous is None else load.minus(previous.load)
        _add_to(self._received_sums, instance, change)

    def forget_source(self, source: str) -> None:
        """Drop the loads of a source."""
        for instance, received in self._received.pop(source, {}).items():
            _add_to(self._received_sums, instance, NO_LOAD.minus(received.load))

    def own(self, instance: InstanceId) -> Load:
        """Return this node's own load on a back end."""
        return self._own.get(instance, NO_LOAD)

    def own_instances(self) -> tuple[InstanceId, ...]:
        """Return the back ends on which this node has a load."""
        return tuple(self._own)

    def total(self, instance: InstanceId, now_s: float) -> Load:
        """Return the load of all nodes on a back end."""
        self._sweep(now_s)
        received = self._received_sums.get(instance)
        own = self.own(instance)
        return own if received is None else own.plus(received)

    def sum_of(self, is_wanted: Callable[[str], bool], now_s: float) -> dict[InstanceId, Load]:
        """Return the sum of the loads of some sources by back end."""
        self._sweep(now_s)
        sums: dict[InstanceId, Load] = {}
        for source, loads in self._received.items():
            if is_wanted(source):
                for instance, received in loads.items():
                    _add_to(sums, instance, received.load)
        return sums

    def sources(self) -> tuple[str, ...]:
        """Return the sources that have sent loads."""
        return tuple(self._received)

    def age_s(self, instance: InstanceId, now_s: float) -> float:
        """Return the age in seconds of the oldest gossip included in the load on a back end."""
        self._sweep(now_s)
        received = (loads.get(instance) for loads in self._received.values())
        return max(
            (now_s - load.received_at_s for load in received if load is not None), default=0.0
        )

    def take_changed(self) -> dict[InstanceId, Load]:
        """Return the loads of this node that have changed since the last call."""
        changed = {instance: self.own(instance) for instance in self._changed}
        self._changed.clear()
        return changed

    def forget(self, instance: InstanceId) -> None:
        """Drop the received loads on a back end that was removed."""
        for loads in self._received.values():
            loads.pop(instance, None)
        self._received_sums.pop(instance, None)

    def _sweep(self, now_s: float) -> None:
        """Drop received loads that have not been refreshed for `PEER_TIMEOUT_S`."""
        if now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        for source, loads in list(self._received.items()):
            stale = [
                instance
                for instance in loads
                if now_s - loads[instance].received_at_s > PEER_TIMEOUT_S
            ]
            for instance in stale:
                _add_to(self._received_sums, instance, NO_LOAD.minus(loads.pop(instance).load))
            if not loads:
                del self._received[source]


def _add_to(loads: dict[InstanceId, Load], instance: InstanceId, change: Load) -> None:
    """Add a change to the load on a back end; a load that becomes zero is removed."""
    current = loads.get(instance)
    total = change if current is None else current.plus(change)
    if total == NO_LOAD:
        loads.pop(instance, None)
    else:
        loads[instance] = total
