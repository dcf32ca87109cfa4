"""Sends queries for permits to other nodes, and answers their queries."""

from collections.abc import Callable, Mapping

import anyio

from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.messages import PermitQuery, PermitReply, SendMessage
from weirscale.gateway.request_limits.permit_issuer import PermitIssuer
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.request_limits.stated_limits import LimitStatement, StatedLimits
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.ticks import TICK_S


class PermitExchange:
    """Sends and answers queries for permits; `run` must be running.

    Args:
        name: Name of this node.
        limits: The limits that back ends state; queries and replies carry them as well.
        permits: Permits that this node holds and needs.
        issuer: Issues permits at this node.
        addresses: Returns the other nodes' addresses, by name.
        send: Sends a message to several nodes.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        limits: StatedLimits,
        permits: RequestPermits,
        issuer: PermitIssuer,
        addresses: Callable[[], Mapping[str, ListenAddress]],
        send: SendMessage,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._limits = limits
        self._permits = permits
        self._issuer = issuer
        self._addresses = addresses
        self._send = send
        self._clock = clock

    async def run(self) -> None:
        """Send queries while permits are needed, until cancelled.

        A node without limited back ends sleeps.
        """
        while True:
            await self._permits.wait_until_needed()
            while self._permits.is_fetching():
                await self._send_due_queries()
                with anyio.move_on_after(TICK_S):
                    await self._permits.wait_until_needed()

    async def _send_due_queries(self) -> None:
        addresses = self._addresses()
        for addressed in self._permits.due_queries():
            address = addresses.get(addressed.issuer)
            if address is not None:
                await self._send(addressed.query, (address,))

    async def answer(self, query: PermitQuery, address: ListenAddress) -> None:
        """Answer a query, and record the limit that it carries."""
        run, now_s = RunId(query.run), self._clock()
        made_at_s = now_s - query.age_ms / MILLISECONDS_PER_S
        self._limits.record_peer_statement(run, LimitStatement(query.limit_per_s, made_at_s))
        statement = self._limits.statement(run)
        if statement is None:
            return
        grant = self._issuer.issue(run, query.sender, query.num_requested)
        reply = PermitReply(
            self._name,
            query.number,
            run,
            grant.num_permits,
            round(grant.wait_s * MILLISECONDS_PER_S),
            statement.limit_per_s,
            round((now_s - statement.made_at_s) * MILLISECONDS_PER_S),
        )
        await self._send(reply, (address,))
