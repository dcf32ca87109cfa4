"""Indexes of a history that rules look things up in."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import TypeVar

import msgspec

from bench.fault_soak.history import (
    AnyRecord,
    ConfigurationAcknowledged,
    Disturbance,
    Disturbed,
    FaultsEnded,
    LeavingSaid,
    LimitChanged,
    LimitStated,
    NodeEnded,
    NodeErrors,
    NodeListens,
    NodeName,
    NodeSignalled,
    NodeSlow,
    NodeStarted,
    OrderTaken,
    Record,
    RequestEnded,
    RequestId,
    RequestSent,
    RestAsked,
    RunBegan,
    RunBroken,
    SignalName,
    WeightsNamed,
)

LONG_LATENESS_S = 0.5

_R = TypeVar("_R", bound=Record)


class Bounds(msgspec.Struct, frozen=True):
    """Times that the deployment promises, in seconds.

    Attributes:
        contact_s: A node is in contact once nothing has disturbed it, nor the store, for so long.
        stop_s: Longest planned stop.
        configuration_s: A configuration is in force so long after its acknowledgement.
        key_removal_s: A removed key works no longer than this, at any node.
        weights_s: Older weights begin no request so long after newer ones were named.
        leaving_s: A node may send a back end work so long after an answer told it that it leaves.
        rest_slack_s: What a node had sent, or was sending, when it was asked for rest may arrive so
            long after the answer.
        limit_window_s: Requests to a back end with a limit are counted over this time.
        limit_told_s: A node counts from so long after an answer told it of the limit.
        unread_s: A stopping node may close a connection so soon after a request that it has not
            handed on: the two passed each other.
    """

    contact_s: float = 3.0
    stop_s: float = 8.0
    configuration_s: float = 2.0
    key_removal_s: float = 5.0
    weights_s: float = 8.0
    leaving_s: float = 2.0
    rest_slack_s: float = 0.5
    limit_window_s: float = 4.0
    limit_told_s: float = 0.5
    unread_s: float = 0.5


def _is_long_lateness(disturbed: Disturbed) -> bool:
    """Tell whether the soak was so late that bounds of seconds say nothing."""
    lasted_s = disturbed.until_s - disturbed.at_s
    return disturbed.what is Disturbance.HARNESS and lasted_s > LONG_LATENESS_S


class Evidence:
    """A history, sorted by time, with look-ups.

    Args:
        records: The history, in any order.
        bounds: What the deployment promises.
    """

    def __init__(self, records: Iterable[AnyRecord], bounds: Bounds) -> None:
        self.bounds = bounds
        self._records: list[AnyRecord] = sorted(records, key=lambda record: record.at_s)
        self.sent: dict[RequestId, RequestSent] = {
            record.request: record for record in self.all(RequestSent)
        }
        self.ended = self.all(RequestEnded)
        self.runs: dict[RequestId, list[RunBegan]] = defaultdict(list)
        for run in self.all(RunBegan):
            self.runs[run.request].append(run)
        self._broken_s: dict[RequestId, float] = {}
        for broken in self.all(RunBroken):
            self._broken_s.setdefault(broken.request, broken.at_s)
        self.leaving = self.all(LeavingSaid)
        self.rests = self.all(RestAsked)
        self.limits_stated = self.all(LimitStated)
        self.limits_changed = self.all(LimitChanged)
        self.configurations = self.all(ConfigurationAcknowledged)
        self.namings = self.all(WeightsNamed)
        self.orders = self.all(OrderTaken)
        self.errors = self.all(NodeErrors)
        self.faults_ended_s = min((one.at_s for one in self.all(FaultsEnded)), default=None)
        self._starts: dict[NodeName, list[float]] = defaultdict(list)
        for start in self.all(NodeStarted):
            self._starts[start.node].append(start.at_s)
        self._listens: dict[NodeName, list[float]] = defaultdict(list)
        for listens in self.all(NodeListens):
            self._listens[listens.node].append(listens.at_s)
        self.node_ends: dict[NodeName, list[NodeEnded]] = defaultdict(list)
        for end in self.all(NodeEnded):
            self.node_ends[end.node].append(end)
        self.signals: dict[NodeName, list[NodeSignalled]] = defaultdict(list)
        for signal in self.all(NodeSignalled):
            self.signals[signal.node].append(signal)
        self._slow: dict[NodeName, list[NodeSlow]] = defaultdict(list)
        for slow in self.all(NodeSlow):
            self._slow[slow.node].append(slow)
        self._disturbed = self.all(Disturbed)

    def all(self, kind: type[_R]) -> list[_R]:
        """Return the records of one kind in order of time."""
        return [record for record in self._records if isinstance(record, kind)]

    @property
    def nodes(self) -> tuple[NodeName, ...]:
        """The nodes that were ever started."""
        return tuple(self._starts)

    def is_run_broken(self, ended: RequestEnded) -> bool:
        """Tell whether a back end broke an answer off before the request ended."""
        return self._broken_s.get(ended.request, ended.at_s) < ended.at_s

    def start_before(self, node: NodeName, at_s: float) -> float | None:
        """Return when the process began that ran, or had last run, at a time."""
        starts = self._starts.get(node, [])
        index = bisect_right(starts, at_s)
        return starts[index - 1] if index else None

    def has_listened(self, node: NodeName, at_s: float) -> bool:
        """Tell whether the process that ran at a time had begun to listen."""
        began_s = self.start_before(node, at_s)
        return began_s is not None and any(
            began_s <= listened_s <= at_s for listened_s in self._listens.get(node, ())
        )

    def starts_between(self, node: NodeName, from_s: float, until_s: float) -> bool:
        """Tell whether a process of a node began in a time."""
        starts = self._starts.get(node, [])
        return bisect_left(starts, from_s) < bisect_right(starts, until_s)

    def signals_between(
        self, node: NodeName, from_s: float, until_s: float, kinds: Sequence[SignalName]
    ) -> list[NodeSignalled]:
        """Return a node's signals of some kinds in a time."""
        return [
            signal
            for signal in self.signals.get(node, ())
            if from_s <= signal.at_s <= until_s and signal.signal in kinds
        ]

    def is_paused_at(self, node: NodeName, at_s: float) -> bool:
        """Tell whether a node was paused at a time."""
        is_paused = False
        for signal in self.signals.get(node, ()):
            if signal.at_s > at_s:
                break
            if signal.signal in (SignalName.PAUSE, SignalName.CONTINUE, SignalName.KILL):
                is_paused = signal.signal is SignalName.PAUSE
        return is_paused

    def is_disturbed(
        self, from_s: float, until_s: float, kinds: Sequence[Disturbance] = tuple(Disturbance)
    ) -> bool:
        """Tell whether anything of some kinds was disturbed in a time."""
        return any(
            one.what in kinds and one.at_s <= until_s and one.until_s >= from_s
            for one in self._disturbed
        )

    def is_long_late_after(self, at_s: float) -> bool:
        """Tell whether the soak itself was long late at any time after a time."""
        return any(_is_long_lateness(one) and one.until_s >= at_s for one in self._disturbed)

    def stable_since(self, at_s: float) -> float:
        """Return when the store, at a time, had been quiet for the contact time; -inf: always."""
        ends_s = [
            one.until_s
            for one in self._disturbed
            if one.at_s <= at_s and (one.what is Disturbance.STORE or _is_long_lateness(one))
        ]
        return max(ends_s, default=float("-inf")) + self.bounds.contact_s

    def is_slow(self, node: NodeName, from_s: float, until_s: float) -> bool:
        """Tell whether a node was slow to answer in a time."""
        return any(
            one.at_s <= until_s and one.until_s >= from_s for one in self._slow.get(node, ())
        )

    def is_struck(self, node: NodeName, from_s: float, until_s: float) -> bool:
        """Tell whether a node was started, stopped, killed or paused in a time."""
        kinds = (SignalName.TERMINATE, SignalName.KILL, SignalName.PAUSE, SignalName.CONTINUE)
        return (
            self.starts_between(node, from_s, until_s)
            or bool(self.signals_between(node, from_s, until_s, kinds))
            or self.is_paused_at(node, until_s)
        )

    def could_heed(self, node: NodeName, from_s: float, until_s: float) -> bool:
        """Tell whether a node ran on throughout a time, so that it knew what it had been told.

        The store need not have been there: what a back end says, it says to the node itself.
        """
        return not (
            self.is_struck(node, from_s, until_s)
            or self.is_slow(node, from_s, until_s)
            or any(
                _is_long_lateness(one) and one.at_s <= until_s and one.until_s >= from_s
                for one in self._disturbed
            )
        )

    def is_in_contact(self, node: NodeName, from_s: float, until_s: float) -> bool:
        """Tell whether a node was in contact throughout a time."""
        begins_s = from_s - self.bounds.contact_s
        kinds = (Disturbance.STORE, Disturbance.CONNECTIONS)
        is_late = any(
            _is_long_lateness(one) and one.at_s <= until_s and one.until_s >= begins_s
            for one in self._disturbed
        )
        return (
            not is_late
            and not self.is_struck(node, begins_s, until_s)
            and not self.is_slow(node, begins_s, until_s)
            and not self.is_disturbed(begins_s, until_s, kinds)
        )
