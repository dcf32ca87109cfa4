"""A reader's side: answers the queries of other nodes and sends them changes as they come."""

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

SUBSCRIPTION_S = 1.5
"""Seconds after its last query for which a node is sent changes unasked: three queries of 0.4 s
may be lost. Not measured."""

MAX_SENT_AGE_MS = 1_000_000_000
"""Milliseconds; the largest proof age that is sent, since a state that was never proved has
none."""


class _Subscriber(msgspec.Struct):
    address: ListenAddress
    asked_at_s: float


class ChangePublisher:
    """Answers other nodes' queries and sends them changes as they come.

    Args:
        name: This node.
        cluster: What is sent.
        send: Sends a message to several nodes.
        clock: Monotonic seconds.
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
        """Whether other nodes get their proofs from this one."""
        since_s = self._clock() - SUBSCRIPTION_S
        for name in [one for one, sub in self._subscribers.items() if sub.asked_at_s < since_s]:
            del self._subscribers[name]
        return bool(self._subscribers)

    async def answer(self, query: StateQuery, address: ListenAddress) -> None:
        """Answer a query."""
        if not self._cluster.has_read_all:
            return
        self._subscribers[query.sender] = _Subscriber(address, self._clock())
        await self._send(self._reply(query.number, query.after_revision), (address,))

    async def publish(self) -> None:
        """Send all who asked lately what has changed since the last time."""
        after_revision, self._published_revision = (
            self._published_revision,
            self._cluster.revision,
        )
        if not self.has_subscribers() or self._cluster.revision <= after_revision:
            return
        reply = self._reply(0, after_revision)
        if not reply.changes:
            return
        await self._send(reply, [one.address for one in self._subscribers.values()])

    def _reply(self, number: int, after_revision: int) -> StateReply:
        cluster = self._cluster
        age_ms = min(cluster.age_s() * MILLISECONDS_PER_S, MAX_SENT_AGE_MS)
        left_out = StateReply(
            self._name, number, after_revision, cluster.revision, int(age_ms) + 1,
            are_changes_omitted=True,
        )  # fmt: skip
        changes = cluster.log.since(after_revision)
        if changes is None:
            return left_out
        whole = msgspec.structs.replace(left_out, are_changes_omitted=False, changes=changes)
        if changes and len(encode_message(whole)) > MAX_REPLY_BYTES:
            return left_out
        return whole
