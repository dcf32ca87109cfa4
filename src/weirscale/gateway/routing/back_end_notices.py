"""What back ends say of themselves in their answers: one place that takes it all."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEnd, LeavingSource
from weirscale.gateway.model.identifiers import InstanceId, RunId
from weirscale.gateway.ports.back_end import AnswerNotice
from weirscale.gateway.request_limits.stated_limits import StatedLimits
from weirscale.gateway.routing.back_end_rests import BackEndRests
from weirscale.gateway.state.back_end_registry import OwnerProof
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

MAX_UNKNOWN_NAMES = 64
"""Names of unknown headers that are remembered, each of which is logged once."""


class BackEndNotices:
    """Takes the notices of all answers.

    Args:
        cluster: Learns which back ends leave, and which have ended.
        rests: Learns which back ends want a rest.
        limits: Learns which back ends state a request limit.
        event_log: Where notices are logged.
        clock: Monotonic seconds that count suspensions of the machine.
    """

    def __init__(
        self,
        cluster: ClusterState,
        rests: BackEndRests,
        limits: StatedLimits,
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._rests = rests
        self._limits = limits
        self._event_log = event_log
        self._clock = clock
        self._leaving_observers: list[Callable[[RunId], None]] = []
        self._ended_observers: list[Callable[[RunId], None]] = []
        self._limit_observers: list[Callable[[RunId, float | None], None]] = []
        self._unknown_names: set[str] = set()
        self._unreadable_limits: dict[InstanceId, str] = {}
        """The last limit of each back end that could not be read: a back end repeats it in all its
        answers."""

    def observe_leaving(self, observer: Callable[[RunId], None]) -> None:
        """Have a function called with each run that first tells this node that it leaves."""
        self._leaving_observers.append(observer)

    def observe_ended(self, observer: Callable[[RunId], None]) -> None:
        """Have a function called with each run that this node first finds replaced."""
        self._ended_observers.append(observer)

    def observe_limit(self, observer: Callable[[RunId, float | None], None]) -> None:
        """Have a function called with each limit that a run first states to this node, or None."""
        self._limit_observers.append(observer)

    def take(self, back_end: BackEnd, notice: AnswerNotice) -> None:
        """Take what an answer says of its back end."""
        # A process that started again under its name answers on the client that the earlier one
        # had: the run that speaks is the one that is registered now.
        speaker = self._cluster.directory.get(back_end.instance) or back_end
        if notice.is_other_run:
            self._take_other_run(speaker)
            return
        if notice.is_leaving:
            self._take_leaving(speaker)
        if notice.rest_s > 0.0:
            self._take_rest(speaker, notice.rest_s)
        if notice.unreadable_rest:
            self._event_log.event(
                "back_end_rest_unreadable", instance=speaker.instance,
                value=notice.unreadable_rest, remedy="have the back end write seconds",
            )  # fmt: skip
        self._take_limit(speaker, notice)
        for name in notice.unknown_names:
            self._log_unknown(speaker, name)

    def _take_limit(self, speaker: BackEnd, notice: AnswerNotice) -> None:
        """Send a back end no more than it states, and tell the other nodes, for whom it holds too.

        Otherwise each of them would send on until its own next answer from it: as many requests
        too many as there are nodes.
        """
        run, now_s = speaker.run_id, self._clock()
        has_changed = False
        if notice.limit_per_s is not None:
            has_changed = self._limits.record_limit(run, notice.limit_per_s, now_s)
        elif notice.unlimited_for_s is not None:
            has_changed = self._limits.record_no_limit(run, now_s - notice.unlimited_for_s, now_s)
        if has_changed:
            for observer in self._limit_observers:
                observer(run, self._limits.limit_per_s(run))
        value = notice.unreadable_limit
        if value and self._unreadable_limits.get(speaker.instance) != value:
            self._unreadable_limits[speaker.instance] = value
            self._event_log.event(
                "back_end_limit_unreadable", instance=speaker.instance, value=value,
                remedy="have the back end write requests a second",
            )  # fmt: skip

    def forget(self, instance: InstanceId) -> None:
        """Forget a back end that is gone."""
        self._unreadable_limits.pop(instance, None)

    def _log_unknown(self, speaker: BackEnd, name: str) -> None:
        """Tell once of a header by which back ends say what this release does not know.

        Nobody would see it otherwise: what is not known goes on to the caller.
        """
        if name in self._unknown_names or len(self._unknown_names) >= MAX_UNKNOWN_NAMES:
            return
        self._unknown_names.add(name)
        self._event_log.event(
            "back_end_header_unknown", instance=speaker.instance, header=name,
            remedy="see whether a newer release knows it",
        )  # fmt: skip

    def _take_leaving(self, speaker: BackEnd) -> None:
        """Keep new work from a back end at once, and tell the other nodes.

        Its registration cannot say so while the store is away, and a node that was not answered by
        it since would go on sending to a process that is about to end.
        """
        if self._cluster.back_ends.mark_leaving(speaker.run_id, LeavingSource.ANSWER):
            for observer in self._leaving_observers:
                observer(speaker.run_id)

    def _take_other_run(self, meant: BackEnd) -> None:
        """Use a run no more at whose address another one answers, and tell the other nodes.

        Whoever else is registered there takes its place at once. Otherwise a live back end whose
        address an ended one's late entry has taken is lost to all nodes: in 3 of 4 plays of a day
        with engines that start again while weights are named, two of nine were.
        """
        if self._cluster.back_ends.mark_replaced(meant.run_id, OwnerProof.OTHER_RUN):
            for observer in self._ended_observers:
                observer(meant.run_id)

    def _take_rest(self, speaker: BackEnd, asked_s: float) -> None:
        """Send nothing to a back end that has turned a request away until the time it names.

        The other nodes are not told: a back end answers each of them by itself.
        """
        rest_s = self._rests.begin(speaker.run_id, asked_s, self._clock())
        if rest_s is not None:
            self._event_log.event(
                "back_end_rest", instance=speaker.instance, address=speaker.address,
                asked_s=asked_s, rest_s=rest_s,
            )  # fmt: skip
