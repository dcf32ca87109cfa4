"""Which loads to order next: bounded, above each model's floor, and stopped by failures."""

from collections.abc import Iterable, Mapping

import msgspec

from weirscale.domain.configuration.model import Model
from weirscale.domain.identifiers import EngineName, ModelName
from weirscale.domain.placement.model import DesiredEngine, EngineObservation, PlacementRules
from weirscale.domain.placement.served import served_version
from weirscale.messages.placement import LoadInProgress, PlacementRecord

MAX_UNPROVEN_LOADS = 1
"""Engines that load a version at once while none has loaded it well and it may be at fault: it
would take a serving engine away, or has failed before."""


class LoadPlan(msgspec.Struct, frozen=True):
    """Loads to order now.

    Attributes:
        loads: All loads in progress once the plan is carried out.
        ordered: Those of them that are new.
        next_token: The token after the last one given.
        waiting_for_floor: Models whose floor forbids every load that is left.
    """

    loads: tuple[LoadInProgress, ...]
    ordered: tuple[LoadInProgress, ...]
    next_token: int
    waiting_for_floor: frozenset[ModelName]


class _Counts:
    """Ready engines and loads, kept up to date while loads are planned."""

    def __init__(
        self, observations: Iterable[EngineObservation], loads: Iterable[LoadInProgress]
    ) -> None:
        loading = {load.engine for load in loads}
        self.trying: dict[ModelName, int] = {}
        self.ready: dict[ModelName, int] = {}
        self.loading: dict[ModelName, int] = {}
        self.num_loads = 0
        for seen in observations:
            if seen.is_ready and seen.model is not None and seen.engine not in loading:
                self.ready[seen.model] = self.ready.get(seen.model, 0) + 1
        for load in loads:
            self.add_load(load)

    def add_load(self, load: LoadInProgress) -> None:
        """Count a load; one that was given up holds its slot, but tells nothing any more."""
        self.loading[load.model] = self.loading.get(load.model, 0) + 1
        self.num_loads += 1
        if not load.is_given_up:
            self.trying[load.model] = self.trying.get(load.model, 0) + 1


def needs_load(wanted: DesiredEngine, seen: EngineObservation) -> bool:
    """Whether an engine that is up must load other weights."""
    serves = (seen.model, seen.weight_version)
    return serves != (wanted.model, wanted.weight_version)


def is_stopped(record: PlacementRecord, model: Model) -> bool:
    """Whether too many loads of a model's declared version have failed."""
    return num_failures(record, model) >= model.max_failed_loads


def num_failures(record: PlacementRecord, model: Model) -> int:
    """Count the failed loads of a model's declared version."""
    return sum(
        failure.model == model.name
        and failure.weight_version == model.weight_version
        and not failure.is_restoring
        for failure in record.failures
    )


def plan_loads(
    record: PlacementRecord,
    models: Mapping[ModelName, Model],
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
    rules: PlacementRules,
) -> LoadPlan:
    """Choose the loads to order now.

    Loads that are no longer wanted are replaced first; they keep their slots. Of a model whose
    rollout has stopped, only engines without weights load: the version served before. Engines whose
    load of the version has failed come last, so that another engine tells whether the version is at
    fault; before them engines without weights (loading them takes no capacity away), then the least
    busy.
    """
    token = _first_token(record, observations.values())
    due = _due(record, desired, observations)
    superseded = _superseded(record, models, desired, observations, due)
    replacing = [
        _load(wanted, seen, token + index) for index, (wanted, seen) in enumerate(superseded)
    ]
    loads = [*_without(record.loads, replacing), *replacing]
    token += len(replacing)
    counts = _Counts(observations.values(), loads)
    planned: list[LoadInProgress] = []
    waiting: set[ModelName] = set()
    for declared, seen in due:
        model = models[declared.model]
        is_going_back = is_stopped(record, model)
        wanted = _served_before(record, model, declared, seen) if is_going_back else declared
        if wanted is None or not _has_slot(model, counts, rules):
            continue
        has_doubt = seen.model is not None or num_failures(record, model) > 0
        is_risky = has_doubt and not is_going_back
        if is_risky and not _is_proven(wanted, observations, counts):
            continue
        if not _keeps_floor(seen, models, counts):
            waiting.add(wanted.model)
            continue
        planned.append(_load(wanted, seen, token))
        token += 1
        counts.add_load(planned[-1])
        if seen.is_ready and seen.model is not None:
            counts.ready[seen.model] -= 1
    return LoadPlan(
        loads=(*loads, *planned),
        ordered=(*replacing, *planned),
        next_token=token,
        waiting_for_floor=frozenset(name for name in waiting if not counts.loading.get(name)),
    )


def _load(wanted: DesiredEngine, seen: EngineObservation, token: int) -> LoadInProgress:
    assert seen.incarnation is not None
    return LoadInProgress(
        engine=wanted.engine,
        incarnation=seen.incarnation,
        model=wanted.model,
        weight_version=wanted.weight_version,
        token=token,
    )


def _without(
    loads: Iterable[LoadInProgress], replacing: Iterable[LoadInProgress]
) -> list[LoadInProgress]:
    replaced = {load.engine for load in replacing}
    return [load for load in loads if load.engine not in replaced]


def _superseded(
    record: PlacementRecord,
    models: Mapping[ModelName, Model],
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
    due: Iterable[tuple[DesiredEngine, EngineObservation]],
) -> list[tuple[DesiredEngine, EngineObservation]]:
    """Return engines that need another order in the slot of the load that they have.

    Those that load what is wanted no more need it even if they still report the wanted version:
    they may be finishing their requests before they begin the load. Loads that were given up are
    ordered again when no engine is left on which the version has not failed.
    """
    failed = {(failure.engine, failure.weight_version) for failure in record.failures}
    untried = {
        wanted.model for wanted, _ in due if (wanted.engine, wanted.weight_version) not in failed
    }
    running = {load.model for load in record.loads if not load.is_given_up}
    pairs: list[tuple[DesiredEngine, EngineObservation]] = []
    for load in record.loads:
        wanted = desired.get(load.engine)
        seen = observations.get(load.engine)
        if wanted is None or seen is None or not _takes_orders(seen):
            continue
        is_wanted = (load.model, load.weight_version) == (wanted.model, wanted.weight_version)
        model = models[wanted.model]
        if is_stopped(record, model):
            before = _served_before(record, model, wanted, seen) if load.is_given_up else None
            if before is not None:
                pairs.append((before, seen))
        elif not is_wanted or (load.is_given_up and wanted.model not in untried | running):
            pairs.append((wanted, seen))
    return pairs


def _served_before(
    record: PlacementRecord, model: Model, declared: DesiredEngine, seen: EngineObservation
) -> DesiredEngine | None:
    """Return what an engine that a stopped rollout left without weights loads instead."""
    version = served_version(record, model.name)
    if seen.model is not None or version is None or not model.restores_failed_engines:
        return None
    has_failed = any(
        failure.engine == declared.engine and failure.weight_version == version
        for failure in record.failures
    )
    if version == model.weight_version or has_failed:
        return None
    return msgspec.structs.replace(declared, weight_version=version)


def _due(
    record: PlacementRecord,
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
) -> list[tuple[DesiredEngine, EngineObservation]]:
    """Return the engines that need other weights and are not loading, first ones first."""
    loading = {load.engine for load in record.loads}
    failed = {(failure.engine, failure.weight_version) for failure in record.failures}
    due = [
        (wanted, observations[name])
        for name, wanted in desired.items()
        if name not in loading and name in observations
    ]
    due = [
        (wanted, seen) for wanted, seen in due if _takes_orders(seen) and needs_load(wanted, seen)
    ]
    due.sort(
        key=lambda pair: (
            (pair[0].engine, pair[0].weight_version) in failed,
            pair[1].model is not None,
            pair[1].num_running,
            pair[0].engine,
        )
    )
    return due


def _takes_orders(seen: EngineObservation) -> bool:
    return seen.is_up and not seen.is_leaving and seen.incarnation is not None


def _first_token(record: PlacementRecord, observations: Iterable[EngineObservation]) -> int:
    """Stay above every token that an engine reports, also if the record was lost."""
    highest = max((seen.order_token for seen in observations), default=0)
    return max(record.next_token, highest + 1)


def _has_slot(model: Model, counts: _Counts, rules: PlacementRules) -> bool:
    num_loading = counts.loading.get(model.name, 0)
    return counts.num_loads < rules.max_fleet_loads and num_loading < model.max_concurrent_loads


def _is_proven(
    wanted: DesiredEngine,
    observations: Mapping[EngineName, EngineObservation],
    counts: _Counts,
) -> bool:
    """Whether the version may be loaded on one engine more: it serves somewhere, or none loads."""
    if counts.trying.get(wanted.model, 0) < MAX_UNPROVEN_LOADS:
        return True
    return any(other.is_ready and not needs_load(wanted, other) for other in observations.values())


def _keeps_floor(
    seen: EngineObservation,
    models: Mapping[ModelName, Model],
    counts: _Counts,
) -> bool:
    """Whether the model that the engine serves now keeps enough ready engines without it."""
    if seen.model is None or seen.model not in models:
        return True
    return counts.ready.get(seen.model, 0) - 1 >= models[seen.model].min_ready_engines
