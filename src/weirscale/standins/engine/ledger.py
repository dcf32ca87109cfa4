"""Records of all attempts run by an engine, for history checkers; kept across engine crashes."""

from collections import OrderedDict

import msgspec

from weirscale.domain.identifiers import (
    AdapterName,
    EngineName,
    Incarnation,
    ModelName,
    RequestId,
    WeightVersion,
)


class RunRecord(msgspec.Struct):
    """One attempt that an engine started to run.

    Attributes:
        engine: Engine that ran it.
        request_id: Id of the caller's request.
        attempt: Number of the attempt.
        cache_salt: Tenant's salt in the hashes of the cache blocks.
        incarnation: Incarnation of the engine.
        model: Model that served it.
        weight_version: Version that served it.
        adapter: Adapter that served it, or None.
        num_prompt_tokens: Tokens of the prompt and of the continued text.
        num_cached_tokens: Prompt tokens served from cache.
        started_at_s: When the attempt entered the batch.
        finished_at_s: When the attempt ended, None while it runs.
        outcome: `running`, `finished`, `cancelled`, `expired` or `crashed`.
    """

    engine: EngineName
    request_id: RequestId
    attempt: int
    cache_salt: str
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    adapter: AdapterName | None
    num_prompt_tokens: int
    num_cached_tokens: int
    started_at_s: float
    finished_at_s: float | None = None
    outcome: str = "running"


class RunLedger:
    """Bounded list of run records; the oldest are dropped first."""

    def __init__(self, max_records: int) -> None:
        self._max_records = max_records
        self._records: OrderedDict[int, RunRecord] = OrderedDict()
        self.num_started = 0

    def add(self, record: RunRecord) -> None:
        """Add the record of a started attempt."""
        self.num_started += 1
        self._records[self.num_started] = record
        if len(self._records) > self._max_records:
            self._records.popitem(last=False)

    def records(self) -> list[RunRecord]:
        """Return all kept records, oldest first."""
        return list(self._records.values())
