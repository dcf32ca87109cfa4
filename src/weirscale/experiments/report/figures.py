"""Figures of one run, computed from its history."""

import itertools
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from weirscale.domain.identifiers import BlockHash, RequestId
from weirscale.domain.prefix.chain import BYTES_PER_TOKEN, chain_seed, extend_chain
from weirscale.experiments.history.configuration_rules import configuration_delays_s
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.records import (
    ChunkReceived,
    EngineRun,
    GenerationSent,
    RefusalReceived,
    ServiceAnswered,
)
from weirscale.experiments.history.verdict import RequestCounts, Verdict

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles in seconds; None if there are no values."""

    p50: float | None
    p95: float | None
    p99: float | None


class ControlCost(msgspec.Struct, frozen=True):
    """Cost of the control plane for a node; None where a mode cannot measure it.

    Attributes:
        core_share: Share of one CPU core.
        resident_bytes: Resident memory in bytes.
        bytes_per_second: Bytes sent to other nodes per second.
    """

    core_share: float | None = None
    resident_bytes: float | None = None
    bytes_per_second: float | None = None


class Figures(msgspec.Struct, frozen=True):
    """The content of `report.json`.

    Attributes:
        name: The experiment's name.
        deployment: The deployment's name.
        seed: The seed.
        duration_s: Time during which callers sent requests.
        requests: Requests by outcome.
        refusals: Refusals by code.
        prefix_hit_rate: Share of cached prompt tokens over all runs of engines.
        ttft_seconds: Time to first token, from the planned send time.
        service_seconds: Time to the answer of a service, from the planned send time.
        inter_token_seconds: Time between tokens of a stream.
        recomputed_tokens_ratio: Prompt tokens computed by all runs, divided by those that a
            single unlimited cache would have to compute.
        control: Average cost of the control plane for a node.
        configuration_in_force_seconds: Time from the acceptance of a configuration until a node
            uses it.
        violations: Violated rules, with the request ids.
        num_internal_errors: Exceptions raised in nodes.
        internal_errors: The first MAX_LISTED_ERRORS of them, one line each.
    """

    name: str
    deployment: str
    seed: int
    duration_s: float
    requests: RequestCounts
    refusals: dict[str, int]
    prefix_hit_rate: float | None
    ttft_seconds: Percentiles
    service_seconds: Percentiles
    inter_token_seconds: Percentiles
    recomputed_tokens_ratio: float | None
    control: ControlCost
    configuration_in_force_seconds: Percentiles
    violations: tuple[Violation, ...]
    num_internal_errors: int = 0
    internal_errors: tuple[str, ...] = ()


class RunIdentity(msgspec.Struct, frozen=True):
    """Identity of a run in its report; see `Figures`."""

    name: str
    deployment: str
    seed: int
    duration_s: float


def percentiles(values_s: Iterable[float]) -> Percentiles:
    """Return percentiles of durations, computed with an HDR histogram."""
    make_histogram: Any = HdrHistogram
    histogram = make_histogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    num_values = 0
    for value_s in values_s:
        histogram.record_value(max(LOWEST_MICROSECONDS, round(value_s * MICROSECONDS)))
        num_values += 1
    if not num_values:
        return Percentiles(None, None, None)
    p50, p95, p99 = (histogram.get_value_at_percentile(percentile) for percentile in (50, 95, 99))
    return Percentiles(p50 / MICROSECONDS, p95 / MICROSECONDS, p99 / MICROSECONDS)


def first_token_times_s(history: History) -> list[float]:
    """Return the time to first token of each stream, from the planned send time."""
    times_s: list[float] = []
    for request_id, chunks in history.chunks.items():
        sent = history.sent.get(request_id)
        if isinstance(sent, GenerationSent):
            times_s.append(chunks[0].at_s - sent.intended_at_s)
    return times_s


def inter_token_times_s(chunks: Sequence[ChunkReceived]) -> list[float]:
    """Return the time per token of each chunk of one stream after the first."""
    return [
        (later.at_s - earlier.at_s) / later.num_tokens
        for earlier, later in itertools.pairwise(chunks)
        if later.num_tokens
    ]


def service_times_s(history: History) -> list[float]:
    """Return the time to each service answer, from the planned send time."""
    return [
        answered.at_s - history.sent[answered.request_id].intended_at_s
        for answered in history.of_type(ServiceAnswered)
        if answered.request_id in history.sent
    ]


def prefix_hit_rate(history: History) -> float | None:
    """Return the share of cached prompt tokens over all runs of engines."""
    runs = history.of_type(EngineRun)
    num_prompt_tokens = sum(run.num_prompt_tokens for run in runs)
    if not num_prompt_tokens:
        return None
    return sum(run.num_cached_tokens for run in runs) / num_prompt_tokens


def recomputed_tokens_ratio(history: History) -> float | None:
    """Return the prompt tokens computed by all runs, divided by those of one unlimited cache."""
    runs = history.of_type(EngineRun)
    num_computed = sum(run.num_prompt_tokens - run.num_cached_tokens for run in runs)
    num_needed = _num_needed_tokens(history, runs)
    return num_computed / num_needed if num_needed else None


def _num_needed_tokens(history: History, runs: Sequence[EngineRun]) -> float:
    """Return the tokens that must be computed once, independent of routing.

    Each block is counted once for each tenant, model, version and adapter. The rest of a prompt
    after its last full block is counted once for each request.
    """
    seen: set[BlockHash] = set()
    counted: set[RequestId] = set()
    num_bytes = 0
    for run in runs:
        sent = history.sent.get(run.request_id)
        if not isinstance(sent, GenerationSent) or run.request_id in counted:
            continue
        counted.add(run.request_id)
        seed = chain_seed(run.cache_salt, run.model, run.weight_version, run.adapter)
        chain = extend_chain(seed, sent.prompt, 0, history.block_size_bytes)
        num_bytes += len(sent.prompt) - len(chain) * history.block_size_bytes
        num_bytes += sum(block not in seen for block in chain) * history.block_size_bytes
        seen.update(chain)
    return num_bytes / BYTES_PER_TOKEN


MAX_LISTED_ERRORS = 10


def compute_figures(
    history: History,
    verdict: Verdict,
    identity: RunIdentity,
    control: ControlCost,
    internal_errors: Sequence[Exception] = (),
) -> Figures:
    """Compute the figures of a run.

    Args:
        history: Records of the run.
        verdict: Result of the checkers.
        identity: Identity of the run.
        control: Cost of the control plane.
        internal_errors: Exceptions raised in nodes.
    """
    inter_token_s = [
        time_s for chunks in history.chunks.values() for time_s in inter_token_times_s(chunks)
    ]
    return Figures(
        name=identity.name,
        deployment=identity.deployment,
        seed=identity.seed,
        duration_s=identity.duration_s,
        requests=verdict.counts,
        refusals=dict(Counter(refusal.code.value for refusal in history.of_type(RefusalReceived))),
        prefix_hit_rate=prefix_hit_rate(history),
        ttft_seconds=percentiles(first_token_times_s(history)),
        service_seconds=percentiles(service_times_s(history)),
        inter_token_seconds=percentiles(inter_token_s),
        recomputed_tokens_ratio=recomputed_tokens_ratio(history),
        control=control,
        configuration_in_force_seconds=percentiles(configuration_delays_s(history)),
        violations=verdict.violations,
        num_internal_errors=len(internal_errors),
        internal_errors=tuple(repr(error) for error in internal_errors[:MAX_LISTED_ERRORS]),
    )
