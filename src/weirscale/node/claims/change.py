"""One change of a claim group's epoch: seal, copy, prepare, swap, announce.

The order makes the change safe: a majority of the old holders has stopped answering before its
claims are read, all new holders keep those claims before the record is swapped, and a new holder
answers only when it hears that the record of the very change that prepared it is in force. A
change that stops anywhere leaves the group either as it was or sealed; a sealed group refuses
until the next change goes through.
"""

import anyio
import cbor2
import msgspec
from result import Err

from weirscale.domain.claims.authority import AMNESIA_MARGIN_S
from weirscale.domain.claims.merge import merge_claims
from weirscale.domain.claims.model import CopiedClaim, GroupEpoch, Holder
from weirscale.domain.identifiers import NodeId
from weirscale.messages.claims import (
    ClaimAck,
    ClaimAnnounce,
    ClaimCopied,
    ClaimCopy,
    ClaimEpochsQuery,
    ClaimEpochsReply,
    ClaimPrepare,
    ClaimSeal,
    ClaimSealed,
)
from weirscale.node.claims.log import ClaimLog
from weirscale.node.claims.peers import ClaimPeers
from weirscale.node.claims.registry import COPY_PAGE_CLAIMS
from weirscale.node.claims.store_reads import read_patiently
from weirscale.ports.key_value import KeyValueFailureKind, KeyValuePort

RECORD_PREFIX = "weirscale/claims/groups/"
CALL_TIMEOUT_S = 2.0
"""For seals and pages; a holder that takes longer counts as gone for this change."""
SWAP_ATTEMPTS = 8
"""Tries of the swap while the store is down or limits the rate; the group is sealed meanwhile."""
SWAP_RETRY_S = 0.25
"""First wait between two tries; doubles."""


class StoredRecord(msgspec.Struct, frozen=True):
    """A group's record as read; `record` is None when the group has none."""

    record: GroupEpoch | None
    mod_revision: int


def record_key(group: int) -> str:
    """Key of a group's record in the key-value service."""
    return f"{RECORD_PREFIX}{group:03d}"


def encode_record(record: GroupEpoch) -> bytes:
    """The stored form of a record."""
    return cbor2.dumps(msgspec.to_builtins(record, builtin_types=(bytes,)))


def decode_record(value: bytes) -> GroupEpoch | None:
    """Read the stored form; None for what is not a record."""
    try:
        return msgspec.convert(cbor2.loads(value), GroupEpoch, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError):
        return None


async def read_records(store: KeyValuePort) -> dict[int, StoredRecord] | None:
    """Read the records of all groups; None when the store does not answer."""
    answer = await store.read(RECORD_PREFIX)
    if isinstance(answer, Err):
        return None
    decoded = [(decode_record(each.value), each.mod_revision) for each in answer.ok_value.values]
    return {
        record.group: StoredRecord(record, revision)
        for record, revision in decoded
        if record is not None
    }


async def read_record(store: KeyValuePort, group: int) -> StoredRecord | None:
    """Read one group's record; None when the store does not answer or holds something else."""
    answer = await read_patiently(store, record_key(group))
    if isinstance(answer, Err):
        return None
    if not answer.ok_value.values:
        return StoredRecord(None, 0)
    value = answer.ok_value.values[0]
    record = decode_record(value.value)
    return StoredRecord(record, value.mod_revision) if record is not None else None


class _Collected(msgspec.Struct, frozen=True):
    """What the sealed holders of an epoch handed over."""

    claims: tuple[CopiedClaim, ...]
    uncertain_wait_s: float


class EpochChange:
    """Carries a group to its next epoch.

    Args:
        peers: Calls to holders.
        store: Keeps the records.
        stored: The record as just read.
        record: The next epoch.
        retention_s: How long claims are kept.
        may_follow_loss: Whether the holders before may be declared lost whole.
        log: The groups' logs in the key-value service; None when claims are not logged.
        ended: Holders before whose runs are known to be over.
    """

    def __init__(
        self,
        peers: ClaimPeers,
        store: KeyValuePort,
        stored: StoredRecord,
        record: GroupEpoch,
        retention_s: float,
        may_follow_loss: bool,
        log: ClaimLog | None = None,
        ended: frozenset[NodeId] = frozenset(),
    ) -> None:
        self._peers = peers
        self._store = store
        self._stored = stored
        self._record = record
        self._retention_s = retention_s
        self._may_follow_loss = may_follow_loss
        self._log = log
        self._ended = ended

    async def run(self) -> GroupEpoch | None:
        """Make the change; the epoch in force afterwards, or None when it did not come about."""
        if not await self._all_reachable():
            return None
        collected = await self._collect()
        if collected is None:
            return None
        if not await self._prepare_all(collected):
            return None
        in_force = await self._swap()
        if in_force is not None and in_force.attempt == self._record.attempt:
            await self._announce()
        return in_force

    async def _all_reachable(self) -> bool:
        """Whether every new holder answers: asked before anything is sealed."""
        results: list[bool] = []

        async def probe(holder: Holder) -> None:
            query = ClaimEpochsQuery(())
            reply = await self._peers.ask(holder, query, ClaimEpochsReply, CALL_TIMEOUT_S)
            results.append(reply is not None)

        async with anyio.create_task_group() as tasks:
            for holder in self._record.holders:
                tasks.start_soon(probe, holder)
        return all(results)

    async def _collect(self) -> _Collected | None:
        """Seal the holders before and read their claims; None without a majority of them."""
        before = self._stored.record
        if before is None:  # no epoch before this one, so no claim either
            await self._carry_log_on((), 0.0)
            return _Collected((), 0.0)
        copies: list[tuple[CopiedClaim, ...]] = []
        waits_s: list[float] = []
        sealed_nodes: set[NodeId] = set()

        async def collect_from(holder: Holder) -> None:
            sealed = await self._seal(holder, before)
            if sealed is None:
                return
            claims = await self._copy(holder, before, sealed.num_claims)
            if claims is not None:
                copies.append(claims)
                waits_s.append(sealed.uncertain_wait_s)
                sealed_nodes.add(holder.node)

        async with anyio.create_task_group() as tasks:
            for holder in before.holders:
                tasks.start_soon(collect_from, holder)
        if len(copies) < before.quorum:
            if not self._may_follow_loss:
                return None
            return await self._collect_after_loss(before, copies, sealed_nodes)
        claims = merge_claims(copies)
        uncertain_wait_s = max(waits_s, default=0.0)
        await self._carry_log_on(claims, uncertain_wait_s)
        return _Collected(claims, uncertain_wait_s)

    async def _carry_log_on(self, claims: tuple[CopiedClaim, ...], uncertain_wait_s: float) -> None:
        """Put the claims of the epoch to come into its log, and note in its record that they are.

        While unknown keys are refused, claims may have existed that the log lacks.
        """
        if self._log is None or uncertain_wait_s > 0:
            return
        is_logged = await self._log.carry_on(self._record, claims)
        self._record = msgspec.structs.replace(self._record, is_logged=is_logged)

    async def _collect_after_loss(
        self,
        before: GroupEpoch,
        copies: list[tuple[CopiedClaim, ...]],
        sealed_nodes: set[NodeId],
    ) -> _Collected | None:
        """Take the claims from the log if it has them all, else refuse unknown keys for a while.

        An epoch whose claims were all in the log refuses no unknown keys, so no such wait is lost
        with its holders.
        """
        logged = None
        if self._log is not None:
            loaded = await self._log.load_after_loss(before, self._ended | sealed_nodes)
            if isinstance(loaded, Err):
                return None  # the change needs the service anyway; the next try finds out
            logged = loaded.ok_value
        is_logged = logged is not None
        self._record = msgspec.structs.replace(
            self._record, follows_loss=not is_logged, is_logged=is_logged
        )
        claims = merge_claims([*copies, logged or ()])
        wait_s = 0.0 if is_logged else self._retention_s + AMNESIA_MARGIN_S
        return _Collected(claims, wait_s)

    async def _seal(self, holder: Holder, before: GroupEpoch) -> ClaimSealed | None:
        message = ClaimSeal(before.group, before.epoch)
        sealed = await self._peers.ask(holder, message, ClaimSealed, CALL_TIMEOUT_S)
        return sealed if sealed is not None and sealed.is_sealed else None

    async def _copy(
        self, holder: Holder, before: GroupEpoch, num_claims: int
    ) -> tuple[CopiedClaim, ...] | None:
        claims: list[CopiedClaim] = []
        while len(claims) < num_claims:
            message = ClaimCopy(before.group, before.epoch, len(claims))
            page = await self._peers.ask(holder, message, ClaimCopied, CALL_TIMEOUT_S)
            if page is None or not page.is_sealed or not page.claims:
                return None
            claims.extend(page.claims)
        return tuple(claims)

    async def _prepare_all(self, collected: _Collected) -> bool:
        """Have every new holder keep the claims; one that does not answer stops the change."""
        results: list[bool] = []

        async def prepare(holder: Holder) -> None:
            results.append(await self._prepare(holder, collected))

        async with anyio.create_task_group() as tasks:
            for holder in self._record.holders:
                tasks.start_soon(prepare, holder)
        return all(results)

    async def _prepare(self, holder: Holder, collected: _Collected) -> bool:
        num_claims = len(collected.claims)
        for offset in range(0, max(1, num_claims), COPY_PAGE_CLAIMS):
            page = collected.claims[offset : offset + COPY_PAGE_CLAIMS]
            message = ClaimPrepare(
                self._record,
                num_claims,
                offset,
                page,
                self._retention_s,
                collected.uncertain_wait_s,
            )
            ack = await self._peers.ask(holder, message, ClaimAck, CALL_TIMEOUT_S)
            if ack is None or not ack.is_done:
                return False
        return True

    async def _swap(self) -> GroupEpoch | None:
        """Put the record in force; when the answer is lost, read what is in force."""
        key = record_key(self._record.group)
        value = encode_record(self._record)
        wait_s = SWAP_RETRY_S
        for _ in range(SWAP_ATTEMPTS):
            answer = await self._store.compare_and_swap(key, self._stored.mod_revision, value)
            if not isinstance(answer, Err):
                current = answer.ok_value.current
                if answer.ok_value.succeeded:
                    return self._record
                return decode_record(current.value) if current is not None else None
            if answer.err_value.kind is KeyValueFailureKind.AMBIGUOUS:
                found = await read_record(self._store, self._record.group)
                if found is not None and found.mod_revision != self._stored.mod_revision:
                    return found.record
            await anyio.sleep(max(wait_s, answer.err_value.retry_after_s or 0.0))
            wait_s *= 2
        return None

    async def _announce(self) -> None:
        """Tell the new holders, then everybody."""
        message = ClaimAnnounce(self._record)

        async def announce(holder: Holder) -> None:
            await self._peers.ask(holder, message, ClaimAck, CALL_TIMEOUT_S)

        async with anyio.create_task_group() as tasks:
            for holder in self._record.holders:
                tasks.start_soon(announce, holder)
        members = {holder.node for holder in self._record.holders}
        for other in self._peers.others():
            if other.node not in members:
                await self._peers.tell(other, message)
