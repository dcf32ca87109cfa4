"""Suspicions of members, and their timeouts."""

import msgspec

from weirscale.domain.identifiers import NodeName
from weirscale.domain.membership.rules import MembershipRules


class Suspicion(msgspec.Struct):
    """The suspicion of one member.

    Attributes:
        started_at_s: When this node learned of the suspicion, plus the time for which its process
            was suspended since.
        accusers: Distinct nodes whose probes of the member failed.
    """

    started_at_s: float
    accusers: set[str]


class SuspicionTable:
    """Suspicions by member."""

    def __init__(self, rules: MembershipRules) -> None:
        self._rules = rules
        self._suspicions: dict[NodeName, Suspicion] = {}

    def start(self, name: NodeName, accuser: str, now_s: float) -> None:
        """Start the suspicion of a member."""
        self._suspicions[name] = Suspicion(now_s, {accuser})

    def confirm(self, name: NodeName, accuser: str) -> bool:
        """Add an accuser; return True if it is new and still shortens the suspicion."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > self._rules.num_confirmations:
            return False
        suspicion.accusers.add(accuser)
        return True

    def end(self, name: NodeName) -> Suspicion | None:
        """End the suspicion of a member; return None if it was not suspected."""
        return self._suspicions.pop(name, None)

    def postpone(self, by_s: float) -> None:
        """Postpone all timeouts by a time during which refutations could not be received."""
        for suspicion in self._suspicions.values():
            suspicion.started_at_s += by_s

    def expired(self, now_s: float, num_live: int) -> list[NodeName]:
        """Return members whose suspicion has timed out."""
        return [
            name
            for name, suspicion in self._suspicions.items()
            if now_s >= suspicion.started_at_s + self._timeout_s(suspicion, num_live)
        ]

    def _timeout_s(self, suspicion: Suspicion, num_live: int) -> float:
        return self._rules.suspicion_timeout_s(len(suspicion.accusers) - 1, num_live)
