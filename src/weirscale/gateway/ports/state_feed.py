"""Changes of the platform's state, and the interface of the feed that reads them from the store.

The changes also travel between nodes (`peers.messages.StateReply`) as maps. The names of their
fields and tags are names of the wire, and so are the fields of all that they hold (`BackEnd`,
`GatewayConfiguration`, `RolloutStatus` and what is in those) and the values of their enumerations.
Nodes of two releases exchange them during a rolling restart: a class is renamed by keeping its old
name as its `tag`, a field by naming the old one in the class's `rename`, and a new field needs a
default.
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
    """The operators' configuration in its newest form."""

    configuration: GatewayConfiguration


class BackEndRegistered(msgspec.Struct, frozen=True, tag="BackEndRegistered"):
    """A back end registered or changed its registration."""

    back_end: BackEnd


class BackEndGone(msgspec.Struct, frozen=True, tag="BackEndGone"):
    """A registration ended."""

    instance: InstanceId


class TargetVersionChanged(msgspec.Struct, frozen=True, tag="WeightsNamed"):
    """Operators want a version of a model's weights on all engines."""

    model: str
    version: int


class RolloutOrdered(msgspec.Struct, frozen=True, tag="RolloutOrdered"):
    """Operators want a service's traffic on engines of a version of its program."""

    service: ServiceName
    target: SoftwareVersion
    deadline_s: float


class RolloutWithdrawn(msgspec.Struct, frozen=True, tag="RolloutWithdrawn"):
    """Operators took an order back."""

    key: str


class RolloutStatusSeen(msgspec.Struct, frozen=True, tag="RolloutStatusSeen"):
    """The status of a rollout, as operators read it."""

    status: RolloutStatus


class RecordChanged(msgspec.Struct, frozen=True, tag="RecordChanged"):
    """One of the gateway's own records; `value` is None once it is gone."""

    key: str
    value: bytes | None


class Unreadable(msgspec.Struct, frozen=True, tag="Unreadable", omit_defaults=True):
    """An entry that could not be parsed: another writer's, or damaged.

    Attributes:
        key: Its key.
        problem: What is wrong with it.
        instance: The back end that registers under the key, which is used no more; None for any
            other entry, whose last good state stays.
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
    """A change, the key that it is about and the store's revision of it."""

    key: str
    revision: int
    change: StateChange


class StateBatch(msgspec.Struct, frozen=True):
    """Changes up to a revision of the store."""

    revision: int
    changes: tuple[VersionedChange, ...]


class StateFeed(Protocol):
    """Follows all of the platform's state that concerns the gateway."""

    async def read_all(self) -> Result[StateBatch, KeyValueFailure]:
        """Read everything, linearizably."""
        ...

    async def follow(
        self, after_revision: int, wait_s: float
    ) -> Result[StateBatch, KeyValueFailure]:
        """Wait up to `wait_s` for changes after a revision. COMPACTED: read everything anew."""
        ...

    async def current_revision(self) -> Result[int, KeyValueFailure]:
        """Return the store's revision now, linearizably."""
        ...

    async def write_rollout_status(
        self, status: RolloutStatus, expected_revision: int
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write what operators read of a rollout, if its status was last written at a revision.

        Args:
            status: The status.
            expected_revision: That revision, 0 if there is none yet.
        """
        ...
