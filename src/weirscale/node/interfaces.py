"""What the tasks of a node offer one another.

Request handling depends on these interfaces only, so each side can be built, tested and replaced
alone. Implementations post messages to the owning task's mailbox; none shares state.
"""

import enum
from typing import Protocol

import msgspec

from weirscale.domain.choice.policy import Choice
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import (
    BackendName,
    ConfigurationRevision,
    EngineName,
    Incarnation,
    NodeAddress,
    NodeId,
    RequestId,
    TenantName,
    WeightVersion,
    ZoneName,
)
from weirscale.domain.request.model import (
    GenerationRequest,
    ServiceResponse,
)
from weirscale.ports.engine import EngineFailure, EnginePort
from weirscale.ports.service import ServicePort


class ConfigurationInForce(msgspec.Struct, frozen=True):
    """The configuration that a node acts on.

    Attributes:
        revision: The key-value service's revision of it; only ever grows on a node.
        deployment: The declared state.
    """

    revision: ConfigurationRevision
    deployment: Deployment


class ConfigurationView(Protocol):
    """Read access to the configuration in force."""

    def current(self) -> ConfigurationInForce | None:
        """The configuration in force, or None before the first one arrives."""
        ...

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Wait for a revision higher than the given one (0 for any)."""
        ...


class PeerState(enum.Enum):
    """What membership holds of a node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


class Peer(msgspec.Struct, frozen=True):
    """A live node as membership sees it."""

    node: NodeId
    address: NodeAddress
    zone: ZoneName
    state: PeerState


class MembershipView(Protocol):
    """Read access to the live nodes."""

    @property
    def self_id(self) -> NodeId:
        """This node's own identity."""
        ...

    def peers(self) -> tuple[Peer, ...]:
        """All nodes believed alive, suspect or leaving, this one included, sorted by id."""
        ...

    def version(self) -> int:
        """Grows with each change of `peers`; cheap to compare."""
        ...


class ChosenEngine(msgspec.Struct, frozen=True):
    """An engine chosen for one attempt.

    Attributes:
        choice: The policy's decision with its estimates.
        port: How to call the engine.
        incarnation: The run that was chosen; the engine refuses on mismatch.
        weight_version: The version that must serve.
        address: The engine's host:port, for logs.
    """

    choice: Choice
    port: EnginePort
    incarnation: Incarnation
    weight_version: WeightVersion
    address: str


class AttemptOutcome(msgspec.Struct, frozen=True):
    """What became of one attempt; None failure means a complete answer.

    Attributes:
        request: The request.
        attempt: Its number.
        engine: The engine.
        incarnation: The run chosen.
        failure: How it failed, or None.
        num_prompt_tokens: As the engine counted.
        num_cached_tokens: Prompt tokens from cache, as the engine counted.
        ttft_s: From sending the attempt to its first chunk, None without one.
        duration_s: From sending the attempt to its end.
    """

    request: GenerationRequest
    attempt: int
    engine: EngineName
    incarnation: Incarnation
    failure: EngineFailure | None
    num_prompt_tokens: int
    num_cached_tokens: int
    ttft_s: float | None
    duration_s: float


class ChosenBackend(msgspec.Struct, frozen=True):
    """A service back end chosen for one attempt."""

    backend: BackendName
    port: ServicePort
    address: str


class Permit(msgspec.Struct, frozen=True):
    """Leave to run one request; must be released exactly once."""

    tenant: TenantName
    request_id: RequestId
    num_prompt_tokens: int


class ClaimState(enum.Enum):
    """What the ledger answers to a claim."""

    GRANTED = "granted"
    """This request is the first with its key: run it."""
    IN_PROGRESS = "in_progress"
    """Another request with the key may be running."""
    COMPLETED = "completed"
    """A request with the key has run; its answer may be attached."""
    CONFLICT = "conflict"
    """The key was used with another body."""


class Claim(msgspec.Struct, frozen=True):
    """The ledger's answer.

    Attributes:
        state: What it says.
        key: Tenant-qualified key.
        holder_request_id: The request that holds the claim.
        answer: The first request's answer when COMPLETED and small enough to be kept.
    """

    state: ClaimState
    key: str
    holder_request_id: RequestId
    answer: ServiceResponse | None = None
