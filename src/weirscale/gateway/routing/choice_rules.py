"""Weights of the choice of a back end, each with its unit and reason.

The choice compares costs in seconds. A cost is the estimated time to the first event, plus the
penalties below. The worth of a run of a fleet is the value of its answers less the cost of
resources, as a share of the achievable value.
"""

import msgspec

from weirscale.gateway.routing.first_event_model import START_RATES, FirstEventRates

AFFINITY_SHARPNESS = 3
"""Exponent, without unit, of an engine's hash share. It makes the largest share stand out, so that
nodes with slightly different views of the load still choose the same engine."""

START_MARGIN_S = 1.1
"""Seconds before the deployment's bound at which nodes stop sending requests to older weights, as a
request waits at an engine before it starts."""

START_FACTOR = 3.0
"""Multiple, without unit, of the estimated wait that must be left until an engine's weights are too
old. The estimate lacks queues that other nodes have just caused. At three times the usual load,
with all weight loads delayed, half this factor let 1 to 6 of about 3,300 requests start too late in
each of three days; with this factor none did."""

RECENT_FACTOR = 1.2
"""Multiple, without unit, of this node's longest recent wait that must also be left. The estimate
follows the average of all engines, and one of them may have become slower. With engines that take
2 s to the first event and a bound of 8 s, the last request on older weights started after 8.60 s
without this rule, and within 8 s with it."""


class ChoiceRules(msgspec.Struct, frozen=True):
    """Weights of the choice."""

    rates: FirstEventRates = START_RATES
    """Components of the time to the first event. Learnt rates replace these initial ones."""

    fetch_setup_s: float = 0.004
    """Fixed time of a fetch in seconds, whatever its size."""

    queue_s: float = 0.05
    """Seconds added for each request beyond the slots of a back end, since it waits for another
    request to end. Without a prompt this is also the cost of a full set of slots."""

    memory_s: float = 0.5
    """Seconds added for each multiple of an engine's memory by which its requests exceed it. The
    engine then evicts blocks and starts fewer requests."""

    reread_weight: float = 0.5
    """Share of a prompt's prefill time that is added to the wait, since prefill occupies the engine
    for all its requests, not only for this one. With learnt rates, more is prefilled again than
    with fixed ones (0.008 of worth, `docs/DECISIONS.md`)."""

    other_zone_s: float = 0.003
    """Seconds added for a back end in another zone. The request and its first event each cross a
    link that takes about 1.5 ms one way, as both deployments state it."""

    other_region_s: float = 0.08
    """Seconds added for a back end in another region. A new connection and the request each cross a
    link of 12 ms twice, the first event crosses it once, and traffic between regions is expensive.
    In a fleet over two regions, this cost, together with fetching within a region only, raised the
    worth from 0.321 to 0.454 (`docs/DECISIONS.md`, N4)."""

    suspect_s: float = 0.3
    """Seconds added for a back end that is being tried again after failures."""

    old_weights_s: float = 0.25
    """Seconds added for an engine whose weights are older than the newest target version. This is
    less than a latency objective, since an answer on older weights is better than a late one. Over
    24 paired runs, 0.45 s with a longer wait before weight loads lowered the worth by
    0.0118 ± 0.0088, since the few engines with new weights got all requests (`docs/DECISIONS.md`,
    "Tried and not kept")."""

    tie_s: float = 0.002
    """Seconds within which costs count as equal."""

    tie_share: float = 0.15
    """Share of the gossip delay that is added to `tie_s`. Until nodes learn of each other's sends,
    many of them see the same engine as the best one, and would all choose it. In a fleet of 195
    nodes this raised the worth from 0.433 to 0.515 (`docs/DECISIONS.md`, W1)."""

    other_group_share: float = 0.3
    """Share of the gossip delay that is added for an engine preferred by another group of nodes,
    since the requests that the group sends it in that time are unknown. In paired runs of a large
    fleet, this raised the worth from 0.492 to 0.531. In a fleet of three groups, shares of 0, 0.3
    and 0.8 gave 0.532, 0.505 and 0.527, which is within the variation of single runs
    (`docs/design/0017-shifted-work.md`)."""

    other_group_s: float = 0.0
    """That cost in seconds at the current gossip delay. The dispatcher sets it for each choice."""

    memory_share: float = 0.85
    """Share of an engine's memory that running requests may fill before `memory_s` applies."""

    min_fetch_tokens: int = 64
    """Minimum number of tokens to fetch. Fewer tokens are prefilled within the fixed time of a
    fetch."""

    affinity_s: float = 0.03
    """Maximum seconds by which the hash of a prompt favours an engine if nothing of the prompt is
    cached. So nodes that have not learnt of each other's sends choose the same engine."""
