"""Views of the configuration and the membership, and values that the tasks of a node exchange."""

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
    """The configuration that a node currently uses.

    Attributes:
        revision: Its revision in the key-value service; never decreases on a node.
        deployment: The declared state.
    """

    revision: ConfigurationRevision
    deployment: Deployment


class ConfigurationView(Protocol):
    """Read access to the configuration in force."""

    def current(self) -> ConfigurationInForce | None:
        """Return the configuration in force, or None before the first one arrives."""
        ...

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Wait for a configuration with a revision above `revision` (0 for any) and return it."""
        ...


class PeerState(enum.Enum):
    """State of a live node in the membership."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


class Peer(msgspec.Struct, frozen=True):
    """A live node according to the membership."""

    node: NodeId
    address: NodeAddress
    zone: ZoneName
    state: PeerState


class MembershipView(Protocol):
    """Read access to the live nodes."""

    @property
    def self_id(self) -> NodeId:
        """Return this node's own identity."""
        ...

    def peers(self) -> tuple[Peer, ...]:
        """Return all nodes in state alive, suspect or leaving, this node included, sorted by id."""
        ...

    def version(self) -> int:
        """Return a number that grows with each change of `peers`, for a cheap comparison."""
        ...


class ChosenEngine(msgspec.Struct, frozen=True):
    """An engine chosen for one attempt.

    Attributes:
        choice: The policy's decision with its estimates.
        port: Client for the engine.
        incarnation: The chosen run of the engine; another run refuses the call.
        weight_version: The weight version that must serve the attempt.
        address: The engine's host:port, for logs.
    """

    choice: Choice
    port: EnginePort
    incarnation: Incarnation
    weight_version: WeightVersion
    address: str


class AttemptOutcome(msgspec.Struct, frozen=True):
    """Outcome of one attempt.

    Attributes:
        request: The request.
        attempt: Number of the attempt within the request, from 0.
        engine: The engine.
        incarnation: The chosen run of the engine.
        failure: How the attempt failed. None for a complete answer, and for an attempt that was
            abandoned, such as the loser of a hedge.
        num_prompt_tokens: Prompt tokens, as counted by the engine.
        num_cached_tokens: Prompt tokens served from the cache, as counted by the engine.
        ttft_s: Time from the start of the attempt to its first chunk, None without a chunk.
        duration_s: Time from the start of the attempt to its end.
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
    """Permission to run one request; must be released exactly once."""

    tenant: TenantName
    request_id: RequestId
    num_prompt_tokens: int


class ClaimState(enum.Enum):
    """The ledger's decision on a claim."""

    GRANTED = "granted"
    """This request is the first with its key and may run."""
    IN_PROGRESS = "in_progress"
    """Another request with the key may be running or may have run."""
    COMPLETED = "completed"
    """A request with the key has run; its stored answer may be attached."""
    CONFLICT = "conflict"
    """The key was used for a request with other content."""


class Claim(msgspec.Struct, frozen=True):
    """The ledger's answer to a claim.

    Attributes:
        state: The decision.
        key: Idempotency key, qualified by the tenant.
        holder_request_id: The request that holds the claim.
        answer: The first request's answer, if the state is COMPLETED and the answer was small
            enough to be stored.
    """

    state: ClaimState
    key: str
    holder_request_id: RequestId
    answer: ServiceResponse | None = None
