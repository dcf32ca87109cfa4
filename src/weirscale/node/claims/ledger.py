"""The claim ledger of a node: coordinates claims with the holders of a key's group."""

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
    service_response,
    stored_answer,
)
from weirscale.node.claims.granted import GrantedClaim
from weirscale.node.claims.group_calls import GroupCalls
from weirscale.node.claims.keeper import (
    ClaimKeeper,
    authority_check,
    claim_rules,
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
"""Longest time for a claim with all its rounds, within the caller's deadline."""
LOG_BUDGET_S = 5.0
"""Added where claims are logged: the service may be slow, and a batch may be under way."""
NEXT_WRITER_AFTER_S = 1.0
"""Wait before another holder is asked to write a claim into the log, too."""
LOG_RETRY_AFTER_S = 5.0
"""Advice to callers when the service does not answer: about half of a lease."""
LOG_DETAIL = "the key-value service does not answer, and the group goes on without it in a moment"
OFFER_TIMEOUT_S = 0.8
"""For one offer: several round trips between the most distant regions."""
HAND_OVER_POLL_S = 0.1
"""How often a leaving node looks whether its groups are gone."""
SPLIT_RETRY_S = 0.03
"""Longest first wait after a split vote; doubles, and is drawn at random to part the callers."""
RECORD_WAIT_S = 0.2
"""Wait for a group's first record."""

FINAL_STATES = {
    RoundState.HELD: ClaimState.IN_PROGRESS,
    RoundState.COMPLETED: ClaimState.COMPLETED,
    RoundState.CONFLICT: ClaimState.CONFLICT,
}


class _Attempt(msgspec.Struct, frozen=True):
    """What is claimed, by whom."""

    key: ClaimKey
    group: int
    claimant: bytes
    fingerprint: bytes


class QuorumClaimLedger:
    """Implements `ClaimLedger` with holders on several nodes; `run` must be running.

    Args:
        link: Calls between nodes, to this node itself too.
        membership: Who is live.
        configuration: Zones and claim rules.
        store: Keeps the groups' epochs.
        zone: This node's zone.
        random: Parts racing callers and spreads load.
        events: Where changes of epoch are told.
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
            authority_check(authority, configuration),
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
        self._digest = node_digest(membership.self_id)
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Tend the groups and carry out what outlives a request, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._calls.run_in(tasks)
            tasks.start_soon(self._log.run)
            try:
                await self._keeper.run()
            finally:
                self._calls.run_in(None)

    def num_held_groups(self) -> int:
        """Groups that this node holds."""
        return self.registry.num_holders()

    async def hand_over(self, timeout_s: float) -> bool:
        """Wait until other nodes hold this node's groups; membership must show it as leaving.

        Returns:
            False if it still holds some after the time, as the last node of a fleet does.
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
        """Claim a key; the refusal (CLAIM_UNAVAILABLE, NOT_RUN) means no quorum answered."""
        key = claim_key(tenant, idempotency_key)
        attempt = _Attempt(
            key, group_of(key), self._claimant(request_id), short_fingerprint(fingerprint)
        )
        rules = claim_rules(self._configuration)
        longest_s = CLAIM_BUDGET_S + (LOG_BUDGET_S if rules.log_in_store else 0.0)
        budget_s = min(longest_s, deadline_s - anyio.current_time())
        try:
            with anyio.move_on_after(max(0.0, budget_s)):
                return await self._claim(attempt, request_id)
        except anyio.get_cancelled_exc_class():
            self._calls.settle_later(attempt.group, self._withdrawal(attempt))
            raise
        self._calls.settle_later(attempt.group, self._withdrawal(attempt))
        return Err(claim_unavailable("the holders did not agree in time"))

    async def complete(self, claim: Claim, answer: ServiceResponse | None) -> None:
        """Record that the claim's request has run; waits for one try with a quorum at most."""
        if not isinstance(claim, GrantedClaim) or claim.state is not ClaimState.GRANTED:
            return
        attempt = _attempt_of(claim)
        message = ClaimComplete(
            attempt.group,
            0,
            attempt.key,
            attempt.claimant,
            attempt.fingerprint,
            stored_answer(answer),
        )
        if not await self._calls.settle_once(attempt.group, message):
            self._calls.settle_later(attempt.group, message)

    async def release(self, claim: Claim) -> None:
        """Give a claim back after the request provably did not run."""
        if not isinstance(claim, GrantedClaim) or claim.state is not ClaimState.GRANTED:
            return
        attempt = _attempt_of(claim)
        if not await self._calls.settle_once(attempt.group, self._withdrawal(attempt)):
            self._calls.settle_later(attempt.group, self._withdrawal(attempt))

    async def _claim(self, attempt: _Attempt, request_id: RequestId) -> Result[Claim, Refusal]:
        split_wait_s = SPLIT_RETRY_S
        while True:
            record = self.registry.epochs.record(attempt.group)
            if record is None:
                await anyio.sleep(RECORD_WAIT_S)
                continue
            outcome = await self._round(record, attempt)
            if outcome.state is RoundState.STALE:
                await self._wait_for_newer(record)
                continue
            if outcome.needs_log and not await self._put_in_log(record, attempt):
                if self.registry.epochs.newer_than(record.group, record.epoch) is not None:
                    continue
                self._calls.settle_later(attempt.group, self._withdrawal(attempt))
                return Err(claim_unavailable(LOG_DETAIL, LOG_RETRY_AFTER_S))
            if outcome.state is not RoundState.GRANTED:
                self._calls.settle_later(attempt.group, self._withdrawal(attempt))
            if outcome.state is not RoundState.SPLIT:
                return self._answer(attempt, outcome)
            await anyio.sleep(self._random.uniform(0.0, split_wait_s))
            split_wait_s *= 2
            attempt = msgspec.structs.replace(attempt, claimant=self._claimant(request_id))

    def _answer(self, attempt: _Attempt, outcome: RoundOutcome) -> Result[Claim, Refusal]:
        match outcome.state:
            case RoundState.GRANTED:
                state = ClaimState.GRANTED
            case RoundState.HELD | RoundState.COMPLETED | RoundState.CONFLICT:
                state = FINAL_STATES[outcome.state]
            case RoundState.UNCERTAIN:
                detail = "its group of holders was lost, and the key may have been used before"
                return Err(claim_unavailable(detail, outcome.wait_s))
            case RoundState.FULL:
                return Err(claim_unavailable("the ledger is full"))
            case _:
                return Err(claim_unavailable("no quorum of holders answered"))
        owner = request_id_of(outcome.claimant or attempt.claimant)
        answer = service_response(outcome.answer)
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

    async def _round(self, record: GroupEpoch, attempt: _Attempt) -> RoundOutcome:
        """Offer the claim to all holders; ends with the first votes that decide it."""
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

    async def _put_in_log(self, record: GroupEpoch, attempt: _Attempt) -> bool:
        """Have a holder of the epoch write the claim into the group's log."""
        claim = LoggedClaim(attempt.key, attempt.claimant, attempt.fingerprint)
        message = ClaimLogAppend(record.group, record.epoch, claim)
        return await self._calls.ask_any(record, record.group, message, NEXT_WRITER_AFTER_S)

    async def _wait_for_newer(self, record: GroupEpoch) -> None:
        """A holder has moved on: learn the next epoch, or give its change a moment."""
        if self.registry.epochs.newer_than(record.group, record.epoch) is not None:
            return
        await self._keeper.refresh()
        if self.registry.epochs.newer_than(record.group, record.epoch) is None:
            await anyio.sleep(RECORD_WAIT_S)

    def _claimant(self, request_id: RequestId) -> bytes:
        return make_claimant(self._digest, next(self._numbers), request_id)

    @staticmethod
    def _withdrawal(attempt: _Attempt) -> ClaimWithdraw:
        return ClaimWithdraw(attempt.group, 0, attempt.key, attempt.claimant)


def _attempt_of(claim: GrantedClaim) -> _Attempt:
    key = claim.claim_key
    return _Attempt(key, group_of(key), claim.claimant, claim.fingerprint)
