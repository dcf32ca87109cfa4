"""The last served version of each model, which a stopped rollout restores on failed engines."""

from collections import Counter
from collections.abc import Iterable, Mapping

from weirscale.domain.configuration.model import Model
from weirscale.domain.identifiers import ModelName, WeightVersion
from weirscale.domain.placement.model import EngineObservation
from weirscale.messages.placement import PlacementRecord, ServedVersion


def served_version(record: PlacementRecord, model: ModelName) -> WeightVersion | None:
    """Return the last served version of a model, None if it is not known."""
    versions = (served.weight_version for served in record.served if served.model == model)
    return next(versions, None)


def served_versions(
    record: PlacementRecord,
    models: Mapping[ModelName, Model],
    observations: Iterable[EngineObservation],
) -> tuple[ServedVersion, ...]:
    """Return the current served versions.

    A declared version replaces the previous one once the majority of the model's ready engines
    serve it, and at least as many as must stay ready. So a rollout that fails earlier can be rolled
    back. Without a previous version, the version with the most ready engines is used.
    """
    counts: dict[ModelName, Counter[WeightVersion]] = {name: Counter() for name in models}
    for observed in observations:
        if observed.is_ready and observed.model in counts and observed.weight_version is not None:
            counts[observed.model][observed.weight_version] += 1
    versions = {
        name: _current_version(models[name], served_version(record, name), ready)
        for name, ready in counts.items()
    }
    return tuple(
        ServedVersion(name, version) for name, version in versions.items() if version is not None
    )


def _current_version(
    model: Model, previous: WeightVersion | None, ready: Counter[WeightVersion]
) -> WeightVersion | None:
    num_current = ready[model.weight_version]
    is_majority = 2 * num_current > ready.total()
    if is_majority and num_current >= model.min_ready_engines:
        return model.weight_version
    if previous is None and ready:
        return max(sorted(ready), key=lambda version: ready[version])
    return previous
