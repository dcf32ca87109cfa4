"""Relays connections to back ends for nodes that have lost their own paths."""

import secrets
from collections.abc import Callable
from functools import partial
from random import Random

import anyio
import msgspec
from anyio.abc import ByteStream, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from weirscale.gateway.model.back_ends import BackEndDirectory
from weirscale.gateway.model.identifiers import Address
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_messages import (
    END_FRAME,
    RelayMessageError,
    RelayReply,
    RelayRequest,
    decode_request,
    encode_frame,
    encode_message,
    receive_message,
)
from weirscale.gateway.paths.relays import RelayOutcome, StreamOpener
from weirscale.gateway.settings import ListenAddress
from weirscale.ports.event_log import EventLog
from weirscale.ports.keep_alive import keep_alive
from weirscale.ports.refusals import is_caused_by_refusal
from weirscale.ports.running_timeout import run_within
from weirscale.ports.unexpected_errors import UnexpectedErrors

CONNECT_TIMEOUT_S = 0.12
"""Seconds to wait for a connection to a back end. The requesting node waits for two attempts."""

REQUEST_TIMEOUT_S = 1.0
"""Seconds to wait for the request on a new connection."""

NUM_PROOFS = 3
"""Number of other back ends that are tried to prove that this node's paths are sound; some may have
ended at the same time."""

MAX_CONNECTIONS = 256
"""Maximum number of relayed connections at once."""

QUIET_S = 2.5
"""A stopping node closes relayed connections once none has carried a byte for this time."""

READ_BYTES = 64 * 1024
"""Maximum number of bytes of one read."""

BROKEN_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
    OSError,
)
"""Errors of a connection that the other side has broken, in whatever operation it is noticed."""


class RelayGate:
    """Decides which connections this node relays, and opens them.

    Args:
        token: The token in this node's registration.
        directory: The registered back ends.
        state: State of this node's own paths.
        opener: Opens the connections.
        random: Selects another back end to prove that this node's paths are sound.
    """

    def __init__(
        self,
        token: str,
        directory: BackEndDirectory,
        state: PathState,
        opener: StreamOpener,
        random: Random,
    ) -> None:
        self._token = token
        self._directory = directory
        self._state = state
        self._opener = opener
        self._random = random
        self.is_stopping = False
        self.num_open = 0

    async def open(self, request: RelayRequest) -> ByteStream | RelayOutcome:
        """Open a direct connection for another node, or return why there is none."""
        address = Address(request.address)
        has_token = secrets.compare_digest(request.token.encode(), self._token.encode())
        if not has_token or self._directory.at(address) is None:
            return RelayOutcome.UNKNOWN
        if self.is_stopping or self.num_open >= MAX_CONNECTIONS:
            return RelayOutcome.BUSY
        if self._state.is_lost(address):
            return RelayOutcome.NO_PATH
        try:
            return await self._connect(address)
        except OSError as error:
            return await self._retry_with_proof(address, is_caused_by_refusal(error))

    async def _connect(self, address: Address) -> ByteStream:
        stream = await run_within(CONNECT_TIMEOUT_S, partial(self._opener.open, address))
        self._state.connected(address)
        return stream

    async def _retry_with_proof(
        self, address: Address, was_refused: bool
    ) -> ByteStream | RelayOutcome:
        """Try again, and at the same moment other back ends: this node's path may have been lost.

        If there is no other back end, the attempt counts as proved.

        Args:
            address: Address of the back end.
            was_refused: Whether the first attempt was refused.
        """
        others = [other.address for other in self._directory.all() if other.address != address]
        proofs = [_Attempt(other) for other in _sample(self._random, others)]
        attempt = _Attempt(address)
        async with anyio.create_task_group() as tasks:
            for started in (attempt, *proofs):
                tasks.start_soon(self._run_attempt, started)
        for proof in proofs:
            if proof.stream is not None:
                await anyio.aclose_forcefully(proof.stream)
        if attempt.stream is not None:
            return attempt.stream
        if proofs and all(proof.stream is None for proof in proofs):
            return RelayOutcome.NO_PATH
        return (
            RelayOutcome.REFUSED if was_refused or attempt.was_refused else RelayOutcome.UNREACHABLE
        )

    async def _run_attempt(self, attempt: "_Attempt") -> None:
        try:
            attempt.stream = await self._connect(attempt.address)
        except OSError as error:
            attempt.was_refused = is_caused_by_refusal(error)


class _Attempt(msgspec.Struct):
    """An attempt to connect to a back end, and its result."""

    address: Address
    stream: ByteStream | None = None
    was_refused: bool = False


def _sample(random: Random, addresses: list[Address]) -> list[Address]:
    return random.sample(addresses, min(NUM_PROOFS, len(addresses)))


class RelayServer:
    """Accepts connections of other nodes and relays them to back ends.

    Args:
        address: Where to listen.
        gate: Decides which connections are relayed.
        event_log: Logs refused requests.
        clock: Returns monotonic seconds.
        errors: Reports unexpected errors of connections.
    """

    def __init__(
        self,
        address: ListenAddress,
        gate: RelayGate,
        event_log: EventLog,
        clock: Callable[[], float],
        errors: UnexpectedErrors,
    ) -> None:
        self._address = address
        self._gate = gate
        self._event_log = event_log
        self._clock = clock
        self._errors = errors
        self._moved_at_s = float("-inf")

    async def run(self) -> None:
        """Relay connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._address.host, local_port=self._address.port
        )
        async with listener:
            await listener.serve(self._serve)

    async def drain(self, until_s: float) -> None:
        """Accept no more connections; return when the open ones are quiet, or at a time."""
        self._gate.is_stopping = True
        while self._gate.num_open and self._clock() < until_s:
            if self._clock() - self._moved_at_s > QUIET_S:
                return
            await anyio.sleep(QUIET_S / 10.0)

    async def _serve(self, node: SocketStream) -> None:
        async with node:
            try:
                await self._serve_request(keep_alive(node), BufferedByteReceiveStream(node))
            except (TimeoutError, RelayMessageError) as error:
                self._event_log.event("relay_request_unreadable", reason=type(error).__name__)
            except BROKEN_ERRORS:
                return  # The node broke the connection; the one to the back end is closed now.
            except Exception as error:
                self._errors.report("relayed_connection", "", error)

    async def _serve_request(self, node: SocketStream, received: BufferedByteReceiveStream) -> None:
        data = await run_within(REQUEST_TIMEOUT_S, partial(receive_message, received))
        request = decode_request(data)
        opened = await self._gate.open(request)
        if isinstance(opened, RelayOutcome):
            self._event_log.event(
                "relay_refused", address=request.address, outcome=opened.value
            )  # fmt: skip
            await node.send(encode_message(RelayReply(opened)))
            return
        self._gate.num_open += 1
        try:
            async with opened:
                await node.send(encode_message(RelayReply(RelayOutcome.CONNECTED)))
                await self._relay(node, received, opened)
        finally:
            self._gate.num_open -= 1

    async def _relay(
        self, node: SocketStream, received: BufferedByteReceiveStream, back_end: ByteStream
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._relay_requests, received, back_end, tasks.cancel_scope)
            await self._relay_answers(node, back_end)
            tasks.cancel_scope.cancel()

    async def _relay_requests(
        self,
        received: BufferedByteReceiveStream,
        back_end: ByteStream,
        relayed: anyio.CancelScope,
    ) -> None:
        """Pass on the node's bytes; when it closes its connection, so does this node."""
        try:
            while True:
                data = await received.receive(READ_BYTES)
                self._moved_at_s = self._clock()
                await back_end.send(data)
        except (anyio.EndOfStream, *BROKEN_ERRORS):
            relayed.cancel()

    async def _relay_answers(self, node: SocketStream, back_end: ByteStream) -> None:
        """Pass on the back end's bytes in frames, with an end frame only if it ended cleanly."""
        try:
            async for data in back_end:
                self._moved_at_s = self._clock()
                await node.send(encode_frame(data))
            await node.send(END_FRAME)
        except BROKEN_ERRORS:
            return  # Without an end frame, the node takes the answer for broken.
