"""Interface to one back end of a named service. Adapter: `service_http`."""

import enum
from typing import Protocol

import msgspec
from result import Result

from weirscale.domain.request.model import ServiceRequest, ServiceResponse


class ServiceFailureKind(enum.Enum):
    """How a call to a service back end failed."""

    UNREACHABLE = "unreachable"
    """No connection was made, so nothing ran."""
    BROKEN = "broken"
    """The connection broke after the request was sent; the request may have run."""
    TIMED_OUT = "timed_out"
    """No answer within the timeout; the request may have run."""
    CORRUPT = "corrupt"
    """The answer does not belong to the request or is too large."""


class ServiceFailure(msgspec.Struct, frozen=True):
    """A failed call to a service back end."""

    kind: ServiceFailureKind
    detail: str

    @property
    def provably_not_run(self) -> bool:
        """Whether the failure proves that the request did not run."""
        return self.kind is ServiceFailureKind.UNREACHABLE


class ServicePort(Protocol):
    """Operations of one service back end."""

    async def call(
        self, request: ServiceRequest, time_left_s: float
    ) -> Result[ServiceResponse, ServiceFailure]:
        """Send the request once; an answer with any HTTP status is Ok."""
        ...
