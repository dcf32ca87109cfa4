"""Task that acts as home of the engines assigned to this node by the membership."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.identifiers import ConfigurationRevision, EngineName, NodeAddress
from weirscale.messages.digest import CacheDigest, DigestReply, DigestRequest
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.backends.facts import EngineFacts
from weirscale.node.home.engine_home import EngineHome
from weirscale.node.home.homes import home_of, receivers_in_scope
from weirscale.node.home.rate import RateLimiter
from weirscale.node.home.rules import HomeRules
from weirscale.node.interfaces import (
    ConfigurationView,
    MembershipView,
    Peer,
    PeerState,
)
from weirscale.node.peers.link import PeerLink


class _RunningHome(msgspec.Struct):
    """One engine that this node is the home of."""

    home: EngineHome
    scope: anyio.CancelScope
    facts: EngineFacts


class HomeTask:
    """Starts and stops homes as nodes join and leave and engines are declared or removed.

    Args:
        membership: The live nodes.
        configuration: Regions and zones.
        directory: Declared engines and their ports.
        observations: Receives load reports and failed load requests.
        link: Sends to other nodes and answers their requests.
        apply_own_digest: Applies digests to this node's own view.
        epoch_ms: Returns milliseconds since the epoch; used as numbers of digest streams, so that
            later streams have higher numbers.
        rules: Intervals and limits.
        random: For jitter of dumps and digests.
        wait_joined: Waits until this node knows other nodes. Before that, it would take over
            engines that already have homes.
    """

    def __init__(
        self,
        membership: MembershipView,
        configuration: ConfigurationView,
        directory: BackendDirectory,
        observations: BackendDirectory,
        link: PeerLink,
        apply_own_digest: Callable[[CacheDigest], None],
        epoch_ms: Callable[[], int],
        rules: HomeRules,
        random: Random,
        wait_joined: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._wait_joined = wait_joined
        self._membership = membership
        self._configuration = configuration
        self._directory = directory
        self._observations = observations
        self._link = link
        self._apply_own_digest = apply_own_digest
        self._epoch_ms = epoch_ms
        self._rules = rules
        self._random = random
        self._dump_limiter = RateLimiter(rules.dumps_per_s, rules.burst_dumps)
        self._running: dict[EngineName, _RunningHome] = {}
        self._adjusted_for: tuple[tuple[Peer, ...], ConfigurationRevision] | None = None
        link.on_call(DigestRequest, self._answer)

    @property
    def engines(self) -> frozenset[EngineName]:
        """Engines that this node is the home of."""
        return frozenset(self._running)

    async def run(self) -> None:
        """Act as home until cancelled."""
        if self._wait_joined is not None:
            with anyio.move_on_after(self._rules.max_join_wait_s):
                await self._wait_joined()
        async with anyio.create_task_group() as tasks:
            while True:
                self._adjust_homes(tasks)
                await anyio.sleep(self._rules.check_interval_s)

    async def _answer(self, message: msgspec.Struct) -> DigestReply:
        assert isinstance(message, DigestRequest)
        running = self._running.get(message.engine)
        return running.home.answer(message) if running else DigestReply(is_home=False)

    def _adjust_homes(self, tasks: TaskGroup) -> None:
        """Start homes of newly assigned engines and stop those of engines no longer assigned.

        The assignment depends only on the live nodes and the declared engines, and a port changes
        only with the configuration; so nothing is done if neither nodes nor revision have changed.
        """
        current = (self._membership.peers(), self._directory.snapshot().revision)
        if current == self._adjusted_for:
            return
        self._adjusted_for = current
        assigned = self._assigned_engines()
        for engine, running in list(self._running.items()):
            facts = assigned.get(engine)
            is_same = facts is not None and facts.port is running.facts.port
            if not is_same:
                running.scope.cancel()
                del self._running[engine]
        for engine, facts in assigned.items():
            if engine not in self._running:
                self._start(tasks, facts, len(assigned))
        for running in self._running.values():
            running.home.set_budgets(
                self._rules.digest_bytes_per_s / len(assigned),
                self._rules.load_bytes_per_s / len(assigned),
            )

    def _assigned_engines(self) -> dict[EngineName, EngineFacts]:
        """Return the engines that this node must be the home of."""
        peers = self._membership.peers()
        self_id = self._membership.self_id
        zones_with_nodes = {peer.zone for peer in peers if peer.state is not PeerState.LEAVING}
        own_zones = {peer.zone for peer in peers if peer.node == self_id}
        other_zones = zones_with_nodes - own_zones
        assigned: dict[EngineName, EngineFacts] = {}
        num_remote = 0
        for name, facts in self._directory.snapshot().engines.items():
            if facts.engine.zone in other_zones:
                continue
            home = home_of(facts.engine, peers)
            if home is None or home.node != self_id:
                continue
            is_remote = facts.engine.zone not in own_zones
            if is_remote and num_remote == self._rules.max_remote_homes:
                continue
            num_remote += is_remote
            assigned[name] = facts
        return assigned

    def _start(self, tasks: TaskGroup, facts: EngineFacts, num_engines: int) -> None:
        home = EngineHome(
            engine=facts.engine,
            port=facts.port,
            stream=self._epoch_ms(),
            digest_bytes_per_s=self._rules.digest_bytes_per_s / num_engines,
            load_bytes_per_s=self._rules.load_bytes_per_s / num_engines,
            max_digest_keys=self._max_digest_keys(facts),
            receivers=lambda: self._receivers(facts),
            apply_own_digest=self._apply_own_digest,
            link=self._link,
            observations=self._observations,
            dump_limiter=self._dump_limiter,
            rules=self._rules,
            random=self._random,
        )
        scope = anyio.CancelScope()
        self._running[facts.engine.name] = _RunningHome(home, scope, facts)
        tasks.start_soon(self._run_home, home, scope)

    def _max_digest_keys(self, facts: EngineFacts) -> int:
        """Return the engine's share of the keys that a receiver stores for the zone's engines."""
        zone = facts.engine.zone
        engines = self._directory.snapshot().engines.values()
        num_in_zone = sum(1 for engine_facts in engines if engine_facts.engine.zone == zone)
        return max(self._rules.max_view_keys // max(num_in_zone, 1), 1)

    async def _run_home(self, home: EngineHome, scope: anyio.CancelScope) -> None:
        with scope:
            await home.run()

    def _receivers(self, facts: EngineFacts) -> Sequence[NodeAddress]:
        return receivers_in_scope(facts.engine.zone, self._membership, self._configuration)
