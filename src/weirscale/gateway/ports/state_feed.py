"""Changes of the platform's state, and the interface of the feed that reads them from the store.

The changes are also sent between nodes (`peers.messages.StateReply`), encoded as maps. Their field
names and tags are part of the protocol, as are the fields and enumeration values of everything that
they contain (`BackEnd`, `GatewayConfiguration`, `RolloutStatus` and their contents). Nodes of two
releases exchange them during a rolling restart. To rename a class, keep its old name as its `tag`;
to rename a field, keep its old name in the class's `rename`. A new field needs a default.
"""

from typing import Protocol

import msgspec
from result import Result

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import GatewayConfiguration
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import RolloutStatus
from weirscale.ports.key_value import KeyValueFailure, SwapAnswer


class ConfigurationChanged(msgspec.Struct, frozen=True, tag="ConfigurationNamed"):
    """The latest version of the operators' configuration."""

    configuration: GatewayConfiguration


class BackEndRegistered(msgspec.Struct, frozen=True, tag="BackEndRegistered"):
    """A back end registered or changed its registration."""

    back_end: BackEnd


class BackEndGone(msgspec.Struct, frozen=True, tag="BackEndGone"):
    """A registration ended."""

    instance: InstanceId


class TargetVersionChanged(msgspec.Struct, frozen=True, tag="WeightsNamed"):
    """Operators set the target version of a model's weights on all engines."""

    model: str
    version: int


class RolloutOrdered(msgspec.Struct, frozen=True, tag="RolloutOrdered"):
    """Operators ordered to move a service's traffic to the engines of one service version."""

    service: ServiceName
    target: SoftwareVersion
    deadline_s: float


class RolloutWithdrawn(msgspec.Struct, frozen=True, tag="RolloutWithdrawn"):
    """Operators withdrew a rollout order."""

    key: str


class RolloutStatusSeen(msgspec.Struct, frozen=True, tag="RolloutStatusSeen"):
    """The status of a rollout as shown to operators."""

    status: RolloutStatus


class RecordChanged(msgspec.Struct, frozen=True, tag="RecordChanged"):
    """One of the gateway's own records changed; `value` is None if it was removed."""

    key: str
    value: bytes | None


class Unreadable(msgspec.Struct, frozen=True, tag="Unreadable", omit_defaults=True):
    """An entry that could not be parsed, because it is damaged or was written by another program.

    Attributes:
        key: Key of the entry.
        problem: Description of the error.
        instance: The back end that registers under the key, which is then no longer used; None for
            any other entry, whose last valid value stays in force.
    """

    key: str
    problem: str
    instance: InstanceId | None = None


StateChange = (
    ConfigurationChanged
    | BackEndRegistered
    | BackEndGone
    | TargetVersionChanged
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutStatusSeen
    | RecordChanged
    | Unreadable
)


class VersionedChange(msgspec.Struct, frozen=True):
    """A change with its key and the store revision at which it was made."""

    key: str
    revision: int
    change: StateChange


class StateBatch(msgspec.Struct, frozen=True):
    """Changes up to a store revision."""

    revision: int
    changes: tuple[VersionedChange, ...]


class StateFeed(Protocol):
    """Reads and follows the part of the platform's state that concerns the gateway."""

    async def read_all(self) -> Result[StateBatch, KeyValueFailure]:
        """Read the complete state, linearizably."""
        ...

    async def follow(
        self, after_revision: int, wait_s: float
    ) -> Result[StateBatch, KeyValueFailure]:
        """Wait up to `wait_s` for changes after a revision; on COMPACTED, call `read_all` again."""
        ...

    async def current_revision(self) -> Result[int, KeyValueFailure]:
        """Return the store's current revision, linearizably."""
        ...

    async def write_rollout_status(
        self, status: RolloutStatus, expected_revision: int
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write a rollout's status, if the stored one was last written at the expected revision.

        Args:
            status: The status.
            expected_revision: Revision of the last write; 0 if there is no status yet.
        """
        ...
