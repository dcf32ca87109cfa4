"""Spreads the configuration between nodes: casts name a revision, calls fetch what is missing.

A node that takes a revision announces it to a few others, which fetch the difference from it and
announce it in turn. A slow exchange of revisions with random peers closes the gaps that lost
casts leave. A node without any configuration asks several peers and takes the highest.
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
"""Announcements of a new revision from each node; about e^-6 of the nodes hear none of them."""
EXCHANGE_PERIOD_S = 2.0
"""Mean time between exchanges with a random peer: about 120 bytes a second, envelopes included."""
NUM_FETCHERS = 3
"""Fetches at once, so that one dead peer holds up no revision."""
HEDGE_FETCH_AFTER_S = 0.3
"""A second fetch starts only if the first has not brought the revision after this time."""
FETCH_TIMEOUT_S = 1.5
NUM_BOOTSTRAP_PEERS = 3
BOOTSTRAP_ANSWER_WAIT_S = 0.3
"""How long the first answer waits for the others."""
BOOTSTRAP_TIMEOUT_S = 0.5
FIRST_BOOTSTRAP_RETRY_S = 0.3
MAX_BOOTSTRAP_RETRY_S = 0.4
"""A node without a configuration serves nobody, so it asks a few peers about twice a second."""
JOIN_POLL_S = 0.02
JOIN_WAIT_S = 0.3
"""A node that has just started joins within a few round trips: it looks so often, for so long,
whether membership knows another node yet."""
MAX_QUEUED_ANNOUNCEMENTS = 256


class HeardAnnouncement(msgspec.Struct, frozen=True):
    """A peer's revision, with where to fetch it."""

    source: NodeAddress
    revision: ConfigurationRevision


class ConfigurationSpread:
    """Announces, fetches and answers fetches.

    Attributes:
        last_problem: Why the last fetch failed; empty when it did not.
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
        self._heard: Mailbox[HeardAnnouncement] = Mailbox(MAX_QUEUED_ANNOUNCEMENTS)
        self._behind: Mailbox[NodeAddress] = Mailbox(MAX_QUEUED_ANNOUNCEMENTS)
        link.on_cast(ConfigurationAnnounce, self._hear)
        link.on_call(ConfigurationFetch, self._answer_fetch)

    async def run(self) -> None:
        """Take part until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._bootstrap)
            tasks.start_soon(self._exchange)
            tasks.start_soon(self._tell_peers_behind)
            for _ in range(NUM_FETCHERS):
                tasks.start_soon(self._fetch_announced)

    async def announce(self) -> None:
        """Tell a few peers of the revision in force: half of them in this zone, where possible."""
        others = self._others()
        near = [peer for peer in others if peer.zone == self._zone]
        num_near = min(len(near), ANNOUNCE_FANOUT // 2)
        chosen = self._random.sample(near, num_near)
        far = [peer for peer in others if peer not in chosen]
        chosen += self._random.sample(far, min(len(far), ANNOUNCE_FANOUT - num_near))
        message = ConfigurationAnnounce(self._holder.revision)
        for peer in chosen:
            await self._link.cast(peer.address, message)

    def _others(self) -> list[Peer]:
        own = self._membership.self_id
        return [peer for peer in self._membership.peers() if peer.node != own]

    def _hear(self, source: NodeAddress, message: msgspec.Struct) -> None:
        """Handle a cast: queue a fetch, or an answer to a peer that is behind."""
        assert isinstance(message, ConfigurationAnnounce)
        if self._holder.hear_of(message.revision):
            self._heard.post(HeardAnnouncement(source, message.revision))
        elif message.revision < self._holder.revision:
            self._behind.post(source)

    async def _answer_fetch(self, message: msgspec.Struct) -> ConfigurationReply:
        assert isinstance(message, ConfigurationFetch)
        return self._holder.reply_to(message.have_revision)

    async def _tell_peers_behind(self) -> None:
        while True:
            destination = await self._behind.receive()
            await self._link.cast(destination, ConfigurationAnnounce(self._holder.revision))

    async def _exchange(self) -> None:
        while True:
            await self._sleep(EXCHANGE_PERIOD_S * (0.5 + self._random.random()))
            others = self._others()
            if others:
                peer = self._random.choice(others)
                await self._link.cast(peer.address, ConfigurationAnnounce(self._holder.revision))

    async def _fetch_announced(self) -> None:
        while True:
            heard = await self._heard.receive()
            if self._num_fetching:
                with anyio.move_on_after(HEDGE_FETCH_AFTER_S):
                    await self._holder.changed_after(ConfigurationRevision(heard.revision - 1))
            if heard.revision > self._holder.revision:
                await self._fetch(heard.source)

    async def _fetch(self, source: NodeAddress) -> None:
        """Fetch from one peer, the whole if its delta does not fit."""
        self._num_fetching += 1
        problem = await self._fetch_from(source, self._holder.revision)
        if problem and self._holder.revision != NO_BASE_REVISION:
            problem = await self._fetch_from(source, NO_BASE_REVISION)
        self.last_problem = problem
        self._num_fetching -= 1

    async def _fetch_from(self, source: NodeAddress, have_revision: ConfigurationRevision) -> str:
        """Make one fetch; answers what went wrong, or an empty text."""
        message = ConfigurationFetch(have_revision)
        answer = await self._link.call(source, message, FETCH_TIMEOUT_S)
        if isinstance(answer, Err):
            return f"fetch from {source.host}:{source.port}: {answer.err_value.detail}"
        reply = answer.ok_value
        if not isinstance(reply, ConfigurationReply):
            return "a peer answered with another message; run one version on all nodes"
        if reply.revision <= self._holder.revision:
            return ""
        deployment = self._holder.read_reply(reply)
        if isinstance(deployment, str):
            return deployment
        await self._offer(reply.revision, deployment, f"{source.host}:{source.port}")
        return ""

    async def _bootstrap(self) -> None:
        """Until a configuration is in force, ask several peers and fetch the highest."""
        backoff = Backoff(self._random, FIRST_BOOTSTRAP_RETRY_S, MAX_BOOTSTRAP_RETRY_S)
        while self._holder.current() is None:
            others = await self._others_after_join()
            chosen = self._random.sample(others, min(len(others), NUM_BOOTSTRAP_PEERS))
            best = await self._highest_of(chosen)
            if best is not None:
                await self._fetch(best)
            if self._holder.current() is None:
                await self._sleep(backoff.next_s())

    async def _others_after_join(self) -> list[Peer]:
        """Return the other nodes, after a short wait where none is known yet."""
        with anyio.move_on_after(JOIN_WAIT_S):
            while not self._others():
                await self._sleep(JOIN_POLL_S)
        return self._others()

    async def _highest_of(self, peers: Sequence[Peer]) -> NodeAddress | None:
        """Ask peers for their revisions and return where the highest is."""
        answers: dict[NodeAddress, ConfigurationRevision] = {}
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(self._ask_revision, peer.address, answers, tasks.cancel_scope)
        best = max(answers, key=lambda address: answers[address], default=None)
        return best if best is not None and answers[best] > NO_BASE_REVISION else None

    async def _ask_revision(
        self,
        address: NodeAddress,
        answers: dict[NodeAddress, ConfigurationRevision],
        scope: anyio.CancelScope,
    ) -> None:
        """Ask one peer; its answer leaves the slower ones a little longer and no more."""
        answer = await self._link.call(address, ConfigurationStatusQuery(), BOOTSTRAP_TIMEOUT_S)
        if isinstance(answer, Err) or not isinstance(answer.ok_value, ConfigurationStatusReply):
            return
        answers[address] = answer.ok_value.revision
        scope.deadline = min(scope.deadline, anyio.current_time() + BOOTSTRAP_ANSWER_WAIT_S)
