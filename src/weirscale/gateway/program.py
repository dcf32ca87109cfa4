"""A gateway as a process: sockets, signals, logs, and the order of a planned stop."""

import gc
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from functools import partial
from random import Random
from typing import Protocol

import anyio

from weirscale.gateway.model.routes import RouteTable
from weirscale.gateway.node import GatewayNode
from weirscale.gateway.ports.back_end import BackEndConnector
from weirscale.gateway.ports.callers import RequestCodec
from weirscale.gateway.ports.state_feed import StateFeed
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.gateway.settings_watch import SettingsWatch
from weirscale.gateway.telemetry.line_log import LineLog
from weirscale.ports.boot_clock import boot_time_s
from weirscale.ports.connection_limits import ConnectionLimits
from weirscale.ports.event_log import EventLog
from weirscale.ports.http_server import serve_on_listeners
from weirscale.ports.key_value import KeyValuePort
from weirscale.ports.listeners import open_listener

NOTICE_S = 2.3
"""Seconds from the first failed readiness answer until nobody sends new connections any more: two
answers in a row take a node out. Not measured."""

STOP_MARGIN_S = 0.8
"""Seconds kept free at the end of the time for a stop: the process ends before it is killed.
Not measured."""

YOUNG_OBJECTS_BEFORE_COLLECTION = 20_000
"""New containers that start a garbage collection; requests are freed by their reference counts, so
that there is little to find. Not measured by itself."""

OpenListeners = Mapping[tuple[str, int], socket.socket]
"""Sockets that listen already, by host and port."""

NO_LISTENERS: OpenListeners = {}


class Adapter(Protocol):
    """What an adapter to a platform provides."""

    def settings(self) -> GatewaySettings:
        """Read the settings as they are now.

        Raises:
            SettingsError: They cannot be read or are wrong.
        """
        ...

    def feed(self) -> StateFeed:
        """Return the platform's state."""
        ...

    def store(self) -> KeyValuePort:
        """Return the key-value service."""
        ...

    def connector(self) -> BackEndConnector:
        """Return what makes ports of back ends."""
        ...

    def codec(self) -> RequestCodec:
        """Return how callers write."""
        ...


class GatewayProgram:
    """One gateway on real sockets.

    Args:
        adapter: Makes what the node needs of the platform.
        settings: Checked settings.
        event_log: Decisions.
        random: Source of randomness.
        open_listeners: Sockets that listen already; the others are opened by `run`.
    """

    def __init__(
        self,
        adapter: Adapter,
        settings: GatewaySettings,
        event_log: EventLog,
        random: Random,
        open_listeners: OpenListeners = NO_LISTENERS,
    ) -> None:
        self._settings = settings
        self._event_log = event_log
        self._open_listeners = open_listeners
        self.node = GatewayNode(
            settings,
            adapter.feed(),
            adapter.store(),
            adapter.connector(),
            adapter.codec(),
            event_log,
            random,
            # What was learnt before a suspension of the machine is as old as it really is.
            boot_time_s,
        )
        self.settings_watch = SettingsWatch(
            settings, adapter.settings, self.node.apply_settings, event_log
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, then end without cutting a request."""
        settings = self._settings
        addresses = [settings.callers, settings.readiness]
        if settings.metrics is not None:
            addresses.append(settings.metrics)
        listeners = [self._listener(address) for address in addresses]
        closed = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.run)
            tasks.start_soon(self.settings_watch.run)
            limits = ConnectionLimits()
            self.node.cluster.observe_table(partial(_take_limits, limits))
            finish_s = settings.bounds.stop_s - NOTICE_S - STOP_MARGIN_S
            async with anyio.create_task_group() as serving:
                serving.start_soon(
                    serve_on_listeners, self.node.app, listeners, closed, finish_s, limits
                )
                self._event_log.event("node_started", callers=settings.callers.port)
                _relieve_garbage_collector()
                await stop.wait()
                await self._leave(closed)
            tasks.cancel_scope.cancel()
        self._event_log.event("node_stopped")

    def _listener(self, address: ListenAddress) -> socket.socket:
        opened = self._open_listeners.get((address.host, address.port))
        return opened or open_listener(address.host, address.port)

    async def _leave(self, closed: anyio.Event) -> None:
        """Turn new connections away, let go of duties, then let running requests end."""
        self._event_log.event("node_stopping", running=self.node.app.num_running)
        self.node.is_stopping = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.leave)
            await anyio.sleep(NOTICE_S)
        closed.set()


def _take_limits(limits: ConnectionLimits, table: RouteTable) -> None:
    """Put the operators' limits on connections in force; a time that is none changes nothing."""
    configured = table.configuration.limits
    if configured.idle_timeout_s > 0.0:
        limits.keep_alive_s = configured.idle_timeout_s
    if configured.header_timeout_s > 0.0:
        limits.head_s = configured.header_timeout_s


def _relieve_garbage_collector() -> None:
    """Exempt what was made at the start from collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS_BEFORE_COLLECTION)


async def _follow_signals(stop: anyio.Event, reload: Callable[[], None]) -> None:
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*wanted) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
            else:
                stop.set()


async def _serve(make_adapter: Callable[[], Adapter], open_listeners: OpenListeners) -> None:
    adapter = make_adapter()
    settings = adapter.settings()
    log = LineLog(sys.stdout.fileno(), node=settings.name)
    log.install()
    program = GatewayProgram(adapter, settings, log, Random(), open_listeners)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(log.run)
        tasks.start_soon(_follow_signals, stop, program.settings_watch.signal)
        await program.run(stop)
        tasks.cancel_scope.cancel()
    log.flush()


def run_gateway(
    make_adapter: Callable[[], Adapter], open_listeners: OpenListeners = NO_LISTENERS
) -> int:
    """Run a gateway until SIGTERM or SIGINT; returns the exit code.

    Args:
        make_adapter: Makes the adapter to the platform.
        open_listeners: Sockets that listen already, by host and port.

    Raises:
        OSError: An address cannot be bound.
    """
    anyio.run(_serve, make_adapter, open_listeners, backend_options={"use_uvloop": True})
    return 0
