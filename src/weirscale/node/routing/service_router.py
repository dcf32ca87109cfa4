"""The task that chooses service back ends: least outstanding of two drawn at random."""

from collections.abc import Sequence
from random import Random

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.health.circuit import CircuitState, state_at
from weirscale.domain.health.pool import admission_weights
from weirscale.domain.identifiers import BackendName, ServiceName, ZoneName
from weirscale.domain.request.refusal import Refusal
from weirscale.domain.request.refusals import not_configured, unknown_service
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.backends.facts import DirectorySnapshot, ServiceBackendFacts
from weirscale.node.backends.observations import ServiceAttemptEnded
from weirscale.node.interfaces import ChosenBackend
from weirscale.node.mailbox import Mailbox, Reply
from weirscale.node.routing.refusals import (
    no_backend,
    router_overloaded,
)
from weirscale.ports.service import ServiceFailure

FIRST_CONFIGURATION_WAIT_S = 1.0
"""Longest wait of a request for the first configuration after a node's start."""

SPILL_OUTSTANDING = 2
"""A back end of another zone is taken when it has this many requests fewer: a request in the
queue costs more than a link within the region."""

FULL_WEIGHT = 1.0
"""Admission weight of a back end that is held back in no way."""

ChooseResult = Result[ChosenBackend, Refusal]


class _Choose(msgspec.Struct, frozen=True):
    service: ServiceName
    excluded: frozenset[BackendName]
    reply: Reply[ChooseResult]


class _Withdraw(msgspec.Struct, frozen=True):
    """The caller went away before it got the choice, which the reply tells."""

    service: ServiceName
    reply: Reply[ChooseResult]


_Message = _Choose | _Withdraw | ServiceAttemptEnded


class ServiceRouter:
    """Implements `ServiceRouting`.

    Args:
        directory: The directory of back ends.
        zone: This node's zone, preferred.
        random: For the draws.
    """

    def __init__(self, directory: BackendDirectory, zone: ZoneName, random: Random) -> None:
        self._directory = directory
        self._zone = zone
        self._random = random
        self._mailbox: Mailbox[_Message] = Mailbox()
        self._num_outstanding: dict[tuple[ServiceName, BackendName], int] = {}
        self.num_lost_reports = 0

    async def choose(self, service: ServiceName, excluded: frozenset[BackendName]) -> ChooseResult:
        """Choose a back end for an attempt; waits only for a node's first configuration."""
        if not self._directory.snapshot().revision:
            with anyio.move_on_after(FIRST_CONFIGURATION_WAIT_S):
                await self._directory.wait_for_change()
        reply: Reply[ChooseResult] = Reply()
        if not self._mailbox.post(_Choose(service, excluded, reply)):
            return Err(router_overloaded())
        is_answered = False
        try:
            result = await reply.wait()
            is_answered = True
        finally:
            if not is_answered:
                self._mailbox.post(_Withdraw(service, reply))
        return result

    def report(
        self,
        service: ServiceName,
        backend: BackendName,
        failure: ServiceFailure | None,
        http_status: int | None,
        duration_s: float,
    ) -> None:
        """Tell what became of an attempt."""
        if not self._mailbox.post(ServiceAttemptEnded(service, backend, failure, http_status)):
            self.num_lost_reports += 1

    async def run(self) -> None:
        """Own the choice until cancelled."""
        while True:
            self._handle(await self._mailbox.receive())

    def _handle(self, message: _Message) -> None:
        match message:
            case _Choose():
                message.reply.set(self._choose(message, anyio.current_time()))
            case _Withdraw():
                result = message.reply.value()
                if isinstance(result, Ok):
                    self._note_ended(message.service, result.ok_value.backend)
            case ServiceAttemptEnded():
                self._note_ended(message.service, message.backend)
                self._directory.post(message)

    def _choose(self, message: _Choose, now_s: float) -> ChooseResult:
        snapshot = self._directory.snapshot()
        if not snapshot.revision:
            return Err(not_configured())
        if message.service not in snapshot.services:
            return Err(unknown_service(message.service))
        able, retry_after_s = self._able(snapshot, message, now_s)
        if not able:
            return Err(no_backend(f"service {message.service!r}", retry_after_s))
        chosen = self._least_outstanding(message.service, able)
        key = (message.service, chosen.backend.name)
        self._num_outstanding[key] = self._num_outstanding.get(key, 0) + 1
        return Ok(ChosenBackend(chosen.backend.name, chosen.port, chosen.backend.address))

    def _able(
        self, snapshot: DirectorySnapshot, message: _Choose, now_s: float
    ) -> tuple[list[ServiceBackendFacts], float | None]:
        """Return the back ends that may take it, and when a held out one will be tried."""
        members = list(snapshot.services[message.service].values())
        weights = admission_weights(members, self._directory.health_rules, now_s)
        able: list[ServiceBackendFacts] = []
        held_back: list[ServiceBackendFacts] = []
        retry_after_s: float | None = None
        for facts, weight in zip(members, weights, strict=True):
            if facts.backend.name in message.excluded:
                continue
            if weight == 0.0:
                if not facts.leaving.is_leaving_at(now_s):
                    delay_s = facts.circuit.open_until_s - now_s
                    retry_after_s = min(delay_s, retry_after_s or delay_s)
                continue
            is_drawn = weight >= FULL_WEIGHT or self._is_drawn(
                message.service, facts, weight, now_s
            )
            (able if is_drawn else held_back).append(facts)
        return able or held_back, retry_after_s

    def _is_drawn(
        self, service: ServiceName, facts: ServiceBackendFacts, weight: float, now_s: float
    ) -> bool:
        """Whether a back end that returns is weighed for this attempt; one trial at a time."""
        is_trial = state_at(facts.circuit, now_s) is CircuitState.HALF_OPEN
        if is_trial and self._num_outstanding.get((service, facts.backend.name), 0) > 0:
            return False
        return self._random.random() < weight

    def _least_outstanding(
        self, service: ServiceName, able: Sequence[ServiceBackendFacts]
    ) -> ServiceBackendFacts:
        near = [facts for facts in able if facts.backend.zone == self._zone]
        far = [facts for facts in able if facts.backend.zone != self._zone]
        if not near or not far:
            return self._better_of_two(service, near or far)
        nearest = self._better_of_two(service, near)
        other = self._better_of_two(service, far)
        surplus = self._outstanding(service, nearest) - self._outstanding(service, other)
        return other if surplus >= SPILL_OUTSTANDING else nearest

    def _better_of_two(
        self, service: ServiceName, able: Sequence[ServiceBackendFacts]
    ) -> ServiceBackendFacts:
        drawn = self._random.sample(able, min(2, len(able)))
        return min(drawn, key=lambda facts: self._outstanding(service, facts))

    def _outstanding(self, service: ServiceName, facts: ServiceBackendFacts) -> int:
        return self._num_outstanding.get((service, facts.backend.name), 0)

    def _note_ended(self, service: ServiceName, backend: BackendName) -> None:
        key = (service, backend)
        num_left = self._num_outstanding.get(key, 0) - 1
        if num_left > 0:
            self._num_outstanding[key] = num_left
        else:
            self._num_outstanding.pop(key, None)
