"""Draws the faults of a soak test from a weighted table, determined by a seed."""

import enum
from collections.abc import Sequence
from random import Random

import msgspec

FIRST_FAULT_S = 2.0
"""Time by which the nodes have started."""


class FaultKind(enum.Enum):
    """Kinds of faults of nodes, the store, back ends and the configuration."""

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
    PAUSE_DURING_CHANGES = "pause_unaware"
    """Half of the nodes are paused while configurations and newer weights are written."""
    RELOAD = "reload"
    """SIGHUP without a change."""
    RELOAD_CHANGED = "reload_changed"
    """Changed settings, with SIGHUP."""
    CHANGE_WITHOUT_SIGNAL = "change_untold"
    """Changed settings, without a signal."""
    CONFIGURE = "configure"
    CONFIGURE_SERIES = "configure_series"
    """Several configurations, each written before the previous one can have reached all nodes."""
    NAME_WEIGHTS = "name_weights"
    CRASH_BACK_END = "crash_back_end"
    LEAVE_BACK_END = "leave_back_end"
    LOSE_PATHS = "lose_paths"
    """One node, half of the nodes or all but one reach no back end: silence, resets or refusals."""
    SILENT_BACK_END = "silent_back_end"
    """One back end is silent for a second or so, to all nodes."""
    BRITTLE_BACK_ENDS = "brittle_back_ends"
    """The back ends of one service end if they must refuse too many requests, and say so."""
    FATAL_BLOCK = "fatal_block"
    """Some prompts have a block on which the generating back ends crash as they begin to write."""
    MOST_CONNECTIONS = "most_connections"
    """All callers open new connections for each request, all to one node."""
    BREAK_ANSWERS = "break_answers"
    """Half of the back ends answer for another request, unsigned, cut, with refusals or errors."""
    FOREIGN_ENTRIES = "foreign_entries"
    """Another writer registers back ends that nothing can be sent to, and such a node."""
    ENDLESS_ANSWERS = "endless_answers"
    """One back end answers some requests with bytes that do not end."""
    LATE_ORDERS = "late_orders"
    """One back end accepts orders late, and the answers to them are lost."""
    LOST_ORDERS = "lost_orders"
    """Newer weights are named, and half or all of the back ends never accept orders."""
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
        kind: Kind of fault.
        weight: Relative frequency among all rows.
        shortest_s: Shortest duration.
        longest_s: Longest duration.
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
    FaultRow(FaultKind.PAUSE_DURING_CHANGES, 1.5, 5.5, 10),
    FaultRow(FaultKind.RELOAD, 1),
    FaultRow(FaultKind.RELOAD_CHANGED, 1),
    FaultRow(FaultKind.CHANGE_WITHOUT_SIGNAL, 1),
    FaultRow(FaultKind.CONFIGURE, 3),
    FaultRow(FaultKind.CONFIGURE_SERIES, 2, 0.2, 2),
    FaultRow(FaultKind.NAME_WEIGHTS, 2.5),
    FaultRow(FaultKind.CRASH_BACK_END, 1.5, 0.3, 6),
    FaultRow(FaultKind.LEAVE_BACK_END, 1, 3, 5),
    FaultRow(FaultKind.LOSE_PATHS, 4, 3, 9),
    FaultRow(FaultKind.SILENT_BACK_END, 2, 0.5, 1.5),
    FaultRow(FaultKind.BRITTLE_BACK_ENDS, 2, 5, 10),
    FaultRow(FaultKind.FATAL_BLOCK, 2, 8, 12),
    FaultRow(FaultKind.MOST_CONNECTIONS, 2, 4, 7),
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

FOREIGN_TABLE = (
    FaultRow(FaultKind.FOREIGN_ENTRIES, 1, 2, 10),
    FaultRow(FaultKind.ENDLESS_ANSWERS, 1),
)
"""Faults of what others send. They are drawn on their own, so that a seed's other faults stay."""

FOREIGN_INTERVAL_FACTOR = 4.0
"""Mean interval of these faults, as a multiple of that of the others."""


STORE_FAULTS = frozenset(
    {
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_LATE_WRITES,
        FaultKind.STORE_LOST_ANSWERS,
        FaultKind.STORE_SILENT,
    }
)
"""Faults after which the bound on weights starts again."""

STORE_FAULTS_SHARE = 0.5
"""Share of the seeds with store faults; the others have long periods with a stable store."""


class Fault(msgspec.Struct, frozen=True):
    """One fault of a schedule.

    Attributes:
        kind: Kind of fault.
        at_s: Begin, from the start of the soak test.
        lasts_s: Duration; 0 for an instantaneous fault.
        seed: Determines further choices, such as the affected nodes.
    """

    kind: FaultKind
    at_s: float
    lasts_s: float
    seed: int


def draw_schedule(seed: int, duration_s: float, mean_interval_s: float) -> list[Fault]:
    """Draw the faults of a soak test; they may overlap.

    Args:
        seed: Determines all faults.
        duration_s: No fault begins or lasts beyond this time.
        mean_interval_s: Mean time between the beginnings of two faults.
    """
    random = Random(seed)
    has_store_faults = random.random() < STORE_FAULTS_SHARE
    table = [row for row in TABLE if has_store_faults or row.kind not in STORE_FAULTS]
    faults = _draw_faults(random, table, duration_s, mean_interval_s)
    interval_s = FOREIGN_INTERVAL_FACTOR * mean_interval_s
    faults += _draw_faults(Random(f"foreign {seed}"), FOREIGN_TABLE, duration_s, interval_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_faults(
    random: Random, table: Sequence[FaultRow], duration_s: float, mean_interval_s: float
) -> list[Fault]:
    """Draw faults from a table."""
    weights = [row.weight for row in table]
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s:
        (row,) = random.choices(table, weights)
        lasts_s = min(random.uniform(row.shortest_s, row.longest_s), duration_s - at_s)
        faults.append(Fault(row.kind, at_s, lasts_s, random.getrandbits(32)))
        at_s += random.expovariate(1.0 / mean_interval_s)
    return faults
