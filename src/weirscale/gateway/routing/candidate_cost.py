"""Cost of a candidate in seconds: the estimated time to the first event, plus penalties.

Tokens to prefill count beyond the time that they take, because prefill occupies the whole engine.
Fetching a block from another place costs little.
"""

import msgspec
import xxhash

from weirscale.domain.identifiers import ZoneName
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.routing.candidate import Candidate, Choice, ScopedPrompt
from weirscale.gateway.routing.choice_rules import AFFINITY_SHARPNESS, ChoiceRules
from weirscale.gateway.routing.fetch_source import SourceFinder
from weirscale.gateway.routing.first_event_model import (
    PrefillWork,
    first_event_s,
    missed_share,
)

HASH_RANGE = 2**32
"""Number of values of the 32-bit hash that assigns prompts to engines."""


class Estimate(msgspec.Struct, frozen=True):
    """The estimated result of choosing a candidate.

    Attributes:
        choice: The choice if this candidate is taken.
        cost_s: Cost in seconds. The candidate of least cost is taken.
    """

    choice: Choice
    cost_s: float


def estimate(
    candidate: Candidate,
    scoped_prompt: ScopedPrompt | None,
    finder: SourceFinder | None,
    zone: ZoneName,
    rules: ChoiceRules,
) -> Estimate:
    """Return the cost of a candidate, and the resulting choice.

    Args:
        candidate: The back end.
        scoped_prompt: The prompt of a generation; None for other requests.
        finder: Finds the fetch source of its cached blocks; None without a prompt.
        zone: Zone of this node.
        rules: Weights of the choice.
    """
    common_s = _common_cost_s(candidate, zone, rules)
    has_cache = candidate.cache is not None and candidate.weight_version is not None
    if scoped_prompt is None or finder is None or not has_cache:
        busy_s = rules.queue_s * candidate.load.num_requests / max(1, candidate.back_end.slots)
        return Estimate(Choice(candidate, estimate_s=busy_s), common_s + busy_s)
    return _estimate_generation(candidate, scoped_prompt, finder, common_s, rules)


def _common_cost_s(candidate: Candidate, zone: ZoneName, rules: ChoiceRules) -> float:
    cost_s = rules.suspect_s if candidate.is_suspect else 0.0
    if candidate.has_old_weights:
        cost_s += rules.old_weights_s
    if candidate.is_cross_region:
        cost_s += rules.other_region_s
    elif candidate.back_end.zone != zone:
        cost_s += rules.other_zone_s
    if candidate.belongs_to_other_group:
        cost_s += rules.other_group_s
    num_queued = candidate.load.num_requests + 1 - candidate.back_end.slots
    return cost_s + rules.queue_s * max(0, num_queued)


def _estimate_generation(
    candidate: Candidate,
    scoped_prompt: ScopedPrompt,
    finder: SourceFinder,
    common_s: float,
    rules: ChoiceRules,
) -> Estimate:
    assert candidate.cache is not None
    assert candidate.weight_version is not None
    prompt = scoped_prompt.prompt
    scope = scoped_prompt.scopes[candidate.weight_version]
    cached = min(candidate.cache.matched_tokens(scope, prompt.blocks), prompt.num_tokens)
    source, fetched = finder.best(candidate, cached)
    read = prompt.num_tokens - cached - fetched
    is_from_store = source is not None and source.instance is None
    work = candidate.prefill_work(read, fetched, is_from_store)
    setup_s = rules.fetch_setup_s if fetched else 0.0
    idle_work = PrefillWork(read, 0, 0, work.num_from_engine, work.num_from_store)
    idle_s = first_event_s(rules.rates, idle_work) + setup_s
    wait_s = first_event_s(rules.rates, work) + setup_s
    wait_s += _memory_delay_s(candidate, prompt, rules)
    missed = round(fetched * missed_share(rules.rates, is_from_store)) if fetched else 0
    reread_s = rules.reread_weight * (read + missed) * rules.rates.token_s
    if cached == 0 and fetched == 0:
        reread_s -= rules.affinity_s * _affinity(scope, prompt, candidate)
    choice = Choice(
        candidate,
        scope=scope,
        cached_tokens=cached,
        fetched_tokens=fetched,
        read_tokens=read,
        missed_tokens=missed,
        fetch_from=None if source is None else source.address,
        is_from_store=is_from_store,
        estimate_s=wait_s,
        idle_s=idle_s,
    )
    return Estimate(choice, common_s + wait_s + reread_s)


def _affinity(scope: str, prompt: Prompt, candidate: Candidate) -> float:
    """Return the affinity of a prompt's shared blocks to an engine, from 0 to 1, by their hash."""
    shared = prompt.blocks[-2] if len(prompt.blocks) > 1 else prompt.blocks[-1]
    text = f"{scope}|{shared.block_id}|{candidate.back_end.instance}"
    share = xxhash.xxh32_intdigest(text.encode()) / HASH_RANGE
    return float(share**AFFINITY_SHARPNESS)


def _memory_delay_s(candidate: Candidate, prompt: Prompt, rules: ChoiceRules) -> float:
    usable_tokens = max(1.0, rules.memory_share * candidate.capacity_tokens)
    needed_tokens = candidate.load.held_tokens + prompt.num_tokens + prompt.max_output_tokens
    return rules.memory_s * max(0.0, needed_tokens / usable_tokens - 1.0)
