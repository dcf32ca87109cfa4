"""Load and check experiment files, and derive their workloads."""

from collections.abc import Iterator, Mapping
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.errors import ConfigurationError
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.configuration.parse import (
    ConfigurationErrors,
    check_deployment,
    parse_declared,
)
from weirscale.experiments.faults.kinds import FaultKind
from weirscale.experiments.run.experiment import FILE_FORMAT, Experiment
from weirscale.experiments.workload.shape import PRESETS, Burst, WorkloadShape

HOT_SHIFT_FACTOR = 2.0
"""Factor of the arrival rate during a sudden shift of the hot set."""


class LoadedExperiment(msgspec.Struct, frozen=True):
    """An experiment with its deployment and the shape of its workload."""

    experiment: Experiment
    deployment: Deployment
    shape: WorkloadShape


def load_experiment(file: Path) -> Result[LoadedExperiment, tuple[str, ...]]:
    """Load and check an experiment file and its deployment file.

    Returns:
        The experiment, or all errors, each a line with file, line, field and remedy.
    """
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err((f"{file}: cannot be read: {error}; name a readable YAML file",))
    checked = check_experiment(text)
    if isinstance(checked, Err):
        return Err(tuple(error.one_line(str(file)) for error in checked.err_value))
    experiment = checked.ok_value
    return _with_deployment(experiment, file.parent / experiment.deployment)


def _with_deployment(
    experiment: Experiment, deployment_file: Path
) -> Result[LoadedExperiment, tuple[str, ...]]:
    try:
        text = deployment_file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err((f"{deployment_file}: cannot be read: {error}; correct `deployment:`",))
    deployment = check_deployment(text)
    if isinstance(deployment, Err):
        return Err(tuple(error.one_line(str(deployment_file)) for error in deployment.err_value))
    return Ok(with_shape(experiment, deployment.ok_value))


def with_shape(experiment: Experiment, deployment: Deployment) -> LoadedExperiment:
    """Return the experiment with the shape of its workload, including shifts of the hot set."""
    return LoadedExperiment(experiment, deployment, workload_shape(experiment))


def check_experiment(text: str) -> Result[Experiment, ConfigurationErrors]:
    """Parse the text of an experiment file and check its values."""
    parsed = parse_declared(text, Experiment)
    if isinstance(parsed, Err):
        return parsed
    errors = tuple(_rule_errors(parsed.ok_value.content, parsed.ok_value.lines))
    return Err(errors) if errors else Ok(parsed.ok_value.content)


Problem = tuple[str, str, str]
"""Path of a field, error message and remedy."""


def _rule_errors(experiment: Experiment, lines: Mapping[str, int]) -> list[ConfigurationError]:
    problems = [
        *_identity_problems(experiment),
        *_number_problems(experiment),
        *_fault_problems(experiment),
    ]
    return [
        ConfigurationError(lines.get(path, 0), path, message, remedy)
        for path, message, remedy in problems
    ]


def _identity_problems(experiment: Experiment) -> Iterator[Problem]:
    if experiment.format != FILE_FORMAT:
        message = f"format {experiment.format} is not known"
        yield "format", message, f"write `format: {FILE_FORMAT}`"
    if experiment.workload.preset not in PRESETS:
        message = f"unknown preset `{experiment.workload.preset}`"
        yield "workload.preset", message, f"use one of: {', '.join(PRESETS)}"


def _number_problems(experiment: Experiment) -> Iterator[Problem]:
    rate = experiment.workload.requests_per_s
    positives = {
        "duration_s": experiment.duration_s,
        "nodes_per_zone": experiment.nodes_per_zone,
        "workload.requests_per_s": 1.0 if rate is None else rate,
    }
    for path, value in positives.items():
        if not 0 < value < float("inf"):
            yield path, f"{value} is out of range", "write a finite number, more than 0"


def _fault_problems(experiment: Experiment) -> Iterator[Problem]:
    # An invalid duration is reported by itself, so it is no bound for the times of faults.
    end_s = experiment.duration_s if experiment.duration_s > 0 else float("inf")
    for index, fault in enumerate(experiment.faults):
        if not 0 <= fault.at_s < end_s:
            message = f"{fault.at_s} s is outside of the run"
            remedy = f"write 0 or more and less than {experiment.duration_s}"
            yield f"faults[{index}].at_s", message, remedy
        if not 0 < fault.lasts_s < float("inf"):
            message = f"{fault.lasts_s} is out of range"
            yield f"faults[{index}].lasts_s", message, "write a finite number, more than 0"


def workload_shape(experiment: Experiment) -> WorkloadShape:
    """Return the preset with the experiment's overrides and a burst for each hot-set shift."""
    choice = experiment.workload
    preset = PRESETS[choice.preset]
    shifts = [fault for fault in experiment.faults if fault.kind is FaultKind.HOT_SHIFT]
    shift_bursts = tuple(
        Burst(at_s=shift.at_s, lasts_s=shift.lasts_s, factor=HOT_SHIFT_FACTOR) for shift in shifts
    )
    return msgspec.structs.replace(
        preset,
        common_bytes=choice.common_bytes,
        requests_per_s=_or_preset(choice.requests_per_s, preset.requests_per_s),
        leave_share=_or_preset(choice.leave_share, preset.leave_share),
        slow_share=_or_preset(choice.slow_share, preset.slow_share),
        bursts=preset.bursts + choice.bursts + shift_bursts,
        hot_shifts_at_s=tuple(shift.at_s for shift in shifts),
    )


def _or_preset(value: float | None, preset: float) -> float:
    return preset if value is None else value
