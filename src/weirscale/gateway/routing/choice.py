"""Chooses the back end of least cost: it answers soon and reads little of the prompt again."""

from collections.abc import Sequence
from random import Random

import msgspec

from weirscale.domain.identifiers import ZoneName
from weirscale.gateway.routing.candidate import Candidate, Choice, FetchSource, ScopedPrompt
from weirscale.gateway.routing.candidate_cost import estimate
from weirscale.gateway.routing.choice_rules import RECENT_FACTOR, START_FACTOR, ChoiceRules
from weirscale.gateway.routing.fetch_source import SourceFinder


def choose(
    candidates: Sequence[Candidate],
    need: ScopedPrompt | None,
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
    finder = None if need is None else SourceFinder(need, sources, rules)
    found = (estimate(one, need, finder, zone, rules) for one in candidates)
    estimates = [one for one in found if _begins_in_time(one.choice)]
    if not estimates:
        return None
    least_s = min(one.cost_s for one in estimates)
    near = [one for one in estimates if one.cost_s <= least_s + rules.tie_s]
    if need is not None and all(one.choice.read_tokens == need.prompt.num_tokens for one in near):
        # Nobody keeps any of it: the hash decides, not chance, so that all nodes choose alike.
        near = [min(near, key=lambda one: one.cost_s)]
    chosen = near[0] if len(near) == 1 else random.choice(near)
    num_idle = sum(one.load.waiting_tokens <= 0 for one in candidates)
    return msgspec.structs.replace(
        chosen.choice,
        num_candidates=len(candidates),
        idle_share=num_idle / len(candidates),
    )


def _begins_in_time(choice: Choice) -> bool:
    """Whether a request would begin before its engine's weights are too old."""
    candidate = choice.candidate
    wait_s = max(START_FACTOR * choice.estimate_s, RECENT_FACTOR * candidate.recent_wait_s)
    return wait_s <= candidate.max_start_delay_s
