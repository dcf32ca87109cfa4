"""How much work each back end has, from this node and, as gossip reports it, from the others.

What is received is kept by its source: another node of this node's group, or the sum of another
group (`peers.groups`). The sum over the sources is updated at each change, since each choice reads
it for every back end.
"""

from collections.abc import Callable

import msgspec

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S, SWEEP_INTERVAL_S


class Load(msgspec.Struct, frozen=True):
    """Work at one back end.

    Attributes:
        num_requests: Requests without a whole answer.
        waiting_tokens: Prompt tokens to read for requests without a first event.
        held_tokens: Prompt tokens of all these requests, which take the engine's memory.
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
    """Sums the load of all nodes for each back end."""

    def __init__(self) -> None:
        self._own: dict[InstanceId, Load] = {}
        self._received: dict[str, dict[InstanceId, _ReceivedLoad]] = {}
        """By source, then by back end."""
        self._received_sums: dict[InstanceId, Load] = {}
        self._swept_at_s = 0.0
        self._changed: set[InstanceId] = set()

    def request_sent(self, instance: InstanceId, waiting_tokens: int, held_tokens: int) -> None:
        """A request goes out.

        Args:
            instance: Where it goes.
            waiting_tokens: Prompt tokens that the engine has to read for it.
            held_tokens: Prompt tokens that take the engine's memory.
        """
        self._add(instance, Load(1, waiting_tokens, held_tokens))

    def first_event_received(self, instance: InstanceId, waiting_tokens: int) -> None:
        """A request's prompt has been read."""
        self._add(instance, Load(0, -waiting_tokens, 0))

    def request_ended(self, instance: InstanceId, held_tokens: int) -> None:
        """A request has ended."""
        self._add(instance, Load(-1, 0, -held_tokens))

    def _add(self, instance: InstanceId, change: Load) -> None:
        _add_to(self._own, instance, change)
        self._changed.add(instance)

    def receive(self, source: str, instance: InstanceId, load: Load, now_s: float) -> None:
        """Take over a source's load on a back end, in place of what it sent before."""
        received = self._received.setdefault(source, {})
        known = received.pop(instance, None)
        if load != NO_LOAD:
            received[instance] = _ReceivedLoad(load, now_s)
        change = load if known is None else load.minus(known.load)
        _add_to(self._received_sums, instance, change)

    def forget_source(self, source: str) -> None:
        """Forget what a source sent."""
        for instance, received in self._received.pop(source, {}).items():
            _add_to(self._received_sums, instance, NO_LOAD.minus(received.load))

    def own(self, instance: InstanceId) -> Load:
        """Return this node's own load on a back end."""
        return self._own.get(instance, NO_LOAD)

    def own_instances(self) -> tuple[InstanceId, ...]:
        """Return the back ends that this node has work at."""
        return tuple(self._own)

    def total(self, instance: InstanceId, now_s: float) -> Load:
        """Return the load of all nodes on a back end."""
        self._sweep(now_s)
        received = self._received_sums.get(instance)
        own = self.own(instance)
        return own if received is None else own.plus(received)

    def sum_of(self, is_wanted: Callable[[str], bool], now_s: float) -> dict[InstanceId, Load]:
        """Return the sum over some sources for each back end that they have work at."""
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
        """Return the age of the oldest gossip that counts in the load of a back end."""
        self._sweep(now_s)
        received = (loads.get(instance) for loads in self._received.values())
        return max((now_s - one.received_at_s for one in received if one is not None), default=0.0)

    def take_changed(self) -> dict[InstanceId, Load]:
        """Return the loads that changed since the last call."""
        changed = {instance: self.own(instance) for instance in self._changed}
        self._changed.clear()
        return changed

    def forget(self, instance: InstanceId) -> None:
        """Forget what others sent of a back end that is gone."""
        for loads in self._received.values():
            loads.pop(instance, None)
        self._received_sums.pop(instance, None)

    def _sweep(self, now_s: float) -> None:
        """Drop what has not been sent again for too long."""
        if now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        for source, loads in list(self._received.items()):
            old = [one for one in loads if now_s - loads[one].received_at_s > PEER_TIMEOUT_S]
            for instance in old:
                _add_to(self._received_sums, instance, NO_LOAD.minus(loads.pop(instance).load))
            if not loads:
                del self._received[source]


def _add_to(loads: dict[InstanceId, Load], instance: InstanceId, change: Load) -> None:
    """Add to one of several loads; one that has become zero is removed."""
    known = loads.get(instance)
    total = change if known is None else known.plus(change)
    if total == NO_LOAD:
        loads.pop(instance, None)
    else:
        loads[instance] = total
