"""What faults visibly did in a run, so that a run without violations is not an empty one."""

import msgspec

from weirscale.experiments.history.history import History
from weirscale.experiments.history.records import (
    BackendChange,
    BackendChanged,
    ConfigurationAccepted,
    EngineRun,
    NodeChange,
    NodeChanged,
    OrderTaken,
)


class Effects(msgspec.Struct, frozen=True):
    """Traces of faults in a history.

    Attributes:
        num_engine_crashes: Crashes of engines.
        num_engine_restarts: Engine runs after the first that served requests.
        num_attempts_after_first: Attempts on engines after a request's first.
        num_weight_versions_served: Weight versions that served requests.
        num_orders_taken: Fenced orders that engines accepted.
        num_node_starts: Starts of nodes, the first ones included.
        num_node_pauses: Pauses of nodes.
        num_node_cuts: Nodes cut off from zones or platform.
        num_planned_stops: Nodes that drained and stopped.
        num_backends_left: Back ends that were listed as leaving.
        num_configurations_accepted: Configurations that the store accepted.
    """

    num_engine_crashes: int
    num_engine_restarts: int
    num_attempts_after_first: int
    num_weight_versions_served: int
    num_orders_taken: int
    num_node_starts: int
    num_node_pauses: int
    num_node_cuts: int
    num_planned_stops: int
    num_backends_left: int
    num_configurations_accepted: int


def effects_of(history: History) -> Effects:
    """Count the traces of faults."""
    runs = history.of_type(EngineRun)
    engine_runs = {(run.engine, run.incarnation) for run in runs}
    changes = [changed.change for changed in history.of_type(NodeChanged)]
    backend_changes = [changed.change for changed in history.of_type(BackendChanged)]
    return Effects(
        num_engine_crashes=backend_changes.count(BackendChange.CRASHED),
        num_engine_restarts=len(engine_runs) - len({run.engine for run in runs}),
        num_attempts_after_first=sum(run.attempt > 0 for run in runs),
        num_weight_versions_served=len({(run.model, run.weight_version) for run in runs}),
        num_orders_taken=len(history.of_type(OrderTaken)),
        num_node_starts=changes.count(NodeChange.STARTED),
        num_node_pauses=changes.count(NodeChange.PAUSED),
        num_node_cuts=changes.count(NodeChange.CUT_OFF),
        num_planned_stops=changes.count(NodeChange.STOPPED),
        num_backends_left=backend_changes.count(BackendChange.LEAVING),
        num_configurations_accepted=len(history.of_type(ConfigurationAccepted)),
    )
