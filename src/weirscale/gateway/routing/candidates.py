"""Selection of the candidates for a request, with the state of each.

A back end may be sent a request if the platform lists it as ready, its service version is allowed
for the request, its weights are new enough, and neither a rest nor its request limit prevents it.
Of these, engines that are loading weights are left out. Back ends that have just refused a request
and those with an open circuit are also left out, unless no others remain.
"""

import math
from collections.abc import Callable, Collection

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import Service, Tenant
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.model.topology import Location
from weirscale.gateway.rollouts.gate import Track
from weirscale.gateway.routing.attempt_statistics import AttemptStatistics
from weirscale.gateway.routing.back_pressure import BackPressure, NextAvailability
from weirscale.gateway.routing.cache_index import CacheIndex
from weirscale.gateway.routing.candidate import Candidate
from weirscale.gateway.routing.choice_rules import START_MARGIN_S
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.routing.version_rules import VersionRules
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.target_versions import TargetVersion

LOADING_MARK_LIFE_S = 7.0
"""Seconds after which an engine that was announced to load weights is used again, in case the
announcement of the end is lost."""

REFUSAL_PAUSE_S = 0.15
"""Seconds for which a back end gets no requests after it refused one without running it and without
stating when to retry, unless no other back end is left. It may be full, about to leave, or loading
weights, and in that time its load looks small."""


class DispatchQuery(msgspec.Struct, frozen=True):
    """A request for a choice of back end.

    Attributes:
        service: The service.
        prompt: The prompt of a generation; None for other requests.
        tenant: The tenant if the route is keyed; None otherwise.
        excluded: Instances that may not be chosen.
        track: Selects the service versions that may be chosen.
        stream_version: Service version that began the stream which the request continues; None for
            a request that continues none.
    """

    service: ServiceName
    prompt: Prompt | None
    tenant: Tenant | None
    excluded: Collection[InstanceId]
    track: Track = Track.STABLE
    stream_version: SoftwareVersion | None = None


class Candidates:
    """Selects the candidates for a request.

    Owns the marks of engines that are loading weights and of back ends that have refused a request.

    Args:
        location: Location of this node.
        cluster: Back ends and their versions.
        load: Load on each back end.
        health: Circuits of the back ends.
        cache_index: Blocks that are presumably cached at each engine.
        statistics: Recent waits.
        weights_grace_s: Seconds for which older weights may be sent requests.
        versions: Selects the service versions that may be chosen.
        engines_of_other_groups: Returns the engines that other groups of nodes prefer.
        back_pressure: Rests and request limits of back ends.
    """

    def __init__(
        self,
        location: Location,
        cluster: ClusterState,
        load: FleetLoad,
        health: BackEndHealth,
        cache_index: CacheIndex,
        statistics: AttemptStatistics,
        weights_grace_s: float,
        versions: VersionRules,
        engines_of_other_groups: Callable[[], Collection[InstanceId]],
        back_pressure: BackPressure,
    ) -> None:
        self._location = location
        self._cluster = cluster
        self._load = load
        self._health = health
        self._cache_index = cache_index
        self._statistics = statistics
        self.weights_grace_s = weights_grace_s
        self._versions = versions
        self._engines_of_other_groups = engines_of_other_groups
        self._back_pressure = back_pressure
        self._loading_until_s: dict[InstanceId, float] = {}
        self._refused_until_s: dict[InstanceId, float] = {}

    def find(self, query: DispatchQuery, service: Service | None, now_s: float) -> list[Candidate]:
        """Return the back ends that may be sent a request now."""
        ready = self._cluster.back_ends.ready(query.service)
        usable = self._back_pressure.admitted(self.usable(query, now_s), now_s, ready)
        loaded = [back_end for back_end in usable if not self.is_loading(back_end.instance, now_s)]
        not_refusing = [
            back_end for back_end in loaded if not self._has_refused(back_end.instance, now_s)
        ]
        admitted = [
            back_end for back_end in not_refusing if self._health.admits(back_end.instance, now_s)
        ]
        # If all circuits are open, a network fault is more likely than a fault of all back ends.
        selected = admitted or not_refusing or loaded
        others = self._engines_of_other_groups()
        return [
            self._candidate(back_end, query.prompt, service, others, now_s) for back_end in selected
        ]

    def next_availability(self, query: DispatchQuery, now_s: float) -> NextAvailability | None:
        """Return the earliest time at which a back end under back pressure can be used again.

        Returns None if no back end is under back pressure.
        """
        ready = self._cluster.back_ends.ready(query.service)
        return self._back_pressure.next_availability(self.usable(query, now_s), now_s, ready)

    def usable(self, query: DispatchQuery, now_s: float) -> list[BackEnd]:
        """Return the ready back ends with a service version and weights allowed for the request."""
        ready = self._cluster.back_ends.ready(query.service)
        lowest_version = (
            0 if query.prompt is None else self._lowest_version(query.prompt.model, now_s)
        )
        return [
            back_end
            for back_end in self._of_allowed_versions(query, ready)
            if back_end.instance not in query.excluded
            and self._has_usable_weights(back_end, query.prompt, lowest_version)
        ]

    def of_other_versions(
        self, query: DispatchQuery, service: Service, now_s: float
    ) -> list[Candidate]:
        """Return the engines whose service version is not allowed for the request.

        They may have cached blocks that the request can use.
        """
        ready = self._cluster.back_ends.ready(query.service)
        usable = self._of_allowed_versions(query, ready)
        if len(usable) == len(ready):
            return []
        usable_instances = {back_end.instance for back_end in usable}
        return [
            self._candidate(back_end, query.prompt, service, (), now_s)
            for back_end in ready
            if back_end.instance not in usable_instances
        ]

    def _of_allowed_versions(self, query: DispatchQuery, ready: list[BackEnd]) -> list[BackEnd]:
        if query.stream_version is None:
            return self._versions.usable(query.service, ready, query.track)
        return self._versions.continuing(query.service, ready, query.track, query.stream_version)

    def mark_loading(self, instance: InstanceId, now_s: float) -> None:
        """Mark an engine that is about to load weights."""
        self._loading_until_s[instance] = now_s + LOADING_MARK_LIFE_S

    def unmark_loading(self, instance: InstanceId) -> None:
        """Remove the mark of an engine that has loaded its weights."""
        self._loading_until_s.pop(instance, None)

    def is_loading(self, instance: InstanceId, now_s: float) -> bool:
        """Return whether an engine is marked as loading weights."""
        return self._loading_until_s.get(instance, 0.0) > now_s

    def request_refused(self, instance: InstanceId, now_s: float) -> None:
        """Record that a back end refused a request without running it."""
        self._refused_until_s[instance] = now_s + REFUSAL_PAUSE_S

    def forget(self, instance: InstanceId) -> None:
        """Drop the state of a back end that was removed."""
        self._loading_until_s.pop(instance, None)
        self._refused_until_s.pop(instance, None)

    def _has_refused(self, instance: InstanceId, now_s: float) -> bool:
        return self._refused_until_s.get(instance, 0.0) > now_s

    def _has_usable_weights(
        self, back_end: BackEnd, prompt: Prompt | None, lowest_version: int
    ) -> bool:
        if prompt is None or not back_end.models:
            return True
        version = self._cluster.engine_versions.version_of(back_end.instance, prompt.model)
        if version is None:
            return False
        return version >= lowest_version

    def _lowest_version(self, model: str, now_s: float) -> int:
        """Return the oldest weight version that requests may start on."""
        return self._cluster.target_versions.lowest_allowed(
            model, now_s, self.weights_grace_s, self._cluster.outage_ended_s()
        )

    def _candidate(
        self,
        back_end: BackEnd,
        prompt: Prompt | None,
        service: Service | None,
        of_other_groups: Collection[InstanceId],
        now_s: float,
    ) -> Candidate:
        load = self._load.total(back_end.instance, now_s)
        is_suspect = self._health.is_suspect(back_end.instance, now_s)
        is_cross_region = self._location.is_cross_region(back_end.zone)
        has_spare_permit = self._back_pressure.has_spare_permit(back_end.run_id)
        if prompt is None or service is None or service.engine is None:
            return Candidate(
                back_end, load, is_suspect, is_cross_region=is_cross_region,
                has_spare_permit=has_spare_permit,
            )  # fmt: skip
        capacity = service.engine.cache_tokens
        version = self._cluster.engine_versions.version_of(back_end.instance, prompt.model)
        targets = self._cluster.target_versions
        newer = self._first_newer(prompt.model, version)
        return Candidate(
            back_end,
            load,
            is_suspect,
            self._cache_index.at_engine(back_end.instance, capacity),
            capacity,
            version,
            newest_version=None if newer is None else targets.newest(prompt.model),
            weights_behind_s=0.0 if newer is None else now_s - newer.set_after_s,
            max_start_delay_s=math.inf if newer is None else self._max_start_delay_s(newer, now_s),
            recent_wait_s=0.0 if newer is None else self._recent_wait_s(back_end, now_s),
            belongs_to_other_group=back_end.instance in of_other_groups,
            region=self._location.topology.region_of(back_end.zone),
            is_cross_region=is_cross_region,
            has_spare_permit=has_spare_permit,
        )

    def _first_newer(self, model: str, version: int | None) -> TargetVersion | None:
        """Return the first target version newer than an engine's version; None if there is none."""
        if version is None:
            return None
        return self._cluster.target_versions.first_newer(model, version)

    def _max_start_delay_s(self, newer: TargetVersion, now_s: float) -> float:
        """Return the seconds until requests may no longer start on weights older than a version."""
        grace_start_s = self._cluster.grace_began_s(newer)
        return grace_start_s + self.weights_grace_s + START_MARGIN_S - now_s

    def _recent_wait_s(self, back_end: BackEnd, now_s: float) -> float:
        return self._statistics.longest_wait_s(back_end.service, now_s)
