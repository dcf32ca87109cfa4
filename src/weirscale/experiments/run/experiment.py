"""Schema of experiment files: the workload, the deployment and the faults of a run."""

from weirscale.domain.configuration.model import Declared
from weirscale.experiments.faults.kinds import PlannedFault
from weirscale.experiments.workload.shape import Burst

FILE_FORMAT = 1


class WorkloadChoice(Declared, frozen=True):
    """A workload preset and its overrides.

    Attributes:
        preset: `yearbook` or `racing`.
        requests_per_s: Mean arrival rate; None uses the preset's.
        bursts: Periods with a higher arrival rate, added to the preset's.
        common_bytes: Length of the prefix that the prompts of all tenants share.
        leave_share: Share of callers that disconnect early; None uses the preset's.
        slow_share: Share of callers that read slowly; None uses the preset's.
    """

    preset: str
    requests_per_s: float | None = None
    bursts: tuple[Burst, ...] = ()
    common_bytes: int = 0
    leave_share: float | None = None
    slow_share: float | None = None


class EngineChanges(Declared, frozen=True):
    """Settings of the stand-in engines, in addition to or in place of the deployment's.

    Attributes:
        num_total_blocks: Cache blocks of each engine; None uses the declared number.
        event_lag_s: Delay between a cache event and its publication.
        restart_s: Time from an engine's crash until it responds again.
        load_s: Time to load weights when only one engine is loading.
    """

    num_total_blocks: int | None = None
    event_lag_s: float = 0.05
    restart_s: float = 1.0
    load_s: float = 4.0


class Experiment(Declared, frozen=True):
    """The content of an experiment file.

    Attributes:
        format: Version of the file format; must be 1.
        name: The experiment's name.
        deployment: Path of the configuration file, relative to the experiment file.
        workload: The callers' workload.
        nodes_per_zone: Number of nodes in each zone.
        duration_s: Length of the period in which callers send requests.
        seed: Seed of all random choices, such as the workload and the targets of faults.
        engines: Settings of the stand-in engines.
        faults: Faults to inject, with their times.
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
