"""Settings of one stand-in engine."""

import msgspec

from weirscale.domain.identifiers import AdapterName, EngineName, ModelName, WeightVersion


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Properties of a stand-in engine. Times are in seconds.

    Attributes:
        name: The engine's name.
        model: Model loaded when the engine starts or restarts.
        weight_version: Version loaded when the engine starts or restarts.
        adapters: Adapters loaded when the engine starts or restarts.
        block_size_bytes: Prompt bytes in one cache block.
        num_total_blocks: Blocks that fit in memory, for cached prefixes and running requests.
        max_step_tokens: Token budget of one step; longer prefills are chunked.
        max_running: Maximum number of requests in the batch.
        max_waiting: Maximum number of queued requests; further ones are refused as busy.
        step_fixed_s: Fixed part of the duration of a step.
        prefill_token_s: Duration added to a step by each prefilled token.
        decode_request_s: Duration added to a step by each decoding request.
        num_scheduler_steps: Decode steps per engine step when no prefill is pending; each request
            then sends one chunk for all of them (multi-step scheduling).
        attempt_retention_s: How long the stream of a finished attempt can be resumed.
        replay_window_batches: Number of event batches kept for replay.
        event_lag_s: Time from an event to its publication.
        load_report_interval_s: Load reports show the state at the last multiple of this interval.
        control_timeout_s: Timeout of in-process calls other than generation.
        restart_s: Time from a crash until the engine answers again.
        weight_bytes: Size of the weights that a load reads from the weight store.
        max_import_wait_s: Timeout of imports from the kept-KV store.
        export_to: Address of the kept-KV store that computed prefixes are exported to, or None.
        max_ledger_records: Maximum number of run records kept.
    """

    name: EngineName
    model: ModelName
    weight_version: WeightVersion
    adapters: tuple[AdapterName, ...] = ()
    block_size_bytes: int = 64
    num_total_blocks: int = 4096
    max_step_tokens: int = 2048
    max_running: int = 64
    max_waiting: int = 256
    step_fixed_s: float = 0.004
    prefill_token_s: float = 1.0 / 8000.0
    decode_request_s: float = 0.0002
    num_scheduler_steps: int = 1
    attempt_retention_s: float = 30.0
    replay_window_batches: int = 256
    event_lag_s: float = 0.05
    load_report_interval_s: float = 0.5
    control_timeout_s: float = 2.0
    restart_s: float = 1.0
    weight_bytes: int = 8_000_000_000
    max_import_wait_s: float = 0.5
    export_to: str | None = None
    max_ledger_records: int = 200_000
