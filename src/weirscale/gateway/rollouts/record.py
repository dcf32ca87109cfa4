"""The record of a rollout: what must outlast the nodes, written by the holder of the duty alone."""

import enum

import cbor2
import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.tallies import Evidence

RECORD_PREFIX = "weirscale/rollouts/"


class Stage(enum.Enum):
    """How far a rollout is."""

    CANARY = "canary"
    """A bounded part of the requests goes to the target."""
    MOVING = "moving"
    """All new requests go to the target; what runs at its predecessors ends there."""
    COMPLETED = "completed"
    """Nobody uses the predecessors any more. An end."""
    ROLLED_BACK = "returned"
    """Nobody uses the target any more. An end."""


ENDS = frozenset({Stage.COMPLETED, Stage.ROLLED_BACK})
"""Stages that are never left."""


class RolloutRecord(msgspec.Struct, frozen=True, array_like=True):
    """A rollout as it stands.

    Attributes:
        service: The service.
        epoch: The order that it is about.
        target: The order's target.
        stage: How far it is.
        elapsed_s: Time since the order was seen, when this was written.
        token: Fencing token of the holder that wrote it.
        unusable: Versions that must not be used: targets that were given up, and what a completed
            rollout has replaced.
        evidence: What was known of target and predecessors when this was written.
        reason: Why the stage was entered.
        predecessors: Versions that served when the rollout began.
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
        """Whether the rollout is over."""
        return self.stage in ENDS


def record_key(service: ServiceName) -> str:
    """Return the key of a service's record."""
    return f"{RECORD_PREFIX}{service}"


def encode_record(record: RolloutRecord) -> bytes:
    """Encode a record."""
    encoded: bytes = cbor2.dumps(msgspec.to_builtins(record))
    return encoded


def decode_record(value: bytes) -> RolloutRecord | None:
    """Decode a record; None for anything else than a valid one."""
    try:
        return msgspec.convert(cbor2.loads(value), RolloutRecord)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
