"""The two kinds of quarantine of a node: of single requests, and of prompt blocks."""

import anyio

from weirscale.gateway.peers.messages import Gossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.quarantine.block_keeper import BlockQuarantine
from weirscale.gateway.quarantine.keeper import Quarantine


class Quarantines:
    """Both quarantines; `run` must be running.

    Args:
        requests: Requests that crash back ends.
        blocks: Prompt blocks that crash back ends.
    """

    def __init__(self, requests: Quarantine, blocks: BlockQuarantine) -> None:
        self.requests = requests
        self.blocks = blocks

    def receive(self, gossip: Gossip) -> None:
        """Apply the crashes and answers that another node saw."""
        self.requests.receive(gossip)
        self.blocks.receive(gossip)

    def add_to(self, outbox: GossipOutbox, must_refresh: bool) -> None:
        """Add new items to an outbox; with a refresh, also repeat those sent recently."""
        self.requests.add_to(outbox, must_refresh)
        self.blocks.add_to(outbox, must_refresh)

    async def run(self) -> None:
        """Run both until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.requests.run)
            tasks.start_soon(self.blocks.run)
