"""Connections between nodes, and to back ends, that open in memory."""

import anyio

from features.support.path_losses import PathLoss
from weirscale.gateway.paths.relay_messages import RelayRequest, decode_request, encode_message
from weirscale.gateway.paths.relays import RelayFailedError, RelayOutcome

CUT_CONNECT_S = 0.3
"""Seconds that opening a connection over a cut link takes at most."""

LENGTH_BYTES = 4


class MemoryConnection:
    """An open connection to a back end, direct or through a relay.

    Args:
        fleet: The fleet.
        node_name: The node whose path to the back end it takes.
        address: Address of the back end.
    """

    def __init__(self, fleet, node_name, address):
        self._fleet = fleet
        self._node_name = node_name
        self._address = address
        self.generation = 0
        self._target = fleet.targets.get(address)

    async def check(self):
        """Raise a read error if its path is lost."""
        await self._fleet.lost_paths.check_open(self._node_name, self._address)

    def was_reset(self):
        """Return whether its process has ended, or its path is lost in a way seen at once."""
        if self._fleet.targets.get(self._address) is not self._target:
            return True
        return self._fleet.lost_paths.loss(self._node_name, self._address) is PathLoss.RESET

    async def aclose(self):
        """Close it; there is nothing to do."""


class FleetOpener:
    """Implements `StreamOpener` in memory.

    Args:
        fleet: The fleet.
        node_name: The node that opens the connections.
    """

    def __init__(self, fleet, node_name):
        self._fleet = fleet
        self._node_name = node_name

    async def open(self, address):
        """Open a direct connection."""
        fleet = self._fleet
        if (self._node_name, address) in fleet.cuts:
            await anyio.sleep(CUT_CONNECT_S)
            raise TimeoutError
        await fleet.lost_paths.check_new(self._node_name, address)
        if address not in fleet.targets:
            raise ConnectionRefusedError
        return MemoryConnection(fleet, self._node_name, address)

    async def open_through(self, relay, address):
        """Open a connection through another node."""
        fleet = self._fleet
        node = fleet.nodes.get(relay.name)
        is_cut = {relay.name, self._node_name} & (fleet.mute | fleet.silent)
        if node is None or is_cut:
            raise ConnectionRefusedError
        await fleet.wait_while_frozen(relay.name)
        encoded = encode_message(RelayRequest(relay.token, address))
        opened = await node.relay_gate.open(decode_request(encoded[LENGTH_BYTES:]))
        if isinstance(opened, RelayOutcome):
            raise RelayFailedError(opened)
        return opened


class FleetDialer:
    """Implements `BackEndDialer` with direct connections only.

    Args:
        fleet: The fleet.
        node_name: The node that opens the connections.
    """

    def __init__(self, fleet, node_name):
        self._opener = FleetOpener(fleet, node_name)

    async def open(self, address):
        """Open a direct connection."""
        return await self._opener.open(address)

    open_directly = open

    def generation(self, _address):
        """Return the same number always."""
        return 0
