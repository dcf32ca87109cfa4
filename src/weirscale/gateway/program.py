"""The gateway process: sockets, signals, logs, and graceful shutdown."""

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
from weirscale.gateway.requests.connection_shedding import ConnectionShedder
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.gateway.settings_watch import SettingsWatch
from weirscale.gateway.telemetry.line_log import LineLog
from weirscale.ports.boot_clock import boot_time_s
from weirscale.ports.connection_limits import ConnectionLimits
from weirscale.ports.event_log import EventLog
from weirscale.ports.http_server import serve_on_listeners
from weirscale.ports.key_value import KeyValuePort
from weirscale.ports.listeners import open_listener

READINESS_DRAIN_S = 2.3
"""Seconds from the first failed readiness check until no new connections arrive. Two failed checks
in a row take a node out of service."""

STOP_MARGIN_S = 0.8
"""Seconds reserved at the end of the stop time, so that the process exits before it is killed."""

GC_THRESHOLD_OBJECTS = 20_000
"""Number of new container objects that triggers a garbage collection. Requests are freed by
reference counting, so a collection finds little."""

OpenListeners = Mapping[tuple[str, int], socket.socket]
"""Sockets that are already listening, by host and port."""

NO_LISTENERS: OpenListeners = {}


class Adapter(Protocol):
    """Interface that an adapter to a platform implements."""

    def settings(self) -> GatewaySettings:
        """Read the current settings.

        Raises:
            SettingsError: The settings cannot be read or are invalid.
        """
        ...

    def feed(self) -> StateFeed:
        """Return the feed of the platform's state."""
        ...

    def store(self) -> KeyValuePort:
        """Return the key-value service."""
        ...

    def connector(self) -> BackEndConnector:
        """Return the connector that creates ports of back ends."""
        ...

    def codec(self) -> RequestCodec:
        """Return the codec of callers' requests."""
        ...


class GatewayProgram:
    """One gateway on real sockets.

    Args:
        adapter: Adapter to the platform.
        settings: Validated settings.
        event_log: Receives an event for each decision.
        random: Source of randomness.
        open_listeners: Sockets that are already listening; `run` opens the others.
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
            # This clock includes suspensions of the machine, so that ages are correct afterwards.
            boot_time_s,
        )
        self.settings_watch = SettingsWatch(
            settings, adapter.settings, self.node.apply_settings, event_log
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, then shut down after the requests in flight have ended."""
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
            self.node.cluster.observe_table(partial(_apply_limits, limits))
            shedder = ConnectionShedder(
                listeners[0], self._event_log, self.node.metrics.count_shed_connection,
                lambda: self.node.app.num_running,
            )  # fmt: skip
            async with anyio.create_task_group() as serving:
                serving.start_soon(shedder.run, closed)
                serving.start_soon(
                    serve_on_listeners, self.node.app, listeners, closed,
                    _finish_s(settings.bounds.stop_s), limits,
                )  # fmt: skip
                self._event_log.event("node_started", callers=settings.callers.port)
                _tune_garbage_collector()
                await stop.wait()
                began_s = boot_time_s()
                self.settings_watch.read_now()
                stop_s = self.settings_watch.settings.bounds.stop_s
                limits.finish_s = _finish_s(stop_s)
                stopped_by_s = began_s + stop_s - STOP_MARGIN_S
                self.node.planned_stop.begin(began_s + READINESS_DRAIN_S, stopped_by_s)
                self.node.relay_gate.is_stopping = True
                await self._leave(closed)
            await self.node.relay_server.drain(stopped_by_s)
            tasks.cancel_scope.cancel()
        self._event_log.event("node_stopped")

    def _listener(self, address: ListenAddress) -> socket.socket:
        opened = self._open_listeners.get((address.host, address.port))
        return opened or open_listener(address.host, address.port)

    async def _leave(self, closed: anyio.Event) -> None:
        """Fail readiness checks, release lease and registration, then drain requests in flight."""
        self._event_log.event("node_stopping", running=self.node.app.num_running)
        self.node.is_stopping = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.leave)
            await anyio.sleep(READINESS_DRAIN_S)
        closed.set()


def _finish_s(stop_s: float) -> float:
    """Return how long requests may continue once no new connections arrive.

    Args:
        stop_s: Seconds from the beginning of the stop until the process is killed.
    """
    return stop_s - READINESS_DRAIN_S - STOP_MARGIN_S


def _apply_limits(limits: ConnectionLimits, table: RouteTable) -> None:
    """Apply the operators' connection limits; timeouts that are not positive are ignored."""
    configured = table.configuration.limits
    if configured.idle_timeout_s > 0.0:
        limits.keep_alive_s = configured.idle_timeout_s
    if configured.header_timeout_s > 0.0:
        limits.head_s = configured.header_timeout_s


def _tune_garbage_collector() -> None:
    """Exempt the objects created at the start from garbage collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)


async def _handle_signals(stop: anyio.Event, reload: Callable[[], None]) -> None:
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled) as signals:
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
        tasks.start_soon(_handle_signals, stop, program.settings_watch.signal)
        await program.run(stop)
        tasks.cancel_scope.cancel()
    log.flush()


def run_gateway(
    make_adapter: Callable[[], Adapter], open_listeners: OpenListeners = NO_LISTENERS
) -> int:
    """Run a gateway until SIGTERM or SIGINT, and return the exit code.

    Args:
        make_adapter: Creates the adapter to the platform.
        open_listeners: Sockets that are already listening, by host and port.

    Raises:
        OSError: An address cannot be bound.
    """
    anyio.run(_serve, make_adapter, open_listeners, backend_options={"use_uvloop": True})
    return 0
