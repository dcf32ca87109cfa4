"""Authentication of what nodes send one another: shared keys, replay protection, binding.

Wire layout: one byte key id, MAC_BYTES of keyed BLAKE2b, then a CBOR array (the header and the
payload). The MAC also covers a binding that is not sent: the destination's address for casts and
calls, the request's MAC for replies. So nothing is parsed before it is authenticated, and an
envelope is worth nothing at another destination or as the answer to another request.

Replay protection uses no clocks. Each run of a sender counts its envelopes; a receiver keeps a
window of counters for each sender. The window of a run that the receiver has not met opens only
after a challenge: the sender must return a fresh nonce. So what was recorded before the receiver
restarted cannot be played to it again.
"""

import enum
import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Iterable

import cbor2
import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import Incarnation, NodeAddress, NodeId, NodeName

MAC_BYTES = 12
"""96 bits: forging needs 2**95 datagrams on average, and each byte is paid in every datagram."""

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64
"""Bounds of a shared key; BLAKE2b takes at most 64 bytes."""

NONCE_BYTES = 8
REPLAY_WINDOW = 1024
"""Counters that may arrive out of order; a sender's envelopes reordered further are dropped."""

REPLAYED_DETAIL = "counter seen before; send again under a new one"
"""What the sender of a refused call is told."""

MAX_SENDERS = 4096
"""Replay windows kept, least recently heard dropped first; a dropped one needs a new challenge."""

_PREFIX_BYTES = 1 + MAC_BYTES


class EnvelopeKind(enum.IntEnum):
    """What an envelope carries."""

    CAST = 0
    CALL = 1
    REPLY = 2
    CHALLENGE = 3
    CHALLENGE_ANSWER = 4
    REJECT = 5


class EnvelopeFailureKind(enum.Enum):
    """Why an envelope is not taken."""

    TOO_SHORT = "too_short"
    UNKNOWN_KEY = "unknown_key"
    BAD_MAC = "bad_mac"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    STALE_INCARNATION = "stale_incarnation"
    UNKNOWN_SENDER = "unknown_sender"


class EnvelopeFailure(msgspec.Struct, frozen=True):
    """An envelope that is not taken; `detail` names the remedy."""

    kind: EnvelopeFailureKind
    detail: str


class PeerKey(msgspec.Struct, frozen=True):
    """A shared key.

    Attributes:
        key_id: 0 to 255; names the key on the wire.
        secret: 16 to 64 random bytes, the same on all nodes.
    """

    key_id: int
    secret: bytes

    def __post_init__(self) -> None:
        if not 0 <= self.key_id <= 255:
            raise ValueError(f"key id {self.key_id} is not within 0 to 255")
        if not MIN_SECRET_BYTES <= len(self.secret) <= MAX_SECRET_BYTES:
            raise ValueError(f"key {self.key_id}: give 16 to 64 bytes, not {len(self.secret)}")


class KeyRing:
    """Keys in use: the first one signs, all verify.

    To rotate without a gap: add the new key last on all nodes, then move it first on all nodes,
    then drop the old one.
    """

    def __init__(self, keys: tuple[PeerKey, ...]) -> None:
        self.replace(keys)

    def replace(self, keys: tuple[PeerKey, ...]) -> None:
        """Use other keys from now on; at least one, with distinct ids."""
        secrets = {key.key_id: key.secret for key in keys}
        if not keys or len(secrets) != len(keys):
            raise ValueError("give at least one peer key, each with its own id")
        self._signing_key = keys[0]
        self._secrets = secrets

    def sign(self, body: bytes, binding: bytes) -> bytes:
        """Return the whole envelope for a body."""
        key = self._signing_key
        return bytes((key.key_id,)) + _mac(key.secret, body, binding) + body

    def verify(self, data: bytes, binding: bytes) -> Result[bytes, EnvelopeFailure]:
        """Return an envelope's body if its MAC is right."""
        if len(data) <= _PREFIX_BYTES:
            return _failure(EnvelopeFailureKind.TOO_SHORT, "no whole envelope; drop it")
        secret = self._secrets.get(data[0])
        if secret is None:
            return _failure(
                EnvelopeFailureKind.UNKNOWN_KEY,
                f"key id {data[0]} is not in use; give all nodes the same peer keys",
            )
        body = data[_PREFIX_BYTES:]
        if not hmac.compare_digest(data[1:_PREFIX_BYTES], _mac(secret, body, binding)):
            return _failure(
                EnvelopeFailureKind.BAD_MAC,
                "wrong MAC: corrupted, forged or sent to another address; check the peer keys",
            )
        return Ok(body)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Header and payload, as authenticated.

    Attributes:
        kind: What it carries.
        sender_name: The sending node's name.
        sender_incarnation: The sending node's run.
        counter: Grows with each envelope of the run.
        host: The address at which the sender listens.
        port: Its port.
        nonce: The challenge's nonce where one is made or answered, else empty.
        payload: The encoded message, empty where none.
    """

    kind: EnvelopeKind
    sender_name: str
    sender_incarnation: int
    counter: int
    host: str
    port: int
    nonce: bytes
    payload: bytes

    @property
    def sender(self) -> NodeId:
        """The run of the node that sent it."""
        return NodeId(NodeName(self.sender_name), Incarnation(self.sender_incarnation))

    @property
    def source(self) -> NodeAddress:
        """Where the sender listens."""
        return NodeAddress(self.host, self.port)


class EnvelopeSigner:
    """Makes the envelopes of one run of a node."""

    def __init__(self, keys: KeyRing, sender: NodeId, source: NodeAddress) -> None:
        self._keys = keys
        self._sender = sender
        self._source = source
        self._counter = 0

    def sign(self, kind: EnvelopeKind, payload: bytes, binding: bytes, nonce: bytes = b"") -> bytes:
        """Return a signed envelope with the next counter."""
        self._counter += 1
        body = cbor2.dumps(
            (
                int(kind),
                self._sender.name,
                self._sender.incarnation,
                self._counter,
                self._source.host,
                self._source.port,
                nonce,
                payload,
            )
        )
        return self._keys.sign(body, binding)


def open_envelope(keys: KeyRing, data: bytes, binding: bytes) -> Result[Envelope, EnvelopeFailure]:
    """Verify and parse an envelope; replay protection is the `ReplayGuard`'s."""
    verified = keys.verify(data, binding)
    if isinstance(verified, Err):
        return verified
    try:
        fields = cbor2.loads(verified.ok_value)
        return Ok(msgspec.convert(fields, Envelope, strict=True, builtin_types=(bytes,)))
    except Exception as error:
        return _failure(EnvelopeFailureKind.MALFORMED, f"{error}; run one version on both nodes")


def address_binding(destination: NodeAddress) -> bytes:
    """Binding of casts and calls: where they are sent."""
    return f"{destination.host} {destination.port}".encode()


def reply_binding(request: bytes) -> bytes:
    """Binding of replies: the request's key id and MAC, unique to the request."""
    return request[:_PREFIX_BYTES]


class ReplayGuard:
    """Windows of counters seen, one for each sending node; bounded in number."""

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max_senders = max_senders
        self._windows: OrderedDict[NodeName, _Window] = OrderedDict()

    def check(self, envelope: Envelope) -> Result[None, EnvelopeFailure]:
        """Take an envelope's counter once.

        Errors:
            UNKNOWN_SENDER: The run is new; challenge it, then `admit` it.
            STALE_INCARNATION: A later run of the sender has been admitted.
            REPLAYED: The counter was taken before, or has left the window.
        """
        sender = envelope.sender
        window = self._windows.get(sender.name)
        if window is None or sender.incarnation > window.incarnation:
            return _failure(
                EnvelopeFailureKind.UNKNOWN_SENDER, "first envelope of this run; challenge it"
            )
        if sender.incarnation < window.incarnation:
            return _failure(
                EnvelopeFailureKind.STALE_INCARNATION,
                "a later run of the node is known; give each node its own name",
            )
        self._windows.move_to_end(sender.name)
        if not window.take(envelope.counter):
            return _failure(EnvelopeFailureKind.REPLAYED, REPLAYED_DETAIL)
        return Ok(None)

    def admit(self, envelope: Envelope, held_counters: Iterable[int] = ()) -> bool:
        """Open the window of a run that answered a challenge.

        All counters up to the answer's count as taken, except those of envelopes held meanwhile:
        what was sent before and not held may have been sent again since, so it must not be taken.

        Returns:
            False for a run gone stale or an answer seen before.
        """
        sender = envelope.sender
        window = self._windows.get(sender.name)
        if window is not None and sender.incarnation < window.incarnation:
            return False
        if window is not None and sender.incarnation == window.incarnation:
            return window.take(envelope.counter)
        self._windows[sender.name] = _Window(sender.incarnation, envelope.counter, held_counters)
        self._windows.move_to_end(sender.name)
        while len(self._windows) > self._max_senders:
            self._windows.popitem(last=False)
        return True


class _Window:
    """Counters of one run that were taken; bit i stands for `highest - i`."""

    __slots__ = ("bits", "highest", "incarnation")

    def __init__(self, incarnation: int, highest: int, open_counters: Iterable[int]) -> None:
        self.incarnation = incarnation
        self.highest = highest
        self.bits = _WINDOW_MASK
        for counter in open_counters:
            if 0 < highest - counter < REPLAY_WINDOW:
                self.bits &= ~(1 << (highest - counter))

    def take(self, counter: int) -> bool:
        """Mark a counter; False if it was marked or lies below the window."""
        if counter > self.highest:
            shift = counter - self.highest
            kept = self.bits << shift if shift < REPLAY_WINDOW else 0
            self.bits = (kept | 1) & _WINDOW_MASK
            self.highest = counter
            return True
        offset = self.highest - counter
        if offset >= REPLAY_WINDOW or self.bits >> offset & 1:
            return False
        self.bits |= 1 << offset
        return True


_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1


def _mac(secret: bytes, body: bytes, binding: bytes) -> bytes:
    digest = hashlib.blake2b(key=secret, digest_size=MAC_BYTES)
    # The length keeps (binding, body) pairs apart that would concatenate to the same bytes.
    digest.update(len(binding).to_bytes(2, "big"))
    digest.update(binding)
    digest.update(body)
    return digest.digest()


def _failure(kind: EnvelopeFailureKind, detail: str) -> Err[EnvelopeFailure]:
    return Err(EnvelopeFailure(kind, detail))
