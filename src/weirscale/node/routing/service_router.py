"""Task that chooses service back ends by least outstanding requests of two random choices."""

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
"""A back end of another zone is chosen if it has at least this many fewer outstanding requests: a
queued request costs more than a link within the region."""

FULL_WEIGHT = 1.0
"""Admission weight of a back end that is considered for every attempt."""

ChooseResult = Result[ChosenBackend, Refusal]


class _Choose(msgspec.Struct, frozen=True):
    service: ServiceName
    excluded: frozenset[BackendName]
    reply: Reply[ChooseResult]


class _Withdraw(msgspec.Struct, frozen=True):
    """The caller was cancelled before it received the choice, which is in the reply."""

    service: ServiceName
    reply: Reply[ChooseResult]


_Message = _Choose | _Withdraw | ServiceAttemptEnded


class ServiceRouter:
    """Chooses service back ends for attempts; `run` must be running.

    Args:
        directory: The directory of back ends.
        zone: This node's zone; its back ends are preferred.
        random: For sampling back ends.
    """

    def __init__(self, directory: BackendDirectory, zone: ZoneName, random: Random) -> None:
        self._directory = directory
        self._zone = zone
        self._random = random
        self._mailbox: Mailbox[_Message] = Mailbox()
        self._num_outstanding: dict[tuple[ServiceName, BackendName], int] = {}
        self.num_lost_reports = 0

    async def choose(self, service: ServiceName, excluded: frozenset[BackendName]) -> ChooseResult:
        """Choose a back end for an attempt.

        Waits up to `FIRST_CONFIGURATION_WAIT_S` if the node has no configuration yet.
        """
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
        """Report the outcome of an attempt; dropped and counted if the mailbox is full."""
        if not self._mailbox.post(ServiceAttemptEnded(service, backend, failure, http_status)):
            self.num_lost_reports += 1

    async def run(self) -> None:
        """Choose back ends and record outcomes until cancelled."""
        while True:
            self._handle(await self._mailbox.receive())

    def _handle(self, message: _Message) -> None:
        match message:
            case _Choose():
                message.reply.set(self._choose(message, anyio.current_time()))
            case _Withdraw():
                result = message.reply.value()
                if isinstance(result, Ok):
                    self._record_end(message.service, result.ok_value.backend)
            case ServiceAttemptEnded():
                self._record_end(message.service, message.backend)
                self._directory.post(message)

    def _choose(self, message: _Choose, now_s: float) -> ChooseResult:
        snapshot = self._directory.snapshot()
        if not snapshot.revision:
            return Err(not_configured())
        if message.service not in snapshot.services:
            return Err(unknown_service(message.service))
        available, retry_after_s = self._available_backends(snapshot, message, now_s)
        if not available:
            return Err(no_backend(f"service {message.service!r}", retry_after_s))
        chosen = self._least_outstanding(message.service, available)
        key = (message.service, chosen.backend.name)
        self._num_outstanding[key] = self._num_outstanding.get(key, 0) + 1
        return Ok(ChosenBackend(chosen.backend.name, chosen.port, chosen.backend.address))

    def _available_backends(
        self, snapshot: DirectorySnapshot, message: _Choose, now_s: float
    ) -> tuple[list[ServiceBackendFacts], float | None]:
        """Return the back ends that may take the attempt, and the delay until the next trial.

        The delay is that of the held out back end whose circuit allows a trial first, or None.
        """
        members = list(snapshot.services[message.service].values())
        weights = admission_weights(members, self._directory.health_rules, now_s)
        available: list[ServiceBackendFacts] = []
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
            is_admitted = weight >= FULL_WEIGHT or self._is_admitted(
                message.service, facts, weight, now_s
            )
            (available if is_admitted else held_back).append(facts)
        return available or held_back, retry_after_s

    def _is_admitted(
        self, service: ServiceName, facts: ServiceBackendFacts, weight: float, now_s: float
    ) -> bool:
        """Return whether a back end of reduced weight is considered; one trial at a time."""
        is_trial = state_at(facts.circuit, now_s) is CircuitState.HALF_OPEN
        if is_trial and self._num_outstanding.get((service, facts.backend.name), 0) > 0:
            return False
        return self._random.random() < weight

    def _least_outstanding(
        self, service: ServiceName, available: Sequence[ServiceBackendFacts]
    ) -> ServiceBackendFacts:
        local = [facts for facts in available if facts.backend.zone == self._zone]
        remote = [facts for facts in available if facts.backend.zone != self._zone]
        if not local or not remote:
            return self._better_of_two(service, local or remote)
        local_choice = self._better_of_two(service, local)
        remote_choice = self._better_of_two(service, remote)
        load_difference = self._outstanding(service, local_choice) - self._outstanding(
            service, remote_choice
        )
        return remote_choice if load_difference >= SPILL_OUTSTANDING else local_choice

    def _better_of_two(
        self, service: ServiceName, available: Sequence[ServiceBackendFacts]
    ) -> ServiceBackendFacts:
        sampled = self._random.sample(available, min(2, len(available)))
        return min(sampled, key=lambda facts: self._outstanding(service, facts))

    def _outstanding(self, service: ServiceName, facts: ServiceBackendFacts) -> int:
        return self._num_outstanding.get((service, facts.backend.name), 0)

    def _record_end(self, service: ServiceName, backend: BackendName) -> None:
        key = (service, backend)
        num_remaining = self._num_outstanding.get(key, 0) - 1
        if num_remaining > 0:
            self._num_outstanding[key] = num_remaining
        else:
            self._num_outstanding.pop(key, None)
