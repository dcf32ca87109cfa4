"""Handling of the notices about themselves that back ends send in the heads of their answers."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEnd, LeavingSource
from weirscale.gateway.model.identifiers import InstanceId, RunId
from weirscale.gateway.peers.gossip_entries import BrittleGossip
from weirscale.gateway.ports.back_end import AnswerNotice
from weirscale.gateway.request_limits.stated_limits import StatedLimits
from weirscale.gateway.routing.back_pressure import BackPressure
from weirscale.gateway.state.back_end_registry import OwnerProof
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

MAX_UNKNOWN_NAMES = 64
"""Maximum number of unknown header names to remember; each of them is logged once."""


class BackEndNotices:
    """Handles the notices in all answers.

    Args:
        cluster: Records which back ends are leaving, and which runs have been replaced.
        back_pressure: Records the rests that back ends ask for, and which are brittle.
        limits: Records the request limits that back ends state.
        event_log: Log for notices.
        clock: Returns monotonic seconds, including the time while the machine is suspended.
    """

    def __init__(
        self,
        cluster: ClusterState,
        back_pressure: BackPressure,
        limits: StatedLimits,
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._rests = back_pressure.rests
        self._brittle = back_pressure.brittle
        self._limits = limits
        self._event_log = event_log
        self._clock = clock
        self._leaving_observers: list[Callable[[RunId], None]] = []
        self._ended_observers: list[Callable[[RunId], None]] = []
        self._limit_observers: list[Callable[[RunId, float | None], None]] = []
        self._brittle_observers: list[Callable[[BrittleGossip], None]] = []
        self._unknown_names: set[str] = set()
        self._unreadable_limits: dict[InstanceId, str] = {}
        """The last unreadable limit of each back end. Back ends repeat it in all their answers, but
        it should be logged only once."""
        self._unreadable_refusals: dict[InstanceId, str] = {}
        """The same for the refusals that it bears."""

    def observe_leaving(self, observer: Callable[[RunId], None]) -> None:
        """Register a function to call with each run that this node first finds to be leaving."""
        self._leaving_observers.append(observer)

    def observe_ended(self, observer: Callable[[RunId], None]) -> None:
        """Register a function to call with each run that this node first finds replaced."""
        self._ended_observers.append(observer)

    def observe_limit(self, observer: Callable[[RunId, float | None], None]) -> None:
        """Register a function to call when a run states a new request limit to this node.

        The function gets the run and the limit in requests per second, or None if the limit ended.
        """
        self._limit_observers.append(observer)

    def observe_brittle(self, observer: Callable[[BrittleGossip], None]) -> None:
        """Register a function to call with what other nodes should learn of brittle runs."""
        self._brittle_observers.append(observer)

    def take(self, back_end: BackEnd, notice: AnswerNotice) -> None:
        """Handle what the head of an answer says about its back end."""
        # A process that restarted under the same instance name answers through the port of the
        # previous run. So the notice belongs to the run that is registered now.
        sender = self._cluster.directory.get(back_end.instance) or back_end
        if notice.is_other_run:
            self._handle_other_run(sender)
            return
        if notice.is_leaving:
            self._handle_leaving(sender)
        if notice.rest_s > 0.0:
            self._handle_rest(sender, notice.rest_s)
        if notice.unreadable_rest:
            self._event_log.event(
                "back_end_rest_unreadable", instance=sender.instance,
                value=notice.unreadable_rest, remedy="have the back end state rests in seconds",
            )  # fmt: skip
        self._handle_limit(sender, notice)
        self._handle_brittle(sender, notice)
        for name in notice.unknown_names:
            self._log_unknown_header(sender, name)

    def _handle_limit(self, sender: BackEnd, notice: AnswerNotice) -> None:
        """Record the request limit of a back end, and inform the other nodes of a change.

        The limit holds for all nodes together. If they were not informed, each of them would keep
        sending until its own next answer from the back end: one excess request per node.
        """
        run, now_s = sender.run_id, self._clock()
        has_changed = False
        if notice.limit_per_s is not None:
            has_changed = self._limits.record_limit(run, notice.limit_per_s, now_s)
        elif notice.unlimited_for_s is not None:
            has_changed = self._limits.record_no_limit(run, now_s - notice.unlimited_for_s, now_s)
        if has_changed:
            for observer in self._limit_observers:
                observer(run, self._limits.limit_per_s(run))
        value = notice.unreadable_limit
        if value and self._unreadable_limits.get(sender.instance) != value:
            self._unreadable_limits[sender.instance] = value
            self._event_log.event(
                "back_end_limit_unreadable", instance=sender.instance, value=value,
                remedy="have the back end send the limit in requests per second",
            )  # fmt: skip

    def _handle_brittle(self, sender: BackEnd, notice: AnswerNotice) -> None:
        """Record whether a back end is brittle, and inform the other nodes."""
        if notice.max_refusals_per_s is not None:
            statement = self._brittle.stated(sender.run_id, notice.max_refusals_per_s)
            if statement is not None:
                for observer in self._brittle_observers:
                    observer(statement)
        elif notice.unreadable_refusals:
            self._log_unreadable_refusals(sender, notice.unreadable_refusals)
        elif notice.sound_for_s is not None and self._brittle.is_any_known():
            self._brittle.not_stated(sender.run_id, self._clock() - notice.sound_for_s)

    def _log_unreadable_refusals(self, sender: BackEnd, value: str) -> None:
        if self._unreadable_refusals.get(sender.instance) == value:
            return
        self._unreadable_refusals[sender.instance] = value
        self._event_log.event(
            "back_end_brittle_unreadable", instance=sender.instance, value=value,
            remedy="have the back end send the refusals that it bears a second",
        )  # fmt: skip

    def forget(self, instance: InstanceId) -> None:
        """Drop the state of a back end that was removed."""
        self._unreadable_limits.pop(instance, None)
        self._unreadable_refusals.pop(instance, None)

    def _log_unknown_header(self, sender: BackEnd, name: str) -> None:
        """Log a notice header that this release does not support, once for each name.

        Such headers are passed on to the caller, and operators would not notice them otherwise.
        """
        if name in self._unknown_names or len(self._unknown_names) >= MAX_UNKNOWN_NAMES:
            return
        self._unknown_names.add(name)
        self._event_log.event(
            "back_end_header_unknown", instance=sender.instance, header=name,
            remedy="check whether a newer release supports the header",
        )  # fmt: skip

    def _handle_leaving(self, sender: BackEnd) -> None:
        """Stop sending new requests to a leaving back end, and inform the other nodes.

        While the store is unavailable, the registration cannot show that the back end is leaving.
        Nodes without a recent answer would keep sending to a process that is about to end.
        """
        if self._cluster.back_ends.mark_leaving(sender.run_id, LeavingSource.ANSWER):
            for observer in self._leaving_observers:
                observer(sender.run_id)

    def _handle_other_run(self, expected: BackEnd) -> None:
        """Stop using a run whose address is answered by another run, and inform the other nodes.

        Another run that is registered for the address replaces it at once. Without this rule, a
        late registration of an ended run takes over the address, and the live back end there is
        lost to all nodes. This happened to 2 of 9 engines in 3 of 4 runs of a day in which engines
        restarted during weight rollouts.
        """
        if self._cluster.back_ends.mark_replaced(expected.run_id, OwnerProof.OTHER_RUN):
            for observer in self._ended_observers:
                observer(expected.run_id)

    def _handle_rest(self, sender: BackEnd, asked_s: float) -> None:
        """Start the rest that a back end asks for.

        The other nodes are not informed, since the back end answers each of them itself.
        """
        rest_s = self._rests.begin(sender.run_id, asked_s, self._clock())
        if rest_s is not None:
            self._event_log.event(
                "back_end_rest", instance=sender.instance, address=sender.address,
                asked_s=asked_s, rest_s=rest_s,
            )  # fmt: skip
