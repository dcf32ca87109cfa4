"""The record of a quarantine in the store, which outlives the nodes that know of its crashes."""

from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, read_fingerprint

QUARANTINE_PREFIX = "weirscale/quarantine/"


def quarantine_key(fingerprint: RequestFingerprint) -> str:
    """Return the key of a request's quarantine."""
    return QUARANTINE_PREFIX + fingerprint


def read_quarantine_key(key: str) -> RequestFingerprint | None:
    """Return the request that a key stands for; None for any other key."""
    if not key.startswith(QUARANTINE_PREFIX):
        return None
    return read_fingerprint(key.removeprefix(QUARANTINE_PREFIX))
