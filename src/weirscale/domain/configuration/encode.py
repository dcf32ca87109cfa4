"""Encoding of deployments in the key-value service and between nodes.

Both forms are compressed CBOR. The stored form carries a format number, so that a node rejects a
newer format with a clear error. It also carries a log of the last changes. An operator whose reply
was lost, or whose change was superseded, can find out from the log what happened.
"""

import zlib
from typing import Any, TypeVar

import cbor2
import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.difference import DeploymentDelta
from weirscale.domain.configuration.model import Deployment

STORED_FORMAT = 1
MAX_ENCODED_BYTES = 8 * 1024 * 1024
"""Limit of the uncompressed form: 16 times a deployment of 1,700 engines and 290 tenants."""
MAX_LOGGED_CHANGES = 16
"""Changes kept in the log: more than operators make within the time limit of one apply."""

DecodedT = TypeVar("DecodedT")


class AppliedChange(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change.

    Attributes:
        apply_id: Unique id of the `apply` that made the change.
        from_revision: Revision that the change replaced, made by the change before it in the log.
        summary: The plan, one difference per line, truncated.
    """

    apply_id: str
    from_revision: int
    summary: str


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The value of the configuration key.

    Attributes:
        deployment: The declared state in canonical form.
        log: The last changes, the newest last; the newest change wrote this value.
        format: Version of the stored form.
    """

    deployment: Deployment
    log: tuple[AppliedChange, ...]
    format: int = STORED_FORMAT


class DecodeFailure(msgspec.Struct, frozen=True):
    """Bytes that could not be decoded; `detail` gives the cause and the remedy."""

    detail: str


def encode_stored(stored: StoredConfiguration) -> bytes:
    """Encode the value of the configuration key."""
    return _pack(stored)


def decode_stored(data: bytes) -> Result[StoredConfiguration, DecodeFailure]:
    """Decode the value of the configuration key."""
    unpacked = _unpack(data)
    if isinstance(unpacked, Err):
        return unpacked
    value = unpacked.ok_value
    if not isinstance(value, dict) or value.get("format") != STORED_FORMAT:
        stored_format = value.get("format") if isinstance(value, dict) else "none"
        detail = (
            f"stored format {stored_format} is not {STORED_FORMAT}; run the version that wrote it"
        )
        return Err(DecodeFailure(detail))
    return _convert(value, StoredConfiguration)


def encode_deployment(deployment: Deployment) -> bytes:
    """Encode a whole deployment for another node."""
    return _pack(deployment)


def decode_deployment(data: bytes) -> Result[Deployment, DecodeFailure]:
    """Decode a whole deployment."""
    return _unpack(data).and_then(lambda value: _convert(value, Deployment))


def encode_delta(delta: DeploymentDelta) -> bytes:
    """Encode a delta for another node."""
    return _pack(delta)


def decode_delta(data: bytes) -> Result[DeploymentDelta, DecodeFailure]:
    """Decode a delta."""
    return _unpack(data).and_then(lambda value: _convert(value, DeploymentDelta))


def _pack(value: msgspec.Struct) -> bytes:
    return zlib.compress(cbor2.dumps(msgspec.to_builtins(value)))


def _unpack(data: bytes) -> Result[Any, DecodeFailure]:
    """Decompress up to MAX_ENCODED_BYTES and decode; return a failure for bad input."""
    try:
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(data, MAX_ENCODED_BYTES)
        if not decompressor.eof:
            return Err(DecodeFailure("cut short or too large; fetch it again"))
        return Ok(cbor2.loads(decompressed))
    except Exception as error:
        return Err(DecodeFailure(f"{type(error).__name__} {error}; fetch it again"))


def _convert(value: object, expected: type[DecodedT]) -> Result[DecodedT, DecodeFailure]:
    try:
        return Ok(msgspec.convert(value, expected))
    except (msgspec.ValidationError, RecursionError) as error:
        return Err(DecodeFailure(f"{error}; run the same version on all nodes"))
