"""Choice of the back end that answers a request first with the least prompt read again.

Estimates are in seconds. What must be read again is weighed beyond the time that it takes, because
reading it costs the whole engine; fetching a block from another engine costs little.
"""

import math
from collections.abc import Sequence
from random import Random

import msgspec
import xxhash

from weirscale.domain.identifiers import RegionName, ZoneName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.model.topology import NO_REGION, are_apart
from weirscale.gateway.routing.cache_belief import CacheBelief
from weirscale.gateway.routing.first_event_model import (
    START_RATES,
    FirstEventRates,
    ReadingWork,
    first_event_s,
)
from weirscale.gateway.routing.load import Load

HASH_RANGE = 2**32
AFFINITY_SHARPNESS = 3
"""Makes one engine's share stand out from the others'."""


START_MARGIN_S = 1.1
"""Requests wait at an engine before they start: sending on old weights ends this much early, ..."""

START_FACTOR = 3.0
RECENT_FACTOR = 1.2
"""... and where this multiple of the estimated wait, or of the longest one of late, is longer, that
much. On days of three times the usual load, with every load of weights late, 1 to 6 requests of
some 3,300 began too late with half the factor and none with this one, three days each."""


class ChoiceRules(msgspec.Struct, frozen=True):
    """Weights of the choice, with units.

    Attributes:
        rates: What makes up the time to a first event, as learnt.
        fetch_tokens_per_s: Tokens of cached blocks that move between engines in a second.
        fetch_setup_s: Fixed time of a fetch.
        queue_s: Delay that each request beyond the slots adds.
        memory_s: Delay at full memory, by how far requests exceed what fits.
        reread_weight: Cost of prompt read again, as a multiple of its reading time.
        other_zone_s: Cost of a back end in another zone.
        other_region_s: Cost of a back end in another region: a connection, the request and its
            first event cross a long link twice and more, and its bytes are dear.
        suspect_s: Cost of a back end that is being tried again.
        old_weights_s: Cost of weights that are not the newest named. Less than an objective: an
            answer on older weights is better than a late one.
        tie_s: Estimates closer than this count as equal.
        tie_share: The same grows by this share of what news of loads is late: meanwhile many nodes
            see the same engine as the best, and would all choose it.
        foreign_share: Cost of an engine that other groups of nodes prefer, as a share of what news
            of loads is late: what they send it meanwhile is not known.
        foreign_s: That cost now.
        memory_share: Share of an engine's memory that may be filled by running requests.
        min_fetch_tokens: Smaller pieces are read, not fetched.
        affinity_s: Advantage of the engine that a prompt nobody keeps belongs to by its hash, so
            that nodes that have not heard of each other's sends choose the same.
    """

    rates: FirstEventRates = START_RATES
    fetch_tokens_per_s: float = 400_000.0
    fetch_setup_s: float = 0.004
    queue_s: float = 0.05
    memory_s: float = 0.5
    reread_weight: float = 0.5
    other_zone_s: float = 0.003
    other_region_s: float = 0.08
    suspect_s: float = 0.3
    old_weights_s: float = 0.25
    tie_s: float = 0.002
    tie_share: float = 0.15
    foreign_share: float = 0.3
    foreign_s: float = 0.0
    memory_share: float = 0.85
    min_fetch_tokens: int = 64
    affinity_s: float = 0.03


class Candidate(msgspec.Struct, frozen=True):
    """A back end that may be chosen.

    Attributes:
        back_end: The back end.
        load: Work of all nodes there.
        is_suspect: Whether it is being tried again after failures.
        cache: What it is believed to keep, or None for other services.
        capacity_tokens: Tokens that fit into its memory.
        weight_version: Version of the weights asked for, or None.
        load_age_s: Age of the oldest peer's news in the load.
        newest_version: The newest weights named, where its own are older; None otherwise.
        owed_s: For how long weights newer than its own have been named.
        begins_within_s: Until its weights are too old for a request to begin on.
        recent_wait_s: Longest wait of this node's for a first event of late, at any engine.
        is_foreign: Whether another group of nodes prefers it.
        region: Where it stands.
        is_far: Whether it stands in another region than this node.
    """

    back_end: BackEnd
    load: Load
    is_suspect: bool
    cache: CacheBelief | None = None
    capacity_tokens: int = 0
    weight_version: int | None = None
    load_age_s: float = 0.0
    newest_version: int | None = None
    owed_s: float = 0.0
    begins_within_s: float = math.inf
    recent_wait_s: float = 0.0
    is_foreign: bool = False
    region: RegionName = NO_REGION
    is_cross_region: bool = False

    @property
    def has_old_weights(self) -> bool:
        """Whether newer weights than its own are named."""
        return self.newest_version is not None


class FetchSource(msgspec.Struct, frozen=True):
    """Where cached blocks can be fetched.

    Attributes:
        address: IP:PORT.
        zone: Where it stands.
        cache: What it is believed to keep.
        weight_version: Version that its blocks are of; None for a store, which keeps all.
        instance: The engine, or None for a store.
        region: Where it stands: moves between regions take longer than reading again.
    """

    address: Address
    zone: ZoneName
    cache: CacheBelief
    weight_version: int | None = None
    instance: InstanceId | None = None
    region: RegionName = NO_REGION


class Choice(msgspec.Struct, frozen=True):
    """The chosen back end and what decided it.

    Attributes:
        candidate: The back end.
        scope: Cache scope, or None without a prompt.
        cached_tokens: Leading tokens that it is believed to keep.
        fetched_tokens: Further tokens that it fetches.
        read_tokens: Tokens that it has to read.
        fetch_from: Address of the source of the fetch, or None.
        estimate_s: Estimated time to the first event.
        idle_s: The same, were nothing else at work there.
        num_candidates: How many back ends were compared.
        is_trial: Whether it tries a version of the service's program that is not proved.
    """

    candidate: Candidate
    scope: str | None = None
    cached_tokens: int = 0
    fetched_tokens: int = 0
    read_tokens: int = 0
    fetch_from: Address | None = None
    estimate_s: float = 0.0
    idle_s: float = 0.0
    num_candidates: int = 0
    is_canary: bool = False


class PromptNeed(msgspec.Struct, frozen=True):
    """A prompt and the scope of its blocks for each version of the weights.

    Attributes:
        prompt: The prompt.
        scopes: Scope text by weight version.
    """

    prompt: Prompt
    scopes: dict[int, str]


class _Estimate(msgspec.Struct, frozen=True):
    choice: Choice
    cost_s: float


class _Match(msgspec.Struct, frozen=True):
    """What a source keeps of a prompt.

    Attributes:
        num_tokens: Leading tokens that it keeps.
        is_ready: Whether it has certainly read all of them.
        is_runner: Whether it is an engine, not a store.
        source: The source.
    """

    num_tokens: int
    is_ready: bool
    is_engine: bool
    source: FetchSource

    def rank(self) -> tuple[int, bool, bool]:
        """Return what puts one source before another, wherever the candidate stands."""
        return self.num_tokens, self.is_ready, self.is_engine


class _SourceFinder:
    """Finds the best source of a prompt's cached blocks; each source is looked up once."""

    def __init__(
        self, need: PromptNeed, sources: Sequence[FetchSource], rules: ChoiceRules
    ) -> None:
        self._need = need
        self._sources = sources
        self._min_tokens = rules.min_fetch_tokens
        self._matches: dict[int, list[_Match]] = {}
        self._stores = [source for source in sources if source.instance is None]

    def best(self, candidate: Candidate, cached: int) -> tuple[FetchSource | None, int]:
        """Return the source that has most beyond what is cached, and how many tokens.

        A store is named as the source even if nothing is believed to be there: a miss costs a
        millisecond, and beliefs are lost with each restart. Among equals an engine that has
        certainly read its blocks goes first, then an engine before a store, then the nearer one: a
        source that does not answer delays the request.
        """
        best: _Match | None = None
        for match in self._ranked(candidate.weight_version):
            if match.num_tokens < cached + self._min_tokens:
                break
            if best is not None and match.rank() < best.rank():
                break
            if match.source.instance == candidate.back_end.instance:
                continue
            if are_apart(candidate.region, match.source.region):
                continue
            if best is None or _is_near(candidate, match.source):
                best = match
            if _is_near(candidate, best.source):
                break
        if best is None:
            return self._store_for(candidate), 0
        return best.source, min(best.num_tokens, self._need.prompt.num_tokens) - cached

    def _store_for(self, candidate: Candidate) -> FetchSource | None:
        near = (one for one in self._stores if not are_apart(candidate.region, one.region))
        return next(near, None)

    def _ranked(self, version: int | None) -> list[_Match]:
        """Return the sources of blocks made by a version of the weights, the best first."""
        if version is None:
            return []
        ranked = self._matches.get(version)
        if ranked is None:
            found = (self._match(source, version) for source in self._sources)
            ranked = [one for one in found if one.num_tokens >= self._min_tokens]
            ranked.sort(key=_Match.rank, reverse=True)
            self._matches[version] = ranked
        return ranked

    def _match(self, source: FetchSource, version: int) -> _Match:
        if source.weight_version not in (None, version):
            return _Match(0, False, False, source)
        scope, blocks = self._need.scopes[version], self._need.prompt.blocks
        matched = source.cache.matched_tokens(scope, blocks)
        is_ready = matched > 0 and (
            source.cache.matched_tokens(scope, blocks, only_ready=True) == matched
        )
        return _Match(matched, is_ready, source.instance is not None, source)


def choose(
    candidates: Sequence[Candidate],
    need: PromptNeed | None,
    sources: Sequence[FetchSource],
    zone: ZoneName,
    rules: ChoiceRules,
    random: Random,
) -> Choice | None:
    """Return the candidate of least cost; among near equals, any; None if none can begin in time.

    Args:
        candidates: Back ends that may serve.
        need: The prompt, for generations.
        sources: Where cached blocks may be fetched.
        zone: The node's zone.
        rules: Weights.
        random: Breaks ties, so that nodes do not all pick the same.
    """
    finder = None if need is None else _SourceFinder(need, sources, rules)
    found = (_estimate(one, need, finder, zone, rules) for one in candidates)
    estimates = [estimate for estimate in found if _begins_in_time(estimate.choice)]
    if not estimates:
        return None
    least_s = min(estimate.cost_s for estimate in estimates)
    near = [estimate for estimate in estimates if estimate.cost_s <= least_s + rules.tie_s]
    if need is not None and all(one.choice.read_tokens == need.prompt.num_tokens for one in near):
        # Nobody keeps any of it: the hash decides, not chance, so that all nodes choose alike.
        near = [min(near, key=lambda estimate: estimate.cost_s)]
    chosen = near[0] if len(near) == 1 else random.choice(near)
    return msgspec.structs.replace(chosen.choice, num_candidates=len(candidates))


def _begins_in_time(choice: Choice) -> bool:
    """Whether a request would begin before its engine's weights are too old."""
    candidate = choice.candidate
    wait_s = max(START_FACTOR * choice.estimate_s, RECENT_FACTOR * candidate.recent_wait_s)
    return wait_s <= candidate.begins_within_s


def _estimate(
    candidate: Candidate,
    need: PromptNeed | None,
    finder: _SourceFinder | None,
    zone: ZoneName,
    rules: ChoiceRules,
) -> _Estimate:
    common_s = _common_cost_s(candidate, zone, rules)
    is_known = candidate.cache is not None and candidate.weight_version is not None
    if need is None or finder is None or not is_known:
        busy_s = rules.queue_s * candidate.load.num_requests / max(1, candidate.back_end.slots)
        return _Estimate(Choice(candidate, estimate_s=busy_s), common_s + busy_s)
    return _estimate_generation(candidate, need, finder, common_s, rules)


def _common_cost_s(candidate: Candidate, zone: ZoneName, rules: ChoiceRules) -> float:
    cost_s = rules.suspect_s if candidate.is_suspect else 0.0
    if candidate.has_old_weights:
        cost_s += rules.old_weights_s
    if candidate.is_cross_region:
        cost_s += rules.other_region_s
    elif candidate.back_end.zone != zone:
        cost_s += rules.other_zone_s
    if candidate.is_foreign:
        cost_s += rules.foreign_s
    num_over = candidate.load.num_requests + 1 - candidate.back_end.slots
    return cost_s + rules.queue_s * max(0, num_over)


def _estimate_generation(
    candidate: Candidate,
    need: PromptNeed,
    finder: _SourceFinder,
    common_s: float,
    rules: ChoiceRules,
) -> _Estimate:
    assert candidate.cache is not None
    assert candidate.weight_version is not None
    prompt = need.prompt
    scope = need.scopes[candidate.weight_version]
    cached = min(candidate.cache.matched_tokens(scope, prompt.blocks), prompt.num_tokens)
    source, fetched = finder.best(candidate, cached)
    read = prompt.num_tokens - cached - fetched
    fetching_s = fetch_s(fetched, rules)
    idle_s = first_event_s(rules.rates, ReadingWork(read, 0, 0)) + fetching_s
    wait_s = first_event_s(rules.rates, reading_work(candidate, read)) + fetching_s
    wait_s += _memory_delay_s(candidate, prompt, rules)
    reread_s = rules.reread_weight * read * rules.rates.token_s
    if cached == 0 and fetched == 0:
        reread_s -= rules.affinity_s * _affinity(scope, prompt, candidate)
    choice = Choice(
        candidate,
        scope=scope,
        cached_tokens=cached,
        fetched_tokens=fetched,
        read_tokens=read,
        fetch_from=None if source is None else source.address,
        estimate_s=wait_s,
        idle_s=idle_s,
    )
    return _Estimate(choice, common_s + wait_s + reread_s)


def reading_work(candidate: Candidate, read_tokens: int) -> ReadingWork:
    """Return what a request that has some tokens to read meets at an engine."""
    load = candidate.load
    return ReadingWork(read_tokens, load.waiting_tokens, load.num_requests)


def fetch_s(num_tokens: int, rules: ChoiceRules) -> float:
    """Return the time that a fetch of cached blocks takes."""
    return rules.fetch_setup_s + num_tokens / rules.fetch_tokens_per_s if num_tokens else 0.0


def _affinity(scope: str, prompt: Prompt, candidate: Candidate) -> float:
    """Return from 0 to 1 how much a prompt's shared blocks belong to an engine, by their hash."""
    shared = prompt.blocks[-2] if len(prompt.blocks) > 1 else prompt.blocks[-1]
    text = f"{scope}|{shared.block_id}|{candidate.back_end.instance}"
    share = xxhash.xxh32_intdigest(text.encode()) / HASH_RANGE
    return float(share**AFFINITY_SHARPNESS)


def _memory_delay_s(candidate: Candidate, prompt: Prompt, rules: ChoiceRules) -> float:
    fits = max(1.0, rules.memory_share * candidate.capacity_tokens)
    needed = candidate.load.held_tokens + prompt.num_tokens + prompt.max_output_tokens
    return rules.memory_s * max(0.0, needed / fits - 1.0)


def _is_near(candidate: Candidate, source: FetchSource) -> bool:
    return source.zone == candidate.back_end.zone
