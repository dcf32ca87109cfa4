"""Selection of the service versions that a request may be sent to."""

from typing import Protocol

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd, of_version
from weirscale.gateway.rollouts.gate import Track


class VersionRules(Protocol):
    """Selects the back ends whose service version may be chosen."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return the back ends of a list that a request on a track may be sent to."""
        ...

    def continuing(
        self,
        service: ServiceName,
        back_ends: list[BackEnd],
        track: Track,
        version: SoftwareVersion,
    ) -> list[BackEnd]:
        """Return the back ends of a list that may continue a stream that a version began."""
        ...


class AllVersions:
    """Allows every version."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return all back ends."""
        return back_ends

    def continuing(
        self,
        service: ServiceName,
        back_ends: list[BackEnd],
        track: Track,
        version: SoftwareVersion,
    ) -> list[BackEnd]:
        """Return all back ends of the version."""
        return of_version(back_ends, version)
