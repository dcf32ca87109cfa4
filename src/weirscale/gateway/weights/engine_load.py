"""One engine's load of new weights: announced to peers, ordered, and watched until it ends."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.ports.back_end import BackEndPort, EngineReport, OrderOutcome
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.weights.order_sender import OrderSender

REPORT_INTERVAL_S = 0.2
"""Seconds between two reports from an engine that loads. Reports lag by some 0.1 s."""

REPORT_TIMEOUT_S = 0.8
"""Seconds to wait for a report."""

ANNOUNCE_LEAD_S = 0.06
"""Seconds between the announcement and the order, in which peers receive the gossip and stop
sending requests to the engine."""

DRAIN_TIMEOUT_S = 0.4
"""Maximum seconds to wait before the order for the engine's requests to end, because their output
after the order comes from mixed weights. Decided together with the first wave
(docs/DECISIONS.md)."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Seconds between two checks of the engine's number of requests."""

MAX_LOAD_S = 6.0
"""Seconds after which a load that has not ended is abandoned and planned again."""

MAX_UNANSWERED_REPORTS = 2
"""Consecutive report requests without an answer after which an engine counts as down, so that other
engines load in its place. Without this limit, a crashed engine held one of three places for 6 s."""

ORDER_RETRY_S = 1.0
"""Seconds after which an order without an effect in the reports is sent again."""

AnnounceLoad = Callable[[InstanceId, str, int, bool], Awaitable[None]]
"""Announces an engine's load of a model to peers. Takes the engine, the model, the engine's version
(0 at the beginning of the load), and whether the load has ended."""


class _SentOrder(msgspec.Struct):
    """The latest order of a load; `sequence` is None before the first order."""

    version: int
    sequence: int | None = None
    sent_at_s: float = 0.0


class EngineLoader:
    """Makes single engines load the target version of a model.

    Args:
        orders: Sends the orders.
        cluster: Provides engines and versions; stores the versions that engines report.
        port_of: Returns the port of a back end.
        announce: Announces a load to peers.
        num_requests: Returns how many requests an instance is serving.
        health: Marks engines that leave reports unanswered as unreachable.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        orders: OrderSender,
        cluster: ClusterState,
        port_of: Callable[[BackEnd], BackEndPort],
        announce: AnnounceLoad,
        num_requests: Callable[[InstanceId], int],
        health: BackEndHealth,
        clock: Callable[[], float],
    ) -> None:
        self._orders = orders
        self._cluster = cluster
        self._port_of = port_of
        self._announce = announce
        self._num_requests = num_requests
        self._health = health
        self._clock = clock

    async def load(self, engine: BackEnd, model: str) -> None:
        """Announce a load and carry it out.

        Return early if the engine is removed or this node's term ends.
        """
        await self._announce(engine.instance, model, 0, False)
        await anyio.sleep(ANNOUNCE_LEAD_S)
        await self._drain(engine)
        with anyio.move_on_after(MAX_LOAD_S):
            await self._order_until_done(engine, model)

    async def announce_end(self, engine: BackEnd, model: str) -> None:
        """Announce the version that an engine has after its load, even when cancelled."""
        version = self._cluster.engine_versions.version_of(engine.instance, model) or 0
        with anyio.CancelScope(shield=True):
            await self._announce(engine.instance, model, version, True)

    async def _drain(self, engine: BackEnd) -> None:
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while self._num_requests(engine.instance) > 0:  # noqa: ASYNC110 - load has no event
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _order_until_done(self, engine: BackEnd, model: str) -> None:
        """Order the target version and wait until the engine has it.

        A target version that is set later is left to another load.
        """
        port = self._port_of(engine)
        last_order = _SentOrder(self._target_version(model))
        num_unanswered = 0
        while self._orders.may_send() and self._cluster.directory.get(engine.instance) is not None:
            report = await port.report(REPORT_TIMEOUT_S)
            num_unanswered = num_unanswered + 1 if report is None else 0
            if num_unanswered >= MAX_UNANSWERED_REPORTS:
                self._health.unreachable(engine.instance, "report", self._clock())
                return
            if report is not None and not report.has_pending_order:
                if self._record_report(engine, model, last_order.version, report):
                    return
                await self._order_if_due(port, engine, model, last_order, report)
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _order_if_due(
        self,
        port: BackEndPort,
        engine: BackEnd,
        model: str,
        last_order: _SentOrder,
        report: EngineReport,
    ) -> None:
        """Send an order, unless the latest order may still take effect."""
        is_retry_due = self._clock() - last_order.sent_at_s >= ORDER_RETRY_S
        if last_order.sequence == report.sequence and not is_retry_due:
            return
        last_order.version = self._target_version(model)
        outcome = await self._orders.send(
            port, engine.instance, model, last_order.version, report.sequence
        )
        if outcome is None:
            return
        if outcome is OrderOutcome.ALREADY_LOADED:
            self._cluster.engine_versions.record_version(
                engine.instance, model, last_order.version, "order"
            )
        last_order.sequence = report.sequence
        last_order.sent_at_s = self._clock()

    def _record_report(
        self, engine: BackEnd, model: str, ordered_version: int, report: EngineReport
    ) -> bool:
        """Record the version in a report; return whether the engine has the ordered version."""
        for served in report.models:
            if served.name == model:
                self._cluster.engine_versions.record_version(
                    engine.instance, model, served.version, "report"
                )
        return (
            self._cluster.engine_versions.version_of(engine.instance, model) or 0
        ) >= ordered_version

    def _target_version(self, model: str) -> int:
        return self._cluster.target_versions.newest(model) or 0
