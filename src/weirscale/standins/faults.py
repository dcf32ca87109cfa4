"""Faults of stand-ins as typed settings, switched on by an experiment or a test."""

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
    """What goes wrong at an engine; the default is nothing. Chunks are counted in each stream.

    Attributes:
        refuse_connections: No connection is made.
        is_stalled: The engine takes requests and answers nothing, on any interface.
        slow_factor: Steps take this many times as long.
        refuse_busy: Every request is refused as busy.
        refuse_invalid: Answers 400 to every request, unrun.
        answer_delay_s: Every chunk leaves this much later.
        cut_before_chunk: The stream breaks instead of this chunk.
        garble_chunk: This chunk does not parse.
        duplicate_chunk: This chunk is sent twice.
        skip_chunk: This chunk is left out.
        swap_chunk: This chunk and the next one change places.
        cross_chunk: This chunk is replaced by one of another request.
        wrong_request_id: Every chunk carries another request's id.
        end_before_chunk: The stream ends normally, without a finish reason, before this chunk.
        drop_event_probability: Share of event batches that a follower never receives.
        event_delay_s: Event batches come this much later.
        load_report_delay_s: Calls for the load report take this much longer.
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
    """What goes wrong at a service back end; the default is nothing.

    Attributes:
        refuse_connections: No connection is made.
        break_before_run: The connection breaks and the request has not run.
        break_after_run: The request has run and the connection breaks.
        stall_before_run: The request waits for ever, unrun.
        lose_answer: The request has run and no answer comes.
        answer_delay_s: The answer leaves this much later.
        cross_answers: The answer is another request's.
        fail_status: Answer with this HTTP status, unrun; None for a normal answer.
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
    """The faults in force at one stand-in, and how many times they may still strike."""

    def __init__(self, none: FaultsT) -> None:
        self._none = none
        self.current = none
        self._num_left: int | None = None
        self._listeners: list[Callable[[], None]] = []

    def set(self, faults: FaultsT) -> None:
        """Put faults in force, in place of those before."""
        self.current = faults
        self._num_left = faults.max_affected_calls
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()

    def clear(self) -> None:
        """Put no faults in force."""
        self.set(self._none)

    def faults_for_call(self) -> FaultsT:
        """Return the faults that apply to one more call."""
        if self._num_left is None:
            return self.current
        if self._num_left <= 0:
            return self._none
        self._num_left -= 1
        return self.current

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function once at the next change."""
        self._listeners.append(listener)
