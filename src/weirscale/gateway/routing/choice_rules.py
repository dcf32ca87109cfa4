"""Weights of the choice of a back end, each with unit, reason and origin.

The choice compares costs in seconds. A cost is the estimated time to the first event, plus what the
weights below add. "Not measured." means that no run compared the figure with another one.
"""

import msgspec

from weirscale.gateway.routing.first_event_model import START_RATES, FirstEventRates

AFFINITY_SHARPNESS = 3
"""Exponent, without unit, of an engine's hash share. It makes the largest share stand out from the
others, so that nodes whose loads differ a little still agree. Not measured."""

START_MARGIN_S = 1.1
"""Seconds by which nodes stop sending on older weights before the deployment's bound, since a
request waits at an engine before it starts. Not measured."""

START_FACTOR = 3.0
"""Multiple, without unit, of the estimated wait that must be left until an engine's weights are too
old. The estimate misses queues that other nodes have just built. Measured at three times the usual
load with every load of weights late, three days each: with half the factor 1 to 6 requests of some
3,300 began too late, with this one none."""

RECENT_FACTOR = 1.2
"""Multiple, without unit, of this node's longest recent wait that must be left likewise. The
estimate follows what all engines take, and one of them may have become slower. Measured in virtual
time with engines that need 2 s to a first event and 8 s allowed: the last request on older weights
began after 8.60 s without this rule and within 8 s with it."""


class ChoiceRules(msgspec.Struct, frozen=True):
    """Weights of the choice."""

    rates: FirstEventRates = START_RATES
    """What makes up the time to a first event; replaced by what was learnt."""

    fetch_setup_s: float = 0.004
    """Seconds that a fetch takes whatever its size. Not measured."""

    queue_s: float = 0.05
    """Seconds added for each request beyond an engine's slots, and for a full set of slots where no
    prompt is known: such requests wait for one of the others to end. Not measured."""

    memory_s: float = 0.5
    """Seconds added for each whole multiple by which requests exceed the engine's memory: it then
    evicts blocks and starts fewer requests. Not measured."""

    reread_weight: float = 0.5
    """Share of a prompt's reading time that is added to the wait: reading occupies the engine for
    all its requests, not only for this one. Not measured; at the learnt rates more is read again
    than at the fixed ones of before (0.008 of worth, `docs/DECISIONS.md`)."""

    other_zone_s: float = 0.003
    """Seconds added for a back end in another zone: a request and its first event cross a link that
    takes some 1.5 ms one way, as both deployments state it. Not measured."""

    other_region_s: float = 0.08
    """Seconds added for a back end in another region: a new connection and the request cross a link
    of 12 ms twice each, the first event once, and the bytes are dear. One run of a fleet over two
    regions with this cost, and with blocks kept within their region, had a worth of 0.454 instead
    of 0.321; other figures were not tried (`docs/DECISIONS.md`, N4)."""

    suspect_s: float = 0.3
    """Seconds added for a back end that is being tried again after failures. Not measured."""

    old_weights_s: float = 0.25
    """Seconds added where newer weights than the engine's are wanted. Less than an objective, since
    an answer on older weights is better than a late one. Measured over 24 paired runs: 0.45 s,
    with a longer wait before loads, lost 0.0118 ± 0.0088 of worth, as the few engines with new
    weights got all requests (`docs/DECISIONS.md`, "Tried and not kept")."""

    tie_s: float = 0.002
    """Seconds within which costs count as equal. Not measured."""

    tie_share: float = 0.15
    """Share of the gossip delay that is added to `tie_s`: until they learn of each other's sends,
    many nodes see the same engine as the best, and would all choose it. One run of 195 nodes had a
    worth of 0.515 instead of 0.433; other shares were not tried (`docs/DECISIONS.md`, W1)."""

    other_group_share: float = 0.3
    """Share of the gossip delay that an engine preferred by another group of nodes costs: what that
    group sends it meanwhile is unknown. Paired runs of a large fleet: a worth of 0.531 instead of
    0.492. In a fleet of three groups 0, 0.3 and 0.8 gave 0.532, 0.505 and 0.527, which is within
    the spread of single runs (`docs/design/0017-shifted-work.md`)."""

    other_group_s: float = 0.0
    """That cost in seconds at the gossip delay of now; the dispatcher sets it for each choice."""

    memory_share: float = 0.85
    """Share of an engine's memory that running requests may fill before `memory_s` counts. Not
    measured."""

    min_fetch_tokens: int = 64
    """Tokens below which a piece is read instead of fetched: it is read within the fixed time of a
    fetch. Not measured."""

    affinity_s: float = 0.03
    """Seconds by which the engine that a prompt belongs to by its hash is preferred where nobody
    keeps any of it, so that nodes that have not learnt of each other's sends choose the same. Not
    measured apart from the other changes that came with it."""
