"""Selection of the service versions that a request may be sent to."""

from typing import Protocol

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.rollouts.gate import Track


class VersionRules(Protocol):
    """Selects the back ends whose service version may be chosen."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return the back ends of a list that a request on a track may be sent to."""
        ...


class AllVersions:
    """Allows every version."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return all back ends."""
        return back_ends
