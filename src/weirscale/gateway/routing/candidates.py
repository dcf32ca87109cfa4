"""Which back ends may get a request now, and what is known of each.

A back end may get a request if the platform lists it as ready, its version of the program is one
that the request may go to, its weights are new enough, and it has not asked to be spared it.
Of these, engines that load weights are left out; so are those that have just refused and those
whose circuit is open, unless no other is left.
"""

import math
from collections.abc import Callable, Collection

import msgspec

from weirscale.domain.identifiers import ServiceName
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
"""Seconds after which an engine that was announced to load is used again, should the announcement
of the end be lost. Not measured."""

REFUSAL_PAUSE_S = 0.15
"""Seconds in which a back end that refused a request unrun, and did not say when to come back, gets
none, unless nothing else serves: it may be full, about to leave, or loading weights, and its load
looks small meanwhile. Not measured apart from the changes that came with it."""


class DispatchQuery(msgspec.Struct, frozen=True):
    """What a choice is asked for.

    Attributes:
        service: The service.
        prompt: The prompt, for generations.
        tenant: The tenant, if the route is keyed.
        excluded: Instances that may not be chosen.
        track: Which versions of the service's program may be chosen.
    """

    service: ServiceName
    prompt: Prompt | None
    tenant: Tenant | None
    excluded: Collection[InstanceId]
    track: Track = Track.STABLE


class Candidates:
    """Finds the candidates of a request; owns the marks of engines that load or have refused.

    Args:
        location: Where the node stands.
        cluster: Back ends and versions.
        load: Work at each back end.
        health: Circuits.
        beliefs: What each engine is believed to keep.
        learning: Recent waits.
        weights_grace_s: How long older weights may be sent requests.
        versions: Which versions of a service's program may be chosen.
        engines_of_other_groups: Returns the engines that other groups of nodes prefer.
        back_pressure: Back ends that ask to be spared.
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
        """Return the back ends that may get a request now."""
        usable = self._back_pressure.admitted(self.usable(query, now_s), now_s)
        settled = [one for one in usable if not self.is_loading(one.instance, now_s)]
        calm = [one for one in settled if not self._has_refused(one.instance, now_s)]
        admitted = [one for one in calm if self._health.admits(one.instance, now_s)]
        # With every circuit open, a bad network is likelier than so many bad back ends.
        found = admitted or calm or settled
        others = self._engines_of_other_groups()
        return [self._candidate(one, query.prompt, service, others, now_s) for one in found]

    def next_availability(self, query: DispatchQuery, now_s: float) -> NextAvailability | None:
        """Return when the first of those that ask to be spared a request takes one again."""
        return self._back_pressure.next_availability(self.usable(query, now_s), now_s)

    def usable(self, query: DispatchQuery, now_s: float) -> list[BackEnd]:
        """Return the ready back ends of a version and with weights that the request may go to."""
        ready = self._cluster.back_ends.ready(query.service)
        lowest = 0 if query.prompt is None else self._lowest_version(query.prompt.model, now_s)
        return [
            back_end
            for back_end in self._versions.usable(query.service, ready, query.track)
            if back_end.instance not in query.excluded
            and self._has_usable_weights(back_end, query.prompt, lowest)
        ]

    def of_other_versions(
        self, query: DispatchQuery, service: Service, now_s: float
    ) -> list[Candidate]:
        """Return the engines whose version of the program the request may not go to.

        They may keep cached blocks that it wants.
        """
        ready = self._cluster.back_ends.ready(query.service)
        usable = self._versions.usable(query.service, ready, query.track)
        if len(usable) == len(ready):
            return []
        kept = {one.instance for one in usable}
        return [
            self._candidate(one, query.prompt, service, (), now_s)
            for one in ready
            if one.instance not in kept
        ]

    def mark_loading(self, instance: InstanceId, now_s: float) -> None:
        """Mark that an engine is about to load weights."""
        self._loading_until_s[instance] = now_s + LOADING_MARK_LIFE_S

    def unmark_loading(self, instance: InstanceId) -> None:
        """Mark that an engine has loaded its weights."""
        self._loading_until_s.pop(instance, None)

    def is_loading(self, instance: InstanceId, now_s: float) -> bool:
        """Whether an engine is marked as loading weights."""
        return self._loading_until_s.get(instance, 0.0) > now_s

    def request_refused(self, instance: InstanceId, now_s: float) -> None:
        """A back end refused a request without running it."""
        self._refused_until_s[instance] = now_s + REFUSAL_PAUSE_S

    def forget(self, instance: InstanceId) -> None:
        """Forget a back end that is gone."""
        self._loading_until_s.pop(instance, None)
        self._refused_until_s.pop(instance, None)

    def _has_refused(self, instance: InstanceId, now_s: float) -> bool:
        return self._refused_until_s.get(instance, 0.0) > now_s

    def _has_usable_weights(self, back_end: BackEnd, prompt: Prompt | None, lowest: int) -> bool:
        if prompt is None or not back_end.models:
            return True
        version = self._cluster.engine_versions.version_of(back_end.instance, prompt.model)
        if version is None:
            return False
        return version >= lowest

    def _lowest_version(self, model: str, now_s: float) -> int:
        """Return the oldest weights that may be used."""
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
        if prompt is None or service is None or service.engine is None:
            return Candidate(back_end, load, is_suspect, is_cross_region=is_cross_region)
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
        )

    def _first_newer(self, model: str, version: int | None) -> TargetVersion | None:
        """Return the first target version newer than an engine's, or None."""
        if version is None:
            return None
        return self._cluster.target_versions.first_newer(model, version)

    def _max_start_delay_s(self, newer: TargetVersion, now_s: float) -> float:
        """Return the time until requests may not begin any more on weights older than a version."""
        began_s = self._cluster.grace_began_s(newer)
        return began_s + self.weights_grace_s + START_MARGIN_S - now_s

    def _recent_wait_s(self, back_end: BackEnd, now_s: float) -> float:
        return self._statistics.longest_wait_s(back_end.service, now_s)
