"""Kinds of faults, and one planned fault."""

import enum

from weirscale.domain.configuration.model import Declared


class FaultKind(enum.Enum):
    """Kinds of faults in a run."""

    ENGINE_CRASH = "engine_crash"
    """An engine loses all state and restarts with an empty cache."""
    EVENT_LOSS = "event_loss"
    """Cache events of engines are delayed and partly lost."""
    HERD_RESTART = "herd_restart"
    """All nodes except those of one zone crash at the same time and restart."""
    HOT_SHIFT = "hot_shift"
    """Another set of prefixes becomes popular, and the arrival rate doubles."""
    STORE_DOWN = "store_down"
    """The key-value service refuses all calls."""
    STORE_SLOW = "store_slow"
    """The key-value service takes seconds for each call."""
    LOST_ANSWERS = "lost_answers"
    """The key-value service loses answers to calls that took effect."""
    PAUSED_HOLDER = "paused_holder"
    """A node that may hold leases is paused and resumes after they have expired."""
    RACING_OPERATORS = "racing_operators"
    """Two operators apply conflicting files at the same time."""
    ZONE_CUT = "zone_cut"
    """One zone loses its links to the other zones and to the platform."""
    REGION_CUT = "region_cut"
    """The whole region loses its link to the platform; its zones still reach each other."""
    LEAVING_BACKEND = "leaving_backend"
    """An engine and a service back end are listed as leaving, then removed."""
    PLANNED_STOP = "planned_stop"
    """A node drains, stops and is replaced."""
    CROSSED_ANSWERS = "crossed_answers"
    """Engines and service back ends send late, crossed, repeated or broken answers."""
    WEIGHT_ROLLOUT = "weight_rollout"
    """A new weight version is declared and rolled out under load."""


class PlannedFault(Declared, frozen=True):
    """One fault at a planned time.

    Attributes:
        kind: Kind of the fault.
        at_s: Start of the fault, from the start of the run.
        lasts_s: Duration of the fault, for kinds that have one.
        target: Name of the engine, node or zone; if empty, the injector chooses one.
    """

    kind: FaultKind
    at_s: float
    lasts_s: float = 10.0
    target: str = ""
