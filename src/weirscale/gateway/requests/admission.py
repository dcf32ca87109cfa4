"""Admission: whether a request may be sent on, by its route, key and quota, and until when.

The checks, in order:

1. without a configuration it is refused (503);
2. without a route it is denied (404);
3. on a route with keys it is refused (503) unless the configuration is proved to be current, and
   denied (401) if the key is unknown;
4. a tenant without room in its quota is refused (429).

A denial needs a current configuration as well: without one the caller gets 503 and comes back.
All of these answers promise that the request did not run. Quarantine and overload are checked
before each attempt (`request_handler.py`), since they depend on what was sent before.
"""

from http import HTTPStatus

import anyio
import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.limits.isolation import IsolationDetector
from weirscale.gateway.limits.quota import QuotaDecision, QuotaLedger
from weirscale.gateway.model.configuration import Route, Tenant
from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.routing.traffic_split import TrafficSplit
from weirscale.gateway.settings import Guarantees
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.request_summary import RequestCause

NO_CONFIGURATION_RETRY_S = 0.5
"""Seconds after which a caller should come back to a node that has no current configuration. Not
measured."""

ISOLATED_RETRY_S = 0.02
"""The same for a node that is isolated: the caller's next connection goes to another node, so it
need not wait. Not measured."""

FIRST_READ_WAIT_S = 1.0
"""Until this long after a node's start callers wait for its first reading of the state. A start
takes some 0.5 s until the node listens and reads; the limit itself is not measured."""

FIRST_READ_SHARE = 0.5
"""Share of its time that a caller waits for that at most, so that it can still go elsewhere. Not
measured."""

PROOF_SHARE = 0.92
"""Share of the guaranteed time for removed keys for which a proof of the configuration holds. The
rest is for the way to the back end: a removal that is not known is younger than the proof, and
keys are checked before the request is sent. Not measured."""


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that may be sent on.

    Attributes:
        request: The request.
        body: Its whole body.
        route: Its route.
        service: Service that it goes to.
        tenant: Whose key it has; None on public routes.
        deadline_s: When its time is over, by the node's clock.
        quota_cost: What an attempt costs, in the unit of the tenant's quota.
    """

    request: CallerRequest
    body: bytes
    route: Route
    service: ServiceName
    tenant: Tenant | None
    deadline_s: float
    quota_cost: float


class Refusal(msgspec.Struct, frozen=True):
    """A request that may not be sent on.

    Attributes:
        status: What its caller is answered.
        cause: Why, for the log.
        retry_after_s: When the caller should come back, or None if that does not help.
        route: Its route, if one was found.
        service: Service that it would have gone to, if it came so far.
        tenant: Whose key it has, if it came so far.
        quota: The quota's decision, if that refused it.
    """

    status: HTTPStatus
    cause: RequestCause
    retry_after_s: float | None
    route: Route | None = None
    service: ServiceName | None = None
    tenant: Tenant | None = None
    quota: QuotaDecision | None = None


class AdmissionControl:
    """Admits the requests of a node and charges their tenants' quotas.

    Args:
        cluster: The platform's state.
        quotas: What tenants may spend.
        isolation: Whether this node is isolated.
        guarantees: The deployment's guarantees.
    """

    def __init__(
        self,
        cluster: ClusterState,
        quotas: QuotaLedger,
        isolation: IsolationDetector,
        guarantees: Guarantees,
    ) -> None:
        self._cluster = cluster
        self._quotas = quotas
        self._isolation = isolation
        self._key_removal_s = guarantees.key_removal_s
        self._split = TrafficSplit()

    def set_guarantees(self, guarantees: Guarantees) -> None:
        """Change the guarantees."""
        self._key_removal_s = guarantees.key_removal_s

    def is_configuration_current(self) -> bool:
        """Whether the configuration is proved to be current enough for keys."""
        bound_s = self._key_removal_s
        return bound_s is None or self._cluster.age_s() <= PROOF_SHARE * bound_s

    def max_body_bytes(self) -> int | None:
        """Return the largest body that is taken; None while no configuration is known."""
        table = self._cluster.table
        return table.configuration.limits.max_body_bytes if table else None

    async def wait_for_first_read(self, timeout_s: float | None) -> None:
        """Let a caller wait while the node starts, for half of the caller's time at most."""
        at_most_s = FIRST_READ_WAIT_S
        if timeout_s is not None:
            at_most_s = min(at_most_s, FIRST_READ_SHARE * timeout_s)
        with anyio.move_on_after(at_most_s):
            await self._cluster.wait_for_first_read(FIRST_READ_WAIT_S)

    def admit(
        self, request: CallerRequest, body: bytes, arrived_at_s: float
    ) -> AdmittedRequest | Refusal:
        """Check a request.

        Args:
            request: The request.
            body: Its whole body.
            arrived_at_s: When its head arrived; its time runs from then.
        """
        table = self._cluster.table
        if table is None:
            return self._refuse(RequestCause.NO_CONFIGURATION)
        route = table.find(request.host, request.path)
        if route is None:
            return self._deny(HTTPStatus.NOT_FOUND, RequestCause.NO_ROUTE)
        tenant = None
        if table.needs_keys and not route.is_public:
            if not self.is_configuration_current():
                return self._refuse(RequestCause.CONFIGURATION_UNPROVED, route)
            tenant = table.tenant_of(request.key)
            if tenant is None:
                return self._deny(HTTPStatus.UNAUTHORIZED, RequestCause.UNKNOWN_KEY, route)
        service = self._split.next_service(route)
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        deadline_s = arrived_at_s + timeout_s
        cost = 0.0
        if tenant is not None:
            decision = self._quotas.admit(tenant, request.num_tokens, route.priority)
            if not decision.is_admitted:
                return _refuse_for_quota(decision, route, service, tenant)
            cost = decision.cost
        return AdmittedRequest(request, body, route, service, tenant, deadline_s, cost)

    def charge(self, admitted: AdmittedRequest) -> None:
        """Spend the cost of an attempt from the tenant's quota."""
        if admitted.tenant is not None:
            self._quotas.spend(admitted.tenant, admitted.quota_cost)

    def refund(self, admitted: AdmittedRequest) -> None:
        """Give back the cost of an attempt that did not run."""
        if admitted.tenant is not None:
            self._quotas.spend(admitted.tenant, -admitted.quota_cost)

    def _refuse(self, cause: RequestCause, route: Route | None = None) -> Refusal:
        """Send a caller away for a while: this node cannot tell what is in force."""
        retry_s = ISOLATED_RETRY_S if self._isolation.is_isolated() else NO_CONFIGURATION_RETRY_S
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, cause, retry_s, route)

    def _deny(self, status: HTTPStatus, cause: RequestCause, route: Route | None = None) -> Refusal:
        """Deny a request for good if the configuration is current; else the caller comes back."""
        if self.is_configuration_current():
            return Refusal(status, cause, None, route)
        return self._refuse(cause, route)


def _refuse_for_quota(
    decision: QuotaDecision, route: Route, service: ServiceName, tenant: Tenant
) -> Refusal:
    is_possible = decision.retry_after_s is not None
    return Refusal(
        HTTPStatus.TOO_MANY_REQUESTS,
        RequestCause.OVER_QUOTA if is_possible else RequestCause.NEVER_IN_QUOTA,
        decision.retry_after_s,
        route,
        service,
        tenant,
        decision,
    )
