"""Time of one planning round without I/O, by engines: `python -m bench.placement_cost`."""

import time

from weirscale.domain.configuration.model import Deployment, Engine, Model
from weirscale.domain.identifiers import (
    EngineName,
    Incarnation,
    ModelName,
    WeightVersion,
    ZoneName,
)
from weirscale.domain.placement.desired import declared_models, desired_engines
from weirscale.domain.placement.model import EngineObservation, PlacementRules
from weirscale.domain.placement.plan import plan_loads
from weirscale.domain.placement.settle import settle_loads
from weirscale.domain.placement.small_orders import plan_small_changes
from weirscale.messages.placement import PlacementRecord

ENGINE_COUNTS = (9, 94, 425, 1700)
NUM_MODELS = 5
NUM_ROUNDS = 20


def declare(num_engines: int, version: str) -> Deployment:
    """Return a deployment whose engines are shared out among the models."""
    models = tuple(
        Model(ModelName(f"model-{index}"), WeightVersion(version), max_concurrent_loads=2)
        for index in range(NUM_MODELS)
    )
    engines = tuple(
        Engine(
            EngineName(f"engine-{index}"),
            ZoneName("zone"),
            "10.0.0.1:8000",
            models[index % NUM_MODELS].name,
        )
        for index in range(num_engines)
    )
    return Deployment(1, "bench", (), models, engines, ())


def observe(deployment: Deployment, version: str) -> dict[EngineName, EngineObservation]:
    """Return engines that all serve a version."""
    return {
        engine.name: EngineObservation(
            engine=engine.name,
            incarnation=Incarnation(1),
            model=engine.model,
            weight_version=WeightVersion(version),
            adapters=frozenset(),
            num_running=3,
            order_token=0,
            is_up=True,
            is_leaving=False,
        )
        for engine in deployment.engines
    }


def round_ms(num_engines: int, declared: str, served: str) -> float:
    """Return the mean time of a round in milliseconds."""
    deployment = declare(num_engines, declared)
    observations = observe(deployment, served)
    started_s = time.perf_counter()
    for _ in range(NUM_ROUNDS):
        models = declared_models(deployment)
        desired = desired_engines(deployment)
        settled = settle_loads(PlacementRecord(), models, desired, observations, {})
        plan = plan_loads(settled.record, models, desired, observations, PlacementRules())
        loading = frozenset(load.engine for load in plan.loads)
        plan_small_changes(desired, observations, {}, loading)
    return (time.perf_counter() - started_s) / NUM_ROUNDS * 1e3


def main() -> None:
    """Print every figure."""
    for num_engines in ENGINE_COUNTS:
        at_rest = round_ms(num_engines, "v1", "v1")
        rolling = round_ms(num_engines, "v2", "v1")
        print(f"{num_engines} engines: at rest {at_rest:.2f} ms, rolling {rolling:.2f} ms a round")


if __name__ == "__main__":
    main()
