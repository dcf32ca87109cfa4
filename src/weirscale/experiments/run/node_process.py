"""One run of a virtual node: its tasks, its life and the connections of its callers."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import anyio
import msgspec
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from result import Result

from weirscale.domain.identifiers import Incarnation, NodeAddress, NodeName, ZoneName
from weirscale.domain.request.model import (
    GenerationRequest,
    ServiceRequest,
    ServiceResponse,
    TokenChunk,
)
from weirscale.domain.request.refusal import Refusal
from weirscale.experiments.run.life import ProcessKilled, ProcessLife
from weirscale.node.interfaces import ConfigurationView


class FleetNode(Protocol):
    """What the harness needs of a node, whatever it is made of."""

    @property
    def configuration(self) -> ConfigurationView:
        """The configuration in force."""
        ...

    async def run(self) -> None:
        """Run the node's tasks until cancelled."""
        ...

    def generate(
        self, request: GenerationRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[TokenChunk, Refusal]]]:
        """Handle a generation request, as the caller-facing side does."""
        ...

    async def call_service(self, request: ServiceRequest) -> Result[ServiceResponse, Refusal]:
        """Handle a service request."""
        ...

    async def drain(self) -> None:
        """Refuse new requests, finish all others, then return."""
        ...


class NodeSetup(msgspec.Struct, frozen=True):
    """What a run of a node is made from.

    Attributes:
        name: The node's name.
        zone: Its zone.
        address: Its peer address.
        incarnation: Number of this run.
        life: Its process.
        tasks: Its process's task group.
    """

    name: NodeName
    zone: ZoneName
    address: NodeAddress
    incarnation: Incarnation
    life: ProcessLife
    tasks: TaskGroup


NodeFactory = Callable[[NodeSetup], FleetNode]
"""Makes the node of one run; its ports must pass the gates of the setup's life."""

Answer = TokenChunk | Refusal | ServiceResponse


class Connection:
    """A caller's connection to a node; closing it is how the caller leaves."""

    def __init__(self) -> None:
        streams = anyio.create_memory_object_stream[Answer](0)
        self._send: MemoryObjectSendStream[Answer] = streams[0]
        self._receive: MemoryObjectReceiveStream[Answer] = streams[1]
        self._scope = anyio.CancelScope()

    async def receive(self) -> Answer | None:
        """Receive the next item; None when the node's side has closed the connection."""
        try:
            return await self._receive.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            return None

    def close(self) -> None:
        """Close the connection from the caller's side."""
        self._receive.close()
        self._scope.cancel()

    def break_off(self) -> None:
        """Close the connection from the node's side, as the end of its process does."""
        self._send.close()

    async def serve(self, answers: AsyncIterator[Answer]) -> None:
        """Send answers until there are no more, or the caller leaves."""
        try:
            with self._scope:
                async for answer in answers:
                    await self._send.send(answer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            self._send.close()


class NodeProcess:
    """One run of one node.

    Attributes:
        life: Its gate to the world.
        node: The node, once `run` has made it.
        failures: Exceptions that handling of requests or tasks raised: faults of the product.
    """

    def __init__(self, failures: list[Exception]) -> None:
        self.life = ProcessLife()
        self.node: FleetNode | None = None
        self.failures = failures
        self._tasks: TaskGroup | None = None
        self._scope = anyio.CancelScope()
        self._connections: set[Connection] = set()

    @property
    def accepts(self) -> bool:
        """Whether a connection can be made: a paused process still has its listening socket."""
        return self._tasks is not None and not self.life.is_killed

    async def run(self, make_node: Callable[[TaskGroup], FleetNode]) -> None:
        """Run until killed or stopped; never raises."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    self.node = make_node(tasks)
                    self._tasks = tasks
                    await self.node.run()
        except* ProcessKilled:
            pass
        except* Exception as group:
            self.failures.extend(_leaves(group))
        finally:
            self._tasks = None
            self._break_connections()

    def kill(self) -> None:
        """End the process at once."""
        self.life.kill()
        self._scope.cancel()
        self._break_connections()

    def generate(self, request: GenerationRequest) -> Connection | None:
        """Connect and send a generation request; None if the connection is refused."""
        return self._connect(lambda node: _generated(node, request))

    def call_service(self, request: ServiceRequest) -> Connection | None:
        """Connect and send a service request; None if the connection is refused."""
        return self._connect(lambda node: _served(node, request))

    def _connect(self, answers: Callable[[FleetNode], AsyncIterator[Answer]]) -> Connection | None:
        if self._tasks is None or self.node is None or self.life.is_killed:
            return None
        connection = Connection()
        self._connections.add(connection)
        self._tasks.start_soon(self._serve, connection, answers(self.node))
        return connection

    async def _serve(self, connection: Connection, answers: AsyncIterator[Answer]) -> None:
        try:
            await self.life.go_on()
            await connection.serve(self.life.guard_each(answers))
        except Exception as error:
            self.failures.append(error)
        finally:
            connection.break_off()
            self._connections.discard(connection)

    def _break_connections(self) -> None:
        for connection in tuple(self._connections):
            connection.break_off()


async def _generated(node: FleetNode, request: GenerationRequest) -> AsyncIterator[Answer]:
    async with node.generate(request) as results:
        async for result in results:
            yield result.value


async def _served(node: FleetNode, request: ServiceRequest) -> AsyncIterator[Answer]:
    result = await node.call_service(request)
    yield result.value


def _leaves(group: BaseExceptionGroup[Exception]) -> list[Exception]:
    """Return the single exceptions of a group."""
    leaves: list[Exception] = []
    for error in group.exceptions:
        leaves.extend(_leaves(error) if isinstance(error, BaseExceptionGroup) else [error])
    return leaves
