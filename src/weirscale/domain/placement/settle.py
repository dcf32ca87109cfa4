"""What became of loads in progress: finished, failed, or given up and perhaps still running."""

from collections.abc import Mapping

import msgspec

from weirscale.domain.configuration.model import Model
from weirscale.domain.identifiers import EngineName, ModelName
from weirscale.domain.placement.model import DesiredEngine, EngineObservation
from weirscale.domain.placement.plan import is_stopped
from weirscale.domain.placement.served import served_version, served_versions
from weirscale.messages.placement import FailedLoad, LoadInProgress, PlacementRecord

MAX_GIVEN_UP_TIMEOUTS = 3
"""A load that was given up keeps its slot until its engine's reports prove that it has ended, but
at most this many times `load_timeout_s` in all: an engine that never tells must not hold it
for ever."""


class Settlement(msgspec.Struct, frozen=True):
    """The record after loads were settled.

    Attributes:
        record: The new record.
        finished: Loads that have come to an end well.
        failed: Loads that have failed.
        freed: Loads given up earlier that hold their slots no longer.
    """

    record: PlacementRecord
    finished: tuple[LoadInProgress, ...]
    failed: tuple[FailedLoad, ...]
    freed: tuple[LoadInProgress, ...] = ()


def settle_loads(
    record: PlacementRecord,
    models: Mapping[ModelName, Model],
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
    load_ages_s: Mapping[int, float],
) -> Settlement:
    """Settle the loads in progress.

    Args:
        record: Loads and failures as recorded.
        models: Declared models.
        desired: What each engine must serve.
        observations: What is seen of engines.
        load_ages_s: Age of each load by its token, counted from when this planner first knew it.

    Returns:
        The record without the loads that ended, and without failures of versions that are not
        declared any more: declaring another version starts afresh.
    """
    still_loading: list[LoadInProgress] = []
    freed: list[LoadInProgress] = []
    finished: list[LoadInProgress] = []
    failed: list[FailedLoad] = []
    for load in record.loads:
        seen = observations.get(load.engine)
        if seen is None:
            continue
        if is_loaded(seen, load):
            finished.append(load)
            continue
        model = models.get(load.model)
        age_s = load_ages_s.get(load.token, 0.0)
        if load.is_given_up:
            is_held = model is not None and _may_still_run(load, seen, model, age_s)
            (still_loading if is_held else freed).append(load)
            continue
        reason = _end_reason(load, seen, model)
        if reason is None and model is not None and age_s >= model.load_timeout_s:
            reason = f"not loaded within {model.load_timeout_s:g} s"
            still_loading.append(msgspec.structs.replace(load, is_given_up=True))
        elif reason is None:
            still_loading.append(load)
        if reason is not None:
            failed.extend(_failures_of(load, reason, record, desired))
    settled = msgspec.structs.replace(
        record,
        loads=tuple(still_loading),
        failures=_current_failures((*record.failures, *failed), models),
        served=served_versions(record, models, observations.values()),
    )
    return Settlement(settled, tuple(finished), tuple(failed), tuple(freed))


def is_loaded(seen: EngineObservation, load: LoadInProgress) -> bool:
    """Whether a load has come to its end.

    The token proves that the engine means this load; without it, a report made before the order
    could show the same version from an earlier load.
    """
    return (
        seen.is_up
        and seen.incarnation == load.incarnation
        and seen.model == load.model
        and seen.weight_version == load.weight_version
        and seen.order_token >= load.token
    )


def _end_reason(load: LoadInProgress, seen: EngineObservation, model: Model | None) -> str | None:
    """Return why a load has certainly ended without success, None while it may go on."""
    if seen.is_leaving:
        return "the engine is leaving"
    if seen.incarnation is not None and seen.incarnation > load.incarnation:
        return "the engine restarted during the load"
    if model is None:
        return "the model is no longer declared"
    if seen.incarnation == load.incarnation and seen.failed_load_token >= load.token:
        return "the engine could not load it"
    return None


def _may_still_run(
    load: LoadInProgress, seen: EngineObservation, model: Model, age_s: float
) -> bool:
    """Whether the engine of a load that was given up may still be reading weights for it."""
    if age_s >= MAX_GIVEN_UP_TIMEOUTS * model.load_timeout_s:
        return False
    has_gone_on = max(seen.order_token, seen.loading_token) > load.token
    return _end_reason(load, seen, model) is None and not has_gone_on


def _failures_of(
    load: LoadInProgress,
    reason: str,
    record: PlacementRecord,
    desired: Mapping[EngineName, DesiredEngine],
) -> list[FailedLoad]:
    """Return the failure that a load counts as; none if what it loads is wanted no more."""
    wanted = desired.get(load.engine)
    if wanted is None or wanted.model != load.model:
        return []
    failure = FailedLoad(load.engine, load.model, load.weight_version, reason)
    if wanted.weight_version == load.weight_version:
        return [failure]
    if served_version(record, load.model) == load.weight_version:
        return [msgspec.structs.replace(failure, is_restoring=True)]
    return []


def _current_failures(
    failures: tuple[FailedLoad, ...], models: Mapping[ModelName, Model]
) -> tuple[FailedLoad, ...]:
    """Return the failures of declared versions, and those of going back from them."""
    counted = tuple(
        failure
        for failure in failures
        if not failure.is_restoring
        and failure.model in models
        and models[failure.model].weight_version == failure.weight_version
    )
    stopped = {
        name
        for name, model in models.items()
        if is_stopped(PlacementRecord(failures=counted), model)
    }
    restoring = (each for each in failures if each.is_restoring and each.model in stopped)
    return (*counted, *restoring)
