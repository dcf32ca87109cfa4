"""Messages of the membership protocol; array-like with short tags, since sent all the time."""

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
    """State of a member; of two claims about the same refutation the higher state wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a node holds of a member.

    Attributes:
        name: The member's name.
        incarnation: Its run.
        refutations: Times that the run has refuted a claim about it; only the member raises it.
        state: Its state.
        host: Where it listens.
        port: Its peer port.
        zone: Its zone.
        accuser: For SUSPECT: the node whose probes failed; else empty.
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
        """The member's identity."""
        return NodeId(self.name, self.incarnation)

    @property
    def address(self) -> NodeAddress:
        """Where the member listens."""
        return NodeAddress(self.host, self.port)

    @property
    def is_live(self) -> bool:
        """Whether the member counts as part of the fleet."""
        return self.state < MemberState.DEAD

    def precedence(self) -> tuple[int, bool, int, int]:
        """Order of claims about one name: the greater one holds. Having left is final for a run."""
        has_left = self.state is MemberState.LEFT
        return (self.incarnation, has_left, self.refutations, self.state)


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="mp"):
    """Asks one run of a node for an ack.

    Attributes:
        sequence: Returned in the ack.
        target_name: The node meant; another one at the address does not ack.
        target_incarnation: The run meant.
        digest: Digest of the sender's live members.
        updates: News, piggybacked.
    """

    sequence: int
    target_name: NodeName
    target_incarnation: Incarnation
    digest: int
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ma"):
    """Answers a ping, directly or relayed by a helper."""

    sequence: int
    digest: int
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="mr"):
    """Asks a helper to ping a node and relay its ack."""

    sequence: int
    target: MemberUpdate


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="mg"):
    """News that should not wait for the next ping."""

    updates: tuple[MemberUpdate, ...]


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag="ms"):
    """Asks for the members in which two views differ; also how a node joins.

    Attributes:
        sender: The sender's own record.
        bucket_digests: Digests of the sender's live members by bucket of names; empty asks for all.
    """

    sender: MemberUpdate
    bucket_digests: tuple[int, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag="my"):
    """Records in the buckets that differ, those of dead members included.

    Attributes:
        buckets: Numbers of the buckets that differ.
        updates: All records in them.
    """

    buckets: tuple[int, ...]
    updates: tuple[MemberUpdate, ...]
