"""Log of the most recent routing decisions in memory, for `explain`."""

from collections import OrderedDict

import msgspec

from weirscale.domain.identifiers import NodeName, RequestId
from weirscale.domain.request.model import GenerationRequest
from weirscale.messages.explain import AttemptRecord, AttemptResult, DecisionRecord

DEFAULT_NUM_RECORDS = 512
"""Requests kept; about one minute of a node's load at the design size."""

MAX_ATTEMPTS_KEPT = 8
"""Attempts kept for one request; more than the retry rules allow by default."""

MAX_ESTIMATES_KEPT = 8
"""Best candidates kept for each decision; all others have higher costs."""


class DecisionLog:
    """Decision records by request; when full, the least recently decided request is dropped."""

    def __init__(self, node: NodeName, num_records: int = DEFAULT_NUM_RECORDS) -> None:
        self._node = node
        self._num_records = num_records
        self._records: OrderedDict[RequestId, DecisionRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, request_id: RequestId) -> DecisionRecord | None:
        """Return the record of a request, or None if there is none."""
        return self._records.get(request_id)

    def record_decision(self, request: GenerationRequest, attempt: AttemptRecord) -> None:
        """Add an attempt's decision to the record of its request."""
        best = attempt.estimates[:MAX_ESTIMATES_KEPT]
        attempt = msgspec.structs.replace(attempt, estimates=best)
        previous = self._records.pop(request.request_id, None)
        # An attempt that is refused while the node starts is decided again; keep the last one.
        attempts = tuple(
            earlier
            for earlier in (previous.attempts if previous is not None else ())
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

    def record_result(self, request_id: RequestId, attempt: int, result: AttemptResult) -> None:
        """Add the result of an attempt to its record, if the record is still kept."""
        previous = self._records.get(request_id)
        if previous is None:
            return
        attempts = tuple(
            msgspec.structs.replace(record, result=result)
            if record.attempt == attempt and record.engine is not None
            else record
            for record in previous.attempts
        )
        self._records[request_id] = msgspec.structs.replace(previous, attempts=attempts)
