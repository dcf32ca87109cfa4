"""The mark of this run in the key-value service: its holders vote with the log only.

The mark hangs on a lease that is never renewed: each renewal takes a new lease and moves the mark
to it. So the mark ends at most one lease after the last answered grant of a lease, whatever became
of calls whose answers were lost. Only then may this run vote without the log, and only after its
claims are in the log may the mark be set again.
"""

import math
from collections.abc import Awaitable, Callable

import anyio
from result import Err, Ok, Result

from weirscale.domain.configuration.model import ClaimRules
from weirscale.domain.identifiers import Incarnation, NodeId, NodeName
from weirscale.node.claims.store_reads import read_patiently
from weirscale.ports.key_value import KeyValue, KeyValueFailure, KeyValuePort

MARK_PREFIX = "weirscale/claims/marks/"
MARK_VALUE = b"log"
KEPT_VALUE = b"kept"
"""Of a mark that a later run of the node has kept: the run that set it must change it no more."""
SET_ATTEMPTS = 2
"""The second is for a revision that was not known, after a lost answer or a lapse."""
RENEWALS_PER_LEASE = 3
"""A mark outlives the loss of two renewals."""
LEASE_MARGIN_S = 2.0
"""The service may end a lease this late, by its own rhythm."""
CLOCK_RATE_MARGIN = 1.1
"""Clocks of nodes and of the service may run at rates that differ by a tenth."""
KEEP_MARGIN_S = 600.0
"""A mark that was kept after its run lives this much longer than claims."""


def mark_key(node: NodeId) -> str:
    """Key of a run's mark."""
    return f"{MARK_PREFIX}{node.name}/{node.incarnation}"


async def read_marked(store: KeyValuePort) -> Result[frozenset[NodeId], KeyValueFailure]:
    """The runs whose marks stand."""
    answer = await read_patiently(store, MARK_PREFIX)
    if isinstance(answer, Err):
        return answer
    return Ok(frozenset(_run_of(value) for value in answer.ok_value.values))


def _run_of(value: KeyValue) -> NodeId:
    name, _, incarnation = value.key.removeprefix(MARK_PREFIX).rpartition("/")
    return NodeId(NodeName(name), Incarnation(int(incarnation)))


class LogMark:
    """Sets and renews the mark of a run; `run` must be running.

    Args:
        self_id: This run.
        store: The key-value service.
        rules: The claim rules in force.
        log_all: Puts all claims that this node holds into their logs; False when it could not.
        num_holders: Groups that this node holds: without any it needs no mark.
    """

    def __init__(
        self,
        self_id: NodeId,
        store: KeyValuePort,
        rules: Callable[[], ClaimRules],
        log_all: Callable[[], Awaitable[bool]],
        num_holders: Callable[[], int],
    ) -> None:
        self._self_id = self_id
        self._store = store
        self._rules = rules
        self._log_all = log_all
        self._num_holders = num_holders
        self._may_stand_until_s = float("-inf")
        self._is_superseded = False
        self._has_voted_without = True
        """Whether votes may have been given without the log since all claims were last in it."""
        self._mod_revision = 0

    def needs_log(self) -> bool:
        """Whether a vote given now must say that the grant needs the log."""
        if self._is_superseded or anyio.current_time() < self._may_stand_until_s:
            return True
        self._has_voted_without = True
        return False

    async def run(self) -> None:
        """Keep going until cancelled."""
        await self._keep_earlier()
        while True:
            rules = self._rules()
            started_at_s = anyio.current_time()
            if rules.log_in_store and self._num_holders() and not self._is_superseded:
                await self._renew(rules.log_lease_s)
            spent_s = anyio.current_time() - started_at_s
            interval_s = rules.log_lease_s / RENEWALS_PER_LEASE
            await anyio.sleep(max(interval_s / 2, interval_s - spent_s))

    async def _renew(self, lease_s: float) -> None:
        """Move the mark to a new lease."""
        granted = await self._store.grant_lease(lease_s)
        if isinstance(granted, Err):
            return
        before_s = self._may_stand_until_s
        lives_s = math.ceil(lease_s) * CLOCK_RATE_MARGIN + LEASE_MARGIN_S
        self._may_stand_until_s = anyio.current_time() + lives_s
        if self._has_voted_without and not await self._log_claims():
            self._may_stand_until_s = before_s  # no mark was or will be set with this lease
            return
        if self._has_voted_without:
            return  # the lease has ended meanwhile, and a vote was given without the log
        await self._set(granted.ok_value)

    async def _log_claims(self) -> bool:
        """From here on all votes need the log; put the claims of those before into it."""
        self._has_voted_without = False
        is_logged = await self._log_all()
        self._has_voted_without = self._has_voted_without or not is_logged
        return is_logged

    async def _set(self, lease_id: int) -> None:
        """Hang the mark on a lease; once more where its revision was not known."""
        key = mark_key(self._self_id)
        for _ in range(SET_ATTEMPTS):
            if self._has_voted_without:
                return
            answer = await self._store.compare_and_swap(
                key, self._mod_revision, MARK_VALUE, lease_id
            )
            if isinstance(answer, Err):
                return  # if it took effect, the next renewal finds another revision
            self._note_current(answer.ok_value.current)
            if answer.ok_value.succeeded or self._is_superseded:
                return

    def _note_current(self, current: KeyValue | None) -> None:
        self._mod_revision = current.mod_revision if current is not None else 0
        if current is not None and current.value != MARK_VALUE:
            self._is_superseded = True

    async def _keep_earlier(self) -> None:
        """Keep the marks of earlier runs of this node, as long as their claims count.

        The run before is over, so it will never vote without the log.
        """
        give_up_at_s = anyio.current_time() + self._rules().log_lease_s + LEASE_MARGIN_S
        while anyio.current_time() < give_up_at_s:
            if not self._rules().log_in_store:
                await anyio.sleep(0.25)
                continue
            if await self._keep_marks():
                return
            await anyio.sleep(0.25)

    async def _keep_marks(self) -> bool:
        found = await self._store.read(f"{MARK_PREFIX}{self._self_id.name}/")
        if isinstance(found, Err):
            return False
        for mark in found.ok_value.values:
            is_earlier = _run_of(mark).incarnation < self._self_id.incarnation
            if is_earlier and mark.value == MARK_VALUE and not await self._keep(mark):
                return False
        return True

    async def _keep(self, mark: KeyValue) -> bool:
        lease = await self._store.grant_lease(self._rules().retention_s + KEEP_MARGIN_S)
        if isinstance(lease, Err):
            return False
        kept = await self._store.compare_and_swap(
            mark.key, mark.mod_revision, KEPT_VALUE, lease.ok_value
        )
        return not isinstance(kept, Err)
