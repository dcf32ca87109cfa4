"""Encoding of typed messages between weirscale's processes: msgspec Structs as CBOR.

A message type must have a tag, which names the type on the wire. The encoding of types with
`array_like=True` is the most compact: the tag, then the fields in order. Decoding bad input does
not raise but returns a typed failure.
"""

import enum

import cbor2
import msgspec
from result import Err, Ok, Result

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Size of the largest message that is decoded; configurations and cache digests are the largest in
practice."""

_BUILTIN_TYPES = (bytes,)
"""Types that CBOR encodes natively."""


class CodecFailureKind(enum.Enum):
    """Reasons why bytes could not be decoded."""

    TOO_LARGE = "too_large"
    NOT_CBOR = "not_cbor"
    NO_TAG = "no_tag"
    UNKNOWN_TAG = "unknown_tag"
    WRONG_SHAPE = "wrong_shape"


class CodecFailure(msgspec.Struct, frozen=True):
    """Bytes that are not a message of a registered type; `detail` gives the cause and remedy."""

    kind: CodecFailureKind
    detail: str


class MessageCodec:
    """Encodes and decodes messages of registered types."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._max_message_bytes = max_message_bytes
        self._types: dict[str, type[msgspec.Struct]] = {}

    def register(self, message_type: type[msgspec.Struct]) -> str:
        """Register a type for decoding and return its tag.

        Raises:
            ValueError: If another type has the same tag.
        """
        tag = message_tag(message_type)
        registered = self._types.setdefault(tag, message_type)
        if registered is not message_type:
            raise ValueError(
                f"tag {tag!r} is used by both {registered.__name__} and {message_type.__name__}"
            )
        return tag

    def encode(self, message: msgspec.Struct) -> bytes:
        """Encode a message; the sender need not register its type."""
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
                f"tag {tag[:64]!r} has no handler; run the same version on both nodes",
            )
        try:
            message = msgspec.convert(
                builtins, message_type, strict=True, builtin_types=_BUILTIN_TYPES
            )
        except (msgspec.ValidationError, TypeError, ValueError, RecursionError) as error:
            return _failure(
                CodecFailureKind.WRONG_SHAPE,
                f"{tag}: {error}; run the same version on both nodes",
            )
        return Ok(message)


def message_tag(message_type: type[msgspec.Struct]) -> str:
    """Return the tag that names a message type on the wire.

    Raises:
        ValueError: If the type has no string tag.
    """
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
