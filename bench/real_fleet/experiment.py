"""Files of runs against real processes: the deployment, the load and the failures' timeline."""

import enum
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.model import Declared, Deployment
from weirscale.domain.configuration.parse import check_deployment, parse_declared

FILE_FORMAT = 1


class RealFaultKind(enum.Enum):
    """What can go wrong in a run."""

    NODE_KILL = "node_kill"
    """A node is killed and started again at the same address."""
    NODE_PAUSE = "node_pause"
    """A node is stopped and goes on later; it may have held leases."""
    PLANNED_STOP = "planned_stop"
    """A node drains under load, ends and is started again."""
    HERD_ZONE = "herd_zone"
    """All nodes of one zone are killed and started again at once."""
    HERD_STORE_DOWN = "herd_store_down"
    """With the store down, all nodes but those of one zone are killed and started again."""
    HERD_ALL_STORE_DOWN = "herd_all_store_down"
    """With the store down, every node is killed and started again at once."""
    ENGINE_CRASH = "engine_crash"
    """An engine loses everything and comes back empty."""
    LEAVING_BACKEND = "leaving_backend"
    """An engine and a service back end are listed as leaving, then taken away."""
    EVENT_LOSS = "event_loss"
    """Engines' cache events come late and with gaps."""
    CROSSED_ANSWERS = "crossed_answers"
    """Engines and service back ends send late, crossed, repeated and broken answers."""
    STORE_DOWN = "store_down"
    """The key-value service refuses every call."""
    STORE_SLOW = "store_slow"
    """The key-value service takes seconds for each call."""
    STORE_LOST_ANSWERS = "store_lost_answers"
    """The key-value service loses answers, also to an operator, after the change took effect."""
    STORE_RATE_LIMIT = "store_rate_limit"
    """The key-value service limits calls to a few a second."""
    RACING_OPERATORS = "racing_operators"
    """Two operators apply conflicting files at the same moment."""
    WEIGHT_ROLLOUT = "weight_rollout"
    """A file with a new weight version is applied under load."""


class RealFault(Declared, frozen=True):
    """One failure on the timeline.

    Attributes:
        kind: What goes wrong.
        at_s: When it begins, from the first request.
        lasts_s: How long it lasts, where it lasts.
        target: Name of a node, zone or engine; empty: drawn from the seed.
    """

    kind: RealFaultKind
    at_s: float
    lasts_s: float = 5.0
    target: str = ""


class RealExperiment(Declared, frozen=True):
    """One run against real processes.

    Attributes:
        format: Version of this file format; 1.
        name: The run's name.
        deployment: Path of the deployment file, relative to this file.
        workload: `yearbook` or `racing`.
        requests_per_s: Mean arrival rate.
        nodes_per_zone: Nodes in each zone.
        duration_s: Time in which callers send.
        faults: The timeline.
    """

    format: int
    name: str
    deployment: str
    workload: str
    requests_per_s: float = 20.0
    nodes_per_zone: int = 2
    duration_s: float = 20.0
    faults: tuple[RealFault, ...] = ()


PRESETS_DIRECTORY = Path(__file__).parent / "presets"

CALM_S = 15.0
"""Length of a run without failures."""
FIRST_FAULT_S = 4.0
AFTER_FAULT_S = 9.0
"""Callers go on for so long after the last failure ends: the fleet must have recovered by then."""


def single_fault(experiment: RealExperiment, name: str) -> RealExperiment | None:
    """Return an experiment with one failure in place of its timeline.

    Args:
        experiment: The experiment.
        name: A kind, or `kind:seconds` for how long it lasts, or `none`.

    Returns:
        The changed experiment, or None if there is no such kind.
    """
    if name == "none":
        return msgspec.structs.replace(
            experiment, name=f"{experiment.name}-none", duration_s=CALM_S, faults=()
        )
    kind, _, lasts = name.partition(":")
    if kind not in {known.value for known in RealFaultKind}:
        return None
    fault = RealFault(RealFaultKind(kind), at_s=FIRST_FAULT_S)
    if lasts:
        fault = msgspec.structs.replace(fault, lasts_s=float(lasts))
    return msgspec.structs.replace(
        experiment,
        name=f"{experiment.name}-{name.replace(':', '-')}",
        duration_s=fault.at_s + fault.lasts_s + AFTER_FAULT_S,
        faults=(fault,),
    )


def load(file_or_preset: str) -> Result[tuple[RealExperiment, Deployment], str]:
    """Read an experiment and the deployment that it names.

    Returns:
        Both, or the errors, one a line.
    """
    preset = PRESETS_DIRECTORY / f"{file_or_preset}.yaml"
    file = preset if preset.exists() else Path(file_or_preset)
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"{file}: cannot be read: {error}; name a file or a preset")
    parsed = parse_declared(text, RealExperiment)
    if isinstance(parsed, Err):
        return Err("\n".join(error.one_line(str(file)) for error in parsed.err_value))
    experiment = parsed.ok_value.content
    if experiment.format != FILE_FORMAT:
        return Err(f"{file}: format {experiment.format} is not known; write {FILE_FORMAT}")
    deployment_file = file.parent / experiment.deployment
    try:
        deployment = check_deployment(deployment_file.read_text())
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"{deployment_file}: cannot be read: {error}; correct `deployment:`")
    if isinstance(deployment, Err):
        lines = (error.one_line(str(deployment_file)) for error in deployment.err_value)
        return Err("\n".join(lines))
    return Ok((experiment, deployment.ok_value))
