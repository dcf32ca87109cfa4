"""Reader side of replication: answers the queries of other nodes and sends them new changes."""

from collections.abc import Callable

import msgspec

from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.peers.messages import (
    MAX_REPLY_BYTES,
    SendMessage,
    StateQuery,
    StateReply,
    encode_message,
)
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState

SUBSCRIPTION_TTL_S = 1.5
"""Seconds after its last query for which a node is sent changes without another query. Allows for
the loss of three queries, which are sent every 0.4 s."""

MAX_SENT_AGE_MS = 1_000_000_000
"""Milliseconds; the largest proof age that is sent, since the age of a state that was never proved
current is infinite."""


class _Subscriber(msgspec.Struct):
    address: ListenAddress
    asked_at_s: float


class ChangePublisher:
    """Answers the queries of other nodes and sends them new changes.

    Args:
        name: Name of this node.
        cluster: The state to send.
        send: Sends a message to several nodes.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self, name: str, cluster: ClusterState, send: SendMessage, clock: Callable[[], float]
    ) -> None:
        self._name = name
        self._cluster = cluster
        self._send = send
        self._clock = clock
        self._subscribers: dict[str, _Subscriber] = {}
        self._published_revision = 0

    def has_subscribers(self) -> bool:
        """Return whether other nodes are subscribed to this node; drop expired subscriptions."""
        expired_before_s = self._clock() - SUBSCRIPTION_TTL_S
        for name in [
            name
            for name, subscriber in self._subscribers.items()
            if subscriber.asked_at_s < expired_before_s
        ]:
            del self._subscribers[name]
        return bool(self._subscribers)

    async def answer(self, query: StateQuery, address: ListenAddress) -> None:
        """Answer a query, unless this node has not read the whole state yet."""
        if not self._cluster.has_read_all:
            return
        self._subscribers[query.sender] = _Subscriber(address, self._clock())
        await self._send(self._reply(query.number, query.after_revision), (address,))

    async def publish(self) -> None:
        """Send the changes since the last call to all subscribers."""
        after_revision, self._published_revision = (
            self._published_revision,
            self._cluster.revision,
        )
        if not self.has_subscribers() or self._cluster.revision <= after_revision:
            return
        reply = self._reply(0, after_revision)
        if not reply.changes:
            return
        await self._send(reply, [subscriber.address for subscriber in self._subscribers.values()])

    def _reply(self, number: int, after_revision: int) -> StateReply:
        cluster = self._cluster
        age_ms = min(cluster.age_s() * MILLISECONDS_PER_S, MAX_SENT_AGE_MS)
        without_changes = StateReply(
            self._name, number, after_revision, cluster.revision, int(age_ms) + 1,
            are_changes_omitted=True,
        )  # fmt: skip
        changes = cluster.log.since(after_revision)
        if changes is None:
            return without_changes
        full = msgspec.structs.replace(without_changes, are_changes_omitted=False, changes=changes)
        if changes and len(encode_message(full)) > MAX_REPLY_BYTES:
            return without_changes
        return full
