"""The claim ledger of a node: coordinates claims with the holders of each key's group."""

import itertools
from random import Random

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.claims.authority import HolderAuthority
from weirscale.domain.claims.log import LoggedClaim
from weirscale.domain.claims.model import (
    ClaimKey,
    GroupEpoch,
    claim_key,
    group_of,
    make_claimant,
    request_id_of,
    short_fingerprint,
)
from weirscale.domain.claims.round import ClaimRound, RoundOutcome, RoundState
from weirscale.domain.identifiers import RequestId, TenantName, ZoneName
from weirscale.domain.request.model import ServiceResponse
from weirscale.domain.request.refusal import Refusal
from weirscale.messages.claims import (
    ClaimComplete,
    ClaimLogAppend,
    ClaimOffer,
    ClaimOfferReply,
    ClaimWithdraw,
)
from weirscale.node.claims.answers import (
    claim_unavailable,
    to_service_response,
    to_stored_answer,
)
from weirscale.node.claims.granted import GrantedClaim
from weirscale.node.claims.group_calls import GroupCalls
from weirscale.node.claims.keeper import (
    ClaimKeeper,
    claim_rules,
    make_authority_check,
    node_digest,
)
from weirscale.node.claims.log import ClaimLog
from weirscale.node.claims.peers import ClaimPeers
from weirscale.node.claims.registry import HolderRegistry
from weirscale.node.interfaces import (
    Claim,
    ClaimState,
    ConfigurationView,
    MembershipView,
)
from weirscale.node.peers.link import PeerLink
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

CLAIM_BUDGET_S = 3.0
"""Time limit of a claim with all its rounds; the caller's deadline may end it sooner."""
LOG_BUDGET_S = 5.0
"""Added to the limit where claims are logged: the service may be slow, or a batch in flight."""
NEXT_WRITER_AFTER_S = 1.0
"""Wait before another holder is also asked to write a claim to the log."""
LOG_RETRY_AFTER_S = 5.0
"""Retry-After when the key-value service does not answer: about half of a lease."""
LOG_UNAVAILABLE_DETAIL = (
    "the key-value service does not answer; the group will soon continue without it"
)
OFFER_TIMEOUT_S = 0.8
"""Timeout of one offer: several round trips between the most distant regions."""
HAND_OVER_POLL_S = 0.1
"""How often a leaving node checks whether other nodes hold its groups."""
SPLIT_RETRY_S = 0.03
"""Initial maximum backoff after a split vote; doubles. Waits are random to separate the callers."""
RECORD_WAIT_S = 0.2
"""Interval between checks for a group's first or newer record."""

FINAL_STATES = {
    RoundState.HELD: ClaimState.IN_PROGRESS,
    RoundState.COMPLETED: ClaimState.COMPLETED,
    RoundState.CONFLICT: ClaimState.CONFLICT,
}


class _Attempt(msgspec.Struct, frozen=True):
    """One attempt to claim a key."""

    key: ClaimKey
    group: int
    claimant: bytes
    fingerprint: bytes


class QuorumClaimLedger:
    """Claims idempotency keys with a quorum of holders on several nodes; `run` must be running.

    Args:
        link: Carries calls between nodes.
        membership: The live nodes.
        configuration: Zones and claim rules.
        store: Stores the groups' epochs and the claim logs.
        zone: This node's zone.
        random: Draws backoffs and the nodes to query.
        events: Log of epoch changes.
    """

    def __init__(
        self,
        link: PeerLink,
        membership: MembershipView,
        configuration: ConfigurationView,
        store: KeyValuePort,
        zone: ZoneName,
        random: Random,
        events: EventLog | None = None,
    ) -> None:
        authority = HolderAuthority(zone)
        self._log = ClaimLog(membership.self_id, store, lambda: claim_rules(configuration))
        self.registry = HolderRegistry(
            membership.self_id,
            link,
            make_authority_check(authority, configuration),
            lambda: authority.record_store_read(anyio.current_time()),
            self._log.needs_log,
        )
        self._log.serve(link, self.registry)
        peers = ClaimPeers(link, membership, self.registry.answer)
        self._calls = GroupCalls(peers, self.registry.epochs)
        self._keeper = ClaimKeeper(
            self.registry,
            peers,
            membership,
            configuration,
            store,
            authority,
            random,
            events,
            self._log,
        )
        self._configuration = configuration
        self._random = random
        self._node_digest = node_digest(membership.self_id)
        self._attempt_numbers = itertools.count(1)

    async def run(self) -> None:
        """Maintain the groups and run background calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._calls.use_task_group(tasks)
            tasks.start_soon(self._log.run)
            try:
                await self._keeper.run()
            finally:
                self._calls.use_task_group(None)

    def num_held_groups(self) -> int:
        """Return the number of groups that this node holds."""
        return self.registry.num_holders()

    async def hand_over(self, timeout_s: float) -> bool:
        """Wait until other nodes hold this node's groups; membership must list it as leaving.

        Returns:
            False if this node still holds groups after the timeout, as the last node of a fleet
            does.
        """
        for _ in range(int(timeout_s / HAND_OVER_POLL_S)):
            if self.num_held_groups() == 0:
                return True
            await anyio.sleep(HAND_OVER_POLL_S)
        return self.num_held_groups() == 0

    async def claim(
        self,
        tenant: TenantName,
        idempotency_key: str,
        request_id: RequestId,
        fingerprint: bytes,
        deadline_s: float,
    ) -> Result[Claim, Refusal]:
        """Claim a key.

        A refusal (CLAIM_UNAVAILABLE, NOT_RUN) means that the claim could not be decided; the
        request has not run.
        """
        key = claim_key(tenant, idempotency_key)
        attempt = _Attempt(
            key, group_of(key), self._claimant(request_id), short_fingerprint(fingerprint)
        )
        rules = claim_rules(self._configuration)
        max_budget_s = CLAIM_BUDGET_S + (LOG_BUDGET_S if rules.log_in_store else 0.0)
        budget_s = min(max_budget_s, deadline_s - anyio.current_time())
        try:
            with anyio.move_on_after(max(0.0, budget_s)):
                return await self._claim(attempt, request_id)
        except anyio.get_cancelled_exc_class():
            self._calls.settle_later(attempt.group, self._make_withdrawal(attempt))
            raise
        self._calls.settle_later(attempt.group, self._make_withdrawal(attempt))
        return Err(claim_unavailable("the holders did not agree in time"))

    async def complete(self, claim: Claim, answer: ServiceResponse | None) -> None:
        """Record that the claim's request has run.

        Waits for one attempt at a quorum; further attempts run in the background.
        """
        if not isinstance(claim, GrantedClaim) or claim.state is not ClaimState.GRANTED:
            return
        attempt = _attempt_of(claim)
        message = ClaimComplete(
            attempt.group,
            0,
            attempt.key,
            attempt.claimant,
            attempt.fingerprint,
            to_stored_answer(answer),
        )
        if not await self._calls.settle_once(attempt.group, message):
            self._calls.settle_later(attempt.group, message)

    async def release(self, claim: Claim) -> None:
        """Withdraw a claim whose request provably did not run."""
        if not isinstance(claim, GrantedClaim) or claim.state is not ClaimState.GRANTED:
            return
        attempt = _attempt_of(claim)
        if not await self._calls.settle_once(attempt.group, self._make_withdrawal(attempt)):
            self._calls.settle_later(attempt.group, self._make_withdrawal(attempt))

    async def _claim(self, attempt: _Attempt, request_id: RequestId) -> Result[Claim, Refusal]:
        split_wait_s = SPLIT_RETRY_S
        while True:
            record = self.registry.epochs.record(attempt.group)
            if record is None:
                await anyio.sleep(RECORD_WAIT_S)
                continue
            outcome = await self._run_round(record, attempt)
            if outcome.state is RoundState.STALE:
                await self._wait_for_newer_epoch(record)
                continue
            if outcome.needs_log and not await self._write_to_log(record, attempt):
                if self.registry.epochs.newer_than(record.group, record.epoch) is not None:
                    continue
                self._calls.settle_later(attempt.group, self._make_withdrawal(attempt))
                return Err(claim_unavailable(LOG_UNAVAILABLE_DETAIL, LOG_RETRY_AFTER_S))
            if outcome.state is not RoundState.GRANTED:
                self._calls.settle_later(attempt.group, self._make_withdrawal(attempt))
            if outcome.state is not RoundState.SPLIT:
                return self._to_result(attempt, outcome)
            await anyio.sleep(self._random.uniform(0.0, split_wait_s))
            split_wait_s *= 2
            attempt = msgspec.structs.replace(attempt, claimant=self._claimant(request_id))

    def _to_result(self, attempt: _Attempt, outcome: RoundOutcome) -> Result[Claim, Refusal]:
        match outcome.state:
            case RoundState.GRANTED:
                state = ClaimState.GRANTED
            case RoundState.HELD | RoundState.COMPLETED | RoundState.CONFLICT:
                state = FINAL_STATES[outcome.state]
            case RoundState.UNCERTAIN:
                detail = (
                    "its group of holders lost its quorum, and the key may have been used before"
                )
                return Err(claim_unavailable(detail, outcome.wait_s))
            case RoundState.FULL:
                return Err(claim_unavailable("the ledger is full"))
            case _:
                return Err(claim_unavailable("no quorum of holders answered"))
        owner = request_id_of(outcome.claimant or attempt.claimant)
        answer = to_service_response(outcome.answer)
        return Ok(
            GrantedClaim(
                state,
                attempt.key.hex(),
                owner,
                answer,
                attempt.key,
                attempt.claimant,
                attempt.fingerprint,
            )
        )

    async def _run_round(self, record: GroupEpoch, attempt: _Attempt) -> RoundOutcome:
        """Offer the claim to all holders; return as soon as the votes decide it."""
        message = ClaimOffer(
            record.group, record.epoch, attempt.key, attempt.claimant, attempt.fingerprint
        )
        claim_round = ClaimRound(record)
        replies = self._calls.ask_all(record, message, ClaimOfferReply, OFFER_TIMEOUT_S)
        async for index, reply in replies:
            if reply is not None:
                self.registry.epochs.adopt(reply.record)
            claim_round.record_vote(index, reply.vote if reply is not None else None)
            outcome = claim_round.outcome()
            if outcome is not None:
                return outcome
        return RoundOutcome(RoundState.UNAVAILABLE)

    async def _write_to_log(self, record: GroupEpoch, attempt: _Attempt) -> bool:
        """Ask holders of the epoch in turn to log the claim; return whether one did."""
        claim = LoggedClaim(attempt.key, attempt.claimant, attempt.fingerprint)
        message = ClaimLogAppend(record.group, record.epoch, claim)
        return await self._calls.ask_any(record, record.group, message, NEXT_WRITER_AFTER_S)

    async def _wait_for_newer_epoch(self, record: GroupEpoch) -> None:
        """Look for a newer epoch after a holder answered for another one; wait briefly if none."""
        if self.registry.epochs.newer_than(record.group, record.epoch) is not None:
            return
        await self._keeper.refresh()
        if self.registry.epochs.newer_than(record.group, record.epoch) is None:
            await anyio.sleep(RECORD_WAIT_S)

    def _claimant(self, request_id: RequestId) -> bytes:
        return make_claimant(self._node_digest, next(self._attempt_numbers), request_id)

    @staticmethod
    def _make_withdrawal(attempt: _Attempt) -> ClaimWithdraw:
        return ClaimWithdraw(attempt.group, 0, attempt.key, attempt.claimant)


def _attempt_of(claim: GrantedClaim) -> _Attempt:
    key = claim.claim_key
    return _Attempt(key, group_of(key), claim.claimant, claim.fingerprint)
