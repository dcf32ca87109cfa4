"""Changes a claim group's epoch in five steps: seal, copy, prepare, swap, announce.

The order makes the change safe. A majority of the old holders stops answering before its claims
are read. All new holders store those claims before the record is swapped. A new holder answers
only once it learns that the record of the same change that prepared it is in force. A change that
fails at any step leaves the group either unchanged or sealed. A sealed group refuses claims until
a later change succeeds.
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
from weirscale.node.claims.store_reads import read_with_retry
from weirscale.ports.key_value import KeyValueFailureKind, KeyValuePort

RECORD_PREFIX = "weirscale/claims/groups/"
CALL_TIMEOUT_S = 2.0
"""Timeout of each call to a holder; a slower holder counts as unreachable for this change."""
SWAP_ATTEMPTS = 8
"""Attempts at the swap while the store is down or rate limited. The group is sealed meanwhile."""
SWAP_RETRY_S = 0.25
"""Initial retry backoff of the swap; doubles with each attempt."""


class StoredRecord(msgspec.Struct, frozen=True):
    """A group's record as read from the store; `record` is None when the group has none."""

    record: GroupEpoch | None
    mod_revision: int


def record_key(group: int) -> str:
    """Return the key of a group's record in the key-value service."""
    return f"{RECORD_PREFIX}{group:03d}"


def encode_record(record: GroupEpoch) -> bytes:
    """Encode a record for the key-value service."""
    return cbor2.dumps(msgspec.to_builtins(record, builtin_types=(bytes,)))


def decode_record(value: bytes) -> GroupEpoch | None:
    """Decode a stored record; return None if the value is not a valid record."""
    try:
        return msgspec.convert(cbor2.loads(value), GroupEpoch, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError):
        return None


async def read_records(store: KeyValuePort) -> dict[int, StoredRecord] | None:
    """Read the records of all groups; return None if the read fails."""
    answer = await store.read(RECORD_PREFIX)
    if isinstance(answer, Err):
        return None
    decoded = [(decode_record(entry.value), entry.mod_revision) for entry in answer.ok_value.values]
    return {
        record.group: StoredRecord(record, revision)
        for record, revision in decoded
        if record is not None
    }


async def read_record(store: KeyValuePort, group: int) -> StoredRecord | None:
    """Read one group's record; return None if the read fails or the value is invalid."""
    answer = await read_with_retry(store, record_key(group))
    if isinstance(answer, Err):
        return None
    if not answer.ok_value.values:
        return StoredRecord(None, 0)
    value = answer.ok_value.values[0]
    record = decode_record(value.value)
    return StoredRecord(record, value.mod_revision) if record is not None else None


class _CollectedClaims(msgspec.Struct, frozen=True):
    """Claims to start the next epoch with.

    Attributes:
        claims: The merged claims of the previous epoch.
        uncertain_wait_s: How long the new holders refuse unknown keys, because claims may be
            missing.
    """

    claims: tuple[CopiedClaim, ...]
    uncertain_wait_s: float


class EpochChange:
    """Moves a group to its next epoch.

    Args:
        peers: Calls the holders.
        store: Stores the records.
        stored: The group's current record, as just read.
        record: The next epoch.
        retention_s: How long claims are kept.
        may_follow_loss: Whether the previous epoch may be declared to have lost its quorum.
        log: The groups' logs in the key-value service; None when claims are not logged.
        ended_holders: Previous holders that are known to have restarted.
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
        ended_holders: frozenset[NodeId] = frozenset(),
    ) -> None:
        self._peers = peers
        self._store = store
        self._stored = stored
        self._record = record
        self._retention_s = retention_s
        self._may_follow_loss = may_follow_loss
        self._log = log
        self._ended_holders = ended_holders

    async def run(self) -> GroupEpoch | None:
        """Make the change.

        Returns:
            The epoch in force afterwards, which may be that of a concurrent change. None if the
            change failed or its outcome is unknown.
        """
        if not await self._all_reachable():
            return None
        collected = await self._collect_claims()
        if collected is None:
            return None
        if not await self._prepare_all(collected):
            return None
        in_force = await self._swap_record()
        if in_force is not None and in_force.attempt == self._record.attempt:
            await self._announce()
        return in_force

    async def _all_reachable(self) -> bool:
        """Return whether every new holder answers; checked before any holder is sealed."""
        results: list[bool] = []

        async def probe(holder: Holder) -> None:
            query = ClaimEpochsQuery(())
            reply = await self._peers.ask(holder, query, ClaimEpochsReply, CALL_TIMEOUT_S)
            results.append(reply is not None)

        async with anyio.create_task_group() as tasks:
            for holder in self._record.holders:
                tasks.start_soon(probe, holder)
        return all(results)

    async def _collect_claims(self) -> _CollectedClaims | None:
        """Seal the previous holders and read their claims.

        Returns:
            None without a majority, unless the previous epoch may be declared lost and the log
            could be read.
        """
        previous = self._stored.record
        if previous is None:  # the group's first epoch starts without claims
            await self._log_initial_claims((), 0.0)
            return _CollectedClaims((), 0.0)
        copies: list[tuple[CopiedClaim, ...]] = []
        waits_s: list[float] = []
        sealed_nodes: set[NodeId] = set()

        async def collect_from(holder: Holder) -> None:
            sealed = await self._seal_holder(holder, previous)
            if sealed is None:
                return
            claims = await self._copy_claims(holder, previous, sealed.num_claims)
            if claims is not None:
                copies.append(claims)
                waits_s.append(sealed.uncertain_wait_s)
                sealed_nodes.add(holder.node)

        async with anyio.create_task_group() as tasks:
            for holder in previous.holders:
                tasks.start_soon(collect_from, holder)
        if len(copies) < previous.quorum:
            if not self._may_follow_loss:
                return None
            return await self._collect_after_loss(previous, copies, sealed_nodes)
        claims = merge_claims(copies)
        uncertain_wait_s = max(waits_s, default=0.0)
        await self._log_initial_claims(claims, uncertain_wait_s)
        return _CollectedClaims(claims, uncertain_wait_s)

    async def _log_initial_claims(
        self, claims: tuple[CopiedClaim, ...], uncertain_wait_s: float
    ) -> None:
        """Write the claims that the new epoch starts with to its log, and set `is_logged`.

        Skipped while unknown keys are refused, since claims may then be missing from the log.
        """
        if self._log is None or uncertain_wait_s > 0:
            return
        is_logged = await self._log.log_initial_claims(self._record, claims)
        self._record = msgspec.structs.replace(self._record, is_logged=is_logged)

    async def _collect_after_loss(
        self,
        previous: GroupEpoch,
        copies: list[tuple[CopiedClaim, ...]],
        sealed_nodes: set[NodeId],
    ) -> _CollectedClaims | None:
        """Load the claims from the log if it is complete, else refuse unknown keys for a while.

        An epoch whose claims were all logged refuses no unknown keys, so the lost holders cannot
        have had such a wait outstanding.
        """
        logged = None
        if self._log is not None:
            loaded = await self._log.load_after_loss(previous, self._ended_holders | sealed_nodes)
            if isinstance(loaded, Err):
                return None  # the change needs the service anyway; the next attempt reads again
            logged = loaded.ok_value
        is_logged = logged is not None
        self._record = msgspec.structs.replace(
            self._record, follows_loss=not is_logged, is_logged=is_logged
        )
        claims = merge_claims([*copies, logged or ()])
        wait_s = 0.0 if is_logged else self._retention_s + AMNESIA_MARGIN_S
        return _CollectedClaims(claims, wait_s)

    async def _seal_holder(self, holder: Holder, previous: GroupEpoch) -> ClaimSealed | None:
        message = ClaimSeal(previous.group, previous.epoch)
        sealed = await self._peers.ask(holder, message, ClaimSealed, CALL_TIMEOUT_S)
        return sealed if sealed is not None and sealed.is_sealed else None

    async def _copy_claims(
        self, holder: Holder, previous: GroupEpoch, num_claims: int
    ) -> tuple[CopiedClaim, ...] | None:
        claims: list[CopiedClaim] = []
        while len(claims) < num_claims:
            message = ClaimCopy(previous.group, previous.epoch, len(claims))
            page = await self._peers.ask(holder, message, ClaimCopied, CALL_TIMEOUT_S)
            if page is None or not page.is_sealed or not page.claims:
                return None
            claims.extend(page.claims)
        return tuple(claims)

    async def _prepare_all(self, collected: _CollectedClaims) -> bool:
        """Send the claims to all new holders; return False if any holder fails to store them."""
        results: list[bool] = []

        async def prepare(holder: Holder) -> None:
            results.append(await self._prepare_holder(holder, collected))

        async with anyio.create_task_group() as tasks:
            for holder in self._record.holders:
                tasks.start_soon(prepare, holder)
        return all(results)

    async def _prepare_holder(self, holder: Holder, collected: _CollectedClaims) -> bool:
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

    async def _swap_record(self) -> GroupEpoch | None:
        """Put the record in force with compare-and-swap.

        If the answer is lost, read the record to find out whether a swap took effect.

        Returns:
            The record in force, or None if that is unknown.
        """
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
                reread = await read_record(self._store, self._record.group)
                if reread is not None and reread.mod_revision != self._stored.mod_revision:
                    return reread.record
            await anyio.sleep(max(wait_s, answer.err_value.retry_after_s or 0.0))
            wait_s *= 2
        return None

    async def _announce(self) -> None:
        """Announce the record to the new holders first, then to all other nodes."""
        message = ClaimAnnounce(self._record)

        async def announce(holder: Holder) -> None:
            await self._peers.ask(holder, message, ClaimAck, CALL_TIMEOUT_S)

        async with anyio.create_task_group() as tasks:
            for holder in self._record.holders:
                tasks.start_soon(announce, holder)
        members = {holder.node for holder in self._record.holders}
        for other in self._peers.others():
            if other.node not in members:
                await self._peers.send_cast(other, message)
