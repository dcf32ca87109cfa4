"""Distributes the configuration between nodes: casts announce a revision, calls fetch it.

A node that applies a revision announces it to a few peers, which fetch the delta from it and
announce the revision in turn. Nodes also announce their revisions to random peers at a slow rate,
which makes up for lost casts. A node without a configuration queries several peers and fetches
the highest revision.
"""

from collections.abc import Sequence
from random import Random

import anyio
import msgspec
from result import Err

from weirscale.domain.identifiers import ConfigurationRevision, NodeAddress, ZoneName
from weirscale.messages.configuration import (
    NO_BASE_REVISION,
    ConfigurationAnnounce,
    ConfigurationFetch,
    ConfigurationReply,
    ConfigurationStatusQuery,
    ConfigurationStatusReply,
)
from weirscale.node.configuration.backoff import Backoff
from weirscale.node.configuration.holder import ConfigurationHolder
from weirscale.node.configuration.reader import Offer, Sleep
from weirscale.node.interfaces import MembershipView, Peer
from weirscale.node.mailbox import Mailbox
from weirscale.node.peers.link import PeerLink

ANNOUNCE_FANOUT = 6
"""Peers that each node announces a new revision to; about e^-6 of all nodes are missed."""
EXCHANGE_PERIOD_S = 2.0
"""Mean interval of announcements to a random peer: about 120 bytes a second with envelopes."""
NUM_FETCHERS = 3
"""Concurrent fetches, so that one dead peer does not delay a revision."""
HEDGE_FETCH_AFTER_S = 0.3
"""A second fetch starts only if the first has not delivered the revision within this time."""
FETCH_TIMEOUT_S = 1.5
NUM_BOOTSTRAP_PEERS = 3
BOOTSTRAP_ANSWER_WAIT_S = 0.3
"""How long to wait for further answers after the first one."""
BOOTSTRAP_TIMEOUT_S = 0.5
FIRST_BOOTSTRAP_RETRY_S = 0.3
MAX_BOOTSTRAP_RETRY_S = 0.4
"""A node without a configuration cannot serve requests. It queries peers about twice a second."""
JOIN_POLL_S = 0.02
JOIN_WAIT_S = 0.3
"""A starting node joins within a few round trips. It checks for other nodes every JOIN_POLL_S, for
at most JOIN_WAIT_S."""
MAX_QUEUED_ANNOUNCEMENTS = 256


class ReceivedAnnouncement(msgspec.Struct, frozen=True):
    """A revision that a peer announced, and the address to fetch it from."""

    source: NodeAddress
    revision: ConfigurationRevision


class ConfigurationSpread:
    """Announces and fetches revisions, and answers the fetches of peers.

    Attributes:
        last_problem: Why the last fetch failed; empty if it succeeded.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        link: PeerLink,
        membership: MembershipView,
        zone: ZoneName,
        offer: Offer,
        random: Random,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        self.last_problem = ""
        self._num_fetching = 0
        self._holder = holder
        self._link = link
        self._membership = membership
        self._zone = zone
        self._offer = offer
        self._random = random
        self._sleep = sleep
        self._announced: Mailbox[ReceivedAnnouncement] = Mailbox(MAX_QUEUED_ANNOUNCEMENTS)
        self._outdated_peers: Mailbox[NodeAddress] = Mailbox(MAX_QUEUED_ANNOUNCEMENTS)
        link.on_cast(ConfigurationAnnounce, self._on_announcement)
        link.on_call(ConfigurationFetch, self._answer_fetch)

    async def run(self) -> None:
        """Announce and fetch revisions until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._bootstrap)
            tasks.start_soon(self._announce_periodically)
            tasks.start_soon(self._answer_outdated_peers)
            for _ in range(NUM_FETCHERS):
                tasks.start_soon(self._fetch_announced)

    async def announce(self) -> None:
        """Announce the revision in force to a few peers, half of them in this zone if possible."""
        others = self._others()
        in_zone = [peer for peer in others if peer.zone == self._zone]
        num_in_zone = min(len(in_zone), ANNOUNCE_FANOUT // 2)
        chosen = self._random.sample(in_zone, num_in_zone)
        remaining = [peer for peer in others if peer not in chosen]
        chosen += self._random.sample(remaining, min(len(remaining), ANNOUNCE_FANOUT - num_in_zone))
        message = ConfigurationAnnounce(self._holder.revision)
        for peer in chosen:
            await self._link.cast(peer.address, message)

    def _others(self) -> list[Peer]:
        own = self._membership.self_id
        return [peer for peer in self._membership.peers() if peer.node != own]

    def _on_announcement(self, source: NodeAddress, message: msgspec.Struct) -> None:
        """Queue a fetch if the announced revision is newer, or an answer if it is outdated."""
        assert isinstance(message, ConfigurationAnnounce)
        if self._holder.record_revision(message.revision):
            self._announced.post(ReceivedAnnouncement(source, message.revision))
        elif message.revision < self._holder.revision:
            self._outdated_peers.post(source)

    async def _answer_fetch(self, message: msgspec.Struct) -> ConfigurationReply:
        assert isinstance(message, ConfigurationFetch)
        return self._holder.reply_to(message.have_revision)

    async def _answer_outdated_peers(self) -> None:
        while True:
            destination = await self._outdated_peers.receive()
            await self._link.cast(destination, ConfigurationAnnounce(self._holder.revision))

    async def _announce_periodically(self) -> None:
        while True:
            await self._sleep(EXCHANGE_PERIOD_S * (0.5 + self._random.random()))
            others = self._others()
            if others:
                peer = self._random.choice(others)
                await self._link.cast(peer.address, ConfigurationAnnounce(self._holder.revision))

    async def _fetch_announced(self) -> None:
        while True:
            announced = await self._announced.receive()
            if self._num_fetching:
                with anyio.move_on_after(HEDGE_FETCH_AFTER_S):
                    await self._holder.changed_after(ConfigurationRevision(announced.revision - 1))
            if announced.revision > self._holder.revision:
                await self._fetch(announced.source)

    async def _fetch(self, source: NodeAddress) -> None:
        """Fetch from one peer; fetch the full configuration if the delta fails."""
        self._num_fetching += 1
        problem = await self._fetch_from(source, self._holder.revision)
        if problem and self._holder.revision != NO_BASE_REVISION:
            problem = await self._fetch_from(source, NO_BASE_REVISION)
        self.last_problem = problem
        self._num_fetching -= 1

    async def _fetch_from(self, source: NodeAddress, have_revision: ConfigurationRevision) -> str:
        """Make one fetch; return the reason of a failure, or an empty text."""
        message = ConfigurationFetch(have_revision)
        answer = await self._link.call(source, message, FETCH_TIMEOUT_S)
        if isinstance(answer, Err):
            return f"fetch from {source.host}:{source.port}: {answer.err_value.detail}"
        reply = answer.ok_value
        if not isinstance(reply, ConfigurationReply):
            return "a peer replied with an unexpected message; run one version on all nodes"
        if reply.revision <= self._holder.revision:
            return ""
        deployment = self._holder.read_reply(reply)
        if isinstance(deployment, str):
            return deployment
        await self._offer(reply.revision, deployment, f"{source.host}:{source.port}")
        return ""

    async def _bootstrap(self) -> None:
        """Until a configuration is in force, fetch the highest revision that some peers have."""
        backoff = Backoff(self._random, FIRST_BOOTSTRAP_RETRY_S, MAX_BOOTSTRAP_RETRY_S)
        while self._holder.current() is None:
            others = await self._others_after_join()
            chosen = self._random.sample(others, min(len(others), NUM_BOOTSTRAP_PEERS))
            source = await self._find_highest(chosen)
            if source is not None:
                await self._fetch(source)
            if self._holder.current() is None:
                await self._sleep(backoff.next_s())

    async def _others_after_join(self) -> list[Peer]:
        """Return the other nodes; wait briefly if none is known yet."""
        with anyio.move_on_after(JOIN_WAIT_S):
            while not self._others():
                await self._sleep(JOIN_POLL_S)
        return self._others()

    async def _find_highest(self, peers: Sequence[Peer]) -> NodeAddress | None:
        """Query peers for their revisions; return the address of the highest, None without any."""
        answers: dict[NodeAddress, ConfigurationRevision] = {}
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(self._query_revision, peer.address, answers, tasks.cancel_scope)
        source = max(answers, key=lambda address: answers[address], default=None)
        return source if source is not None and answers[source] > NO_BASE_REVISION else None

    async def _query_revision(
        self,
        address: NodeAddress,
        answers: dict[NodeAddress, ConfigurationRevision],
        scope: anyio.CancelScope,
    ) -> None:
        """Query one peer for its revision; an answer limits the wait for the slower peers."""
        answer = await self._link.call(address, ConfigurationStatusQuery(), BOOTSTRAP_TIMEOUT_S)
        if isinstance(answer, Err) or not isinstance(answer.ok_value, ConfigurationStatusReply):
            return
        answers[address] = answer.ok_value.revision
        scope.deadline = min(scope.deadline, anyio.current_time() + BOOTSTRAP_ANSWER_WAIT_S)
