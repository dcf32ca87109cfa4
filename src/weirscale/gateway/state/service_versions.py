"""Which service versions have registered back ends, or had them, as far as this node has read."""

from collections.abc import Callable

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory
from weirscale.gateway.state.address_claims import AddressClaims
from weirscale.gateway.state.store_outages import NEVER_S

ESTABLISHED_S = 20.0
"""Seconds after its first registration from which a service version counts as established, so that
a rollout to it needs no canary."""


class ServiceVersions:
    """Stores since when each service version has been seen, and when it last lost a back end.

    Args:
        directory: The back ends in use.
        claims: All registrations.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self, directory: BackEndDirectory, claims: AddressClaims, clock: Callable[[], float]
    ) -> None:
        self._directory = directory
        self._claims = claims
        self._clock = clock
        self._first_seen_s: dict[tuple[ServiceName, SoftwareVersion], float] = {}
        """When this node first saw each service version. The age of versions that existed before
        the node started is unknown."""
        self._ended_s: dict[tuple[ServiceName, SoftwareVersion], float] = {}
        self._unread_ended_s = NEVER_S

    def record_seen(self, back_end: BackEnd) -> None:
        """Record a registration."""
        self._first_seen_s.setdefault((back_end.service, back_end.software), self._clock())

    def record_ended(self, back_end: BackEnd) -> None:
        """Record that a back end is gone."""
        self._ended_s[back_end.service, back_end.software] = self._clock()

    def record_replaced(self, previous: BackEnd, current: BackEnd) -> None:
        """Record that a back end registers again, perhaps with another service or version."""
        if (previous.service, previous.software) != (current.service, current.software):
            self.record_ended(previous)

    def record_unread_ended(self) -> None:
        """Record that a back end is gone whose registration this node never read."""
        self._unread_ended_s = self._clock()

    def registered_since(self, service: ServiceName, since_s: float) -> set[SoftwareVersion] | None:
        """Return all versions of a service that were registered at any time since `since_s`.

        Returns None if this node has not read all registrations of that time.
        """
        if self._unread_ended_s >= since_s:
            return None
        ended = {
            version
            for (of_service, version), at_s in self._ended_s.items()
            if of_service == service and at_s >= since_s
        }
        registered = {
            claim.back_end.software
            for claim in self._claims.all()
            if claim.back_end.service == service
        }
        return ended | registered | self._listed(service)

    def is_established(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Return whether a service version has served for `ESTABLISHED_S` or is the only version.

        Back ends that an operator starts just before a rollout to their version do not establish
        it. Neither do back ends that this node found when it started shortly before the rollout.
        """
        if self._listed(service) == {version}:
            return True
        since_s = self._first_seen_s.get((service, version))
        return since_s is not None and self._clock() - since_s >= ESTABLISHED_S

    def _listed(self, service: ServiceName) -> set[SoftwareVersion]:
        return {back_end.software for back_end in self._directory.of_service(service)}
