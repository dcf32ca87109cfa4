"""Identifier types of the gateway only; those of services, tenants and zones are in `domain`."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""The platform's name for one start of a back end's process."""

RunId = NewType("RunId", str)
"""One run of a back end's process: its instance name and start time, because an instance may start
again under the same name."""

RequestId = NewType("RequestId", str)
"""The caller's identifier of one sending of a request. All attempts that the gateway makes for it
carry the same."""

Address = NewType("Address", str)
"""IP:PORT in the form that `addresses.read_address` returns."""
