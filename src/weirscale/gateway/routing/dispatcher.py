"""Chooses back ends for requests and keeps what the choice rests on: load, caches, health."""

import math
from collections.abc import Callable, Collection
from random import Random
from typing import Protocol

import msgspec

from weirscale.domain.identifiers import ServiceName, ZoneName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import KeptKvStore, Service, Tenant
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.model.prompt import CacheScope, Prompt, PromptBlock
from weirscale.gateway.model.topology import ONE_REGION, Topology
from weirscale.gateway.rollouts.gate import Track
from weirscale.gateway.routing.cache_belief import CacheBelief
from weirscale.gateway.routing.choice import (
    START_MARGIN_S,
    Candidate,
    Choice,
    ChoiceRules,
    FetchSource,
    PromptNeed,
    choose,
    fetch_s,
    reading_work,
)
from weirscale.gateway.routing.first_event_model import FirstEventModel
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.routing.overdue import OverdueAttempts
from weirscale.gateway.routing.recent_waits import RecentWaits
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.target_versions import TargetVersion

LOADING_MARK_LIFE_S = 7.0
"""An engine that was announced to load is used again after this, should the end go untold."""

REFUSAL_PAUSE_S = 0.15
"""A back end that refused a request unrun is left alone for this long, unless nothing else serves:
it may be full, about to leave, or loading weights, and looks idle meanwhile."""

SLOW_SOURCE_S = 0.25
"""A first event this much later than estimated, with a fetch from a store, makes it suspect."""

SLOW_SOURCE_PAUSE_S = 2.0
"""How long a suspect store is not fetched from."""

CACHE_SHARE = 0.8
"""Share of an engine's memory that is believed to keep parts; running requests take the rest."""


class DispatchQuery(msgspec.Struct, frozen=True):
    """What a choice is asked for.

    Attributes:
        service: The service.
        prompt: The prompt, for generations.
        tenant: The tenant, if the route is keyed.
        excluded: Instances that may not be chosen.
        lane: Which versions of the service's program may be chosen.
    """

    service: ServiceName
    prompt: Prompt | None
    tenant: Tenant | None
    excluded: Collection[InstanceId]
    track: Track = Track.STABLE


class VersionRules(Protocol):
    """Tells which versions of a service's program may be chosen."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return those of some back ends that a request of a lane may go to."""
        ...


class AllVersions:
    """Lets every version be chosen."""

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return all back ends."""
        return back_ends


class Dispatcher:
    """Chooses back ends.

    Args:
        zone: The node's zone.
        knowledge: Back ends, configuration, versions.
        load: Work at each back end.
        health: Circuits.
        weights_grace_s: How long older weights may be sent requests.
        random: Breaks ties and spreads trials.
        clock: Monotonic seconds.
        rules: Weights of the choice.
        news_delay_s: Returns how much later than at once news of other nodes' loads comes.
        foreign: Returns the engines that other groups of nodes prefer.
        versions: Which versions of a service's program may be chosen.
        places: Which zones are far from one another.
    """

    def __init__(
        self,
        zone: ZoneName,
        cluster: ClusterState,
        load: FleetLoad,
        health: BackEndHealth,
        weights_grace_s: float,
        random: Random,
        clock: Callable[[], float],
        rules: ChoiceRules | None = None,
        gossip_delay_s: Callable[[], float] = lambda: 0.0,
        foreign: Callable[[], Collection[InstanceId]] = tuple,
        versions: VersionRules | None = None,
        topology: Topology = ONE_REGION,
    ) -> None:
        self._topology = topology
        self._versions = versions or AllVersions()
        self._zone = zone
        self._cluster = cluster
        self._load = load
        self._health = health
        self._weights_grace_s = weights_grace_s
        self._random = random
        self._clock = clock
        self._start_rules = rules or ChoiceRules()
        self._gossip_delay_s = gossip_delay_s
        self._foreign = foreign
        self._models: dict[ServiceName, FirstEventModel] = {}
        self._caches: dict[InstanceId, CacheBelief] = {}
        self._kept_caches: dict[Address, CacheBelief] = {}
        self._loading_until_s: dict[InstanceId, float] = {}
        self._refused_until_s: dict[InstanceId, float] = {}
        self._slow_until_s: dict[Address, float] = {}
        self._overdue = OverdueAttempts()
        self._waits: dict[ServiceName, RecentWaits] = {}

    def set_weights_grace(self, weights_grace_s: float) -> None:
        """Change how long older weights may be sent requests."""
        self._weights_grace_s = weights_grace_s

    def choose(self, query: DispatchQuery) -> Choice | None:
        """Return the best back end, or None if none may serve."""
        for overdue, waited_s in self._overdue.take_due(self._clock()):
            self._learn_rates(overdue, waited_s)
        table = self._cluster.table
        service = table.service(query.service) if table else None
        candidates = self._candidates(query, service)
        if not candidates:
            return None
        need = None
        sources: list[FetchSource] = []
        if query.prompt is not None and service is not None and service.engine is not None:
            need = _need(query.prompt, query.tenant, candidates)
            sources = self._sources([*candidates, *self._passed_over(query, service)])
        choice = choose(
            candidates, need, sources, self._zone, self.rules(query.service), self._random
        )
        return None if choice is None else self._with_age(choice, query.track)

    def _with_age(self, choice: Choice, track: Track) -> Choice:
        """Note the age of what the choice rests on; only the chosen back end's is asked for."""
        age_s = self._load.age_s(choice.candidate.back_end.instance, self._clock())
        candidate = msgspec.structs.replace(choice.candidate, load_age_s=age_s)
        return msgspec.structs.replace(choice, candidate=candidate, is_canary=track is Track.CANARY)

    def rules(self, service: ServiceName) -> ChoiceRules:
        """Return the weights of the choice as they are now.

        The rates are those learnt of the service's engines, and the older the news of loads is, the
        more estimates count as equal.
        """
        rules = self._start_rules
        model = self._models.get(service)
        return msgspec.structs.replace(
            rules,
            rates=rules.rates if model is None else model.rates,
            tie_s=rules.tie_s + rules.tie_share * self._gossip_delay_s(),
            foreign_s=rules.foreign_share * self._gossip_delay_s(),
        )

    def save_address(self, choice: Choice, prompt: Prompt) -> Address | None:
        """Return the address of the store that gets what this engine reads, if it lacks it.

        The last part of a prompt is its own; saving it alone is not worth the move.
        """
        shared = prompt.parts[:-1]
        store = self._store_near(choice.candidate.back_end.zone)
        if store is None or not shared or choice.scope is None:
            return None
        kept = self._kept_cache(store)
        lacks = kept.matched_tokens(choice.scope, shared) < sum(p.num_tokens for p in shared)
        return store.address if lacks else None

    def _store_near(self, zone: ZoneName) -> KeptKvStore | None:
        """Return the store that the engines of a zone's region use: the same on all nodes."""
        near = (one for one in self._stores() if not self._topology.is_cross_region(zone, one.zone))
        return next(near, None)

    def _candidates(self, query: DispatchQuery, service: Service | None) -> list[Candidate]:
        now_s = self._clock()
        ready = self._cluster.back_ends.ready(query.service)
        lowest = 0 if query.prompt is None else self._lowest_version(query.prompt.model, now_s)
        usable = [
            back_end
            for back_end in self._versions.usable(query.service, ready, query.track)
            if back_end.instance not in query.excluded
            and self._has_usable_weights(back_end, query.prompt, lowest)
        ]
        settled = [one for one in usable if not self._is_loading(one.instance, now_s)]
        calm = [one for one in settled if not self._has_refused(one.instance, now_s)]
        admitted = [one for one in calm if self._health.admits(one.instance, now_s)]
        # With every circuit open, a bad network is likelier than so many bad back ends.
        chosen = admitted or calm or settled
        foreign = self._foreign()
        return [self._candidate(one, query.prompt, service, foreign, now_s) for one in chosen]

    def _passed_over(self, query: DispatchQuery, service: Service) -> list[Candidate]:
        """Return the engines whose version is not chosen now; they may keep what is wanted."""
        ready = self._cluster.back_ends.ready(query.service)
        usable = self._versions.usable(query.service, ready, query.track)
        if len(usable) == len(ready):
            return []
        chosen = {one.instance for one in usable}
        now_s = self._clock()
        return [
            self._candidate(one, query.prompt, service, (), now_s)
            for one in ready
            if one.instance not in chosen
        ]

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
            model, now_s, self._weights_grace_s, self._cluster.outage_ended_s()
        )

    def _candidate(
        self,
        back_end: BackEnd,
        prompt: Prompt | None,
        service: Service | None,
        foreign: Collection[InstanceId],
        now_s: float,
    ) -> Candidate:
        load = self._load.total(back_end.instance, now_s)
        is_suspect = self._health.is_suspect(back_end.instance, now_s)
        is_cross_region = self._topology.is_cross_region(self._zone, back_end.zone)
        if prompt is None or service is None or service.engine is None:
            return Candidate(back_end, load, is_suspect, is_cross_region=is_cross_region)
        capacity = service.engine.cache_tokens
        version = self._cluster.engine_versions.version_of(back_end.instance, prompt.model)
        owed = self._owed(prompt.model, version)
        return Candidate(
            back_end,
            load,
            is_suspect,
            self._cache(back_end.instance, capacity),
            capacity,
            version,
            newest_version=None
            if owed is None
            else self._cluster.target_versions.newest(prompt.model),
            owed_s=0.0 if owed is None else now_s - owed.named_after_s,
            begins_within_s=math.inf if owed is None else self._begins_within_s(owed, now_s),
            recent_wait_s=0.0 if owed is None else self._longest_wait_s(back_end.service, now_s),
            is_foreign=back_end.instance in foreign,
            region=self._topology.region_of(back_end.zone),
            is_cross_region=is_cross_region,
        )

    def _begins_within_s(self, owed: TargetVersion, now_s: float) -> float:
        """Return the time until requests may not begin any more on weights older than a version."""
        began_s = self._cluster.grace_began_s(owed)
        return began_s + self._weights_grace_s + START_MARGIN_S - now_s

    def _owed(self, model: str, version: int | None) -> TargetVersion | None:
        """Return the first version newer than an engine's, or None."""
        return (
            None if version is None else self._cluster.target_versions.first_newer(model, version)
        )

    def _cache(self, instance: InstanceId, capacity_tokens: int) -> CacheBelief:
        cache = self._caches.get(instance)
        if cache is None:
            cache = self._caches[instance] = CacheBelief(int(capacity_tokens * CACHE_SHARE))
        return cache

    def _sources(self, candidates: list[Candidate]) -> list[FetchSource]:
        now_s = self._clock()
        sources = self._store_sources()
        for candidate in candidates:
            back_end = candidate.back_end
            if candidate.cache is None or self._health.is_suspect(back_end.instance, now_s):
                continue
            sources.append(
                FetchSource(
                    back_end.address,
                    back_end.zone,
                    candidate.cache,
                    candidate.weight_version,
                    back_end.instance,
                    candidate.region,
                )
            )
        return sources

    def _store_sources(self) -> list[FetchSource]:
        now_s = self._clock()
        return [
            FetchSource(
                store.address,
                store.zone,
                self._kept_cache(store),
                region=self._topology.region_of(store.zone),
            )
            for store in self._stores()
            if self._slow_until_s.get(store.address, 0.0) <= now_s
        ]

    def note_event(self, instance: InstanceId) -> None:
        """An engine has made an event, so it lives."""
        self._overdue.note_alive(instance, self._clock())

    def note_first_event(self, choice: Choice, took_s: float) -> None:
        """Learn how long a first event took: a source that is dead delays what it should speed."""
        self._learn_rates(choice, took_s)
        address = choice.fetch_from
        if address is None or took_s < choice.estimate_s + SLOW_SOURCE_S:
            return
        if any(store.address == address for store in self._stores()):
            self._slow_until_s[address] = self._clock() + SLOW_SOURCE_PAUSE_S

    def _learn_rates(self, choice: Choice, took_s: float) -> None:
        # What a version takes that may be bad says nothing of the others.
        if choice.scope is None or choice.is_canary:
            return
        candidate = choice.candidate
        self._waits_at(candidate.back_end.service).note(took_s, self._clock())
        model = self._models.setdefault(
            candidate.back_end.service, FirstEventModel(self._start_rules.rates)
        )
        reading_s = took_s - fetch_s(choice.fetched_tokens, self._start_rules)
        model.observe(reading_work(candidate, choice.read_tokens), reading_s)

    def _longest_wait_s(self, service: ServiceName, now_s: float) -> float:
        return self._waits_at(service).longest_s(now_s)

    def _waits_at(self, service: ServiceName) -> RecentWaits:
        waits = self._waits.get(service)
        if waits is None:
            waits = self._waits[service] = RecentWaits(self._clock())
        return waits

    def _stores(self) -> list[KeptKvStore]:
        table = self._cluster.table
        return table.kept_kv_stores() if table else []

    def _kept_cache(self, store: KeptKvStore) -> CacheBelief:
        cache = self._kept_caches.get(store.address)
        if cache is None:
            cache = self._kept_caches[store.address] = CacheBelief(store.capacity_tokens)
        return cache

    def note_sent(self, choice: Choice, prompt: Prompt) -> None:
        """Note that a prompt goes to an engine."""
        self._overdue.begin(choice, self._clock())
        self.note_parts(choice.candidate.back_end.instance, choice.scope, prompt.parts, False)

    def note_waits_no_more(self, choice: Choice) -> None:
        """Note that an attempt has had its first event, or has ended."""
        self._overdue.end(choice)

    def note_read(self, choice: Choice, prompt: Prompt) -> None:
        """Note that an engine has read a prompt."""
        self.note_parts(choice.candidate.back_end.instance, choice.scope, prompt.parts, True)

    def note_parts(
        self,
        instance: InstanceId,
        scope: str | None,
        parts: tuple[PromptBlock, ...],
        is_ready: bool,
    ) -> None:
        """Note parts at an engine, from this node's own sends or a peer's."""
        cache = self._cache_of(instance)
        if cache is None or scope is None:
            return
        cache.note(scope, parts, is_ready)
        if is_ready:
            self._note_saved(instance, scope, parts[:-1])

    def note_shared_parts(
        self, instance: InstanceId, scope: str, shared: tuple[PromptBlock, ...]
    ) -> None:
        """Note the parts of a prompt but its own, which an engine has read for another group."""
        cache = self._cache_of(instance)
        if cache is not None:
            cache.note(scope, shared, is_ready=True)
            self._note_saved(instance, scope, shared)

    def _cache_of(self, instance: InstanceId) -> CacheBelief | None:
        """Return what is believed of an engine, or None if it is no engine that is known."""
        cache = self._caches.get(instance)
        if cache is not None:
            return cache
        back_end = self._cluster.directory.get(instance)
        table = self._cluster.table
        service = table.service(back_end.service) if table and back_end else None
        if service is None or service.engine is None:
            return None
        return self._cache(instance, service.engine.cache_tokens)

    def _note_saved(
        self, instance: InstanceId, scope: str, shared: tuple[PromptBlock, ...]
    ) -> None:
        """Every node has engines save what they read, so what was read is in the store."""
        back_end = self._cluster.directory.get(instance)
        store = None if back_end is None else self._store_near(back_end.zone)
        if store is not None:
            self._kept_cache(store).note(scope, shared, is_ready=True)

    def note_unread(self, choice: Choice, prompt: Prompt) -> None:
        """Note that an engine did not read a prompt after all."""
        cache = self._caches.get(choice.candidate.back_end.instance)
        if cache is not None and choice.scope is not None:
            cache.forget(choice.scope, prompt.parts)

    def mark_loading(self, instance: InstanceId, is_done: bool) -> None:
        """Mark that an engine is about to load weights, or has done so."""
        if is_done:
            self._loading_until_s.pop(instance, None)
        else:
            self._loading_until_s[instance] = self._clock() + LOADING_MARK_LIFE_S

    def _is_loading(self, instance: InstanceId, now_s: float) -> bool:
        return self._loading_until_s.get(instance, 0.0) > now_s

    def note_refused(self, instance: InstanceId) -> None:
        """A back end refused a request without running it."""
        self._refused_until_s[instance] = self._clock() + REFUSAL_PAUSE_S

    def _has_refused(self, instance: InstanceId, now_s: float) -> bool:
        return self._refused_until_s.get(instance, 0.0) > now_s

    def weights_changed(self, instance: InstanceId) -> None:
        """An engine has new weights: what it kept is gone."""
        cache = self._caches.get(instance)
        if cache is not None:
            cache.clear()
        self._loading_until_s.pop(instance, None)

    def forget(self, instance: InstanceId) -> None:
        """Forget a back end that is gone."""
        self._caches.pop(instance, None)
        self._loading_until_s.pop(instance, None)
        self._refused_until_s.pop(instance, None)
        self._overdue.forget_engine(instance)
        self._load.forget(instance)
        self._health.forget(instance)


def _need(prompt: Prompt, tenant: Tenant | None, candidates: list[Candidate]) -> PromptNeed:
    isolated = tenant.name if tenant is not None and tenant.is_isolated else None
    versions = {one.weight_version for one in candidates if one.weight_version is not None}
    scopes = {version: CacheScope(prompt.model, version, isolated).text() for version in versions}
    return PromptNeed(prompt, scopes)
