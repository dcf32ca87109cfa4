"""Outcomes of loads in progress: finished, failed, or given up and perhaps still running."""

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
at most this many times `load_timeout_s` in total: an engine that never reports the end must not
hold the slot forever."""


class Settlement(msgspec.Struct, frozen=True):
    """The record after loads were settled.

    Attributes:
        record: The new record.
        finished: Loads that have succeeded.
        failed: Loads that have failed.
        freed: Loads given up earlier that no longer hold their slots.
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
    """Determine the outcomes of the loads in progress.

    Args:
        record: Loads and failures as recorded.
        models: Declared models.
        desired: The desired state of each engine.
        observations: The observed state of each engine.
        load_ages_s: Age of each load by its token, since the load became known to this planner.

    Returns:
        The record without the loads that ended, and without failures of versions that are no longer
        declared: the failures of a newly declared version are counted from zero.
    """
    still_loading: list[LoadInProgress] = []
    freed: list[LoadInProgress] = []
    finished: list[LoadInProgress] = []
    failed: list[FailedLoad] = []
    for load in record.loads:
        observed = observations.get(load.engine)
        if observed is None:
            continue
        if is_loaded(observed, load):
            finished.append(load)
            continue
        model = models.get(load.model)
        age_s = load_ages_s.get(load.token, 0.0)
        if load.is_given_up:
            keeps_slot = model is not None and _may_still_run(load, observed, model, age_s)
            (still_loading if keeps_slot else freed).append(load)
            continue
        reason = _end_reason(load, observed, model)
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


def is_loaded(observed: EngineObservation, load: LoadInProgress) -> bool:
    """Return whether a load has succeeded.

    The token proves that the report refers to this load. Without it, a report from before the order
    could show the same version from an earlier load.
    """
    return (
        observed.is_up
        and observed.incarnation == load.incarnation
        and observed.model == load.model
        and observed.weight_version == load.weight_version
        and observed.order_token >= load.token
    )


def _end_reason(
    load: LoadInProgress, observed: EngineObservation, model: Model | None
) -> str | None:
    """Return why a load has certainly ended without success; None while it may continue."""
    if observed.is_leaving:
        return "the engine is leaving"
    if observed.incarnation is not None and observed.incarnation > load.incarnation:
        return "the engine restarted during the load"
    if model is None:
        return "the model is no longer declared"
    if observed.incarnation == load.incarnation and observed.failed_load_token >= load.token:
        return "the engine could not load it"
    return None


def _may_still_run(
    load: LoadInProgress, observed: EngineObservation, model: Model, age_s: float
) -> bool:
    """Return whether the engine of a given-up load may still be reading its weights."""
    if age_s >= MAX_GIVEN_UP_TIMEOUTS * model.load_timeout_s:
        return False
    has_later_order = max(observed.order_token, observed.loading_token) > load.token
    return _end_reason(load, observed, model) is None and not has_later_order


def _failures_of(
    load: LoadInProgress,
    reason: str,
    record: PlacementRecord,
    desired: Mapping[EngineName, DesiredEngine],
) -> list[FailedLoad]:
    """Return the failure of a load as a list, which is empty if the load is no longer wanted."""
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
    """Return the failures of declared versions, and failures to restore the previous versions."""
    current = tuple(
        failure
        for failure in failures
        if not failure.is_restoring
        and failure.model in models
        and models[failure.model].weight_version == failure.weight_version
    )
    stopped = {
        name
        for name, model in models.items()
        if is_stopped(PlacementRecord(failures=current), model)
    }
    restoring = (
        failure for failure in failures if failure.is_restoring and failure.model in stopped
    )
    return (*current, *restoring)
