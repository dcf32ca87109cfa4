"""One engine's load of new weights: announced to peers, ordered, and watched to its end."""

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
"""Seconds between two reports of an engine that loads: reports lag by some 0.1 s. Not measured."""

REPORT_TIMEOUT_S = 0.8
"""Seconds to wait for a report. Not measured."""

ANNOUNCE_LEAD_S = 0.06
"""Seconds between the announcement and the order, in which peers receive the gossip and send the
engine no more requests. Not measured."""

REQUESTS_END_S = 0.4
"""Seconds for which the order waits for the engine's requests to end: what they make after it is
of mixed weights. Taken with the first wave (docs/DECISIONS.md); not measured by itself."""

REQUESTS_POLL_S = 0.05
"""Seconds between two looks at the engine's requests. Not measured."""

MAX_LOAD_S = 6.0
"""Seconds after which a load that has not ended is given up, to be planned anew. Not measured."""

MAX_SILENT_REPORTS = 2
"""Unanswered reports in a row after which an engine is down, and others load in its place. A
crashed engine held one of three places for 6 s before."""

ORDER_EFFECT_S = 1.0
"""Seconds after which an order that shows no effect in the reports is sent again. Not measured."""

AnnounceLoad = Callable[[InstanceId, str, int, bool], Awaitable[None]]
"""Tells peers of an engine's load of a model: the version it has (0 at the beginning) and whether
the load is done."""


class _SentOrder(msgspec.Struct):
    """The latest order of a load; `sequence` is None before the first."""

    version: int
    sequence: int | None = None
    sent_at_s: float = 0.0


class EngineLoader:
    """Has single engines load the target version of a model.

    Args:
        orders: Sends the orders.
        cluster: Engines and versions; learns the versions that engines report.
        port_of: Returns the port of a back end.
        announce: Tells peers of a load.
        num_requests: Returns how many requests are at work at an instance.
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
        """Announce a load and carry it out; ends early if the engine goes or the term ends."""
        await self._announce(engine.instance, model, 0, False)
        await anyio.sleep(ANNOUNCE_LEAD_S)
        await self._wait_for_requests(engine)
        with anyio.move_on_after(MAX_LOAD_S):
            await self._order_until_done(engine, model)

    async def announce_end(self, engine: BackEnd, model: str) -> None:
        """Tell peers the version that an engine has after its load, also when cancelled."""
        version = self._cluster.engine_versions.version_of(engine.instance, model) or 0
        with anyio.CancelScope(shield=True):
            await self._announce(engine.instance, model, version, True)

    async def _wait_for_requests(self, engine: BackEnd) -> None:
        with anyio.move_on_after(REQUESTS_END_S):
            while self._num_requests(engine.instance) > 0:  # noqa: ASYNC110 - load has no event
                await anyio.sleep(REQUESTS_POLL_S)

    async def _order_until_done(self, engine: BackEnd, model: str) -> None:
        """Order the target version and wait for it; a later target is another load."""
        port = self._port_of(engine)
        sent = _SentOrder(self._target(model))
        num_silent = 0
        while self._orders.may_send() and self._cluster.directory.get(engine.instance) is not None:
            report = await port.report(REPORT_TIMEOUT_S)
            num_silent = num_silent + 1 if report is None else 0
            if num_silent >= MAX_SILENT_REPORTS:
                self._health.unreachable(engine.instance, "report", self._clock())
                return
            if report is not None and not report.has_pending_order:
                if self._has_version(engine, model, sent.version, report):
                    return
                await self._order_if_due(port, engine, model, sent, report)
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _order_if_due(
        self, port: BackEndPort, engine: BackEnd, model: str, sent: _SentOrder, report: EngineReport
    ) -> None:
        """Send an order, unless the latest one may still take effect."""
        has_waited = self._clock() - sent.sent_at_s >= ORDER_EFFECT_S
        if sent.sequence == report.sequence and not has_waited:
            return
        sent.version = self._target(model)
        outcome = await self._orders.send(
            port, engine.instance, model, sent.version, report.sequence
        )
        if outcome is None:
            return
        if outcome is OrderOutcome.ALREADY_LOADED:
            self._cluster.engine_versions.record_version(
                engine.instance, model, sent.version, "order"
            )
        sent.sequence = report.sequence
        sent.sent_at_s = self._clock()

    def _has_version(self, engine: BackEnd, model: str, wanted: int, report: EngineReport) -> bool:
        for served in report.models:
            if served.name == model:
                self._cluster.engine_versions.record_version(
                    engine.instance, model, served.version, "report"
                )
        return (self._cluster.engine_versions.version_of(engine.instance, model) or 0) >= wanted

    def _target(self, model: str) -> int:
        return self._cluster.target_versions.newest(model) or 0
