"""Admission control: checks a request's route, key and quota, and sets its deadline.

The checks, in order:

1. The node has a configuration; otherwise the request is refused (503).
2. The request matches a route; otherwise it is denied (404).
3. If the route requires a key, the configuration is proved to be current; otherwise the request is
   refused (503). The key is known; otherwise the request is denied (401).
4. The tenant's quota has room for the request; otherwise it is refused (429).

A denial is final, so it also requires a current configuration. Without one the caller gets 503 and
retries. All of these responses promise that the request did not run. Quarantine and overload are
checked before each attempt (`request_handler.py`), because they depend on earlier attempts.
"""

from http import HTTPStatus

import anyio
import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.limits.isolation import IsolationDetector
from weirscale.gateway.limits.quota import QuotaDecision, QuotaLedger
from weirscale.gateway.model.configuration import Route, Tenant
from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.requests.planned_stop import PlannedStop
from weirscale.gateway.routing.traffic_split import TrafficSplit
from weirscale.gateway.settings import Guarantees
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.request_summary import RequestCause

NO_CONFIGURATION_RETRY_S = 0.5
"""Retry-After in seconds of a node that has no current configuration."""

ISOLATED_RETRY_S = 0.02
"""Retry-After in seconds of an isolated node. It is short because the caller's next connection goes
to another node."""

STOPPING_RETRY_S = 0.02
"""Retry-After in seconds of a node that is being stopped; short for the same reason."""

FIRST_READ_WAIT_S = 1.0
"""Until this time in seconds after its start, a node lets requests wait for its first read of the
state. It takes about 0.5 s from the start until the node listens and reads the state."""

FIRST_READ_SHARE = 0.5
"""Maximum share of the caller's timeout that is spent waiting for the first read, so that the
caller still has time to try another node."""

PROOF_SHARE = 0.92
"""Share of the guaranteed key removal time during which the last proof that the configuration is
current stays valid. A key removal that this node has not seen is more recent than that proof. The
remaining share covers the time between the key check and the request's arrival at the back end."""


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that may be sent to a back end.

    Attributes:
        request: The request.
        body: The complete request body.
        route: Route that matches the request.
        service: Service that receives the request.
        tenant: Tenant that the key belongs to; None on public routes.
        deadline_s: Deadline of the request on the node's clock.
        quota_cost: Cost of one attempt, in the unit of the tenant's quota.
    """

    request: CallerRequest
    body: bytes
    route: Route
    service: ServiceName
    tenant: Tenant | None
    deadline_s: float
    quota_cost: float


class Refusal(msgspec.Struct, frozen=True):
    """A request that may not be sent to a back end.

    Attributes:
        status: HTTP status for the caller.
        cause: Cause for the log.
        retry_after_s: Time after which the caller should retry; None if a retry cannot succeed.
        route: Route that matches the request, if any.
        service: Service that was selected, if the checks reached that point.
        tenant: Tenant that the key belongs to, if the checks reached that point.
        quota: Quota decision, if the quota refused the request.
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
        cluster: State of the platform.
        quotas: Quotas of the tenants.
        isolation: Detects whether this node is isolated.
        guarantees: Guarantees of the deployment.
        stop: The planned stop of this node.
    """

    def __init__(
        self,
        cluster: ClusterState,
        quotas: QuotaLedger,
        isolation: IsolationDetector,
        guarantees: Guarantees,
        stop: PlannedStop,
    ) -> None:
        self._cluster = cluster
        self._stop = stop
        self._quotas = quotas
        self._isolation = isolation
        self._key_removal_s = guarantees.key_removal_s
        self._split = TrafficSplit()

    def set_guarantees(self, guarantees: Guarantees) -> None:
        """Apply changed guarantees."""
        self._key_removal_s = guarantees.key_removal_s

    def is_configuration_current(self) -> bool:
        """Return whether this node's configuration is proved recent enough to check keys."""
        if self._cluster.may_lack_configuration():
            return False
        bound_s = self._key_removal_s
        return bound_s is None or self._cluster.age_s() <= PROOF_SHARE * bound_s

    def max_body_bytes(self) -> int | None:
        """Return the maximum size of a request body; None while the node has no configuration."""
        table = self._cluster.table
        return table.configuration.limits.max_body_bytes if table else None

    async def wait_for_first_read(self, timeout_s: float | None) -> None:
        """Wait for the node's first read of the state while the node starts.

        Args:
            timeout_s: The caller's timeout, which limits the wait to `FIRST_READ_SHARE` of it;
                None if the caller did not state one.
        """
        max_wait_s = FIRST_READ_WAIT_S
        if timeout_s is not None:
            max_wait_s = min(max_wait_s, FIRST_READ_SHARE * timeout_s)
        with anyio.move_on_after(max_wait_s):
            await self._cluster.first_read.wait_within(FIRST_READ_WAIT_S)

    def admit(
        self, request: CallerRequest, body: bytes, arrived_at_s: float
    ) -> AdmittedRequest | Refusal:
        """Check a request and set its deadline.

        Args:
            request: The request.
            body: The complete request body.
            arrived_at_s: When the request's head arrived; the timeout runs from then.
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
        if not self._stop.may_begin(deadline_s):
            return _refuse_for_stop(route, service, tenant)
        cost = 0.0
        if tenant is not None:
            decision = self._quotas.admit(tenant, request.num_tokens, route.priority)
            if not decision.is_admitted:
                return _refuse_for_quota(decision, route, service, tenant)
            cost = decision.cost
        return AdmittedRequest(request, body, route, service, tenant, deadline_s, cost)

    def charge(self, admitted: AdmittedRequest) -> None:
        """Charge the cost of an attempt to the tenant's quota."""
        if admitted.tenant is not None:
            self._quotas.spend(admitted.tenant, admitted.quota_cost)

    def refund(self, admitted: AdmittedRequest) -> None:
        """Refund the cost of an attempt that did not run."""
        if admitted.tenant is not None:
            self._quotas.spend(admitted.tenant, -admitted.quota_cost)

    def _refuse(self, cause: RequestCause, route: Route | None = None) -> Refusal:
        """Return a temporary refusal, because this node's configuration may be out of date."""
        retry_s = ISOLATED_RETRY_S if self._isolation.is_isolated() else NO_CONFIGURATION_RETRY_S
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, cause, retry_s, route)

    def _deny(self, status: HTTPStatus, cause: RequestCause, route: Route | None = None) -> Refusal:
        """Return a final denial if the configuration is current, otherwise a temporary refusal."""
        if self.is_configuration_current():
            return Refusal(status, cause, None, route)
        return self._refuse(cause, route)


def _refuse_for_stop(route: Route, service: ServiceName, tenant: Tenant | None) -> Refusal:
    """Return a refusal after which the caller may go to another node at once."""
    status, cause = HTTPStatus.SERVICE_UNAVAILABLE, RequestCause.STOPPING
    return Refusal(status, cause, STOPPING_RETRY_S, route, service, tenant)


def _refuse_for_quota(
    decision: QuotaDecision, route: Route, service: ServiceName, tenant: Tenant
) -> Refusal:
    can_succeed_later = decision.retry_after_s is not None
    return Refusal(
        HTTPStatus.TOO_MANY_REQUESTS,
        RequestCause.OVER_QUOTA if can_succeed_later else RequestCause.EXCEEDS_QUOTA,
        decision.retry_after_s,
        route,
        service,
        tenant,
        decision,
    )
