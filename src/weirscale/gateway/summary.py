"""What is told of a request when it ends."""

import enum

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.choice import Choice
from weirscale.gateway.model import Route
from weirscale.gateway.ports import CallerRequest


class Stage(enum.Enum):
    """How a request ended, for logs and metrics."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    LEFT = "left"


class ExchangeSummary(msgspec.Struct, frozen=True):
    """What is logged of a request when it ends."""

    request: CallerRequest
    route: Route | None
    service: ServiceName | None
    stage: Stage
    status: int
    choice: Choice | None
    num_attempts: int
    causes: tuple[str, ...]
    first_byte_s: float | None
    longest_pause_s: float
    duration_s: float
