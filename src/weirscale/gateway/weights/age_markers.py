"""Writes the markers that bound the age of a target version for nodes that start later."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.expiring_record import write_expiring_record
from weirscale.gateway.state.weights_age_marker import WeightsAgeMarker
from weirscale.ports.key_value import KeyValuePort

MIN_MARKER_LIFETIME_S = 1.5
"""Minimum remaining lifetime in seconds. A marker with less is not worth its calls to the store."""

MARKER_LIFETIME_SHARE = 0.7
"""Lifetime of a marker, as a share of the grace period of older weights. A node that starts lets
older weights serve while its latest proof of the marker, up to 1 s old, leaves them grace."""

WRITE_DELAY_S = 1.0
"""Maximum seconds by which a marker may expire later than computed. A marker whose lease is granted
later than that is not written. This is the longest wait for an answer of the store."""


class AgeMarkerWriter:
    """Writes one marker for each new target version.

    Args:
        cluster: Provides the target versions.
        store: Where markers are written.
        clock: Monotonic seconds.
    """

    def __init__(
        self, cluster: ClusterState, store: KeyValuePort, clock: Callable[[], float]
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._clock = clock
        self._marked_versions: dict[str, int] = {}

    def write(self, model: str, grace_s: float, tasks: TaskGroup) -> None:
        """Start writing the marker of a model's target version, unless this was done before.

        Args:
            model: The model.
            grace_s: Seconds for which older weights may serve.
            tasks: Runs the write.
        """
        target = self._cluster.target_versions.newest_target(model)
        if target is None or self._marked_versions.get(model, 0) >= target.version:
            return
        self._marked_versions[model] = target.version
        marker_lifetime_s = MARKER_LIFETIME_SHARE * grace_s
        remaining_s = target.set_after_s + marker_lifetime_s - self._clock()
        if remaining_s <= MIN_MARKER_LIFETIME_S:
            return
        marker = WeightsAgeMarker(model, target.version, marker_lifetime_s + WRITE_DELAY_S)
        tasks.start_soon(
            write_expiring_record,
            self._store,
            marker.key(),
            marker.value(),
            remaining_s,
            WRITE_DELAY_S,
            self._clock,
        )
