"""The experiment of one soak seed, and those of the fault matrix."""

from collections.abc import Sequence
from pathlib import Path
from random import Random

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.configuration.parse import check_deployment
from weirscale.experiments.faults.kinds import FaultKind, PlannedFault
from weirscale.experiments.faults.schedule import overlapping, random_schedule
from weirscale.experiments.run.experiment import Experiment, WorkloadChoice
from weirscale.experiments.run.load import LoadedExperiment, with_shape

SOAK_DURATION_S = 40.0
SOAK_COMMON_BYTES = 2048
"""Tenants' prompts begin alike, so that a cache shared between tenants would show."""
MAX_FAULTS = 6
MATRIX_DURATION_S = 45.0
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
    return _experiment(f"soak-{seed}", deployment, SOAK_DURATION_S, faults, SOAK_COMMON_BYTES)


def matrix_experiment(deployment: Deployment, kinds: Sequence[FaultKind]) -> LoadedExperiment:
    """Return the experiment of one fault, or of several that overlap."""
    name = "+".join(kind.value for kind in kinds)
    return _experiment(name, deployment, MATRIX_DURATION_S, overlapping(kinds))


def _experiment(
    name: str,
    deployment: Deployment,
    duration_s: float,
    faults: tuple[PlannedFault, ...],
    common_bytes: int = 0,
) -> LoadedExperiment:
    experiment = Experiment(
        format=1,
        name=name,
        deployment=deployment.name,
        workload=WorkloadChoice(PRESET_OF[deployment.name], common_bytes=common_bytes),
        duration_s=duration_s,
        faults=faults,
    )
    return with_shape(experiment, deployment)
