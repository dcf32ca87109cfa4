"""How much work each back end has from this node and, as told, from the others."""

import msgspec

PEER_LOAD_LIFE_S = 1.5
"""A peer that has been silent for this long has stopped, or is cut off: its load counts no more."""


class Load(msgspec.Struct, frozen=True):
    """Work at one back end.

    Attributes:
        num_requests: Requests without a whole answer.
        waiting_tokens: Prompt tokens to read for requests without a first event.
        held_tokens: Prompt tokens of all these requests, which take the runner's memory.
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


NO_LOAD = Load()


class _PeerLoad(msgspec.Struct):
    load: Load
    heard_at_s: float


class FleetLoad:
    """Sums the load of all nodes for each back end."""

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, dict[str, _PeerLoad]] = {}
        self._changed: set[str] = set()

    def begin(self, instance: str, waiting_tokens: int, held_tokens: int) -> None:
        """A request goes out."""
        self._add(instance, Load(1, waiting_tokens, held_tokens))

    def first_event(self, instance: str, waiting_tokens: int) -> None:
        """Its prompt has been read."""
        self._add(instance, Load(0, -waiting_tokens, 0))

    def end(self, instance: str, held_tokens: int) -> None:
        """It has ended."""
        self._add(instance, Load(-1, 0, -held_tokens))

    def _add(self, instance: str, change: Load) -> None:
        total = self._own.get(instance, NO_LOAD).plus(change)
        if total == NO_LOAD:
            self._own.pop(instance, None)
        else:
            self._own[instance] = total
        self._changed.add(instance)

    def hear(self, peer: str, instance: str, load: Load, now_s: float) -> None:
        """Take over what a peer tells of its own load."""
        self._peers.setdefault(instance, {})[peer] = _PeerLoad(load, now_s)

    def own(self, instance: str) -> Load:
        """Return this node's own load on a back end."""
        return self._own.get(instance, NO_LOAD)

    def own_instances(self) -> tuple[str, ...]:
        """Return the back ends that this node has work at."""
        return tuple(self._own)

    def total(self, instance: str, now_s: float) -> Load:
        """Return the load of all nodes on a back end."""
        total = self.own(instance)
        for heard in self._peers.get(instance, {}).values():
            if now_s - heard.heard_at_s <= PEER_LOAD_LIFE_S:
                total = total.plus(heard.load)
        return total

    def age_s(self, instance: str, now_s: float) -> float:
        """Return the age of the oldest news that counts in the load of a back end."""
        ages = [now_s - heard.heard_at_s for heard in self._peers.get(instance, {}).values()]
        return max((age_s for age_s in ages if age_s <= PEER_LOAD_LIFE_S), default=0.0)

    def take_changed(self) -> dict[str, Load]:
        """Return the loads that changed since the last call."""
        changed = {instance: self.own(instance) for instance in self._changed}
        self._changed.clear()
        return changed

    def forget(self, instance: str) -> None:
        """Forget what peers told of a back end that is gone."""
        self._peers.pop(instance, None)
