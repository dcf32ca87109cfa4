"""What became of loads in progress: finished, failed or given up."""

from collections.abc import Mapping

import msgspec

from weirscale.domain.configuration.model import Model
from weirscale.domain.identifiers import EngineName, ModelName
from weirscale.domain.placement.model import DesiredEngine, EngineObservation
from weirscale.messages.placement import FailedLoad, LoadInProgress, PlacementRecord


class Settlement(msgspec.Struct, frozen=True):
    """The record after loads were settled.

    Attributes:
        record: The new record.
        finished: Loads that have come to an end well.
        failed: Loads that have failed.
    """

    record: PlacementRecord
    finished: tuple[LoadInProgress, ...]
    failed: tuple[FailedLoad, ...]


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
    finished: list[LoadInProgress] = []
    failed: list[FailedLoad] = []
    for load in record.loads:
        seen = observations.get(load.engine)
        if seen is None:
            continue
        if is_loaded(seen, load):
            finished.append(load)
            continue
        reason = _failure_reason(load, seen, models.get(load.model), load_ages_s)
        if reason is None:
            still_loading.append(load)
        elif _is_wanted(load, desired):
            failed.append(FailedLoad(load.engine, load.model, load.weight_version, reason))
    failures = tuple(
        failure
        for failure in (*record.failures, *failed)
        if failure.model in models
        and models[failure.model].weight_version == failure.weight_version
    )
    settled = msgspec.structs.replace(record, loads=tuple(still_loading), failures=failures)
    return Settlement(settled, tuple(finished), tuple(failed))


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


def _failure_reason(
    load: LoadInProgress,
    seen: EngineObservation,
    model: Model | None,
    load_ages_s: Mapping[int, float],
) -> str | None:
    """Return why a load has failed, None while it may still succeed."""
    if seen.is_leaving:
        return "the engine is leaving"
    if seen.incarnation is not None and seen.incarnation > load.incarnation:
        return "the engine restarted during the load"
    if model is None:
        return "the model is no longer declared"
    if load_ages_s.get(load.token, 0.0) >= model.load_timeout_s:
        return f"not loaded within {model.load_timeout_s:g} s"
    return None


def _is_wanted(load: LoadInProgress, desired: Mapping[EngineName, DesiredEngine]) -> bool:
    wanted = desired.get(load.engine)
    return (
        wanted is not None
        and wanted.model == load.model
        and wanted.weight_version == load.weight_version
    )
