"""One run of a virtual node process, with its tasks and its exchanges with callers."""

from collections.abc import Callable, MutableMapping
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.identifiers import NodeAddress, NodeName, ZoneName
from weirscale.experiments.run.exchange import Exchange, HttpRequest, Message
from weirscale.experiments.run.life import ProcessKilled, ProcessLife
from weirscale.node.assembly import Node

FLUSH_S = 0.01
"""Time that the HTTP server needs to send answers that the application has completed."""


class NodeSetup(msgspec.Struct, frozen=True):
    """Parameters of one run of a node.

    Attributes:
        name: The node's name.
        zone: The node's zone.
        address: The node's peer address.
        run_number: Number of this run of the node, starting at 1.
        life: State of the node's process.
        tasks: Task group of the process.
    """

    name: NodeName
    zone: ZoneName
    address: NodeAddress
    run_number: int
    life: ProcessLife
    tasks: TaskGroup


NodeFactory = Callable[[NodeSetup], Node]
"""Creates the node of one run; its ports must pass the gate of `NodeSetup.life`."""


class NodeProcess:
    """One run of a node.

    Attributes:
        life: State of the process and gate for its external calls.
        node: The node, once `run` has created it.
        failures: Exceptions that request handlers or tasks of the node raised; each one is a bug
            in the node.
    """

    def __init__(self, failures: list[Exception]) -> None:
        self.life = ProcessLife()
        self.node: Node | None = None
        self.failures = failures
        self._tasks: TaskGroup | None = None
        self._scope = anyio.CancelScope()
        self._exchanges: dict[Exchange, None] = {}

    @property
    def is_accepting(self) -> bool:
        """Whether callers can connect; the listening socket of a paused process stays open."""
        return self._tasks is not None and not self.life.is_killed

    @property
    def num_exchanges(self) -> int:
        """Number of exchanges that have not ended."""
        return len(self._exchanges)

    async def run(self, make_node: Callable[[TaskGroup], Node]) -> None:
        """Run until killed or stopped; never raise, but add the node's exceptions to `failures`."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    self.node = make_node(tasks)
                    self._tasks = tasks
                    await self.node.run()
        except* ProcessKilled:
            pass
        except* Exception as group:
            self.failures.extend(_leaf_exceptions(group))
        finally:
            self._tasks = None
            self._break_exchanges()

    async def drain(self) -> None:
        """Drain the node as on SIGTERM; a paused process starts to drain when it resumes.

        Returns immediately if the process is killed meanwhile. Otherwise it returns after the HTTP
        server has had time to send what the application has passed to it.
        """
        try:
            await self.life.wait_until_running()
            if self.node is not None:
                await self.node.drain()
            await anyio.sleep(FLUSH_S)
        except* ProcessKilled:
            # `except*` also catches it inside exception groups, which the node's task groups raise.
            pass

    def kill(self) -> None:
        """Kill the process immediately."""
        self.life.kill()
        self._scope.cancel()
        self._break_exchanges()

    def connect(self, request: HttpRequest) -> Exchange | None:
        """Connect and send a request; return None if the connection is refused."""
        if self._tasks is None or self.node is None or self.life.is_killed:
            return None
        exchange = Exchange(request)
        self._exchanges[exchange] = None
        self._tasks.start_soon(self._serve, self.node, exchange)
        return exchange

    async def _serve(self, node: Node, exchange: Exchange) -> None:
        async def receive() -> Message:
            return await self.life.guard(exchange.receive)

        async def send(message: MutableMapping[str, Any]) -> None:
            await self.life.guard(lambda: exchange.send(dict(message)))

        try:
            await self.life.wait_until_running()
            await node.caller_app(exchange.scope(), receive, send)
        except Exception as error:
            self.failures.append(error)
        finally:
            exchange.break_off()
            self._exchanges.pop(exchange, None)

    def _break_exchanges(self) -> None:
        for exchange in tuple(self._exchanges):
            exchange.break_off()


def _leaf_exceptions(group: BaseExceptionGroup[Exception]) -> list[Exception]:
    """Return the exceptions of a group and of its nested groups."""
    leaf_exceptions: list[Exception] = []
    for error in group.exceptions:
        leaf_exceptions.extend(
            _leaf_exceptions(error) if isinstance(error, BaseExceptionGroup) else [error]
        )
    return leaf_exceptions
