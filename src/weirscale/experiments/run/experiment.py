"""Experiment files: what is run, on which deployment, under which faults."""

from weirscale.domain.configuration.model import Declared
from weirscale.experiments.faults.kinds import PlannedFault
from weirscale.experiments.workload.shape import Burst

FILE_FORMAT = 1


class WorkloadChoice(Declared, frozen=True):
    """A preset of the workload and what is changed in it.

    Attributes:
        preset: `yearbook` or `racing`.
        requests_per_s: Mean arrival rate, or None for the preset's.
        bursts: Times of higher rate.
        common_bytes: Bytes at the head of all tenants' prompts that are the same.
        leave_share: Share of callers that leave, or None for the preset's.
        slow_share: Share of slow readers, or None for the preset's.
    """

    preset: str
    requests_per_s: float | None = None
    bursts: tuple[Burst, ...] = ()
    common_bytes: int = 0
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
        nodes_per_zone: Nodes in each zone.
        duration_s: Time in which callers send.
        seed: Determines workload, faults' targets and all chance.
        engines: What the stand-in engines do differently.
        faults: Faults on the timeline.
    """

    format: int
    name: str
    deployment: str
    workload: WorkloadChoice
    nodes_per_zone: int = 1
    duration_s: float = 60.0
    seed: int = 1
    engines: EngineChanges = EngineChanges()
    faults: tuple[PlannedFault, ...] = ()
