"""The mark of this run in the key-value service: a key saying that its votes need the log.

While the mark exists, every vote of this run's holders counts only once its claim is in the log.
The mark is attached to a lease that is never renewed: each renewal takes a new lease and moves the
mark to it. So the mark expires at most one lease after the last lease grant that was answered,
even if answers to other calls were lost. Only after that may this run vote without the log. The
mark may be set again only once all claims of this run are in the log.
"""

import math
from collections.abc import Awaitable, Callable

import anyio
from result import Err, Ok, Result

from weirscale.domain.configuration.model import ClaimRules
from weirscale.domain.identifiers import Incarnation, NodeId, NodeName
from weirscale.node.claims.store_reads import read_with_retry
from weirscale.ports.key_value import KeyValue, KeyValueFailure, KeyValuePort

MARK_PREFIX = "weirscale/claims/marks/"
MARK_VALUE = b"log"
RETAINED_VALUE = b"kept"
"""Value of a mark that a later run of the node retains; the run that set it must not change it."""
SET_ATTEMPTS = 2
"""The second attempt is for an unknown revision, after a lost answer or an expired mark."""
RENEWALS_PER_LEASE = 3
"""A mark survives two failed renewals."""
LEASE_MARGIN_S = 2.0
"""The service may expire a lease this late, since it checks leases periodically."""
CLOCK_RATE_MARGIN = 1.1
"""Allows clock rates of nodes and of the service to differ by a tenth."""
RETAINED_MARK_MARGIN_S = 600.0
"""A retained mark outlives the claims of its run by this time."""


def mark_key(node: NodeId) -> str:
    """Return the key of a run's mark."""
    return f"{MARK_PREFIX}{node.name}/{node.incarnation}"


async def read_marked_runs(store: KeyValuePort) -> Result[frozenset[NodeId], KeyValueFailure]:
    """Return the runs whose marks exist."""
    answer = await read_with_retry(store, MARK_PREFIX)
    if isinstance(answer, Err):
        return answer
    return Ok(frozenset(_run_of(value) for value in answer.ok_value.values))


def _run_of(value: KeyValue) -> NodeId:
    name, _, incarnation = value.key.removeprefix(MARK_PREFIX).rpartition("/")
    return NodeId(NodeName(name), Incarnation(int(incarnation)))


class LogMark:
    """Sets and renews the mark of a run; `run` must be running.

    Args:
        self_id: This run of the node.
        store: The key-value service.
        rules: The claim rules in force.
        log_all: Writes all claims that this node holds to their logs; False if any write failed.
        num_holders: Number of groups that this node holds; the mark is set only if it is positive.
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
        self._may_exist_until_s = float("-inf")
        self._is_superseded = False
        self._has_voted_without_log = True
        """Whether votes may have been given without the log since all claims were last written."""
        self._mod_revision = 0

    def needs_log(self) -> bool:
        """Return whether a vote given now must say that the grant needs the log.

        A False answer is recorded: the caller may then vote without the log.
        """
        if self._is_superseded or anyio.current_time() < self._may_exist_until_s:
            return True
        self._has_voted_without_log = True
        return False

    async def run(self) -> None:
        """Renew the mark until cancelled."""
        await self._retain_earlier_marks()
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
        previous_until_s = self._may_exist_until_s
        max_lifetime_s = math.ceil(lease_s) * CLOCK_RATE_MARGIN + LEASE_MARGIN_S
        self._may_exist_until_s = anyio.current_time() + max_lifetime_s
        if self._has_voted_without_log and not await self._log_claims():
            self._may_exist_until_s = previous_until_s  # this lease is not used for a mark
            return
        if self._has_voted_without_log:
            return  # the lease expired in the meantime, and a vote was given without the log
        await self._set_mark(granted.ok_value)

    async def _log_claims(self) -> bool:
        """Write all held claims to the log; from now on all votes need the log."""
        self._has_voted_without_log = False
        is_logged = await self._log_all()
        self._has_voted_without_log = self._has_voted_without_log or not is_logged
        return is_logged

    async def _set_mark(self, lease_id: int) -> None:
        """Attach the mark to a lease; retry once if its revision was not known."""
        key = mark_key(self._self_id)
        for _ in range(SET_ATTEMPTS):
            if self._has_voted_without_log:
                return
            answer = await self._store.compare_and_swap(
                key, self._mod_revision, MARK_VALUE, lease_id
            )
            if isinstance(answer, Err):
                return  # if the swap took effect, the next renewal finds a changed revision
            self._record_current(answer.ok_value.current)
            if answer.ok_value.succeeded or self._is_superseded:
                return

    def _record_current(self, current: KeyValue | None) -> None:
        self._mod_revision = current.mod_revision if current is not None else 0
        if current is not None and current.value != MARK_VALUE:
            self._is_superseded = True

    async def _retain_earlier_marks(self) -> None:
        """Retain the marks of earlier runs of this node while their claims are kept.

        Earlier runs have ended, so they will never vote without the log.
        """
        deadline_s = anyio.current_time() + self._rules().log_lease_s + LEASE_MARGIN_S
        while anyio.current_time() < deadline_s:
            if not self._rules().log_in_store:
                await anyio.sleep(0.25)
                continue
            if await self._retain_marks():
                return
            await anyio.sleep(0.25)

    async def _retain_marks(self) -> bool:
        answer = await self._store.read(f"{MARK_PREFIX}{self._self_id.name}/")
        if isinstance(answer, Err):
            return False
        for mark in answer.ok_value.values:
            is_earlier = _run_of(mark).incarnation < self._self_id.incarnation
            if is_earlier and mark.value == MARK_VALUE and not await self._retain_mark(mark):
                return False
        return True

    async def _retain_mark(self, mark: KeyValue) -> bool:
        lease = await self._store.grant_lease(self._rules().retention_s + RETAINED_MARK_MARGIN_S)
        if isinstance(lease, Err):
            return False
        swapped = await self._store.compare_and_swap(
            mark.key, mark.mod_revision, RETAINED_VALUE, lease.ok_value
        )
        return not isinstance(swapped, Err)
