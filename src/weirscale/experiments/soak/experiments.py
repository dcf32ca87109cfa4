"""The experiment of one soak seed, and those of the fault matrix."""

from pathlib import Path
from random import Random

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.configuration.parse import check_deployment
from weirscale.experiments.faults.kinds import FaultKind, PlannedFault
from weirscale.experiments.faults.schedule import random_schedule
from weirscale.experiments.run.experiment import (
    Experiment,
    LoadedExperiment,
    WorkloadChoice,
    with_shape,
)

SOAK_DURATION_S = 40.0
MAX_FAULTS = 6
MATRIX_DURATION_S = 45.0
MATRIX_FAULT_AT_S = 8.0
MATRIX_SECOND_FAULT_AT_S = 11.0
MATRIX_FAULT_LASTS_S = 12.0
PRESET_OF = {"tsehay": "yearbook", "startgrid": "racing"}
"""The workload of each shipped deployment."""
DEPLOYMENT_NAMES = tuple(PRESET_OF)


def read_deployment(folder: Path, name: str) -> Deployment:
    """Read a shipped deployment.

    Raises:
        SystemExit: It cannot be read or has errors; the message names them.
    """
    file = folder / f"{name}.yaml"
    try:
        checked = check_deployment(file.read_text())
    except OSError as error:
        raise SystemExit(f"{file}: cannot be read: {error}; run from the project's root") from error
    if checked.is_err():
        raise SystemExit("\n".join(error.one_line(str(file)) for error in checked.unwrap_err()))
    return checked.unwrap()


def soak_experiment(deployment: Deployment, seed: int) -> LoadedExperiment:
    """Return the experiment that a seed determines: faults of any kind at any moments."""
    random = Random(f"soak-{seed}")
    faults = random_schedule(SOAK_DURATION_S, random.randint(1, MAX_FAULTS), random)
    return _experiment(f"soak-{seed}", deployment, SOAK_DURATION_S, faults)


def matrix_experiment(
    deployment: Deployment, first: FaultKind, second: FaultKind | None
) -> LoadedExperiment:
    """Return the experiment of one fault, or of a pair that overlaps."""
    faults = [PlannedFault(kind=first, at_s=MATRIX_FAULT_AT_S, lasts_s=MATRIX_FAULT_LASTS_S)]
    name = first.value
    if second is not None:
        name = f"{first.value}+{second.value}"
        at_s = MATRIX_SECOND_FAULT_AT_S
        faults.append(PlannedFault(kind=second, at_s=at_s, lasts_s=MATRIX_FAULT_LASTS_S))
    return _experiment(name, deployment, MATRIX_DURATION_S, tuple(faults))


def _experiment(
    name: str, deployment: Deployment, duration_s: float, faults: tuple[PlannedFault, ...]
) -> LoadedExperiment:
    experiment = Experiment(
        format=1,
        name=name,
        deployment=deployment.name,
        workload=WorkloadChoice(preset=PRESET_OF[deployment.name]),
        duration_s=duration_s,
        faults=faults,
    )
    return with_shape(experiment, deployment)
