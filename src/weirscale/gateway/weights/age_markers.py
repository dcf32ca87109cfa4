"""Writes the markers that bound the age of a target version, for nodes that start meanwhile."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.expiring_record import write_expiring_record
from weirscale.gateway.state.weights_age_marker import WeightsAgeMarker
from weirscale.ports.key_value import KeyValuePort

MIN_MARKER_LIFE_S = 1.5
"""Seconds. Markers with less life left are not worth their calls. Not measured."""

MARKER_LIFE_SHARE = 0.7
"""Share of older weights' grace for which a marker lives. A node that starts lets them serve while
the latest proof of the marker, up to a second old, leaves them grace. Not measured."""

WRITE_DELAY_S = 1.0
"""Seconds by which a marker may vanish later than worked out; one whose lease is granted later than
that is not written. The longest wait for an answer of the store."""


class AgeMarkerWriter:
    """Writes one marker for each new target version.

    Args:
        cluster: Target versions.
        store: Where the markers are written.
        clock: Monotonic seconds.
    """

    def __init__(
        self, cluster: ClusterState, store: KeyValuePort, clock: Callable[[], float]
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._clock = clock
        self._marked: dict[str, int] = {}

    def write(self, model: str, grace_s: float, tasks: TaskGroup) -> None:
        """Begin to write the marker of a model's target version, unless that was done before.

        Args:
            model: The model.
            grace_s: Seconds for which older weights may serve.
            tasks: Runs the write.
        """
        target = self._cluster.target_versions.newest_target(model)
        if target is None or self._marked.get(model, 0) >= target.version:
            return
        self._marked[model] = target.version
        life_s = MARKER_LIFE_SHARE * grace_s
        left_s = target.set_after_s + life_s - self._clock()
        if left_s <= MIN_MARKER_LIFE_S:
            return
        marker = WeightsAgeMarker(model, target.version, life_s + WRITE_DELAY_S)
        tasks.start_soon(
            write_expiring_record,
            self._store,
            marker.key(),
            marker.value(),
            left_s,
            WRITE_DELAY_S,
            self._clock,
        )
