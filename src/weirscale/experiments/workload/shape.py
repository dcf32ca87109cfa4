"""Shapes of workloads: rates, skews, nested prompts and caller behaviour, and both presets."""

from weirscale.domain.configuration.model import Declared
from weirscale.domain.identifiers import ModelName, ServiceName


class Level(Declared, frozen=True):
    """One level of nested shared prefixes.

    Attributes:
        name: Kind of the sections of the level, for instance `class`.
        num_children: Number of sections of this level below each section of the level above.
        num_bytes: Size of one section in bytes.
    """

    name: str
    num_children: int
    num_bytes: int


class Burst(Declared, frozen=True):
    """A period of higher arrival rate.

    Attributes:
        at_s: Start of the period, from the start of the run.
        lasts_s: Duration of the period.
        factor: Factor on the rate during the period.
    """

    at_s: float
    lasts_s: float
    factor: float


class ServiceMix(Declared, frozen=True):
    """Requests to the deployment's service.

    Attributes:
        service: Name of the service.
        change_path: Path of requests that must not run twice (an order, a seat).
        read_path: Path of reads (order status, roster).
        change_share: Share of all requests that are changes.
        read_share: Share of all requests that are reads.
        impatient_share: Share of changes that are sent again through another node.
        patience_s: Maximum time after which an impatient caller sends again.
    """

    service: ServiceName
    change_path: str
    read_path: str
    change_share: float = 0.15
    read_share: float = 0.15
    impatient_share: float = 0.2
    patience_s: float = 1.5


class WorkloadShape(Declared, frozen=True):
    """Properties that, together with a seed, determine a plan.

    Attributes:
        name: `yearbook`, `racing` or another name.
        model: Requested model.
        levels: Nested prefixes, outermost first.
        service: Mix of requests to the service.
        common_bytes: Bytes at the start of every prompt that are equal for all tenants; a cache
            wrongly shared by tenants would reuse their blocks.
        requests_per_s: Mean arrival rate, without daily variation and bursts.
        day_length_s: Period of the daily variation.
        day_swing: Relative amplitude of the daily variation, 0 to below 1.
        bursts: Periods of higher rate.
        tenant_skew: Zipf exponent of the popularity of tenants.
        prefix_skew: Zipf exponent of the popularity of sections of one level.
        hot_shift_every_s: Interval at which the set of popular sections changes; None: never.
        hot_shifts_at_s: Additional times at which the set of popular sections changes.
        large_share: Share of tenants whose outermost section is `large_factor` times larger.
        large_factor: See `large_share`.
        question_bytes: Size of the caller's own text in bytes.
        min_tokens: Smallest `max_tokens` of a request.
        max_tokens: Largest `max_tokens` of a request.
        deadline_s: Deadline of generation requests.
        service_deadline_s: Deadline of service requests.
        leave_share: Share of generation callers that disconnect early.
        slow_share: Share of generation callers that read slowly.
        slow_read_delay_s: Delay of a slow reader after each chunk.
    """

    name: str
    model: ModelName
    levels: tuple[Level, ...]
    service: ServiceMix
    common_bytes: int = 0
    requests_per_s: float = 8.0
    day_length_s: float = 600.0
    day_swing: float = 0.4
    bursts: tuple[Burst, ...] = ()
    tenant_skew: float = 1.1
    prefix_skew: float = 1.1
    hot_shift_every_s: float | None = 60.0
    hot_shifts_at_s: tuple[float, ...] = ()
    large_share: float = 0.15
    large_factor: int = 3
    question_bytes: int = 240
    min_tokens: int = 8
    max_tokens: int = 48
    deadline_s: float = 30.0
    service_deadline_s: float = 10.0
    leave_share: float = 0.03
    slow_share: float = 0.03
    slow_read_delay_s: float = 0.05


YEARBOOK = WorkloadShape(
    name="yearbook",
    model=ModelName("qalam"),
    levels=(
        Level(name="yearbook", num_children=2, num_bytes=12_000),
        Level(name="class", num_children=6, num_bytes=5_000),
        Level(name="page", num_children=8, num_bytes=2_760),
    ),
    service=ServiceMix(
        service=ServiceName("matemia"), change_path="/orders", read_path="/orders/status"
    ),
)
"""School yearbooks: long drafts that are reused all day, short captions and print orders."""

RACING = WorkloadShape(
    name="racing",
    model=ModelName("paddock-lm"),
    levels=(
        Level(name="rulebook", num_children=1, num_bytes=11_000),
        Level(name="season", num_children=4, num_bytes=6_000),
        Level(name="race", num_children=10, num_bytes=2_760),
    ),
    service=ServiceMix(
        service=ServiceName("grid-api"),
        change_path="/lobby",
        read_path="/roster",
        change_share=0.3,
        read_share=0.2,
        impatient_share=0.3,
        patience_s=0.8,
    ),
    requests_per_s=12.0,
    day_swing=0.6,
    min_tokens=16,
    max_tokens=96,
    hot_shift_every_s=45.0,
    deadline_s=20.0,
    service_deadline_s=5.0,
)
"""Racing leagues: rulings on long rulebooks, and lobby seats that must not be taken twice."""

PRESETS = {shape.name: shape for shape in (YEARBOOK, RACING)}
"""Shapes that experiment files start from, by name."""
