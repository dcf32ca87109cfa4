"""Ring of recent routing decisions, bounded by number, for `explain`."""

from collections import OrderedDict

import msgspec

from weirscale.domain.identifiers import NodeName, RequestId
from weirscale.domain.request.model import GenerationRequest
from weirscale.messages.explain import AttemptRecord, AttemptResult, DecisionRecord

DEFAULT_NUM_RECORDS = 512
"""Requests remembered; about a minute of a node's share at the size designed for."""

MAX_ATTEMPTS_KEPT = 8
"""Attempts remembered of one request; more than the retry rules allow by default."""

MAX_ESTIMATES_KEPT = 8
"""Best candidates kept of each decision; the rest would only have lost by more."""


class DecisionLog:
    """The ring; the request seen longest ago goes first."""

    def __init__(self, node: NodeName, num_records: int = DEFAULT_NUM_RECORDS) -> None:
        self._node = node
        self._num_records = num_records
        self._records: OrderedDict[RequestId, DecisionRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, request_id: RequestId) -> DecisionRecord | None:
        """Return what is remembered of a request."""
        return self._records.get(request_id)

    def note_decision(self, request: GenerationRequest, attempt: AttemptRecord) -> None:
        """Remember a decision."""
        best = attempt.estimates[:MAX_ESTIMATES_KEPT]
        attempt = msgspec.structs.replace(attempt, estimates=best)
        known = self._records.pop(request.request_id, None)
        # An attempt that was refused while the node started is decided again; the last one counts.
        attempts = tuple(
            earlier
            for earlier in (known.attempts if known is not None else ())
            if earlier.attempt != attempt.attempt
        )
        self._records[request.request_id] = DecisionRecord(
            request_id=request.request_id,
            node=self._node,
            tenant=request.tenant,
            model=request.model,
            attempts=(*attempts, attempt)[-MAX_ATTEMPTS_KEPT:],
        )
        if len(self._records) > self._num_records:
            self._records.popitem(last=False)

    def note_result(self, request_id: RequestId, attempt: int, result: AttemptResult) -> None:
        """Remember what became of an attempt, if its decision is still remembered."""
        known = self._records.get(request_id)
        if known is None:
            return
        attempts = tuple(
            msgspec.structs.replace(record, result=result)
            if record.attempt == attempt and record.engine is not None
            else record
            for record in known.attempts
        )
        self._records[request_id] = msgspec.structs.replace(known, attempts=attempts)
