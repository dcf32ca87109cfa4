"""One run of a virtual node: its tasks, its life and the exchanges with its callers."""

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
"""What a server needs to send answers that are complete."""


class NodeSetup(msgspec.Struct, frozen=True):
    """What a run of a node is made from.

    Attributes:
        name: The node's name.
        zone: Its zone.
        address: Its peer address.
        run_number: Counts the runs of this node from 1.
        life: Its process.
        tasks: Its process's task group.
    """

    name: NodeName
    zone: ZoneName
    address: NodeAddress
    run_number: int
    life: ProcessLife
    tasks: TaskGroup


NodeFactory = Callable[[NodeSetup], Node]
"""Makes the node of one run; its ports must pass the gates of the setup's life."""


class NodeProcess:
    """One run of one node.

    Attributes:
        life: Its gate to the world.
        node: The node, once `run` has made it.
        failures: Exceptions that handling of requests or tasks raised: faults of the product.
    """

    def __init__(self, failures: list[Exception]) -> None:
        self.life = ProcessLife()
        self.node: Node | None = None
        self.failures = failures
        self._tasks: TaskGroup | None = None
        self._scope = anyio.CancelScope()
        self._exchanges: dict[Exchange, None] = {}

    @property
    def accepts(self) -> bool:
        """Whether a connection can be made: a paused process still has its listening socket."""
        return self._tasks is not None and not self.life.is_killed

    @property
    def num_exchanges(self) -> int:
        """Exchanges that have not ended."""
        return len(self._exchanges)

    async def run(self, make_node: Callable[[TaskGroup], Node]) -> None:
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
            self._break_exchanges()

    async def drain(self) -> None:
        """Have the node drain, as SIGTERM does: a paused process takes it when it goes on.

        Returns at once when the process is killed meanwhile. Otherwise the HTTP server still sends
        what the application has handed to it.
        """
        try:
            await self.life.go_on()
            if self.node is not None:
                await self.node.drain()
            await anyio.sleep(FLUSH_S)
        except* ProcessKilled:
            # `except*` also meets it inside the groups of the node's own task groups.
            pass

    def kill(self) -> None:
        """End the process at once."""
        self.life.kill()
        self._scope.cancel()
        self._break_exchanges()

    def connect(self, request: HttpRequest) -> Exchange | None:
        """Connect and send a request; None if the connection is refused."""
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
            await self.life.go_on()
            await node.caller_app(exchange.scope(), receive, send)
        except Exception as error:
            self.failures.append(error)
        finally:
            exchange.break_off()
            self._exchanges.pop(exchange, None)

    def _break_exchanges(self) -> None:
        for exchange in tuple(self._exchanges):
            exchange.break_off()


def _leaves(group: BaseExceptionGroup[Exception]) -> list[Exception]:
    """Return the single exceptions of a group."""
    leaves: list[Exception] = []
    for error in group.exceptions:
        leaves.extend(_leaves(error) if isinstance(error, BaseExceptionGroup) else [error])
    return leaves
