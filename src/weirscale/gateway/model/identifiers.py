"""Identifiers of the gateway alone; the names of services, tenants and zones are in `domain`."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""One start of a back end's process, as the platform names it."""

RunId = NewType("RunId", str)
"""One run of a back end's process: its instance with the time of its start, since an instance may
start again under the same name."""

RequestId = NewType("RequestId", str)
"""One try of a caller's request, as the caller names it."""

Address = NewType("Address", str)
"""IP:PORT."""
