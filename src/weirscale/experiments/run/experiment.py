"""Experiment files: what is run, on which deployment, under which faults."""

import enum
from collections.abc import Mapping
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.errors import ConfigurationError
from weirscale.domain.configuration.model import Declared, Deployment
from weirscale.domain.configuration.parse import (
    ConfigurationErrors,
    check_deployment,
    parse_declared,
)
from weirscale.domain.identifiers import ZoneName
from weirscale.experiments.faults.kinds import FaultKind, PlannedFault
from weirscale.experiments.workload.shape import PRESETS, Burst, WorkloadShape

FILE_FORMAT = 1
POLICIES = ("default",)
"""Policies that nodes can be assembled with; the baselines run in `experiments.choice`."""
HOT_SHIFT_FACTOR = 2.0
"""The rate's multiple while a sudden shift of the hot set lasts."""


class Mode(enum.Enum):
    """How an experiment is run."""

    VIRTUAL = "virtual"
    """A whole fleet in one process, in virtual time."""
    REAL = "real"
    """Against processes that run already, in real time."""


REAL_FAULTS = frozenset(
    {
        FaultKind.ENGINE_CRASH,
        FaultKind.EVENT_LOSS,
        FaultKind.CROSSED_ANSWERS,
        FaultKind.HOT_SHIFT,
    }
)
"""Faults that can be brought about from outside: over admin ports, or by the callers."""


class RealNode(Declared, frozen=True):
    """A running node.

    Attributes:
        zone: Its zone.
        address: host:port that callers reach.
    """

    zone: ZoneName
    address: str


class RealStandIn(Declared, frozen=True):
    """A running stand-in.

    Attributes:
        admin_address: host:port of its admin port.
        is_engine: Whether it is an engine; else a service back end.
    """

    admin_address: str
    is_engine: bool


class RealTargets(Declared, frozen=True):
    """What an experiment in real mode runs against."""

    nodes: tuple[RealNode, ...] = ()
    stand_ins: tuple[RealStandIn, ...] = ()


class WorkloadChoice(Declared, frozen=True):
    """A preset of the workload and what is changed in it.

    Attributes:
        preset: `yearbook` or `racing`.
        requests_per_s: Mean arrival rate, or None for the preset's.
        bursts: Times of higher rate.
        leave_share: Share of callers that leave, or None for the preset's.
        slow_share: Share of slow readers, or None for the preset's.
    """

    preset: str
    requests_per_s: float | None = None
    bursts: tuple[Burst, ...] = ()
    leave_share: float | None = None
    slow_share: float | None = None


class EngineChanges(Declared, frozen=True):
    """What the stand-in engines do differently from the deployment's declaration.

    Attributes:
        num_total_blocks: Blocks of cache of each engine, or None for the declared number.
        event_lag_s: Time from a cache event to its publication.
        restart_s: Time from an engine's crash until it answers again.
        load_s: Time that loading weights takes when one engine loads alone.
    """

    num_total_blocks: int | None = None
    event_lag_s: float = 0.05
    restart_s: float = 1.0
    load_s: float = 4.0


class Experiment(Declared, frozen=True):
    """One experiment file.

    Attributes:
        format: Version of this file format; 1.
        name: The experiment's name.
        deployment: Path of the configuration file, relative to the experiment file.
        workload: What callers do.
        policy: Name of the policy that chooses engines; `default` for the product's.
        nodes_per_zone: Nodes in each zone.
        duration_s: Time in which callers send.
        seed: Determines workload, faults' targets and all chance.
        mode: How it is run.
        real: What it runs against in real mode.
        engines: What the stand-in engines do differently; in virtual mode.
        faults: Faults on the timeline.
    """

    format: int
    name: str
    deployment: str
    workload: WorkloadChoice
    policy: str = "default"
    nodes_per_zone: int = 1
    duration_s: float = 60.0
    seed: int = 1
    mode: Mode = Mode.VIRTUAL
    real: RealTargets = RealTargets()
    engines: EngineChanges = EngineChanges()
    faults: tuple[PlannedFault, ...] = ()


class LoadedExperiment(msgspec.Struct, frozen=True):
    """An experiment with its deployment read and its workload's shape worked out."""

    experiment: Experiment
    deployment: Deployment
    shape: WorkloadShape


def load_experiment(file: Path) -> Result[LoadedExperiment, tuple[str, ...]]:
    """Read and check an experiment file and the deployment that it names.

    Returns:
        The experiment, or every error as one line that names file, line, field and remedy.
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
    """Work out the shape of an experiment's workload; shifts of the hot set belong to it."""
    return LoadedExperiment(experiment, deployment, workload_shape(experiment))


def check_experiment(text: str) -> Result[Experiment, ConfigurationErrors]:
    """Parse an experiment file and check the rules over several fields."""
    parsed = parse_declared(text, Experiment)
    if isinstance(parsed, Err):
        return parsed
    errors = tuple(_rule_errors(parsed.ok_value.content, parsed.ok_value.lines))
    return Err(errors) if errors else Ok(parsed.ok_value.content)


def _rule_errors(experiment: Experiment, lines: Mapping[str, int]) -> list[ConfigurationError]:
    errors: list[ConfigurationError] = []

    def fail(path: str, message: str, remedy: str) -> None:
        errors.append(ConfigurationError(lines.get(path, 0), path, message, remedy))

    if experiment.format != FILE_FORMAT:
        fail("format", f"format {experiment.format} is not known", f"write `format: {FILE_FORMAT}`")
    if experiment.policy not in POLICIES:
        message = f"unknown policy `{experiment.policy}`"
        fail("policy", message, f"use one of: {', '.join(POLICIES)}")
    if experiment.workload.preset not in PRESETS:
        message = f"unknown preset `{experiment.workload.preset}`"
        fail("workload.preset", message, f"use one of: {', '.join(PRESETS)}")
    rate = experiment.workload.requests_per_s
    positives = {
        "duration_s": experiment.duration_s,
        "nodes_per_zone": experiment.nodes_per_zone,
        "workload.requests_per_s": 1.0 if rate is None else rate,
    }
    for path, value in positives.items():
        if not 0 < value < float("inf"):
            fail(path, f"{value} is out of range", "write a finite number, more than 0")
    # A duration that is itself wrong says nothing about the faults' times.
    end_s = experiment.duration_s if experiment.duration_s > 0 else float("inf")
    is_real = experiment.mode is Mode.REAL
    if is_real and not (experiment.real.nodes and experiment.real.stand_ins):
        remedy = "list `nodes:` and `stand_ins:` under `real:`"
        fail("mode", "real mode needs running nodes and stand-ins", remedy)
    for index, fault in enumerate(experiment.faults):
        if is_real and fault.kind not in REAL_FAULTS:
            names = ", ".join(sorted(kind.value for kind in REAL_FAULTS))
            message = f"{fault.kind.value} cannot be brought about in real mode"
            fail(f"faults[{index}].kind", message, f"use one of: {names}")
        if not 0 <= fault.at_s < end_s:
            message = f"{fault.at_s} s is outside of the run"
            remedy = f"write 0 or more and less than {experiment.duration_s}"
            fail(f"faults[{index}].at_s", message, remedy)
        if not 0 < fault.lasts_s < float("inf"):
            message = f"{fault.lasts_s} is out of range"
            fail(f"faults[{index}].lasts_s", message, "write a finite number, more than 0")
    return errors


def workload_shape(experiment: Experiment) -> WorkloadShape:
    """Return the preset with the experiment's changes and its sudden shifts of the hot set."""
    choice = experiment.workload
    preset = PRESETS[choice.preset]
    shifts = [fault for fault in experiment.faults if fault.kind is FaultKind.HOT_SHIFT]
    shift_bursts = tuple(
        Burst(at_s=shift.at_s, lasts_s=shift.lasts_s, factor=HOT_SHIFT_FACTOR) for shift in shifts
    )
    return msgspec.structs.replace(
        preset,
        requests_per_s=_or_preset(choice.requests_per_s, preset.requests_per_s),
        leave_share=_or_preset(choice.leave_share, preset.leave_share),
        slow_share=_or_preset(choice.slow_share, preset.slow_share),
        bursts=preset.bursts + choice.bursts + shift_bursts,
        hot_shifts_at_s=tuple(shift.at_s for shift in shifts),
    )


def _or_preset(value: float | None, preset: float) -> float:
    return preset if value is None else value
