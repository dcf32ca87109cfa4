"""Draws the faults of a soak from a table; a seed determines them all."""

import enum
from random import Random

import msgspec

FIRST_FAULT_S = 2.0
"""Nodes have started by then."""


class FaultKind(enum.Enum):
    """What is done to nodes, the store, the back ends or the configuration."""

    STOP = "stop"
    """SIGTERM; the node starts again after its end."""
    STOP_SEVERAL = "stop_several"
    """SIGTERM to half of the nodes."""
    STOP_TWICE = "stop_twice"
    """A second SIGTERM during the stop."""
    STOP_PAUSED = "stop_paused"
    """SIGSTOP, SIGTERM while it is paused, SIGCONT."""
    KILL = "kill"
    KILL_STOPPING = "kill_stopping"
    """SIGTERM, then SIGKILL in the middle of the stop."""
    KILL_ALL = "kill_all"
    PAUSE = "pause"
    PAUSE_SEVERAL = "pause_several"
    PAUSE_UNAWARE = "pause_unaware"
    """Half of the nodes are paused, and configurations and newer weights come meanwhile."""
    RELOAD = "reload"
    """SIGHUP without a change."""
    RELOAD_CHANGED = "reload_changed"
    """Changed settings, with SIGHUP."""
    CHANGE_UNTOLD = "change_untold"
    """Changed settings, without a signal."""
    CONFIGURE = "configure"
    CONFIGURE_SERIES = "configure_series"
    """Several configurations, each before the last one can be everywhere."""
    NAME_WEIGHTS = "name_weights"
    CRASH_BACK_END = "crash_back_end"
    LEAVE_BACK_END = "leave_back_end"
    BREAK_ANSWERS = "break_answers"
    """The next answers of half of the back ends are crossed, unsigned, cut, refused or failures."""
    LATE_ORDERS = "late_orders"
    """One back end takes orders late, and loses the answers to them."""
    LOST_ORDERS = "lost_orders"
    """Newer weights are named, and orders to half or all of the back ends are never taken."""
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LATE_WRITES = "store_late_writes"
    STORE_LOST_ANSWERS = "store_lost_answers"
    STORE_SILENT = "store_silent"
    STORE_CUT_WATCHES = "store_cut_watches"
    STORE_FORGETS = "store_forgets"


class FaultRow(msgspec.Struct, frozen=True):
    """One row of the table.

    Attributes:
        kind: What is done.
        weight: How often, against the other rows.
        shortest_s: Shortest time that it lasts.
        longest_s: Longest time that it lasts.
    """

    kind: FaultKind
    weight: float
    shortest_s: float = 0.0
    longest_s: float = 0.0


TABLE = (
    FaultRow(FaultKind.STOP, 4),
    FaultRow(FaultKind.STOP_SEVERAL, 1.5),
    FaultRow(FaultKind.STOP_TWICE, 1),
    FaultRow(FaultKind.STOP_PAUSED, 1, 0.3, 3),
    FaultRow(FaultKind.KILL, 3),
    FaultRow(FaultKind.KILL_STOPPING, 1, 0.2, 4),
    FaultRow(FaultKind.KILL_ALL, 0.5),
    FaultRow(FaultKind.PAUSE, 4, 0.2, 6),
    FaultRow(FaultKind.PAUSE_SEVERAL, 1, 0.5, 5),
    FaultRow(FaultKind.PAUSE_UNAWARE, 1.5, 5.5, 10),
    FaultRow(FaultKind.RELOAD, 1),
    FaultRow(FaultKind.RELOAD_CHANGED, 1),
    FaultRow(FaultKind.CHANGE_UNTOLD, 1),
    FaultRow(FaultKind.CONFIGURE, 3),
    FaultRow(FaultKind.CONFIGURE_SERIES, 2, 0.2, 2),
    FaultRow(FaultKind.NAME_WEIGHTS, 2.5),
    FaultRow(FaultKind.CRASH_BACK_END, 1.5, 0.3, 6),
    FaultRow(FaultKind.LEAVE_BACK_END, 1, 3, 5),
    FaultRow(FaultKind.BREAK_ANSWERS, 4),
    FaultRow(FaultKind.LATE_ORDERS, 1, 2, 8),
    FaultRow(FaultKind.LOST_ORDERS, 3, 10, 18),
    FaultRow(FaultKind.STORE_DOWN, 0.7, 0.5, 6),
    FaultRow(FaultKind.STORE_SLOW, 0.7, 1, 5),
    FaultRow(FaultKind.STORE_LATE_WRITES, 0.7, 1, 5),
    FaultRow(FaultKind.STORE_LOST_ANSWERS, 0.7, 1, 5),
    FaultRow(FaultKind.STORE_SILENT, 0.7, 0.5, 4),
    FaultRow(FaultKind.STORE_CUT_WATCHES, 1),
    FaultRow(FaultKind.STORE_FORGETS, 1),
)


STORE_FAULTS = frozenset(
    {
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_LATE_WRITES,
        FaultKind.STORE_LOST_ANSWERS,
        FaultKind.STORE_SILENT,
    }
)
"""What begins the bound on weights anew."""

STORE_FAULTS_SHARE = 0.5
"""Share of the seeds that have them; the others have long stretches with a stable store."""


class Fault(msgspec.Struct, frozen=True):
    """One fault of a schedule.

    Attributes:
        kind: What is done.
        at_s: When it begins, from the start of the soak.
        lasts_s: How long it lasts; 0 for what has no length.
        seed: Source of further choices, such as the nodes that are struck.
    """

    kind: FaultKind
    at_s: float
    lasts_s: float
    seed: int


def draw_schedule(seed: int, duration_s: float, mean_interval_s: float) -> list[Fault]:
    """Draw the faults of a soak; they overlap as it comes.

    Args:
        seed: Determines everything.
        duration_s: No fault begins later, and none lasts beyond it.
        mean_interval_s: Mean time between the beginnings of two faults.
    """
    random = Random(seed)
    has_store_faults = random.random() < STORE_FAULTS_SHARE
    table = [row for row in TABLE if has_store_faults or row.kind not in STORE_FAULTS]
    weights = [row.weight for row in table]
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s:
        (row,) = random.choices(table, weights)
        lasts_s = min(random.uniform(row.shortest_s, row.longest_s), duration_s - at_s)
        faults.append(Fault(row.kind, at_s, lasts_s, random.getrandbits(32)))
        at_s += random.expovariate(1.0 / mean_interval_s)
    return faults
