"""Cost of a candidate in seconds: the wait for its first event, and what the choice adds to that.

What must be read again is weighed beyond the time that it takes, because reading it costs the whole
engine; fetching a block from another place costs little.
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
"""Values of the 32-bit hash that shares prompts out."""


class Estimate(msgspec.Struct, frozen=True):
    """What choosing a candidate would come to.

    Attributes:
        choice: The choice, were it this candidate.
        cost_s: What is compared; the least is chosen.
    """

    choice: Choice
    cost_s: float


def estimate(
    candidate: Candidate,
    need: ScopedPrompt | None,
    finder: SourceFinder | None,
    zone: ZoneName,
    rules: ChoiceRules,
) -> Estimate:
    """Return the cost of a candidate, and the choice that it would be.

    Args:
        candidate: The back end.
        need: The prompt, for generations.
        finder: Finds where its cached blocks can be fetched; given with a prompt.
        zone: The node's zone.
        rules: Weights.
    """
    common_s = _common_cost_s(candidate, zone, rules)
    is_known = candidate.cache is not None and candidate.weight_version is not None
    if need is None or finder is None or not is_known:
        busy_s = rules.queue_s * candidate.load.num_requests / max(1, candidate.back_end.slots)
        return Estimate(Choice(candidate, estimate_s=busy_s), common_s + busy_s)
    return _estimate_generation(candidate, need, finder, common_s, rules)


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
    num_over = candidate.load.num_requests + 1 - candidate.back_end.slots
    return cost_s + rules.queue_s * max(0, num_over)


def _estimate_generation(
    candidate: Candidate,
    need: ScopedPrompt,
    finder: SourceFinder,
    common_s: float,
    rules: ChoiceRules,
) -> Estimate:
    assert candidate.cache is not None
    assert candidate.weight_version is not None
    prompt = need.prompt
    scope = need.scopes[candidate.weight_version]
    cached = min(candidate.cache.matched_tokens(scope, prompt.blocks), prompt.num_tokens)
    source, fetched = finder.best(candidate, cached)
    read = prompt.num_tokens - cached - fetched
    is_from_store = source is not None and source.instance is None
    work = candidate.prefill_work(read, fetched, is_from_store)
    setup_s = rules.fetch_setup_s if fetched else 0.0
    alone = PrefillWork(read, 0, 0, work.num_from_engine, work.num_from_store)
    idle_s = first_event_s(rules.rates, alone) + setup_s
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
    """Return from 0 to 1 how much a prompt's shared blocks belong to an engine, by their hash."""
    shared = prompt.blocks[-2] if len(prompt.blocks) > 1 else prompt.blocks[-1]
    text = f"{scope}|{shared.block_id}|{candidate.back_end.instance}"
    share = xxhash.xxh32_intdigest(text.encode()) / HASH_RANGE
    return float(share**AFFINITY_SHARPNESS)


def _memory_delay_s(candidate: Candidate, prompt: Prompt, rules: ChoiceRules) -> float:
    fits = max(1.0, rules.memory_share * candidate.capacity_tokens)
    needed = candidate.load.held_tokens + prompt.num_tokens + prompt.max_output_tokens
    return rules.memory_s * max(0.0, needed / fits - 1.0)
