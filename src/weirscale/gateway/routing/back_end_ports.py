"""Ports (clients) of back ends, one for each instance; closed once their requests have ended."""

from functools import partial

from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.ports.back_end import BackEndConnector, BackEndPort, NoticeHandler
from weirscale.gateway.ports.connections import BackEndDialer
from weirscale.gateway.routing.guarded_port import GuardedPort
from weirscale.gateway.routing.load import NO_LOAD, FleetLoad
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.unexpected_errors import UnexpectedErrors

DEFAULT_MAX_CONNECTIONS = 100
"""Maximum connections to a back end whose service is not declared; also the service default."""

CONNECTION_SHARE = 0.4
"""Share of a back end's connections that one node may use. The limit of a back end holds for all
nodes together, but most of them may have failed."""

MIN_CONNECTIONS = 4
"""Connections that a node may always open to a back end."""


class BackEndPorts:
    """Owns the ports of back ends.

    Args:
        connect: Creates a port.
        cluster: Supplies the connection limits of services.
        load: Supplies the load of this node on a back end.
        on_notice: Called with the notices in answers.
        dialer: Opens the connections to back ends.
        errors: Reports unexpected errors of calls.
    """

    def __init__(
        self,
        connect: BackEndConnector,
        cluster: ClusterState,
        load: FleetLoad,
        on_notice: NoticeHandler,
        dialer: BackEndDialer,
        errors: UnexpectedErrors,
    ) -> None:
        self._connect = connect
        self._cluster = cluster
        self._load = load
        self._on_notice = on_notice
        self._dialer = dialer
        self._errors = errors
        self._ports: dict[InstanceId, BackEndPort] = {}
        self._closing: dict[InstanceId, BackEndPort] = {}

    def port_of(self, back_end: BackEnd) -> BackEndPort:
        """Return the port of a back end. The first call creates it."""
        port = self._ports.get(back_end.instance)
        if port is None:
            client = self._connect(
                back_end, self._max_connections(back_end), self._on_notice, self._dialer
            )
            port = GuardedPort(client, partial(self._report_error, back_end.instance))
            self._ports[back_end.instance] = port
        return port

    def _report_error(self, instance: InstanceId, call: str, error: Exception) -> None:
        self._errors.report(f"back_end_{call}", instance, error)

    def _max_connections(self, back_end: BackEnd) -> int:
        table = self._cluster.table
        service = table.service(back_end.service) if table else None
        limit = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        return max(MIN_CONNECTIONS, int(limit * CONNECTION_SHARE))

    def retire(self, instance: InstanceId) -> None:
        """Mark the port of a removed back end to be closed by a later `close_unused`."""
        port = self._ports.pop(instance, None)
        if port is not None:
            self._closing[instance] = port

    def close_unused(self, tasks: TaskGroup) -> None:
        """Close the ports of removed back ends that have no requests of this node left.

        The registration of a back end may end long before its last answer does.
        """
        for instance in list(self._closing):
            if self._load.own(instance) == NO_LOAD:
                tasks.start_soon(self._closing.pop(instance).close)
