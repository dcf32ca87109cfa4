"""Opens connections to back ends: directly, or through another node if the path is lost."""

from collections.abc import Callable
from functools import partial

from anyio.abc import ByteStream

from weirscale.gateway.model.identifiers import Address
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_choice import RelayChoice
from weirscale.gateway.paths.relays import NoRelayError, RelayFailedError, StreamOpener
from weirscale.gateway.peers.registrations import RelayPeer
from weirscale.gateway.ports.connections import PathUnknownError
from weirscale.ports.running_timeout import run_within

DIRECT_TIMEOUT_S = 0.2
"""Seconds to wait for a direct connection. Connecting takes milliseconds."""

RELAY_TIMEOUT_S = 0.4
"""Seconds to wait for a relay, which itself may have to try two back ends."""

MAX_RELAYS = 3
"""Maximum number of relays that are tried for one connection."""


class RelayingDialer:
    """Implements `BackEndDialer`.

    Args:
        state: State of this node's paths.
        choice: Chooses relays.
        opener: Opens the connections.
        count_relayed: Called for each connection that was opened through another node.
    """

    def __init__(
        self,
        state: PathState,
        choice: RelayChoice,
        opener: StreamOpener,
        count_relayed: Callable[[], None],
    ) -> None:
        self._state = state
        self._choice = choice
        self._opener = opener
        self._count_relayed = count_relayed

    def generation(self, address: Address) -> int:
        """Return a number that changes when idle connections must not be used any more."""
        return self._state.generation(address)

    async def open_directly(self, address: Address) -> ByteStream:
        """Open a direct connection, or none.

        Raises:
            OSError: No connection was opened.
        """
        stream = await run_within(DIRECT_TIMEOUT_S, partial(self._opener.open, address))
        self._state.connected(address)
        return stream

    async def open(self, address: Address) -> ByteStream:
        """Open a connection, through another node if the direct path is lost.

        Raises:
            PathUnknownError: No connection was opened, and no other node could tell why.
            OSError: No connection was opened. If there are other nodes, one that reaches other back
                ends has confirmed that it cannot connect to this one.
        """
        if self._state.is_lost(address):
            return await self._open_on_lost_path(address)
        try:
            return await self.open_directly(address)
        except OSError as error:
            direct_error = error
        try:
            stream, relay = await self._open_relayed(address)
        except (RelayFailedError, NoRelayError):
            # The direct error tells whether the back end refused the connection or was silent.
            self._state.confirmed_unreachable(address)
            raise direct_error from direct_error.__cause__
        self._state.relayed(address, relay.name, type(direct_error).__name__)
        return stream

    async def _open_on_lost_path(self, address: Address) -> ByteStream:
        try:
            stream, _ = await self._open_relayed(address)
        except RelayFailedError as failure:
            self._state.confirmed_unreachable(address)
            raise failure.as_direct_error() from failure
        except (PathUnknownError, NoRelayError):
            return await self.open_directly(address)
        return stream

    async def _open_relayed(self, address: Address) -> tuple[ByteStream, RelayPeer]:
        """Open a connection through another node, and return it with that node.

        Raises:
            RelayFailedError: Another node proved that the back end is unreachable.
            PathUnknownError: No other node could tell.
            NoRelayError: There is no other node.
        """
        if not self._choice.has_any():
            raise NoRelayError
        for relay in self._choice.candidates(MAX_RELAYS):
            open_through = partial(self._opener.open_through, relay, address)
            try:
                stream = await run_within(RELAY_TIMEOUT_S, open_through)
            except RelayFailedError as failure:
                if failure.outcome.proves_unreachable():
                    self._choice.worked(relay)
                    raise
                self._choice.failed(relay)
            except OSError:
                self._choice.failed(relay)
            else:
                self._choice.worked(relay)
                self._count_relayed()
                return stream, relay
        raise PathUnknownError("no other node could tell whether the back end is up")
