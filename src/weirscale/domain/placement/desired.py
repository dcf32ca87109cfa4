"""The desired state of each engine, from the declared deployment."""

from collections.abc import Mapping

from weirscale.domain.configuration.model import Deployment, Model
from weirscale.domain.identifiers import EngineName, ModelName
from weirscale.domain.placement.model import DesiredEngine


def declared_models(deployment: Deployment) -> Mapping[ModelName, Model]:
    """Return the declared models by name."""
    return {model.name: model for model in deployment.models}


def desired_engines(deployment: Deployment) -> Mapping[EngineName, DesiredEngine]:
    """Return the desired state of each declared engine."""
    models = declared_models(deployment)
    return {
        engine.name: DesiredEngine(
            engine=engine.name,
            model=engine.model,
            weight_version=models[engine.model].weight_version,
            adapters=models[engine.model].adapters,
            role=engine.role,
        )
        for engine in deployment.engines
        if engine.model in models
    }
