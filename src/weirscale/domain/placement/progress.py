"""Progress of each model's rollout, for status reports."""

from collections.abc import Mapping

from weirscale.domain.configuration.model import Model
from weirscale.domain.identifiers import EngineName, ModelName
from weirscale.domain.placement.model import DesiredEngine, EngineObservation, RolloutState
from weirscale.domain.placement.plan import is_stopped, needs_load
from weirscale.messages.placement import PlacementRecord, RolloutProgress

_REMEDIES = {
    RolloutState.DONE: "",
    RolloutState.ROLLING: "",
    RolloutState.WAITING_FOR_FLOOR: (
        "no engine may load without going below min_ready_engines: lower it or add engines"
    ),
    RolloutState.STOPPED: (
        "loads of this version fail: apply the previous version or a corrected one under a new name"
    ),
    RolloutState.SHORT_OF_ENGINES: (
        "engines are down, leaving, never observed or accept no orders: check them in status"
    ),
}


def rollout_progress(
    model: Model,
    record: PlacementRecord,
    desired: Mapping[EngineName, DesiredEngine],
    observations: Mapping[EngineName, EngineObservation],
    waiting_for_floor: frozenset[ModelName],
) -> RolloutProgress:
    """Return the progress of one model."""
    wanted = [target for target in desired.values() if target.model == model.name]
    ready = [
        (target, observations[target.engine])
        for target in wanted
        if target.engine in observations and observations[target.engine].is_ready
    ]
    num_ready = sum(observed.model == model.name for _, observed in ready)
    num_current = sum(_is_current(target, observed) for target, observed in ready)
    loading = tuple(load.engine for load in record.loads if load.model == model.name)
    stuck = tuple(
        load.engine for load in record.loads if load.model == model.name and load.is_given_up
    )
    failures = tuple(failure for failure in record.failures if failure.model == model.name)
    if num_current == len(wanted):
        state = RolloutState.DONE
    elif is_stopped(record, model):
        state = RolloutState.STOPPED
    elif model.name in waiting_for_floor:
        state = RolloutState.WAITING_FOR_FLOOR
    elif loading or num_current < len(ready):
        state = RolloutState.ROLLING
    else:
        state = RolloutState.SHORT_OF_ENGINES
    return RolloutProgress(
        model=model.name,
        weight_version=model.weight_version,
        num_engines=len(wanted),
        num_ready=num_ready,
        num_current=num_current,
        loading=loading,
        stuck=stuck,
        failures=failures,
        state=state.value,
        remedy=_REMEDIES[state],
    )


def _is_current(wanted: DesiredEngine, observed: EngineObservation) -> bool:
    return not needs_load(wanted, observed) and set(wanted.adapters) <= observed.adapters
