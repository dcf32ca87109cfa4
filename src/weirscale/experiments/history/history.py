"""Records of a whole run, indexed for the checkers."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from weirscale.domain.identifiers import NodeName, RequestId
from weirscale.experiments.history.records import (
    AnyRecord,
    CallerLeft,
    ChunkReceived,
    ConnectionBroke,
    EngineRun,
    GenerationAnswered,
    GenerationSent,
    NodeChange,
    NodeChanged,
    RefusalReceived,
    Sent,
    ServiceAnswered,
    ServiceRun,
    ServiceSent,
)

RecordT = TypeVar("RecordT", bound=msgspec.Struct)

ExpectedText = Callable[[GenerationSent], str]
"""Returns the whole expected answer to a request for generated text."""

Ending = GenerationAnswered | ServiceAnswered | RefusalReceived | ConnectionBroke | CallerLeft
"""Records that end a request for its caller."""


class Violation(msgspec.Struct, frozen=True):
    """A violation of a rule.

    Attributes:
        rule: Name of the rule.
        request_ids: Affected requests; empty for rules on nodes.
        detail: What was observed, in one sentence.
    """

    rule: str
    request_ids: tuple[RequestId, ...]
    detail: str


class Bounds(msgspec.Struct, frozen=True):
    """Maximum times that the rules allow, in seconds.

    Attributes:
        serves_after_restart_s: From the start of a node until it must serve.
        restart_window_s: From the start of a node; later refusals are not due to the restart.
        leaving_s: From when a back end begins to leave to its last new work; includes the lag of
            the machine list.
        configuration_s: From the acceptance of a configuration until it is in force at all nodes.
        answer_grace_s: From a caller's deadline to the latest time for any ending.
    """

    serves_after_restart_s: float = 1.0
    restart_window_s: float = 15.0
    leaving_s: float = 4.0
    configuration_s: float = 10.0
    answer_grace_s: float = 5.0


class History:
    """All records of a run in order of time, with indexes by request."""

    def __init__(
        self,
        records: Iterable[AnyRecord],
        expected_text: ExpectedText,
        block_size_bytes: int,
        bounds: Bounds | None = None,
        is_kv_kept: bool = False,
    ) -> None:
        """Index the records.

        Args:
            records: The records in any order; records with equal times keep their order.
            expected_text: Returns the whole expected answer to a request.
            block_size_bytes: Prompt bytes in one cache block of the engines.
            bounds: Times that the rules allow.
            is_kv_kept: Whether engines share blocks through a kept-KV store.
        """
        self.is_kv_kept = is_kv_kept
        self.records: tuple[AnyRecord, ...] = tuple(sorted(records, key=lambda record: record.at_s))
        self.expected_text = expected_text
        self.block_size_bytes = block_size_bytes
        self.bounds = bounds or Bounds()
        self.sent: dict[RequestId, Sent] = {}
        self.chunks: dict[RequestId, list[ChunkReceived]] = defaultdict(list)
        self.endings: dict[RequestId, list[Ending]] = defaultdict(list)
        self.engine_runs: dict[RequestId, list[EngineRun]] = defaultdict(list)
        self.service_runs: dict[RequestId, list[ServiceRun]] = defaultdict(list)
        self.pauses: dict[NodeName, list[tuple[float, float]]] = defaultdict(list)
        for record in self.records:
            self._index(record)

    def _index(self, record: AnyRecord) -> None:
        match record:
            case GenerationSent() | ServiceSent():
                self.sent[record.request_id] = record
            case ChunkReceived():
                self.chunks[record.request_id].append(record)
            case (
                GenerationAnswered()
                | ServiceAnswered()
                | RefusalReceived()
                | ConnectionBroke()
                | CallerLeft()
            ):
                self.endings[record.request_id].append(record)
            case EngineRun():
                self.engine_runs[record.request_id].append(record)
            case ServiceRun():
                self.service_runs[record.request_id].append(record)
            case NodeChanged():
                self._index_pause(record)

    def _index_pause(self, changed: NodeChanged) -> None:
        pauses = self.pauses[changed.node]
        if changed.change is NodeChange.PAUSED:
            pauses.append((changed.at_s, float("inf")))
        elif pauses and changed.change in (NodeChange.RESUMED, NodeChange.STARTED):
            began_at_s, ended_at_s = pauses[-1]
            pauses[-1] = (began_at_s, min(ended_at_s, changed.at_s))

    def of_type(self, record_type: type[RecordT]) -> list[RecordT]:
        """Return all records of a type, in order of time."""
        return [record for record in self.records if isinstance(record, record_type)]

    def ending(self, request_id: RequestId) -> Ending | None:
        """Return the first ending of a request for its caller, or None."""
        endings = self.endings.get(request_id)
        return endings[0] if endings else None

    def text(self, request_id: RequestId) -> str:
        """Return the text that a caller received."""
        return "".join(chunk.text for chunk in self.chunks.get(request_id, ()))

    def expected(self, request_id: RequestId) -> str | None:
        """Return the whole expected answer to a generation request, None for other requests."""
        sent = self.sent.get(request_id)
        return self.expected_text(sent) if isinstance(sent, GenerationSent) else None

    def has_run(self, request_id: RequestId) -> bool:
        """Return whether any back end ran the request."""
        return bool(self.engine_runs.get(request_id) or self.service_runs.get(request_id))
