"""The version that each model served last: where a stopped rollout's failed engines go back to."""

from collections import Counter
from collections.abc import Iterable, Mapping

from weirscale.domain.configuration.model import Model
from weirscale.domain.identifiers import ModelName, WeightVersion
from weirscale.domain.placement.model import EngineObservation
from weirscale.messages.placement import PlacementRecord, ServedVersion


def served_version(record: PlacementRecord, model: ModelName) -> WeightVersion | None:
    """Return the version that a model served last, None if it is not known."""
    found = (each.weight_version for each in record.served if each.model == model)
    return next(found, None)


def served_versions(
    record: PlacementRecord,
    models: Mapping[ModelName, Model],
    observations: Iterable[EngineObservation],
) -> tuple[ServedVersion, ...]:
    """Return the served versions as of now.

    A declared version takes the place of the one before once most ready engines of the model, and
    as many as must stay ready, serve it: a rollout that fails earlier can go back. Where nothing is
    known yet, the version that most ready engines serve is taken.
    """
    counts: dict[ModelName, Counter[WeightVersion]] = {name: Counter() for name in models}
    for seen in observations:
        if seen.is_ready and seen.model in counts and seen.weight_version is not None:
            counts[seen.model][seen.weight_version] += 1
    versions = {
        name: _version_now(models[name], served_version(record, name), ready)
        for name, ready in counts.items()
    }
    return tuple(
        ServedVersion(name, version) for name, version in versions.items() if version is not None
    )


def _version_now(
    model: Model, before: WeightVersion | None, ready: Counter[WeightVersion]
) -> WeightVersion | None:
    num_current = ready[model.weight_version]
    is_most = 2 * num_current > ready.total()
    if is_most and num_current >= model.min_ready_engines:
        return model.weight_version
    if before is None and ready:
        return max(sorted(ready), key=lambda version: ready[version])
    return before
