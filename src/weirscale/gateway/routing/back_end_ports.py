"""The clients of back ends: one for each instance, closed once nothing runs there any more."""

from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.ports.back_end import BackEndConnector, BackEndPort, NoticeHandler
from weirscale.gateway.routing.load import NO_LOAD, FleetLoad
from weirscale.gateway.state.cluster_state import ClusterState

DEFAULT_MAX_CONNECTIONS = 100
"""Connections that a back end takes where its service is not declared; the default of a service."""

CONNECTION_SHARE = 0.4
"""Share of a back end's connections that one node may use. A back end's limit holds for all nodes
together, and most of them may be gone. Not measured."""

MIN_CONNECTIONS = 4
"""Connections that a node may always open to a back end. Not measured."""


class BackEndPorts:
    """Owns the clients of back ends.

    Args:
        connect: Makes a client.
        cluster: Tells how many connections a service's back ends take.
        load: Tells what this node has at work at a back end.
        on_notice: Called with what answers say of their back ends.
    """

    def __init__(
        self,
        connect: BackEndConnector,
        cluster: ClusterState,
        load: FleetLoad,
        on_notice: NoticeHandler,
    ) -> None:
        self._connect = connect
        self._cluster = cluster
        self._load = load
        self._on_notice = on_notice
        self._ports: dict[InstanceId, BackEndPort] = {}
        self._closing: dict[InstanceId, BackEndPort] = {}

    def port_of(self, back_end: BackEnd) -> BackEndPort:
        """Return the client of a back end; it is made at the first call."""
        port = self._ports.get(back_end.instance)
        if port is None:
            port = self._connect(back_end, self._max_connections(back_end), self._on_notice)
            self._ports[back_end.instance] = port
        return port

    def _max_connections(self, back_end: BackEnd) -> int:
        table = self._cluster.table
        service = table.service(back_end.service) if table else None
        limit = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        return max(MIN_CONNECTIONS, int(limit * CONNECTION_SHARE))

    def retire(self, instance: InstanceId) -> None:
        """Have the client of a back end that is gone closed by a later `close_unused`."""
        port = self._ports.pop(instance, None)
        if port is not None:
            self._closing[instance] = port

    def close_unused(self, tasks: TaskGroup) -> None:
        """Close connections to back ends that are gone, once nothing runs there any more.

        A back end's registration may end long before its last answer does.
        """
        for instance in list(self._closing):
            if self._load.own(instance) == NO_LOAD:
                tasks.start_soon(self._closing.pop(instance).close)
