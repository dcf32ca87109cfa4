"""The task that owns the configuration of a node."""

from random import Random

import anyio
import msgspec

from weirscale.domain.configuration.difference import canonical
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import ConfigurationRevision, ZoneName
from weirscale.node.configuration.holder import ConfigurationHolder
from weirscale.node.configuration.reader import ConfigurationReader, Sleep
from weirscale.node.configuration.spread import ConfigurationSpread
from weirscale.node.configuration.status import ConfigurationStatusTask, FleetConfigurationStatus
from weirscale.node.interfaces import ConfigurationInForce, MembershipView
from weirscale.node.mailbox import Mailbox
from weirscale.node.peers.link import PeerLink
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

MAILBOX_SIZE = 16
"""Maximum number of queued revisions, each possibly a full deployment; senders wait for room."""


class OfferedRevision(msgspec.Struct, frozen=True):
    """A revision read from the store or fetched from a peer."""

    revision: ConfigurationRevision
    deployment: Deployment
    source: str


class ConfigurationTask:
    """Implements `ConfigurationView`; the constructor registers the message handlers.

    Args:
        port: The key-value service.
        link: Carries messages between nodes.
        membership: The live nodes.
        zone: This node's zone.
        random: Draws peers and jitter.
        log: The event log.
        sleep: Sleep function; replaced in tests of paused processes.
    """

    def __init__(
        self,
        port: KeyValuePort,
        link: PeerLink,
        membership: MembershipView,
        zone: ZoneName,
        random: Random,
        log: EventLog,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        self._log = log
        self._offers: Mailbox[OfferedRevision] = Mailbox(MAILBOX_SIZE)
        self._holder = ConfigurationHolder()
        self._reader = ConfigurationReader(port, membership, zone, self._offer, random, log, sleep)
        self._spread = ConfigurationSpread(
            self._holder, link, membership, zone, self._offer, random, sleep
        )
        self._status = ConfigurationStatusTask(
            self._holder, self._spread, self._reader, link, membership, zone
        )

    def current(self) -> ConfigurationInForce | None:
        """Return the configuration in force, or None before the first one arrives."""
        return self._holder.current()

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Wait until a revision higher than the given one (0 for any) is in force; return it."""
        return await self._holder.changed_after(revision)

    async def fleet_status(self) -> FleetConfigurationStatus:
        """Return the configuration status of all nodes."""
        return await self._status.fleet_status()

    async def run(self) -> None:
        """Read, distribute and apply revisions until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reader.run)
            tasks.start_soon(self._spread.run)
            while True:
                await self._apply(await self._offers.receive())

    async def _offer(
        self, revision: ConfigurationRevision, deployment: Deployment, source: str
    ) -> None:
        await self._offers.put(OfferedRevision(revision, deployment, source))

    async def _apply(self, offered: OfferedRevision) -> None:
        if not self._holder.apply(offered.revision, canonical(offered.deployment)):
            return
        self._log.event("configuration_in_force", revision=offered.revision, source=offered.source)
        await self._spread.announce()
