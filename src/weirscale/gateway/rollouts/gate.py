"""Decides which back ends a request may go to during a rollout, by their service version.

Inputs: the state of the rollout as this node knows it (`view`), the age of this node's cluster
state in seconds, and the request's track. The table of stages is in
docs/design/0019-version-rollouts.md. A node whose state is stale sends nothing to versions that may
have been rolled back or replaced meanwhile.
"""

import enum
from collections.abc import Callable

import xxhash

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd, of_version
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.record import Stage
from weirscale.gateway.rollouts.view import RecordReader, RolloutView
from weirscale.gateway.state.cluster_state import ClusterState

MAX_STATE_AGE_SHARE = 0.3
"""Fraction of the time allowed for a rollback up to which cluster state counts as fresh. The rest
covers the gossip of the bad answers, the decision and its distribution. With 5 s allowed, state is
fresh up to an age of 1.5 s and a rollback takes 2.1 s (docs/design/0019-version-rollouts.md)."""

MIN_CANARY_ENGINES = 3
"""Smallest number of the target's engines that get canary requests. With fewer, a single bad engine
could not be distinguished from a bad version."""


class Track(enum.Enum):
    """Selects the versions that a request may go to."""

    STABLE = "usual"
    """The versions that serve regular traffic."""
    CANARY = "trial"
    """The target version, during its canary stage."""


class VersionGate:
    """Decides which back ends may be chosen.

    Args:
        reader: Reads the state of rollouts.
        cluster: Provides the age of this node's state.
        rollback_s: Returns the seconds allowed for a rollback.
        is_isolated: Returns whether this node reaches neither the store nor half of the other
            nodes.
        share: Returns the share of requests that may go to a canary.
    """

    def __init__(
        self,
        reader: RecordReader,
        cluster: ClusterState,
        rollback_s: Callable[[], float],
        is_isolated: Callable[[], bool],
        share: Callable[[], float],
    ) -> None:
        self._reader = reader
        self._cluster = cluster
        self._rollback_s = rollback_s
        self._is_isolated = is_isolated
        self._share = share

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return the back ends of a service that a request of a track may go to."""
        view = self._reader.view(service)
        if view is None:
            return back_ends if self._cannot_have_missed_rollout() else []
        if track is Track.CANARY:
            return self._canary_engines(view, back_ends) if self.allows_canary(view) else []
        if not self._may_serve(view):
            return []
        return [back_end for back_end in back_ends if view.is_stable(back_end.software)]

    def continuing(
        self,
        service: ServiceName,
        back_ends: list[BackEnd],
        track: Track,
        version: SoftwareVersion,
    ) -> list[BackEnd]:
        """Return the back ends that may continue a stream that a version began.

        While traffic moves to the target, the versions that it replaces get no new requests, but
        continue their streams until the rollout has ended.
        """
        view = self._reader.view(service)
        if view is not None and track is Track.STABLE and view.is_replaced(version):
            is_recent = self._cluster.age_s() <= self._rollback_s()
            return of_version(back_ends, version) if is_recent else []
        return of_version(self.usable(service, back_ends, track), version)

    def allows_canary(self, view: RolloutView) -> bool:
        """Return whether the target may get canary requests now."""
        return view.stage is Stage.CANARY and self._is_state_fresh()

    def serves(self, back_end: BackEnd) -> bool:
        """Return whether a back end gets requests of the stable track."""
        view = self._reader.view(back_end.service)
        return view is None or view.is_stable(back_end.software)

    def _is_state_fresh(self) -> bool:
        return self._cluster.age_s() <= MAX_STATE_AGE_SHARE * self._rollback_s()

    def _may_serve(self, view: RolloutView) -> bool:
        """Return whether the state is fresh enough to decide which versions serve."""
        if view.stage is Stage.MOVING:
            # The target may have been rolled back, and no new request may go to the predecessors.
            return self._is_state_fresh()
        if view.is_open():
            return self._cluster.age_s() <= self._rollback_s()
        return self._cannot_have_missed_rollout()

    def _cannot_have_missed_rollout(self) -> bool:
        """Return whether this node cannot have missed a whole rollout, from order to end."""
        return self._cluster.age_s() <= self._rollback_s() or not self._is_isolated()

    def _canary_engines(self, view: RolloutView, back_ends: list[BackEnd]) -> list[BackEnd]:
        """Return the few engines of the target that get canary requests, the same on all nodes."""
        targets = [back_end for back_end in back_ends if back_end.software == view.target]
        num_old = sum(1 for back_end in back_ends if view.is_stable(back_end.software))
        num_engines = max(MIN_CANARY_ENGINES, round(self._share() * num_old))
        return sorted(targets, key=lambda target: _engine_order(view.epoch, target.instance))[
            :num_engines
        ]


def _engine_order(epoch: Epoch, instance: InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{epoch}|{instance}".encode())
