"""Which versions of a service's program a request may go to."""

from typing import Protocol

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.rollouts.gate import Track


class VersionRules(Protocol):
    """Tells which versions of a service's program may be chosen."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return those of some back ends that a request of a track may go to."""
        ...


class AllVersions:
    """Lets every version be chosen."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return all back ends."""
        return back_ends
