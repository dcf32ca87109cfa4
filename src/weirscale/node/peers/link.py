"""The authenticated peer link: typed casts and calls over any `PeerNetwork`."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import get_args, get_type_hints

import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.messages.codec import MessageCodec, message_tag
from weirscale.messages.envelope import (
    REPLAYED_DETAIL,
    Envelope,
    EnvelopeFailure,
    EnvelopeFailureKind,
    EnvelopeKind,
    EnvelopeSigner,
    KeyRing,
    ReplayGuard,
    address_binding,
    open_envelope,
    reply_binding,
)
from weirscale.node.peers.challenges import PendingChallenges
from weirscale.node.peers.traffic import PeerTraffic
from weirscale.ports.peers import MAX_CAST_BYTES, Datagram, PeerFailure, PeerNetwork

CastHandler = Callable[[NodeAddress, msgspec.Struct], None]
CallAnswerer = Callable[[msgspec.Struct], Awaitable[msgspec.Struct]]

CHALLENGE_TAG = "challenge"
"""Name of challenges and their answers in the traffic counts."""


class PeerLink:
    """Authenticated typed messages between nodes; `run` must be running for casts to arrive.

    Message types are msgspec Structs registered with `on_cast` or `on_call` by the task that
    handles them; the type's tag names it on the wire.

    Handlers see a message only after its envelope was authenticated, its sender's run is known
    to be live (it answered a challenge) and its counter is new. The address given to a cast
    handler is the sender's own, as authenticated, never the datagram's source.
    """

    def __init__(
        self,
        network: PeerNetwork,
        self_id: NodeId,
        self_address: NodeAddress,
        keys: KeyRing,
        random: Random,
    ) -> None:
        """Make a link.

        Args:
            network: Carries opaque bytes.
            self_id: This node's run.
            self_address: Where the others reach this node; must be what they send to.
            keys: Shared keys; `keys.replace` rotates them while the link runs.
            random: Makes nonces; `random.SystemRandom()` outside of tests.
        """
        self.traffic = PeerTraffic()
        self._network = network
        self._keys = keys
        self._own_binding = address_binding(self_address)
        self._sealer = EnvelopeSigner(keys, self_id, self_address)
        self._guard = ReplayGuard()
        self._challenges = PendingChallenges(random)
        self._codec = MessageCodec()
        self._cast_handlers: dict[type[msgspec.Struct], CastHandler] = {}
        self._call_handlers: dict[type[msgspec.Struct], CallAnswerer] = {}
        network.serve_calls(self._answer)

    def on_cast(self, message_type: type[msgspec.Struct], handler: CastHandler) -> None:
        """Have casts of a type given to a handler, which must not block."""
        self._codec.register(message_type)
        self._cast_handlers[message_type] = handler

    def on_call(self, message_type: type[msgspec.Struct], handler: CallAnswerer) -> None:
        """Have calls of a type answered by an async handler that returns a registered struct.

        Reply types in the handler's return annotation are registered with it.
        """
        self._codec.register(message_type)
        self.register(*_annotated_reply_types(handler))
        self._call_handlers[message_type] = handler

    def register(self, *message_types: type[msgspec.Struct]) -> None:
        """Make reply types known that this node receives and has no handler for."""
        for message_type in message_types:
            self._codec.register(message_type)

    async def run(self) -> None:
        """Take arriving casts until cancelled."""
        async for datagram in self._network.datagrams():
            await self._take_datagram(datagram)

    async def cast(self, destination: NodeAddress, message: msgspec.Struct) -> None:
        """Send one message; it may be lost, doubled or reordered.

        Raises:
            ValueError: The encoded message is larger than MAX_CAST_BYTES; use a call.
        """
        payload = self._codec.encode(message)
        if len(payload) > MAX_CAST_BYTES:
            raise ValueError(f"cast of {len(payload)} bytes; at most {MAX_CAST_BYTES} fit")
        await self._send(EnvelopeKind.CAST, payload, destination, message_tag(type(message)))

    async def call(
        self, destination: NodeAddress, message: msgspec.Struct, timeout_s: float
    ) -> Result[msgspec.Struct, PeerFailure]:
        """Send a message of any size and await its typed reply."""
        payload = self._codec.encode(message)
        tag = message_tag(type(message))
        first = await self._call_once(destination, payload, b"", timeout_s, tag)
        if isinstance(first, Err):
            return first
        envelope = first.ok_value
        if envelope.kind is EnvelopeKind.CHALLENGE:
            again = await self._call_once(destination, payload, envelope.nonce, timeout_s, tag)
            if isinstance(again, Err):
                return again
            envelope = again.ok_value
        if _is_refused_as_replayed(envelope):
            # Of calls that race to answer a challenge, the later ones may come too early. The
            # refusal is signed for this call, so it was not handled and may be sent once more.
            again = await self._call_once(destination, payload, b"", timeout_s, tag)
            if isinstance(again, Err):
                return again
            envelope = again.ok_value
        return self._read_reply(envelope)

    async def _call_once(
        self, destination: NodeAddress, payload: bytes, nonce: bytes, timeout_s: float, tag: str
    ) -> Result[Envelope, PeerFailure]:
        request = self._sealer.sign(EnvelopeKind.CALL, payload, address_binding(destination), nonce)
        self.traffic.note_sent(tag, len(request))
        answered = await self._network.call(destination, request, timeout_s)
        if isinstance(answered, Err):
            return answered
        data = answered.ok_value
        opened = open_envelope(self._keys, data, reply_binding(request))
        if isinstance(opened, Err):
            self.traffic.note_rejected(opened.err_value.kind.value)
            return _failed(f"reply not taken: {opened.err_value.detail}")
        self.traffic.note_received(tag, len(data))
        return opened

    def _read_reply(self, envelope: Envelope) -> Result[msgspec.Struct, PeerFailure]:
        if envelope.kind is not EnvelopeKind.REPLY:
            reason = envelope.payload.decode("utf-8", "replace")
            return _failed(f"peer refused the call: {reason or envelope.kind.name.lower()}")
        decoded = self._codec.decode(envelope.payload)
        if isinstance(decoded, Err):
            self.traffic.note_rejected(decoded.err_value.kind.value)
            return _failed(f"reply not understood: {decoded.err_value.detail}")
        return decoded

    async def _take_datagram(self, datagram: Datagram) -> None:
        opened = open_envelope(self._keys, datagram.payload, self._own_binding)
        if isinstance(opened, Err):
            self.traffic.note_rejected(opened.err_value.kind.value)
            return
        envelope = opened.ok_value
        num_bytes = len(datagram.payload)
        if envelope.kind is EnvelopeKind.CAST:
            await self._take_cast(envelope, num_bytes)
        elif envelope.kind is EnvelopeKind.CHALLENGE:
            await self._answer_challenge(envelope, num_bytes)
        elif envelope.kind is EnvelopeKind.CHALLENGE_ANSWER:
            self._take_challenge_answer(envelope, num_bytes)
        else:
            self.traffic.note_rejected(EnvelopeFailureKind.MALFORMED.value)

    async def _take_cast(self, envelope: Envelope, num_bytes: int) -> None:
        checked = self._guard.check(envelope)
        if isinstance(checked, Ok):
            self._deliver(envelope, num_bytes)
            return
        kind = checked.err_value.kind
        if kind is not EnvelopeFailureKind.UNKNOWN_SENDER:
            self.traffic.note_rejected(kind.value)
            return
        nonce = self._challenges.open(envelope.sender)
        if self._challenges.hold(envelope, num_bytes):
            await self._send(EnvelopeKind.CHALLENGE, b"", envelope.source, CHALLENGE_TAG, nonce)

    async def _answer_challenge(self, envelope: Envelope, num_bytes: int) -> None:
        # A replayed challenge earns an answer with an old nonce, which its receiver drops.
        self.traffic.note_received(CHALLENGE_TAG, num_bytes)
        await self._send(
            EnvelopeKind.CHALLENGE_ANSWER, b"", envelope.source, CHALLENGE_TAG, envelope.nonce
        )

    def _take_challenge_answer(self, envelope: Envelope, num_bytes: int) -> None:
        if self._admit(envelope):
            self.traffic.note_received(CHALLENGE_TAG, num_bytes)
        else:
            self.traffic.note_rejected(EnvelopeFailureKind.REPLAYED.value)

    def _admit(self, envelope: Envelope) -> bool:
        """Take the answer to a challenge, then the casts held until it came."""
        held = self._challenges.settle(envelope.sender, envelope.nonce)
        if held is None:
            return False
        if not self._guard.admit(envelope, [cast.counter for cast, _ in held]):
            return False
        for cast, num_bytes in held:
            if isinstance(self._guard.check(cast), Ok):
                self._deliver(cast, num_bytes)
        return True

    def _deliver(self, envelope: Envelope, num_bytes: int) -> None:
        decoded = self._codec.decode(envelope.payload)
        if isinstance(decoded, Err):
            self.traffic.note_rejected(decoded.err_value.kind.value)
            return
        message = decoded.ok_value
        handler = self._cast_handlers.get(type(message))
        if handler is None:
            self.traffic.note_rejected("no_handler")
            return
        self.traffic.note_received(message_tag(type(message)), num_bytes)
        handler(envelope.source, message)

    async def _answer(self, request: bytes) -> bytes:
        """Answer a call; empty bytes where the caller could not be authenticated."""
        opened = open_envelope(self._keys, request, self._own_binding)
        if isinstance(opened, Err):
            self.traffic.note_rejected(opened.err_value.kind.value)
            return b""
        envelope = opened.ok_value
        binding = reply_binding(request)
        if envelope.kind is not EnvelopeKind.CALL:
            return self._reject("not a call", binding)
        checked = self._check_call(envelope)
        if isinstance(checked, Err):
            kind = checked.err_value.kind
            if kind is EnvelopeFailureKind.UNKNOWN_SENDER:
                nonce = self._challenges.open(envelope.sender)
                return self._sealer.sign(EnvelopeKind.CHALLENGE, b"", binding, nonce)
            self.traffic.note_rejected(kind.value)
            return self._reject(checked.err_value.detail, binding)
        return await self._answer_message(envelope, len(request), binding)

    def _check_call(self, envelope: Envelope) -> Result[None, EnvelopeFailure]:
        if envelope.nonce and self._admit(envelope):
            return Ok(None)
        return self._guard.check(envelope)

    async def _answer_message(self, envelope: Envelope, num_bytes: int, binding: bytes) -> bytes:
        decoded = self._codec.decode(envelope.payload)
        if isinstance(decoded, Err):
            self.traffic.note_rejected(decoded.err_value.kind.value)
            return self._reject(decoded.err_value.detail, binding)
        message = decoded.ok_value
        handler = self._call_handlers.get(type(message))
        tag = message_tag(type(message))
        if handler is None:
            self.traffic.note_rejected("no_handler")
            return self._reject(f"no handler for {tag}", binding)
        self.traffic.note_received(tag, num_bytes)
        reply = await handler(message)
        sealed = self._sealer.sign(EnvelopeKind.REPLY, self._codec.encode(reply), binding)
        self.traffic.note_sent(tag, len(sealed))
        return sealed

    def _reject(self, reason: str, binding: bytes) -> bytes:
        return self._sealer.sign(EnvelopeKind.REJECT, reason.encode(), binding)

    async def _send(
        self,
        kind: EnvelopeKind,
        payload: bytes,
        destination: NodeAddress,
        tag: str,
        nonce: bytes = b"",
    ) -> None:
        data = self._sealer.sign(kind, payload, address_binding(destination), nonce)
        self.traffic.note_sent(tag, len(data))
        await self._network.cast(destination, data)


def _is_refused_as_replayed(envelope: Envelope) -> bool:
    return envelope.kind is EnvelopeKind.REJECT and envelope.payload == REPLAYED_DETAIL.encode()


def _annotated_reply_types(handler: CallAnswerer) -> list[type[msgspec.Struct]]:
    try:
        annotation = get_type_hints(handler).get("return")
    except (NameError, TypeError):
        return []
    candidates = get_args(annotation) or (annotation,)
    return [
        candidate
        for candidate in candidates
        if isinstance(candidate, type)
        and issubclass(candidate, msgspec.Struct)
        and isinstance(candidate.__struct_config__.tag, str)
    ]


def _failed(detail: str) -> Err[PeerFailure]:
    return Err(PeerFailure(detail, provably_not_sent=False))
