"""Authentication of messages between nodes: shared keys, replay protection and binding.

Wire layout: one byte key id, MAC_BYTES of keyed BLAKE2b, then a CBOR array (the header and the
payload). The MAC also covers a binding that is not sent: the destination's address for casts and
calls, the request's MAC for replies. So nothing is parsed before it is authenticated, and an
envelope is invalid at another destination or as the reply to another request.

Replay protection uses no clocks. Each run of a sender numbers its envelopes, and a receiver keeps a
window of counters for each sender. For a run that is new to the receiver, the window opens only
after a challenge, in which the sender must return a fresh nonce. So envelopes that were recorded
before a restart of the receiver cannot be replayed to it.
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
"""96 bits: a forgery takes 2**95 datagrams on average. More bytes would enlarge every datagram."""

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64
"""Limits on the size of a shared key; BLAKE2b accepts at most 64 bytes."""

NONCE_BYTES = 8
REPLAY_WINDOW = 1024
"""Window in which a sender's counters may arrive out of order; older ones are dropped."""

REPLAYED_DETAIL = "counter seen before; send again under a new one"
"""Error detail sent to the sender of a call that was rejected as a replay. The sender compares the
text, so it must not change."""

MAX_SENDERS = 4096
"""Replay windows kept. The least recently used are dropped first; their senders are challenged
again."""

_PREFIX_BYTES = 1 + MAC_BYTES


class EnvelopeKind(enum.IntEnum):
    """Kinds of envelopes."""

    CAST = 0
    CALL = 1
    REPLY = 2
    CHALLENGE = 3
    CHALLENGE_ANSWER = 4
    REJECT = 5


class EnvelopeFailureKind(enum.Enum):
    """Reasons why an envelope is rejected."""

    TOO_SHORT = "too_short"
    UNKNOWN_KEY = "unknown_key"
    BAD_MAC = "bad_mac"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    STALE_INCARNATION = "stale_incarnation"
    UNKNOWN_SENDER = "unknown_sender"


class EnvelopeFailure(msgspec.Struct, frozen=True):
    """The rejection of an envelope; `detail` gives the cause and the remedy."""

    kind: EnvelopeFailureKind
    detail: str


class PeerKey(msgspec.Struct, frozen=True):
    """A shared key.

    Attributes:
        key_id: Id of the key on the wire, 0 to 255.
        secret: 16 to 64 random bytes, the same on all nodes.
    """

    key_id: int
    secret: bytes

    def __post_init__(self) -> None:
        if not 0 <= self.key_id <= 255:
            raise ValueError(f"key id {self.key_id} is not between 0 and 255")
        if not MIN_SECRET_BYTES <= len(self.secret) <= MAX_SECRET_BYTES:
            raise ValueError(f"key {self.key_id}: use 16 to 64 bytes, not {len(self.secret)}")


class KeyRing:
    """Shared keys in use: the first one signs, all verify.

    To rotate keys without an interruption, add the new key as the last one on all nodes, then move
    it to the first place on all nodes, then remove the old key.
    """

    def __init__(self, keys: tuple[PeerKey, ...]) -> None:
        self.replace(keys)

    def replace(self, keys: tuple[PeerKey, ...]) -> None:
        """Replace the keys.

        Raises:
            ValueError: If there is no key or two keys have the same id.
        """
        secrets = {key.key_id: key.secret for key in keys}
        if not keys or len(secrets) != len(keys):
            raise ValueError("give at least one peer key, each with its own id")
        self._signing_key = keys[0]
        self._secrets = secrets

    def sign(self, body: bytes, binding: bytes) -> bytes:
        """Return the signed envelope for a body."""
        key = self._signing_key
        return bytes((key.key_id,)) + _mac(key.secret, body, binding) + body

    def verify(self, data: bytes, binding: bytes) -> Result[bytes, EnvelopeFailure]:
        """Return an envelope's body if its MAC is valid."""
        if len(data) <= _PREFIX_BYTES:
            return _failure(EnvelopeFailureKind.TOO_SHORT, "incomplete envelope; drop it")
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
    """Authenticated header and payload.

    Attributes:
        kind: Kind of the envelope.
        sender_name: The sending node's name.
        sender_incarnation: The sending node's run.
        counter: Number of the envelope; grows with each envelope of the run.
        host: IP address on which the sender listens.
        port: Port on which the sender listens.
        nonce: The nonce of a challenge or its answer; empty in other envelopes.
        payload: The encoded message; empty without one.
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
        """The sending node and its run."""
        return NodeId(NodeName(self.sender_name), Incarnation(self.sender_incarnation))

    @property
    def source(self) -> NodeAddress:
        """The address on which the sender listens."""
        return NodeAddress(self.host, self.port)


class EnvelopeSigner:
    """Creates the signed envelopes of one run of a node."""

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
    """Verify and parse an envelope; `ReplayGuard` protects against replays."""
    verified = keys.verify(data, binding)
    if isinstance(verified, Err):
        return verified
    try:
        fields = cbor2.loads(verified.ok_value)
        return Ok(msgspec.convert(fields, Envelope, strict=True, builtin_types=(bytes,)))
    except Exception as error:
        return _failure(
            EnvelopeFailureKind.MALFORMED, f"{error}; run the same version on both nodes"
        )


def address_binding(destination: NodeAddress) -> bytes:
    """Return the binding of casts and calls: the destination's address."""
    return f"{destination.host} {destination.port}".encode()


def reply_binding(request: bytes) -> bytes:
    """Return the binding of replies: key id and MAC of the request, which are unique to it."""
    return request[:_PREFIX_BYTES]


class ReplayGuard:
    """Replay windows of a limited number of senders, one for each sending node."""

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max_senders = max_senders
        self._windows: OrderedDict[NodeName, _Window] = OrderedDict()

    def check(self, envelope: Envelope) -> Result[None, EnvelopeFailure]:
        """Accept an envelope's counter if it was not accepted before.

        Errors:
            UNKNOWN_SENDER: The run is new; challenge it, then `admit` it.
            STALE_INCARNATION: A later run of the sender has been admitted.
            REPLAYED: The counter was accepted before, or lies below the window.
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
                "a later run of the node was admitted; give each node its own name",
            )
        self._windows.move_to_end(sender.name)
        if not window.accept(envelope.counter):
            return _failure(EnvelopeFailureKind.REPLAYED, REPLAYED_DETAIL)
        return Ok(None)

    def admit(self, envelope: Envelope, held_counters: Iterable[int] = ()) -> bool:
        """Open the window of a run that answered a challenge.

        All counters up to the answer's count as accepted, except those of envelopes held back
        during the challenge. Any other earlier envelope may be a replay, so it must be rejected.

        Args:
            envelope: The answer to the challenge.
            held_counters: Counters of the envelopes held back.

        Returns:
            False for a stale run or a replayed answer.
        """
        sender = envelope.sender
        window = self._windows.get(sender.name)
        if window is not None and sender.incarnation < window.incarnation:
            return False
        if window is not None and sender.incarnation == window.incarnation:
            return window.accept(envelope.counter)
        self._windows[sender.name] = _Window(sender.incarnation, envelope.counter, held_counters)
        self._windows.move_to_end(sender.name)
        while len(self._windows) > self._max_senders:
            self._windows.popitem(last=False)
        return True


class _Window:
    """Accepted counters of one run; bit i stands for counter `highest - i`."""

    __slots__ = ("bits", "highest", "incarnation")

    def __init__(self, incarnation: int, highest: int, open_counters: Iterable[int]) -> None:
        self.incarnation = incarnation
        self.highest = highest
        self.bits = _WINDOW_MASK
        for counter in open_counters:
            if 0 < highest - counter < REPLAY_WINDOW:
                self.bits &= ~(1 << (highest - counter))

    def accept(self, counter: int) -> bool:
        """Accept a counter; return False if it was accepted before or lies below the window."""
        if counter > self.highest:
            shift = counter - self.highest
            shifted_bits = self.bits << shift if shift < REPLAY_WINDOW else 0
            self.bits = (shifted_bits | 1) & _WINDOW_MASK
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
    # The length distinguishes (binding, body) pairs whose concatenations are equal.
    digest.update(len(binding).to_bytes(2, "big"))
    digest.update(binding)
    digest.update(body)
    return digest.digest()


def _failure(kind: EnvelopeFailureKind, detail: str) -> Err[EnvelopeFailure]:
    return Err(EnvelopeFailure(kind, detail))
