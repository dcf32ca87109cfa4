"""Authentication of callers by API key."""

import hashlib

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import ConfigurationRevision
from weirscale.node.interfaces import ConfigurationInForce

_SCHEME = "bearer"


class TenantIndex:
    """Index of tenants by the digests of their API keys, rebuilt for each revision."""

    def __init__(self) -> None:
        self._revision: ConfigurationRevision | None = None
        self._tenant_by_digest: dict[str, Tenant] = {}

    def find(self, in_force: ConfigurationInForce, authorization: str) -> Tenant | None:
        """Return the tenant whose API key an Authorization header contains, or None."""
        if in_force.revision != self._revision:
            self._rebuild(in_force)
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != _SCHEME:
            return None
        # The lookup can leak timing of digests at most, never of keys.
        digest = hashlib.sha256(key.strip().encode("latin-1", "replace")).hexdigest()
        return self._tenant_by_digest.get(digest)

    def _rebuild(self, in_force: ConfigurationInForce) -> None:
        self._revision = in_force.revision
        self._tenant_by_digest = {
            digest: tenant
            for tenant in in_force.deployment.tenants
            for digest in tenant.api_key_sha256
        }
