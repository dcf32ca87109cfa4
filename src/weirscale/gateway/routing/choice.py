"""Chooses the back end of least cost: a short wait, and few tokens to prefill again."""

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
    scoped_prompt: ScopedPrompt | None,
    sources: Sequence[FetchSource],
    zone: ZoneName,
    rules: ChoiceRules,
    random: Random,
) -> Choice | None:
    """Return the candidate of least cost, or None if none can start the request in time.

    Candidates whose costs differ by at most `rules.tie_s` count as equal. Of these, one for which
    this node holds a permit goes first: an unused permit is lost to all nodes.

    Args:
        candidates: Back ends that may serve the request.
        scoped_prompt: The prompt of a generation; None for other requests.
        sources: Engines and stores from which cached blocks may be fetched.
        zone: Zone of this node.
        rules: Weights of the choice.
        random: Breaks ties, so that the nodes do not all choose the same back end.
    """
    finder = None if scoped_prompt is None else SourceFinder(scoped_prompt, sources, rules)
    all_options = (
        estimate(candidate, scoped_prompt, finder, zone, rules) for candidate in candidates
    )
    options = [option for option in all_options if _starts_in_time(option.choice)]
    if not options:
        return None
    least_s = min(option.cost_s for option in options)
    tied = [option for option in options if option.cost_s <= least_s + rules.tie_s]
    tied = [option for option in tied if option.choice.candidate.has_spare_permit] or tied
    if scoped_prompt is not None and all(
        option.choice.read_tokens == scoped_prompt.prompt.num_tokens for option in tied
    ):
        # Nothing of the prompt is cached: the hash breaks the tie, so that all nodes choose alike.
        tied = [min(tied, key=lambda option: option.cost_s)]
    chosen = tied[0] if len(tied) == 1 else random.choice(tied)
    num_idle = sum(candidate.load.waiting_tokens <= 0 for candidate in candidates)
    return msgspec.structs.replace(
        chosen.choice,
        num_candidates=len(candidates),
        idle_share=num_idle / len(candidates),
    )


def _starts_in_time(choice: Choice) -> bool:
    """Return whether a request would start before its engine's weights are too old."""
    candidate = choice.candidate
    wait_s = max(START_FACTOR * choice.estimate_s, RECENT_FACTOR * candidate.recent_wait_s)
    return wait_s <= candidate.max_start_delay_s
