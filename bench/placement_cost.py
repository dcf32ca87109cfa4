"""Time of one planning round without I/O, by engines: `python -m bench.placement_cost`."""

import time
from typing import Any

import msgspec

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
from weirscale.messages.cache import LoadReport
from weirscale.messages.engine_states import EngineState
from weirscale.messages.placement import PlacementRecord
from weirscale.node.backends.facts import EMPTY_SNAPSHOT, EngineFacts
from weirscale.node.placement.fleet_states import HeardState
from weirscale.node.placement.observing import observe_engines

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


def observe_ms(num_engines: int) -> float:
    """Return the mean time of observing engines that another node told of, in milliseconds."""
    engines = declare(num_engines, "v1").engines
    port: Any = None
    snapshot = msgspec.structs.replace(
        EMPTY_SNAPSHOT, engines={each.name: EngineFacts(each, port) for each in engines}
    )
    heard = {each.name: HeardState(_state(each), 1.0) for each in engines}
    started_s = time.perf_counter()
    for _ in range(NUM_ROUNDS):
        observe_engines(snapshot, heard, PlacementRules(), 2.0)
    return (time.perf_counter() - started_s) / NUM_ROUNDS * 1e3


def _state(engine: Engine) -> EngineState:
    version = WeightVersion("v1")
    report = LoadReport(
        engine.name, Incarnation(1), engine.model, version, (), 3, 0, 0, 0, 9, False, 0
    )
    return EngineState.of(report, is_leaving=False, is_up=True)


def main() -> None:
    """Print every figure."""
    for num_engines in ENGINE_COUNTS:
        at_rest = round_ms(num_engines, "v1", "v1")
        rolling = round_ms(num_engines, "v2", "v1")
        observing = observe_ms(num_engines)
        print(
            f"{num_engines} engines: at rest {at_rest:.2f} ms, rolling {rolling:.2f} ms a round, "
            f"and {observing:.2f} ms to observe"
        )


if __name__ == "__main__":
    main()
