"""Asks other nodes for ages that this node cannot know alone.

A node that has just started knows the target versions, but not since when. One that was paused or
lost the store cannot tell its own loss from an outage of the store. Each asks some other nodes
until its doubt is over. An age in a reply counts from when the query went out: however long either
message was on its way, or waited at a node that was paused, the age is never taken for too young.
The reasoning is in docs/design/0021-ages-by-proof.md.
"""

from collections.abc import Callable, Iterable
from random import Random

from weirscale.gateway.durations import MILLISECONDS_PER_S, age_ms
from weirscale.gateway.peers.messages import AgesQuery, AgesReply, SendMessage, TargetVersionGossip
from weirscale.gateway.peers.open_queries import OpenQueries
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.store_outages import NEVER_S, AvailabilitySpan
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog

ASK_INTERVAL_S = 0.4
"""Seconds between two rounds of queries. Not measured."""

NUM_ASKED = 5
"""Nodes asked in a round, drawn anew each time: of 7 nodes three may have was paused together."""

DOUBT_S = 10.0
"""Seconds for which a node asks after its start or after a silence of the store, some 25 rounds:
lost replies, and those of nodes that knew no more, are made good by a later round. Not
measured."""

TARGET_DOUBT_S = 1.0
"""Seconds for which a node asks after a new target version: others may have a later proof that the
version was not the target yet. Not measured."""

MAX_SENT_AGE_S = 30.0
"""Seconds; older target versions are left out, since a node without an age takes a version for old.
Not measured."""


class AgeExchange:
    """Asks and answers; `run` must be running.

    Args:
        name: This node.
        cluster: What is sent, and made more exact.
        peers: The registered nodes.
        send: Sends a message to several nodes.
        event_log: Where silences of the store, and whose they were, are logged.
        random: Draws whom to ask.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        cluster: ClusterState,
        peers: PeerDirectory,
        send: SendMessage,
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._cluster = cluster
        self._peers = peers
        self._send = send
        self._event_log = event_log
        self._random = random
        self._clock = clock
        self._queries = OpenQueries(random)
        self._was_doubtful = False
        self._outage_ended_s = NEVER_S
        """End of the last outage that was known while there was no doubt."""

    async def run(self) -> None:
        """Ask until cancelled, while there is doubt."""
        await self._cluster.wait_until_read()
        began_s = self._clock()
        while True:
            now_s = self._clock()
            self._cluster.store_outages.update(now_s)
            self._cluster.store_outages.end_doubt(now_s - DOUBT_S)
            self._log_silence(now_s)
            if now_s <= began_s + DOUBT_S or self._is_doubtful(now_s):
                await self._ask(now_s)
            await sleep_to_tick(ASK_INTERVAL_S)

    def _is_doubtful(self, now_s: float) -> bool:
        has_new_target = now_s <= self._cluster.target_changed_at_s + TARGET_DOUBT_S
        return has_new_target or self._cluster.store_outages.is_doubtful(now_s)

    def _log_silence(self, now_s: float) -> None:
        """Log that a silence of the store is in doubt, and later whose silence it was."""
        store_outages = self._cluster.store_outages
        was_doubtful, self._was_doubtful = self._was_doubtful, store_outages.is_doubtful(now_s)
        if self._was_doubtful:
            if not was_doubtful:
                self._event_log.event("store_silent", age_ms=age_ms(self._cluster.age_s()))
            return
        ended_s = store_outages.outage_ended_s(now_s)
        if was_doubtful:
            whose = "store" if ended_s > self._outage_ended_s else "own"
            self._event_log.event("store_silence_judged", whose=whose)
        self._outage_ended_s = ended_s

    async def _ask(self, now_s: float) -> None:
        addresses = list(self._peers.addresses().values())
        asked = self._random.sample(addresses, min(NUM_ASKED, len(addresses)))
        await self._send(AgesQuery(self._name, self._queries.open(now_s)), asked)

    async def answer(self, query: AgesQuery, address: ListenAddress) -> None:
        """Answer a query; a node that has proved nothing itself is silent."""
        now_s = self._clock()
        self._cluster.store_outages.update(now_s)
        span = self._cluster.store_outages.own_span()
        if span is None:
            return
        reply = AgesReply(
            self._name,
            query.number,
            _whole_ms(now_s - span.began_s),
            _whole_ms(now_s - span.last_answer_s),
            None if span.silent_from_s is None else _whole_ms(now_s - span.silent_from_s),
            tuple(self._young_target_versions(now_s)),
        )
        await self._send(reply, (address,))

    def _young_target_versions(self, now_s: float) -> Iterable[TargetVersionGossip]:
        for model, target in self._cluster.target_versions.all():
            age_s = now_s - target.set_after_s
            if age_s <= MAX_SENT_AGE_S:
                yield TargetVersionGossip(model, target.version, _whole_ms(age_s))

    def receive(self, reply: AgesReply) -> None:
        """Take over an answer to a query that is still open."""
        asked_at_s = self._queries.asked_at_s(reply.number)
        if asked_at_s is None:
            return
        silent_age_ms = reply.silent_age_ms
        span = AvailabilitySpan(
            asked_at_s - reply.span_age_ms / MILLISECONDS_PER_S,
            asked_at_s - reply.proof_age_ms / MILLISECONDS_PER_S,
            None if silent_age_ms is None else asked_at_s - silent_age_ms / MILLISECONDS_PER_S,
        )
        self._cluster.store_outages.record_peer_span(reply.sender, span, asked_at_s, self._clock())
        for target in reply.target_versions:
            set_after_s = asked_at_s - target.age_ms / MILLISECONDS_PER_S
            self._cluster.target_versions.tighten_bound(target.model, target.version, set_after_s)


def _whole_ms(age_s: float) -> int:
    """Return an age in milliseconds, rounded up so that it is never too young."""
    return int(age_s * MILLISECONDS_PER_S) + 1
