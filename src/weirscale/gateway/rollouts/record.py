"""The record of a rollout: state that must outlast the nodes, written only by the lease holder."""

import enum

import cbor2
import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.tallies import Evidence

RECORD_PREFIX = "weirscale/rollouts/"


class Stage(enum.Enum):
    """Stage of a rollout."""

    CANARY = "canary"
    """A limited share of the requests goes to the target."""
    MOVING = "moving"
    """All new requests go to the target; running requests end at its predecessors."""
    COMPLETED = "completed"
    """No node uses the predecessors any more. Final."""
    ROLLED_BACK = "returned"
    """The target must not be used any more. Final."""


TERMINAL_STAGES = frozenset({Stage.COMPLETED, Stage.ROLLED_BACK})
"""Final stages."""


class RolloutRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of a rollout.

    Attributes:
        service: The service.
        epoch: Epoch of the order.
        target: Target version of the order.
        stage: Current stage.
        elapsed_s: Seconds since the order, when this record was written.
        token: Fencing token of the lease holder that wrote this record.
        unusable: Versions that must not be used: abandoned targets, and versions that a completed
            rollout has replaced.
        evidence: Counts of the target and its predecessors when this record was written.
        reason: Why the stage was entered.
        predecessors: Versions that served when the rollout started.
    """

    service: ServiceName
    epoch: Epoch
    target: SoftwareVersion
    stage: Stage
    elapsed_s: float
    token: int
    unusable: tuple[SoftwareVersion, ...] = ()
    evidence: Evidence = Evidence()
    reason: str = ""
    predecessors: tuple[SoftwareVersion, ...] = ()

    def has_ended(self) -> bool:
        """Return whether the rollout has ended."""
        return self.stage in TERMINAL_STAGES


def record_key(service: ServiceName) -> str:
    """Return the key of a service's record."""
    return f"{RECORD_PREFIX}{service}"


def encode_record(record: RolloutRecord) -> bytes:
    """Encode a record."""
    encoded: bytes = cbor2.dumps(msgspec.to_builtins(record))
    return encoded


def decode_record(value: bytes) -> RolloutRecord | None:
    """Decode a record; return None if it is not valid."""
    try:
        return msgspec.convert(cbor2.loads(value), RolloutRecord)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
