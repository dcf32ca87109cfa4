"""Typed faults of stand-ins, activated by an experiment or a test."""

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec


class Faults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all faults.

    Attributes:
        max_affected_calls: Number of calls or streams, counted from the activation, that faults of
            single calls apply to; None for all.
    """

    max_affected_calls: int | None = None


class EngineFaults(Faults, frozen=True, kw_only=True):
    """Faults of an engine; by default none. Chunks are numbered from 0 in each stream.

    Attributes:
        refuse_connections: Connections are refused.
        is_stalled: The engine accepts requests but sends no answer on any interface.
        slow_factor: Factor on the duration of each step.
        refuse_busy: Every request is refused as busy.
        refuse_invalid: Every request is refused with status 400 and not run.
        answer_delay_s: Delay of every chunk.
        cut_before_chunk: The stream breaks before this chunk.
        garble_chunk: This chunk cannot be parsed.
        duplicate_chunk: This chunk is sent twice.
        skip_chunk: This chunk is omitted.
        swap_chunk: This chunk is sent after the next one.
        cross_chunk: This chunk is replaced by a chunk of another request.
        wrong_request_id: Every chunk carries the id of another request.
        end_before_chunk: The stream ends normally, without a finish reason, before this chunk.
        drop_event_probability: Probability that a follower does not receive an event batch.
        event_delay_s: Additional delay of event batches.
        load_report_delay_s: Additional duration of load report calls.
    """

    refuse_connections: bool = False
    is_stalled: bool = False
    slow_factor: float = 1.0
    refuse_busy: bool = False
    refuse_invalid: bool = False
    answer_delay_s: float = 0.0
    cut_before_chunk: int | None = None
    garble_chunk: int | None = None
    duplicate_chunk: int | None = None
    skip_chunk: int | None = None
    swap_chunk: int | None = None
    cross_chunk: int | None = None
    wrong_request_id: bool = False
    end_before_chunk: int | None = None
    drop_event_probability: float = 0.0
    event_delay_s: float = 0.0
    load_report_delay_s: float = 0.0


class ServiceFaults(Faults, frozen=True, kw_only=True):
    """Faults of a service back end; by default none.

    Attributes:
        refuse_connections: Connections are refused.
        break_before_run: The connection breaks before the request runs.
        break_after_run: The connection breaks after the request has run.
        stall_before_run: The request waits forever and does not run.
        lose_answer: The request runs and no answer is sent.
        answer_delay_s: Delay of the answer.
        cross_answers: The answer belongs to another request.
        fail_status: HTTP status answered without running the request; None for a normal answer.
    """

    refuse_connections: bool = False
    break_before_run: bool = False
    break_after_run: bool = False
    stall_before_run: bool = False
    lose_answer: bool = False
    answer_delay_s: float = 0.0
    cross_answers: bool = False
    fail_status: int | None = None


FaultsT = TypeVar("FaultsT", bound=Faults)


class FaultSwitch(Generic[FaultsT]):
    """Active faults of one stand-in, with the number of calls that they still apply to."""

    def __init__(self, no_faults: FaultsT) -> None:
        self._no_faults = no_faults
        self.current = no_faults
        self._num_calls_left: int | None = None
        self._listeners: list[Callable[[], None]] = []

    def set(self, faults: FaultsT) -> None:
        """Activate faults in place of the previous ones and call the listeners."""
        self.current = faults
        self._num_calls_left = faults.max_affected_calls
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()

    def clear(self) -> None:
        """Deactivate all faults."""
        self.set(self._no_faults)

    def faults_for_call(self) -> FaultsT:
        """Return the faults that apply to the next call, and count the call."""
        if self._num_calls_left is None:
            return self.current
        if self._num_calls_left <= 0:
            return self._no_faults
        self._num_calls_left -= 1
        return self.current

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function once, when the faults next change."""
        self._listeners.append(listener)
