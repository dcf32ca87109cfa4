"""Encoding of typed messages between own processes: msgspec Structs as CBOR.

A message type must carry a tag, which names it on the wire. Types with `array_like=True` are the
most compact: the tag comes first, then the fields in order. Bad input never raises: it is
answered with a typed failure.
"""

import enum

import cbor2
import msgspec
from result import Err, Ok, Result

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Largest message that is decoded; the largest real ones are configurations and cache digests."""

_BUILTIN_TYPES = (bytes,)
"""Types that CBOR carries as they are."""


class CodecFailureKind(enum.Enum):
    """Why bytes are not a message."""

    TOO_LARGE = "too_large"
    NOT_CBOR = "not_cbor"
    NO_TAG = "no_tag"
    UNKNOWN_TAG = "unknown_tag"
    WRONG_SHAPE = "wrong_shape"


class CodecFailure(msgspec.Struct, frozen=True):
    """Bytes that are not a message of a registered type; `detail` names the remedy."""

    kind: CodecFailureKind
    detail: str


class MessageCodec:
    """Encodes and decodes messages of registered types."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._max_message_bytes = max_message_bytes
        self._types: dict[str, type[msgspec.Struct]] = {}

    def register(self, message_type: type[msgspec.Struct]) -> str:
        """Make a type known and return its tag; another type with the same tag is a bug."""
        tag = message_tag(message_type)
        known = self._types.setdefault(tag, message_type)
        if known is not message_type:
            raise ValueError(f"tag {tag!r} names both {known.__name__} and {message_type.__name__}")
        return tag

    def encode(self, message: msgspec.Struct) -> bytes:
        """Encode a message; its type need not be registered on the sending side."""
        message_tag(type(message))
        builtins = msgspec.to_builtins(message, builtin_types=_BUILTIN_TYPES)
        return cbor2.dumps(builtins)

    def decode(self, data: bytes) -> Result[msgspec.Struct, CodecFailure]:
        """Decode bytes into a message of a registered type."""
        if len(data) > self._max_message_bytes:
            return _failure(
                CodecFailureKind.TOO_LARGE,
                f"{len(data)} bytes; send at most {self._max_message_bytes}",
            )
        try:
            builtins = cbor2.loads(data)
        except Exception as error:
            return _failure(CodecFailureKind.NOT_CBOR, f"{error}; send one CBOR item")
        return self._convert(builtins)

    def _convert(self, builtins: object) -> Result[msgspec.Struct, CodecFailure]:
        tag = _tag_of(builtins)
        if tag is None:
            return _failure(CodecFailureKind.NO_TAG, "no tag; send a tagged struct")
        message_type = self._types.get(tag)
        if message_type is None:
            return _failure(
                CodecFailureKind.UNKNOWN_TAG,
                f"tag {tag[:64]!r} has no handler; run one version on both nodes",
            )
        try:
            message = msgspec.convert(
                builtins, message_type, strict=True, builtin_types=_BUILTIN_TYPES
            )
        except (msgspec.ValidationError, TypeError, ValueError, RecursionError) as error:
            return _failure(
                CodecFailureKind.WRONG_SHAPE,
                f"{tag}: {error}; run one version on both nodes",
            )
        return Ok(message)


def message_tag(message_type: type[msgspec.Struct]) -> str:
    """Return the tag that names a message type on the wire; a type without one is a bug."""
    tag = message_type.__struct_config__.tag
    if not isinstance(tag, str):
        raise ValueError(f"{message_type.__name__} has no string tag; declare it with tag=...")
    return tag


def _tag_of(builtins: object) -> str | None:
    tag: object = None
    if isinstance(builtins, list | tuple) and builtins:
        tag = builtins[0]
    elif isinstance(builtins, dict):
        tag = builtins.get("type")
    return tag if isinstance(tag, str) else None


def _failure(kind: CodecFailureKind, detail: str) -> Err[CodecFailure]:
    return Err(CodecFailure(kind, detail))
