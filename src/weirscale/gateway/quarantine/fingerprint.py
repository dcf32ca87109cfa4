"""The digest by which a request is recognised at any node, whatever its id.

Costs 6 us for 200 B and 67 us for 20 kB of body (docs/design/0022-quarantine.md).
"""

from hashlib import blake2b
from typing import NewType

from weirscale.gateway.model.configuration import Tenant
from weirscale.gateway.ports.callers import CallerRequest

RequestFingerprint = NewType("RequestFingerprint", str)
"""Digest of what a caller asks, in hexadecimal: the same for all its retries, on all nodes."""

FINGERPRINT_BYTES = 16
"""Size of the digest: collisions cannot be made for 128 bits of blake2b."""

LENGTH_BYTES = 8
"""Size of the length before each part of the digested text."""


def fingerprint_of(
    request: CallerRequest, tenant: Tenant | None, body: bytes
) -> RequestFingerprint:
    """Return the fingerprint of a request.

    The caller is part of it, so that nobody can have another's requests refused; therefore the
    digest is one that collisions cannot be made for.
    """
    caller = tenant.name if tenant is not None else request.key or ""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.host, caller):
        _add(digest, part.encode())
    _add(digest, request.target)
    _add(digest, body)
    return RequestFingerprint(digest.hexdigest())


def _add(digest: blake2b, part: bytes) -> None:
    # With its length before it no part can pass for the end of the one before.
    digest.update(len(part).to_bytes(LENGTH_BYTES))
    digest.update(part)


def read_fingerprint(text: str) -> RequestFingerprint | None:
    """Return a fingerprint that was written as text; None for any other text."""
    try:
        is_whole = len(bytes.fromhex(text)) == FINGERPRINT_BYTES
    except ValueError:
        return None
    return RequestFingerprint(text) if is_whole else None
