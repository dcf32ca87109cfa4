"""Experiments of soak seeds."""

from pathlib import Path
from random import Random

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.configuration.parse import check_deployment
from weirscale.experiments.faults.schedule import random_schedule
from weirscale.experiments.run.experiment import Experiment, WorkloadChoice
from weirscale.experiments.run.load import LoadedExperiment, with_shape

SOAK_DURATION_S = 40.0
SOAK_COMMON_BYTES = 2048
"""Common start of all tenants' prompts, so that a cache shared between tenants is detected."""
MAX_FAULTS = 6
PRESET_OF = {"tsehay": "yearbook", "startgrid": "racing"}
"""The workload of each shipped deployment."""
DEPLOYMENT_NAMES = tuple(PRESET_OF)


def read_deployment(folder: Path, name: str) -> Deployment:
    """Read a shipped deployment.

    Raises:
        SystemExit: The file cannot be read or has errors; the message lists them.
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
    """Return the experiment of a seed, with random kinds of faults at random times."""
    random = Random(f"soak-{seed}")
    faults = random_schedule(SOAK_DURATION_S, random.randint(1, MAX_FAULTS), random)
    experiment = Experiment(
        format=1,
        name=f"soak-{seed}",
        deployment=deployment.name,
        workload=WorkloadChoice(PRESET_OF[deployment.name], common_bytes=SOAK_COMMON_BYTES),
        duration_s=SOAK_DURATION_S,
        faults=faults,
    )
    return with_shape(experiment, deployment)
