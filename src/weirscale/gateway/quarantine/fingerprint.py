"""The digest that identifies a request at any node, independent of its id.

Costs 6 us for a body of 200 B and 67 us for 20 kB (docs/design/0022-quarantine.md).
"""

from hashlib import blake2b
from typing import NewType

from weirscale.gateway.model.configuration import Tenant
from weirscale.gateway.ports.callers import CallerRequest

RequestFingerprint = NewType("RequestFingerprint", str)
"""Hexadecimal digest of a caller's request; the same each time that the caller sends it, and on all
nodes."""

FINGERPRINT_BYTES = 16
"""Size of the digest in bytes: no collisions can be constructed for 128 bits of blake2b."""

LENGTH_BYTES = 8
"""Size in bytes of the length prefix of each digested part."""


def fingerprint_of(
    request: CallerRequest, tenant: Tenant | None, body: bytes
) -> RequestFingerprint:
    """Return the fingerprint of a request.

    The caller is part of the fingerprint, so a caller cannot cause another caller's requests to be
    refused. For the same reason the digest must be collision-resistant.
    """
    caller = tenant.name if tenant is not None else request.key or ""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.host, caller):
        _add(digest, part.encode())
    _add(digest, request.target)
    _add(digest, body)
    return RequestFingerprint(digest.hexdigest())


def _add(digest: blake2b, part: bytes) -> None:
    # The length prefix keeps a part from being read as the end of the previous one.
    digest.update(len(part).to_bytes(LENGTH_BYTES))
    digest.update(part)


def read_fingerprint(text: str) -> RequestFingerprint | None:
    """Return the fingerprint in a text; None if the text is not a fingerprint."""
    try:
        has_full_length = len(bytes.fromhex(text)) == FINGERPRINT_BYTES
    except ValueError:
        return None
    return RequestFingerprint(text) if has_full_length else None
