"""Planning of the next loads.

The number of loads is bounded, each model keeps its minimum of ready engines (its floor), and too
many failures stop a rollout.
"""

from collections.abc import Iterable, Mapping

import msgspec

from weirscale.domain.configuration.model import Model
from weirscale.domain.identifiers import EngineName, ModelName
from weirscale.domain.placement.model import DesiredEngine, EngineObservation, PlacementRules
from weirscale.domain.placement.served import served_version
from weirscale.messages.placement import LoadInProgress, PlacementRecord

MAX_UNPROVEN_LOADS = 1
"""Maximum concurrent loads of a version that no ready engine serves, if the load is risky. It is
risky if it takes away a serving engine or if the version has failed before."""


class LoadPlan(msgspec.Struct, frozen=True):
    """Loads to order now.

    Attributes:
        loads: All loads in progress once the plan is carried out.
        ordered: The new loads among them.
        next_token: The next unused token.
        waiting_for_floor: Models whose engines all wait, because each load would leave too few
            ready engines.
    """

    loads: tuple[LoadInProgress, ...]
    ordered: tuple[LoadInProgress, ...]
    next_token: int
    waiting_for_floor: frozenset[ModelName]


class _Counts:
    """Numbers of ready engines and of loads, updated while loads are planned."""

    def __init__(
        self, observations: Iterable[EngineObservation], loads: Iterable[LoadInProgress]
    ) -> None:
        loading = {load.engine for load in loads}
        self.active: dict[ModelName, int] = {}
        self.ready: dict[ModelName, int] = {}
        self.loading: dict[ModelName, int] = {}
        self.num_loads = 0
        for observed in observations:
            if observed.is_ready and observed.model is not None and observed.engine not in loading:
                self.ready[observed.model] = self.ready.get(observed.model, 0) + 1
        for load in loads:
            self.add_load(load)

    def add_load(self, load: LoadInProgress) -> None:
        """Count a load; a load that was given up keeps its slot, but proves nothing any more."""
        self.loading[load.model] = self.loading.get(load.model, 0) + 1
        self.num_loads += 1
        if not load.is_given_up:
            self.active[load.model] = self.active.get(load.model, 0) + 1


def needs_load(wanted: DesiredEngine, observed: EngineObservation) -> bool:
    """Return whether an engine that is up must load other weights."""
    serves = (observed.model, observed.weight_version)
    return serves != (wanted.model, wanted.weight_version)


def is_stopped(record: PlacementRecord, model: Model) -> bool:
    """Return whether too many loads of a model's declared version have failed."""
    return num_failures(record, model) >= model.max_failed_loads


def num_failures(record: PlacementRecord, model: Model) -> int:
    """Return the number of failed loads of a model's declared version."""
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
    """Return the plan of the loads to order now.

    Loads that are no longer wanted are replaced first, in their slots. If a model's rollout has
    stopped, only its engines without weights load, and they load the previously served version.
    Engines without weights come first, as their loads take no capacity away, then the least busy
    ones. Engines on which a load of the version has failed come last, so that another engine shows
    whether the version is at fault.
    """
    token = _first_token(record, observations.values())
    due = _due_engines(record, desired, observations)
    superseded = _superseded(record, models, desired, observations, due)
    replacing = [
        _load(wanted, observed, token + index)
        for index, (wanted, observed) in enumerate(superseded)
    ]
    loads = [*_without(record.loads, replacing), *replacing]
    token += len(replacing)
    counts = _Counts(observations.values(), loads)
    planned: list[LoadInProgress] = []
    waiting: set[ModelName] = set()
    for declared, observed in due:
        model = models[declared.model]
        has_stopped = is_stopped(record, model)
        wanted = _restore_target(record, model, declared, observed) if has_stopped else declared
        if wanted is None or not _has_slot(model, counts, rules):
            continue
        needs_proof = observed.model is not None or num_failures(record, model) > 0
        is_risky = needs_proof and not has_stopped
        if is_risky and not _may_load_one_more(wanted, observations, counts):
            continue
        if not _keeps_floor(observed, models, counts):
            waiting.add(wanted.model)
            continue
        planned.append(_load(wanted, observed, token))
        token += 1
        counts.add_load(planned[-1])
        if observed.is_ready and observed.model is not None:
            counts.ready[observed.model] -= 1
    return LoadPlan(
        loads=(*loads, *planned),
        ordered=(*replacing, *planned),
        next_token=token,
        waiting_for_floor=frozenset(name for name in waiting if not counts.loading.get(name)),
    )


def _load(wanted: DesiredEngine, observed: EngineObservation, token: int) -> LoadInProgress:
    assert observed.incarnation is not None
    return LoadInProgress(
        engine=wanted.engine,
        incarnation=observed.incarnation,
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
    """Return the engines that need another order in the slot of their current load.

    An engine with a load that is no longer wanted needs one even if it still reports the wanted
    version: it may be finishing its requests before it starts the load. Loads that were given up
    are ordered again when the version has failed on every engine that is left.
    """
    failed = {(failure.engine, failure.weight_version) for failure in record.failures}
    untried = {
        wanted.model for wanted, _ in due if (wanted.engine, wanted.weight_version) not in failed
    }
    running = {load.model for load in record.loads if not load.is_given_up}
    pairs: list[tuple[DesiredEngine, EngineObservation]] = []
    for load in record.loads:
        wanted = desired.get(load.engine)
        observed = observations.get(load.engine)
        if wanted is None or observed is None or not _accepts_orders(observed):
            continue
        is_wanted = (load.model, load.weight_version) == (wanted.model, wanted.weight_version)
        model = models[wanted.model]
        if is_stopped(record, model):
            previous = (
                _restore_target(record, model, wanted, observed) if load.is_given_up else None
            )
            if previous is not None:
                pairs.append((previous, observed))
        elif not is_wanted or (load.is_given_up and wanted.model not in untried | running):
            pairs.append((wanted, observed))
    return pairs


def _restore_target(
    record: PlacementRecord, model: Model, declared: DesiredEngine, observed: EngineObservation
) -> DesiredEngine | None:
    """Return the state to restore on an engine that a stopped rollout left without weights.

    Return None if the engine should not load anything.
    """
    version = served_version(record, model.name)
    if observed.model is not None or version is None or not model.restores_failed_engines:
        return None
    has_failed = any(
        failure.engine == declared.engine and failure.weight_version == version
        for failure in record.failures
    )
    if version == model.weight_version or has_failed:
        return None
    return msgspec.structs.replace(declared, weight_version=version)


def _due_engines(
    record: PlacementRecord,
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
) -> list[tuple[DesiredEngine, EngineObservation]]:
    """Return the engines that need other weights and are not loading, in loading order."""
    loading = {load.engine for load in record.loads}
    failed = {(failure.engine, failure.weight_version) for failure in record.failures}
    due = [
        (wanted, observations[name])
        for name, wanted in desired.items()
        if name not in loading and name in observations
    ]
    due = [
        (wanted, observed)
        for wanted, observed in due
        if _accepts_orders(observed) and needs_load(wanted, observed)
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


def _accepts_orders(observed: EngineObservation) -> bool:
    return observed.is_up and not observed.is_leaving and observed.incarnation is not None


def _first_token(record: PlacementRecord, observations: Iterable[EngineObservation]) -> int:
    """Return a token above every token that an engine reports, even if the record was lost."""
    highest = max((observed.order_token for observed in observations), default=0)
    return max(record.next_token, highest + 1)


def _has_slot(model: Model, counts: _Counts, rules: PlacementRules) -> bool:
    num_loading = counts.loading.get(model.name, 0)
    return counts.num_loads < rules.max_fleet_loads and num_loading < model.max_concurrent_loads


def _may_load_one_more(
    wanted: DesiredEngine,
    observations: Mapping[EngineName, EngineObservation],
    counts: _Counts,
) -> bool:
    """Return whether one more engine may load the version.

    It may if a ready engine serves the version, or if no other engine is loading the model.
    """
    if counts.active.get(wanted.model, 0) < MAX_UNPROVEN_LOADS:
        return True
    return any(other.is_ready and not needs_load(wanted, other) for other in observations.values())


def _keeps_floor(
    observed: EngineObservation,
    models: Mapping[ModelName, Model],
    counts: _Counts,
) -> bool:
    """Return whether the engine's current model keeps enough ready engines without it."""
    if observed.model is None or observed.model not in models:
        return True
    return counts.ready.get(observed.model, 0) - 1 >= models[observed.model].min_ready_engines
