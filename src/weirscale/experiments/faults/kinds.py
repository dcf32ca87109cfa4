"""Kinds of faults, and one planned fault."""

import enum

from weirscale.domain.configuration.model import Declared


class FaultKind(enum.Enum):
    """What can go wrong in a run."""

    ENGINE_CRASH = "engine_crash"
    """An engine loses everything and comes back empty."""
    EVENT_LOSS = "event_loss"
    """Engines' cache events come late and with gaps."""
    HERD_RESTART = "herd_restart"
    """All nodes but those of one zone crash at once and start again."""
    HOT_SHIFT = "hot_shift"
    """Another set of prefixes becomes hot, and the rate doubles."""
    STORE_DOWN = "store_down"
    """The key-value service refuses every call."""
    STORE_SLOW = "store_slow"
    """The key-value service takes seconds for each call."""
    LOST_ANSWERS = "lost_answers"
    """The key-value service loses answers after the change took effect."""
    PAUSED_HOLDER = "paused_holder"
    """A node that may hold leases is stopped and goes on after they lapse."""
    RACING_OPERATORS = "racing_operators"
    """Two operators apply conflicting files at the same moments."""
    ZONE_CUT = "zone_cut"
    """One zone loses its links to the others and to the platform."""
    REGION_CUT = "region_cut"
    """The whole region loses the platform; its zones still see each other."""
    LEAVING_BACKEND = "leaving_backend"
    """An engine and a service back end are listed as leaving, then taken away."""
    PLANNED_STOP = "planned_stop"
    """A node drains, stops and is replaced."""
    CROSSED_ANSWERS = "crossed_answers"
    """Engines and service back ends send late, crossed, repeated and broken answers."""
    WEIGHT_ROLLOUT = "weight_rollout"
    """A new weight version is declared and rolled out under load."""


class PlannedFault(Declared, frozen=True):
    """One fault on the timeline.

    Attributes:
        kind: What goes wrong.
        at_s: When it begins, from the start of the run.
        lasts_s: How long it lasts, where it lasts.
        target: Name of the engine, node or zone; empty: drawn from the seed.
    """

    kind: FaultKind
    at_s: float
    lasts_s: float = 10.0
    target: str = ""
