"""Identifier types of tenants, models, engines, services and nodes."""

from typing import NewType

import msgspec

RequestId = NewType("RequestId", str)
TenantName = NewType("TenantName", str)
EngineName = NewType("EngineName", str)
ModelName = NewType("ModelName", str)
WeightVersion = NewType("WeightVersion", str)
AdapterName = NewType("AdapterName", str)
ServiceName = NewType("ServiceName", str)
BackendName = NewType("BackendName", str)
ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)
NodeName = NewType("NodeName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a service's software, as its back ends register it; unrelated to model weights."""

Incarnation = NewType("Incarnation", int)
"""Number of a run of a node or engine; grows with each start. State of earlier runs is void."""

ConfigurationRevision = NewType("ConfigurationRevision", int)
"""The key-value service's revision of the configuration key; grows with each accepted change."""

BlockHash = NewType("BlockHash", int)
"""64-bit chained hash of a prompt block and all blocks before it."""


class NodeId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One run of one node.

    Attributes:
        name: The node's name, unique over the deployment.
        incarnation: Milliseconds since the epoch at the start of the run.
    """

    name: NodeName
    incarnation: Incarnation


class NodeAddress(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Address of a node's peer port, for datagrams (casts) and for request/reply calls.

    Attributes:
        host: IP address.
        port: UDP port for casts and TCP port for calls.
    """

    host: str
    port: int
