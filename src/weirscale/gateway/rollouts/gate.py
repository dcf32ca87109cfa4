"""The rule of which back ends a request may go to during a rollout, by their service version.

Inputs: what this node knows of the rollout (`view`), the age of its proof in seconds and the
request's track. The table of stages is in docs/design/0019-version-rollouts.md. A node whose proof
is too old sends nothing to versions that may have been returned or replaced meanwhile.
"""

import enum
from collections.abc import Callable

import xxhash

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.record import Stage
from weirscale.gateway.rollouts.view import RecordReader, RolloutView
from weirscale.gateway.state.cluster_state import ClusterState

PROOF_SHARE = 0.3
"""Part of the time for a return for which a proof of the record holds. The rest is for the gossip
of the bad answers, the decision and its way here. With 5 s a proof is at most 1.5 s old and a
return takes 2.1 s (docs/design/0019-version-rollouts.md)."""

MIN_CANARY_ENGINES = 3
"""Engines of the target that get canary requests, at least. With fewer a single bad engine could
not be told from a bad version. Not measured."""


class Track(enum.Enum):
    """Which versions a request is for."""

    STABLE = "usual"
    """Those that serve."""
    CANARY = "trial"
    """The target version, while its canary runs."""


class VersionGate:
    """Tells which back ends may be chosen.

    Args:
        reader: Records of rollouts.
        cluster: How old the proof of what is known is.
        rollback_s: Returns the time allowed for a return.
        is_isolated: Whether this node reaches neither the store nor half of the other nodes.
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
        """Return those of a service's back ends that a request of a track may go to."""
        view = self._reader.view(service)
        if view is None:
            return back_ends if self._may_serve_unproved() else []
        if track is Track.CANARY:
            return self._canary(view, back_ends) if self.allows_canary(view) else []
        if not self._may_serve(view):
            return []
        return [one for one in back_ends if view.is_stable(one.software)]

    def allows_canary(self, view: RolloutView) -> bool:
        """Whether the target may get canary requests now, by what is known of the record."""
        return view.stage is Stage.CANARY and self._is_proved()

    def serves(self, back_end: BackEnd) -> bool:
        """Whether a back end gets requests of the stable track."""
        view = self._reader.view(back_end.service)
        return view is None or view.is_stable(back_end.software)

    def _is_proved(self) -> bool:
        return self._cluster.age_s() <= PROOF_SHARE * self._rollback_s()

    def _may_serve(self, view: RolloutView) -> bool:
        """Whether the proof is fresh enough to know which versions serve."""
        if view.stage is Stage.MOVING:
            # It may have been returned; at the predecessors nobody may begin any more.
            return self._is_proved()
        if view.is_open():
            return self._cluster.age_s() <= self._rollback_s()
        return self._may_serve_unproved()

    def _may_serve_unproved(self) -> bool:
        """Whether there may be no rollout that this node has missed from order to end."""
        return self._cluster.age_s() <= self._rollback_s() or not self._is_isolated()

    def _canary(self, view: RolloutView, back_ends: list[BackEnd]) -> list[BackEnd]:
        """Return the few engines of the target that get canary requests, the same on all nodes."""
        targets = [one for one in back_ends if one.software == view.target]
        num_old = sum(1 for one in back_ends if view.is_stable(one.software))
        num = max(MIN_CANARY_ENGINES, round(self._share() * num_old))
        return sorted(targets, key=lambda one: _rank(view.epoch, one.instance))[:num]


def _rank(epoch: Epoch, instance: InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{epoch}|{instance}".encode())
