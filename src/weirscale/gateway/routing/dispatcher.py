"""Chooses back ends for requests, and learns from their attempts and from gossip.

The decision has one place for each of its questions: who may get the request (`candidates`), what
is cached where (`cache_index`), what was learnt of waits (`attempt_learning`), what a candidate
costs (`candidate_cost`, with the weights of `choice_rules`), where cached blocks are fetched from
(`fetch_source`), and which candidate is taken (`choice`).
"""

from collections.abc import Callable, Collection
from random import Random

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import Tenant
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.model.prompt import CacheScope, Prompt, PromptBlock
from weirscale.gateway.model.topology import Location
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.rollouts.gate import Track
from weirscale.gateway.routing.attempt_statistics import AttemptStatistics
from weirscale.gateway.routing.back_end_rests import BackEndRests
from weirscale.gateway.routing.back_pressure import BackPressure, NextAvailability
from weirscale.gateway.routing.cache_index import CacheIndex
from weirscale.gateway.routing.candidate import Candidate, Choice, FetchSource, ScopedPrompt
from weirscale.gateway.routing.candidates import Candidates, DispatchQuery
from weirscale.gateway.routing.choice import choose
from weirscale.gateway.routing.choice_rules import ChoiceRules
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.routing.version_rules import AllVersions, VersionRules
from weirscale.gateway.state.cluster_state import ClusterState


class PeerView(msgspec.Struct, frozen=True):
    """What a choice has to know of the other nodes.

    Attributes:
        gossip_delay_s: Returns how many seconds late other nodes' loads are known.
        engines_of_other_groups: Returns the engines that other groups of nodes prefer.
        permits: What this node may send to back ends that state a request limit; None for a node
            that knows of none.
    """

    gossip_delay_s: Callable[[], float] = lambda: 0.0
    engines_of_other_groups: Callable[[], Collection[InstanceId]] = tuple
    permits: RequestPermits | None = None


NO_PEERS = PeerView()
"""A node alone."""


class Dispatcher:
    """Chooses back ends.

    Args:
        location: Where the node stands.
        cluster: Back ends, configuration, versions.
        load: Work at each back end.
        health: Circuits.
        weights_grace_s: How long older weights may be sent requests.
        random: Breaks ties.
        clock: Monotonic seconds.
        rules: Weights of the choice.
        versions: Which versions of a service's program may be chosen.
        peers: What has to be known of the other nodes.
    """

    def __init__(
        self,
        location: Location,
        cluster: ClusterState,
        load: FleetLoad,
        health: BackEndHealth,
        weights_grace_s: float,
        random: Random,
        clock: Callable[[], float],
        rules: ChoiceRules | None = None,
        versions: VersionRules | None = None,
        peers: PeerView = NO_PEERS,
    ) -> None:
        self._location = location
        self._cluster = cluster
        self._load = load
        self._health = health
        self._random = random
        self._clock = clock
        self._start_rules = rules or ChoiceRules()
        self._peers = peers
        self.cache_index = CacheIndex(cluster, location.topology)
        self.statistics = AttemptStatistics(self._start_rules, self.cache_index)
        self.back_pressure = BackPressure(BackEndRests(random), peers.permits)
        self.candidates = Candidates(
            location, cluster, load, health, self.cache_index, self.statistics, weights_grace_s,
            versions or AllVersions(), peers.engines_of_other_groups,
            self.back_pressure,
        )  # fmt: skip

    def choose(self, query: DispatchQuery) -> Choice | None:
        """Return the best back end, or None if none may serve."""
        now_s = self._clock()
        self.statistics.record_overdue(now_s)
        table = self._cluster.table
        service = table.service(query.service) if table else None
        candidates = self.candidates.find(query, service, now_s)
        if not candidates:
            return None
        need = None
        sources: list[FetchSource] = []
        if query.prompt is not None and service is not None and service.engine is not None:
            need = _need(query.prompt, query.tenant, candidates)
            others = self.candidates.of_other_versions(query, service, now_s)
            sources = self._store_sources(now_s) + self._engine_sources(candidates + others, now_s)
        rules = self.rules(query.service)
        choice = choose(candidates, need, sources, self._location.zone, rules, self._random)
        return None if choice is None else self._with_load_age(choice, query.track, now_s)

    async def wait_for_permit(self, query: DispatchQuery, most_s: float) -> bool:
        """Wait for a back end that states a request limit; returns whether to choose again."""
        now_s = self._clock()
        back_ends = self.candidates.usable(query, now_s)
        return await self.back_pressure.wait_for_permit(back_ends, now_s, most_s)

    def next_availability(self, query: DispatchQuery) -> NextAvailability | None:
        """Return when the first of those that ask to be spared a request takes one again."""
        return self.candidates.next_availability(query, self._clock())

    def rules(self, service: ServiceName) -> ChoiceRules:
        """Return the weights of the choice as they are now.

        The rates are those learnt of the service's engines; ties and the cost of engines of other
        groups grow with the gossip delay.
        """
        start = self._start_rules
        delay_s = self._peers.gossip_delay_s()
        return msgspec.structs.replace(
            start,
            rates=self.statistics.rates(service),
            tie_s=start.tie_s + start.tie_share * delay_s,
            other_group_s=start.other_group_share * delay_s,
        )

    def save_address(self, choice: Choice, prompt: Prompt) -> Address | None:
        """Return the address of the store that gets what this engine reads, if it lacks it.

        The last block of a prompt is its own; saving it alone is not worth the move.
        """
        shared = prompt.blocks[:-1]
        store = self.cache_index.store_near(choice.candidate.back_end.zone)
        if store is None or not shared or choice.scope is None:
            return None
        kept_tokens = self.cache_index.at_store(store).matched_tokens(choice.scope, shared)
        return store.address if kept_tokens < sum(one.num_tokens for one in shared) else None

    def _with_load_age(self, choice: Choice, track: Track, now_s: float) -> Choice:
        """Add the age of the gossip in the load; only the chosen back end's is worked out."""
        age_s = self._load.age_s(choice.candidate.back_end.instance, now_s)
        candidate = msgspec.structs.replace(choice.candidate, load_age_s=age_s)
        return msgspec.structs.replace(choice, candidate=candidate, is_canary=track is Track.CANARY)

    def _engine_sources(self, engines: list[Candidate], now_s: float) -> list[FetchSource]:
        return [
            FetchSource(
                one.back_end.address,
                one.back_end.zone,
                one.cache,
                one.weight_version,
                one.back_end.instance,
                one.region,
            )
            for one in engines
            if one.cache is not None and not self._health.is_suspect(one.back_end.instance, now_s)
        ]

    def _store_sources(self, now_s: float) -> list[FetchSource]:
        return [
            FetchSource(
                store.address,
                store.zone,
                self.cache_index.at_store(store),
                region=self._location.topology.region_of(store.zone),
            )
            for store in self.cache_index.stores()
            if not self.statistics.is_slow(store.address, now_s)
        ]

    def set_weights_grace(self, weights_grace_s: float) -> None:
        """Change how long older weights may be sent requests."""
        self.candidates.weights_grace_s = weights_grace_s

    def prompt_sent(self, choice: Choice, prompt: Prompt) -> None:
        """A prompt goes to an engine."""
        self.statistics.attempt_sent(choice, self._clock())
        instance = choice.candidate.back_end.instance
        self.record_blocks(instance, choice.scope, prompt.blocks, False)

    def prompt_read(self, choice: Choice, prompt: Prompt) -> None:
        """An engine has read a prompt."""
        instance = choice.candidate.back_end.instance
        self.record_blocks(instance, choice.scope, prompt.blocks, True)

    def prompt_not_read(self, choice: Choice, prompt: Prompt) -> None:
        """An engine did not read a prompt after all."""
        if choice.scope is not None:
            instance = choice.candidate.back_end.instance
            self.cache_index.forget_unread(instance, choice.scope, prompt.blocks)

    def record_blocks(
        self,
        instance: InstanceId,
        scope: str | None,
        blocks: tuple[PromptBlock, ...],
        is_ready: bool,
    ) -> None:
        """Record blocks at an engine, from this node's own sends or a peer's."""
        if scope is not None:
            self.cache_index.record(instance, scope, blocks, is_ready)

    def record_shared_blocks(
        self, instance: InstanceId, scope: str, shared: tuple[PromptBlock, ...]
    ) -> None:
        """Record the shared blocks of a prompt that an engine has read for another group."""
        self.cache_index.record_shared(instance, scope, shared)

    def event_received(self, instance: InstanceId) -> None:
        """An engine has made an event, so it lives."""
        self.statistics.event_received(instance, self._clock())

    def is_busy_with_others(self, choice: Choice, own_tokens: int, since_s: float) -> bool:
        """Return whether an engine has made an event since a time and has others' prompts to read.

        Args:
            choice: The engine, as a request chose it.
            own_tokens: Prompt tokens of that request itself that are still to be read.
            since_s: The time.
        """
        instance = choice.candidate.back_end.instance
        if not self.statistics.has_emitted_since(instance, since_s):
            return False
        return self._load.total(instance, self._clock()).waiting_tokens > own_tokens

    def first_event_received(self, choice: Choice, took_s: float) -> None:
        """Learn how long a first event took."""
        self.statistics.first_event_received(choice, took_s, self._clock())

    def wait_ended(self, choice: Choice) -> None:
        """An attempt has had its first event, or has ended without one."""
        self.statistics.wait_ended(choice)

    def request_refused(self, instance: InstanceId) -> None:
        """A back end refused a request without running it."""
        self.candidates.request_refused(instance, self._clock())

    def mark_loading(self, instance: InstanceId, is_done: bool) -> None:
        """Mark that an engine is about to load weights, or has done so."""
        if is_done:
            self.candidates.unmark_loading(instance)
        else:
            self.candidates.mark_loading(instance, self._clock())

    def weights_changed(self, instance: InstanceId) -> None:
        """An engine has new weights: what it kept is gone."""
        self.cache_index.clear_engine(instance)
        self.candidates.unmark_loading(instance)

    def forget(self, instance: InstanceId) -> None:
        """Forget a back end that is gone."""
        self.cache_index.forget_engine(instance)
        self.candidates.forget(instance)
        self.statistics.forget_engine(instance)
        self._load.forget(instance)
        self._health.forget(instance)


def _need(prompt: Prompt, tenant: Tenant | None, candidates: list[Candidate]) -> ScopedPrompt:
    isolated = tenant.name if tenant is not None and tenant.is_isolated else None
    versions = {one.weight_version for one in candidates if one.weight_version is not None}
    scopes = {version: CacheScope(prompt.model, version, isolated).text() for version in versions}
    return ScopedPrompt(prompt, scopes)
