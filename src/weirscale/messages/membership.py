"""Messages of the membership protocol; compact on the wire because they are sent constantly."""

import enum

import msgspec

from weirscale.domain.identifiers import (
    Incarnation,
    NodeAddress,
    NodeId,
    NodeName,
    ZoneName,
)


class MemberState(enum.IntEnum):
    """State of a member; among updates with the same refutation count the higher state wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of one member, as recorded at a node and sent between nodes.

    Attributes:
        name: The member's name.
        incarnation: The member's run.
        refutations: Number of updates that the run has refuted; only the member increases it.
        state: The member's state.
        host: IP address on which the member listens.
        port: The member's peer port.
        zone: The member's zone.
        accuser: For SUSPECT, the node whose probes failed; otherwise empty.
    """

    name: NodeName
    incarnation: Incarnation
    refutations: int
    state: MemberState
    host: str
    port: int
    zone: ZoneName
    accuser: str = ""

    @property
    def node(self) -> NodeId:
        """The member's name and run."""
        return NodeId(self.name, self.incarnation)

    @property
    def address(self) -> NodeAddress:
        """The address on which the member listens."""
        return NodeAddress(self.host, self.port)

    @property
    def is_live(self) -> bool:
        """Whether the member counts as part of the fleet."""
        return self.state < MemberState.DEAD

    def precedence(self) -> tuple[int, bool, int, int]:
        """Return the sort key of a name's updates; the highest wins. LEFT is final for a run."""
        has_left = self.state is MemberState.LEFT
        return (self.incarnation, has_left, self.refutations, self.state)


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="mp"):
    """Request to one run of a node for an ack.

    Attributes:
        sequence: Sequence number, returned in the ack.
        target_name: The probed node; another node at the same address does not ack.
        target_incarnation: The probed run.
        digest: Digest of the sender's live members.
        updates: Piggybacked updates.
    """

    sequence: int
    target_name: NodeName
    target_incarnation: Incarnation
    digest: int
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ma"):
    """Answer to a ping, direct or relayed by a helper node."""

    sequence: int
    digest: int
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="mr"):
    """Request to a helper node to ping a node and relay its ack."""

    sequence: int
    target: MemberUpdate


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="mg"):
    """Updates that are sent without waiting for the next ping."""

    updates: tuple[MemberUpdate, ...]


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag="ms"):
    """Request for the members in which two views differ; also sent to join.

    Attributes:
        sender: The sender's own record.
        bucket_digests: Digests of the sender's live members by bucket of names; empty to request
            all members.
    """

    sender: MemberUpdate
    bucket_digests: tuple[int, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag="my"):
    """Records in the buckets that differ, including those of dead members.

    Attributes:
        buckets: Numbers of the buckets that differ.
        updates: All records in them.
    """

    buckets: tuple[int, ...]
    updates: tuple[MemberUpdate, ...]
