"""Chooses back ends for requests, and updates the state for later choices.

Each part of the decision has its own module: which back ends may be sent the request
(`candidates`), which blocks are cached where (`cache_index`), the statistics of past attempts
(`attempt_statistics`), the cost of a candidate (`candidate_cost`, with the weights in
`choice_rules`), the source of cached blocks (`fetch_source`), and the final choice (`choice`).
"""

from collections.abc import Callable, Collection
from random import Random

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import Tenant
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.model.prompt import CacheScope, Prompt, PromptBlock
from weirscale.gateway.model.topology import Location
from weirscale.gateway.request_limits.brittle import ONLY_NODE, BrittleBackEnds, NodeRank
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
from weirscale.ports.event_log import EventLog, SilentEventLog


class PeerView(msgspec.Struct, frozen=True):
    """Information about the other nodes that a choice uses.

    Attributes:
        gossip_delay_s: Returns the delay, in seconds, with which other nodes' loads arrive.
        engines_of_other_groups: Returns the engines that other groups of nodes prefer.
        permits: Permits for back ends that state a request limit; None to ignore request limits.
        rank: Returns this node's rank, by which places at brittle back ends are dealt.
        event_log: Logs what is learned about brittle back ends.
    """

    gossip_delay_s: Callable[[], float] = lambda: 0.0
    engines_of_other_groups: Callable[[], Collection[InstanceId]] = tuple
    permits: RequestPermits | None = None
    rank: Callable[[], NodeRank] = lambda: ONLY_NODE
    event_log: EventLog = SilentEventLog()


NO_PEERS = PeerView()
"""For a node without peers."""


class Dispatcher:
    """Chooses back ends.

    Args:
        location: Location of this node.
        cluster: Back ends, configuration and versions.
        load: Load on each back end.
        health: Circuits of the back ends.
        weights_grace_s: Seconds for which older weights may be sent requests.
        random: Breaks ties.
        clock: Returns monotonic seconds.
        rules: Weights of the choice.
        versions: Selects the service versions that may be chosen; all by default.
        peers: Information about the other nodes.
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
        brittle = BrittleBackEnds(peers.rank, self._num_requests, peers.event_log, random, clock)
        self.back_pressure = BackPressure(BackEndRests(random), peers.permits, brittle)
        self.candidates = Candidates(
            location, cluster, load, health, self.cache_index, self.statistics, weights_grace_s,
            versions or AllVersions(), peers.engines_of_other_groups,
            self.back_pressure,
        )  # fmt: skip

    def _num_requests(self, instance: InstanceId) -> tuple[int, int]:
        """Return this node's requests at a back end, and those of all nodes."""
        own = self._load.own(instance).num_requests
        return own, self._load.total(instance, self._clock()).num_requests

    def choose(self, query: DispatchQuery) -> Choice | None:
        """Return the best back end, or None if none can be sent the request."""
        now_s = self._clock()
        self.statistics.record_overdue(now_s)
        table = self._cluster.table
        service = table.service(query.service) if table else None
        candidates = self.candidates.find(query, service, now_s)
        if not candidates:
            return None
        scoped_prompt = None
        sources: list[FetchSource] = []
        if query.prompt is not None and service is not None and service.engine is not None:
            scoped_prompt = _scoped_prompt(query.prompt, query.tenant, candidates)
            others = self.candidates.of_other_versions(query, service, now_s)
            sources = self._store_sources(now_s) + self._engine_sources(candidates + others, now_s)
        rules = self.rules(query.service)
        choice = choose(
            candidates, scoped_prompt, sources, self._location.zone, rules, self._random
        )
        return None if choice is None else self._with_load_age(choice, query.track, now_s)

    def has_usable(self, query: DispatchQuery) -> bool:
        """Return whether any back end has a service version and weights allowed for a request."""
        return bool(self.candidates.usable(query, self._clock()))

    async def wait_for_permit(self, query: DispatchQuery, max_wait_s: float) -> bool:
        """Wait at most `max_wait_s` for a permit of a back end that states a request limit.

        Returns:
            Whether a back end should be chosen again.
        """
        now_s = self._clock()
        back_ends = self.candidates.usable(query, now_s)
        ready = self._cluster.back_ends.ready(query.service)
        return await self.back_pressure.wait_for_permit(back_ends, now_s, max_wait_s, ready)

    def next_availability(self, query: DispatchQuery) -> NextAvailability | None:
        """Return the earliest time at which a back end under back pressure can be used again.

        Returns None if no back end is under back pressure.
        """
        return self.candidates.next_availability(query, self._clock())

    def rules(self, service: ServiceName) -> ChoiceRules:
        """Return the current weights of the choice for a service.

        The rates are those learnt from the service's engines. The tolerance for ties and the cost
        of engines of other groups grow with the gossip delay.
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
        """Return the address of the store in which the chosen engine should save the prompt.

        Returns None if there is no such store, or if it presumably has all shared blocks. The last
        block belongs to the prompt alone, and saving only this block is not worth the transfer.
        """
        shared = prompt.shared_blocks
        store = self.cache_index.regional_store(choice.candidate.back_end.zone)
        if store is None or not shared or choice.scope is None:
            return None
        saved_tokens = self.cache_index.at_store(store).matched_tokens(choice.scope, shared)
        return store.address if saved_tokens < sum(block.num_tokens for block in shared) else None

    def _with_load_age(self, choice: Choice, track: Track, now_s: float) -> Choice:
        """Add the age of the gossip in the load, which is computed for the chosen back end only."""
        age_s = self._load.age_s(choice.candidate.back_end.instance, now_s)
        candidate = msgspec.structs.replace(choice.candidate, load_age_s=age_s)
        return msgspec.structs.replace(choice, candidate=candidate, is_canary=track is Track.CANARY)

    def _engine_sources(self, engines: list[Candidate], now_s: float) -> list[FetchSource]:
        return [
            FetchSource(
                engine.back_end.address,
                engine.back_end.zone,
                engine.cache,
                engine.weight_version,
                engine.back_end.instance,
                engine.region,
            )
            for engine in engines
            if engine.cache is not None
            and not self._health.is_suspect(engine.back_end.instance, now_s)
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
        """Set the seconds for which older weights may be sent requests."""
        self.candidates.weights_grace_s = weights_grace_s

    def prompt_sent(self, choice: Choice, prompt: Prompt) -> None:
        """Record that a prompt was sent to an engine."""
        self.statistics.attempt_sent(choice, self._clock())
        instance = choice.candidate.back_end.instance
        self.record_blocks(instance, choice.scope, prompt.blocks, False)

    def prompt_read(self, choice: Choice, prompt: Prompt) -> None:
        """Record that an engine has prefilled a prompt."""
        instance = choice.candidate.back_end.instance
        self.record_blocks(instance, choice.scope, prompt.blocks, True)

    def prompt_not_read(self, choice: Choice, prompt: Prompt) -> None:
        """Record that an engine did not prefill a prompt that was sent to it."""
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
        """Record blocks at an engine that were sent to it by this node or by a peer."""
        if scope is not None:
            self.cache_index.record(instance, scope, blocks, is_ready)

    def record_shared_blocks(
        self, instance: InstanceId, scope: str, shared: tuple[PromptBlock, ...]
    ) -> None:
        """Record shared blocks of a prompt that an engine prefilled for another group of nodes."""
        self.cache_index.record_shared(instance, scope, shared)

    def event_received(self, instance: InstanceId) -> None:
        """Record that an engine emitted an event, which shows that it is alive."""
        now_s = self._clock()
        self.statistics.event_received(instance, now_s)
        self._health.heard(instance, now_s)

    def is_busy_with_others(self, choice: Choice, own_tokens: int, since_s: float) -> bool:
        """Return whether an engine is alive and has prompts of other requests to prefill.

        Args:
            choice: The choice of the engine for a request.
            own_tokens: Prompt tokens of that request that are still to be prefilled.
            since_s: Time since which the engine must have emitted an event.
        """
        instance = choice.candidate.back_end.instance
        if not self.statistics.has_emitted_since(instance, since_s):
            return False
        return self._load.total(instance, self._clock()).waiting_tokens > own_tokens

    def first_event_received(self, choice: Choice, took_s: float) -> None:
        """Record the seconds from the sending of an attempt to its first event."""
        self.statistics.first_event_received(choice, took_s, self._clock())

    def wait_ended(self, choice: Choice) -> None:
        """Record that an attempt received its first event, or ended without one."""
        self.statistics.wait_ended(choice)

    def request_refused(self, instance: InstanceId) -> None:
        """Record that a back end refused a request without running it."""
        self.candidates.request_refused(instance, self._clock())

    def mark_loading(self, instance: InstanceId, is_done: bool) -> None:
        """Record that an engine is about to load weights, or (`is_done`) has loaded them."""
        if is_done:
            self.candidates.unmark_loading(instance)
        else:
            self.candidates.mark_loading(instance, self._clock())

    def weights_changed(self, instance: InstanceId) -> None:
        """Record that an engine has loaded new weights, which empties its cache."""
        self.cache_index.clear_engine(instance)
        self.candidates.unmark_loading(instance)

    def forget(self, instance: InstanceId) -> None:
        """Drop the state of a back end that was removed."""
        self.cache_index.forget_engine(instance)
        self.candidates.forget(instance)
        self.statistics.forget_engine(instance)
        self._load.forget(instance)
        self._health.forget(instance)


def _scoped_prompt(
    prompt: Prompt, tenant: Tenant | None, candidates: list[Candidate]
) -> ScopedPrompt:
    isolated = tenant.name if tenant is not None and tenant.is_isolated else None
    versions = {
        candidate.weight_version for candidate in candidates if candidate.weight_version is not None
    }
    scopes = {version: CacheScope(prompt.model, version, isolated).text() for version in versions}
    return ScopedPrompt(prompt, scopes)
