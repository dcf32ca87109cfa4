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
"""Tag of challenges and their answers in the traffic counts."""


class PeerLink:
    """Authenticated typed messages between nodes; `run` must be running for casts to arrive.

    Message types are msgspec Structs that the task which handles them registers with `on_cast` or
    `on_call`. The type's tag identifies it on the wire.

    A message reaches its handler only if its envelope is authentic, its sender's run has proved
    to be live by answering a challenge, and its counter is new. The address passed to a cast
    handler is the authenticated address of the sender, never the datagram's source.
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
            self_id: This run of the node.
            self_address: Address of this node; must be the address that other nodes send to.
            keys: Shared keys; `keys.replace` rotates them while the link runs.
            random: Generates nonces; must be `random.SystemRandom()` outside of tests.
        """
        self.traffic = PeerTraffic()
        self._network = network
        self._keys = keys
        self._own_binding = address_binding(self_address)
        self._signer = EnvelopeSigner(keys, self_id, self_address)
        self._guard = ReplayGuard()
        self._challenges = PendingChallenges(random)
        self._codec = MessageCodec()
        self._cast_handlers: dict[type[msgspec.Struct], CastHandler] = {}
        self._call_handlers: dict[type[msgspec.Struct], CallAnswerer] = {}
        network.serve_calls(self._answer)

    def on_cast(self, message_type: type[msgspec.Struct], handler: CastHandler) -> None:
        """Register a handler for casts of a type; it must not block."""
        self._codec.register(message_type)
        self._cast_handlers[message_type] = handler

    def on_call(self, message_type: type[msgspec.Struct], handler: CallAnswerer) -> None:
        """Register an async handler for calls of a type; it returns the reply.

        Reply types in the handler's return annotation are registered too.
        """
        self._codec.register(message_type)
        self.register(*_annotated_reply_types(handler))
        self._call_handlers[message_type] = handler

    def register(self, *message_types: type[msgspec.Struct]) -> None:
        """Register reply types that this node receives but has no handler for."""
        for message_type in message_types:
            self._codec.register(message_type)

    async def run(self) -> None:
        """Process incoming casts until cancelled."""
        async for datagram in self._network.datagrams():
            await self._handle_datagram(datagram)

    async def cast(self, destination: NodeAddress, message: msgspec.Struct) -> None:
        """Send one message, which may be lost, duplicated or reordered.

        Raises:
            ValueError: The encoded message is larger than MAX_CAST_BYTES; use a call.
        """
        payload = self._codec.encode(message)
        if len(payload) > MAX_CAST_BYTES:
            raise ValueError(f"cast of {len(payload)} bytes exceeds {MAX_CAST_BYTES}; use a call")
        await self._send(EnvelopeKind.CAST, payload, destination, message_tag(type(message)))

    async def call(
        self, destination: NodeAddress, message: msgspec.Struct, timeout_s: float
    ) -> Result[msgspec.Struct, PeerFailure]:
        """Send a message of any size and await its typed reply."""
        payload = self._codec.encode(message)
        tag = message_tag(type(message))
        result = await self._call_once(destination, payload, b"", timeout_s, tag)
        if isinstance(result, Err):
            return result
        envelope = result.ok_value
        if envelope.kind is EnvelopeKind.CHALLENGE:
            retried = await self._call_once(destination, payload, envelope.nonce, timeout_s, tag)
            if isinstance(retried, Err):
                return retried
            envelope = retried.ok_value
        if _is_refused_as_replayed(envelope):
            # When several calls race to answer a challenge, those with lower counters than the
            # answer that is admitted count as replayed. The refusal is signed for this call, so
            # the call was not handled and may be sent once more.
            retried = await self._call_once(destination, payload, b"", timeout_s, tag)
            if isinstance(retried, Err):
                return retried
            envelope = retried.ok_value
        return self._read_reply(envelope)

    async def _call_once(
        self, destination: NodeAddress, payload: bytes, nonce: bytes, timeout_s: float, tag: str
    ) -> Result[Envelope, PeerFailure]:
        request = self._signer.sign(EnvelopeKind.CALL, payload, address_binding(destination), nonce)
        self.traffic.record_sent(tag, len(request))
        answered = await self._network.call(destination, request, timeout_s)
        if isinstance(answered, Err):
            return answered
        data = answered.ok_value
        opened = open_envelope(self._keys, data, reply_binding(request))
        if isinstance(opened, Err):
            self.traffic.record_rejected(opened.err_value.kind.value)
            return _failed(f"reply rejected: {opened.err_value.detail}")
        self.traffic.record_received(tag, len(data))
        return opened

    def _read_reply(self, envelope: Envelope) -> Result[msgspec.Struct, PeerFailure]:
        if envelope.kind is not EnvelopeKind.REPLY:
            reason = envelope.payload.decode("utf-8", "replace")
            return _failed(f"peer refused the call: {reason or envelope.kind.name.lower()}")
        decoded = self._codec.decode(envelope.payload)
        if isinstance(decoded, Err):
            self.traffic.record_rejected(decoded.err_value.kind.value)
            return _failed(f"reply could not be decoded: {decoded.err_value.detail}")
        return decoded

    async def _handle_datagram(self, datagram: Datagram) -> None:
        opened = open_envelope(self._keys, datagram.payload, self._own_binding)
        if isinstance(opened, Err):
            self.traffic.record_rejected(opened.err_value.kind.value)
            return
        envelope = opened.ok_value
        num_bytes = len(datagram.payload)
        if envelope.kind is EnvelopeKind.CAST:
            await self._handle_cast(envelope, num_bytes)
        elif envelope.kind is EnvelopeKind.CHALLENGE:
            await self._answer_challenge(envelope, num_bytes)
        elif envelope.kind is EnvelopeKind.CHALLENGE_ANSWER:
            self._handle_challenge_answer(envelope, num_bytes)
        else:
            self.traffic.record_rejected(EnvelopeFailureKind.MALFORMED.value)

    async def _handle_cast(self, envelope: Envelope, num_bytes: int) -> None:
        checked = self._guard.check(envelope)
        if isinstance(checked, Ok):
            self._deliver(envelope, num_bytes)
            return
        kind = checked.err_value.kind
        if kind is not EnvelopeFailureKind.UNKNOWN_SENDER:
            self.traffic.record_rejected(kind.value)
            return
        nonce = self._challenges.open(envelope.sender)
        if self._challenges.hold(envelope, num_bytes):
            await self._send(EnvelopeKind.CHALLENGE, b"", envelope.source, CHALLENGE_TAG, nonce)

    async def _answer_challenge(self, envelope: Envelope, num_bytes: int) -> None:
        # The answer to a replayed challenge contains an old nonce, so its receiver drops it.
        self.traffic.record_received(CHALLENGE_TAG, num_bytes)
        await self._send(
            EnvelopeKind.CHALLENGE_ANSWER, b"", envelope.source, CHALLENGE_TAG, envelope.nonce
        )

    def _handle_challenge_answer(self, envelope: Envelope, num_bytes: int) -> None:
        if self._admit_sender(envelope):
            self.traffic.record_received(CHALLENGE_TAG, num_bytes)
        else:
            self.traffic.record_rejected(EnvelopeFailureKind.REPLAYED.value)

    def _admit_sender(self, envelope: Envelope) -> bool:
        """Process the answer to a challenge, then deliver the casts that were held for it.

        Returns:
            Whether the answer was valid.
        """
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
            self.traffic.record_rejected(decoded.err_value.kind.value)
            return
        message = decoded.ok_value
        handler = self._cast_handlers.get(type(message))
        if handler is None:
            self.traffic.record_rejected("no_handler")
            return
        self.traffic.record_received(message_tag(type(message)), num_bytes)
        handler(envelope.source, message)

    async def _answer(self, request: bytes) -> bytes:
        """Answer a call; return empty bytes if the caller could not be authenticated."""
        opened = open_envelope(self._keys, request, self._own_binding)
        if isinstance(opened, Err):
            self.traffic.record_rejected(opened.err_value.kind.value)
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
                return self._signer.sign(EnvelopeKind.CHALLENGE, b"", binding, nonce)
            self.traffic.record_rejected(kind.value)
            return self._reject(checked.err_value.detail, binding)
        return await self._answer_message(envelope, len(request), binding)

    def _check_call(self, envelope: Envelope) -> Result[None, EnvelopeFailure]:
        if envelope.nonce and self._admit_sender(envelope):
            return Ok(None)
        return self._guard.check(envelope)

    async def _answer_message(self, envelope: Envelope, num_bytes: int, binding: bytes) -> bytes:
        decoded = self._codec.decode(envelope.payload)
        if isinstance(decoded, Err):
            self.traffic.record_rejected(decoded.err_value.kind.value)
            return self._reject(decoded.err_value.detail, binding)
        message = decoded.ok_value
        handler = self._call_handlers.get(type(message))
        tag = message_tag(type(message))
        if handler is None:
            self.traffic.record_rejected("no_handler")
            return self._reject(f"no handler for {tag}", binding)
        self.traffic.record_received(tag, num_bytes)
        reply = await handler(message)
        reply_envelope = self._signer.sign(EnvelopeKind.REPLY, self._codec.encode(reply), binding)
        self.traffic.record_sent(tag, len(reply_envelope))
        return reply_envelope

    def _reject(self, reason: str, binding: bytes) -> bytes:
        return self._signer.sign(EnvelopeKind.REJECT, reason.encode(), binding)

    async def _send(
        self,
        kind: EnvelopeKind,
        payload: bytes,
        destination: NodeAddress,
        tag: str,
        nonce: bytes = b"",
    ) -> None:
        data = self._signer.sign(kind, payload, address_binding(destination), nonce)
        self.traffic.record_sent(tag, len(data))
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
