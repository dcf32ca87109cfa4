"""Latency statistics of this node's attempts: engine rates, recent waits, and slow stores."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.routing.cache_index import CacheIndex
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.choice_rules import ChoiceRules
from weirscale.gateway.routing.first_event_model import FirstEventModel, FirstEventRates
from weirscale.gateway.routing.overdue import OverdueAttempts
from weirscale.gateway.routing.recent_waits import RecentWaits

SLOW_SOURCE_S = 0.25
"""Seconds. If the first event after a fetch from a store comes this much later than estimated, the
store is suspected: a dead store delays every request that names it as the source."""

SLOW_SOURCE_PAUSE_S = 2.0
"""Seconds for which a suspected store is not used as a fetch source before it is tried again."""


class AttemptStatistics:
    """Updates the statistics from first events, both received and overdue.

    Args:
        rules: Weights of the choice, with the initial rates.
        cache_index: Identifies the addresses that are kept-KV stores.
    """

    def __init__(self, rules: ChoiceRules, cache_index: CacheIndex) -> None:
        self._rules = rules
        self._cache_index = cache_index
        self._models: dict[ServiceName, FirstEventModel] = {}
        self._waits: dict[ServiceName, RecentWaits] = {}
        self._slow_until_s: dict[Address, float] = {}
        self._overdue = OverdueAttempts()

    def rates(self, service: ServiceName) -> FirstEventRates:
        """Return the learnt rates of a service's engines; the initial rates if there are none."""
        model = self._models.get(service)
        return self._rules.rates if model is None else model.rates

    def longest_wait_s(self, service: ServiceName, now_s: float) -> float:
        """Return this node's longest recent wait, in seconds, for a first event of a service."""
        return self._waits_of(service, now_s).longest_s(now_s)

    def is_slow(self, address: Address, now_s: float) -> bool:
        """Return whether a store is currently excluded as a fetch source."""
        return self._slow_until_s.get(address, 0.0) > now_s

    def attempt_sent(self, choice: Choice, now_s: float) -> None:
        """Record that an attempt was sent and waits for its first event."""
        self._overdue.attempt_sent(choice, now_s)

    def event_received(self, instance: InstanceId, now_s: float) -> None:
        """Record that an engine emitted an event, which shows that it is alive."""
        self._overdue.engine_alive(instance, now_s)

    def has_emitted_since(self, instance: InstanceId, since_s: float) -> bool:
        """Return whether this node has recorded an event of an engine after a time."""
        return self._overdue.has_event_since(instance, since_s)

    def wait_ended(self, choice: Choice) -> None:
        """Record that an attempt received its first event, or ended without one."""
        self._overdue.wait_ended(choice)

    def first_event_received(self, choice: Choice, took_s: float, now_s: float) -> None:
        """Record the time from the sending of an attempt to its first event.

        A kept-KV store whose fetch was followed by a late first event is suspected.
        """
        self._record_wait(choice, took_s, now_s)
        address = choice.fetch_from
        if address is None or took_s < choice.estimate_s + SLOW_SOURCE_S:
            return
        if self._cache_index.is_store(address):
            self._slow_until_s[address] = now_s + SLOW_SOURCE_PAUSE_S

    def record_overdue(self, now_s: float) -> None:
        """Record the waits of attempts whose first event is overdue."""
        for choice, waited_s in self._overdue.take_due(now_s):
            self._record_wait(choice, waited_s, now_s)

    def forget_engine(self, instance: InstanceId) -> None:
        """Drop the state of an engine that was removed."""
        self._overdue.forget_engine(instance)

    def _record_wait(self, choice: Choice, took_s: float, now_s: float) -> None:
        # A canary version may be slow itself, which says nothing about other engines.
        if choice.scope is None or choice.is_canary:
            return
        candidate = choice.candidate
        service = candidate.back_end.service
        self._waits_of(service, now_s).add(took_s, now_s)
        model = self._models.get(service)
        if model is None:
            model = self._models[service] = FirstEventModel(self._rules.rates)
        work = candidate.prefill_work(
            choice.read_tokens, choice.fetched_tokens, choice.is_from_store
        )
        setup_s = self._rules.fetch_setup_s if choice.fetched_tokens else 0.0
        model.observe(work, took_s - setup_s)

    def _waits_of(self, service: ServiceName, now_s: float) -> RecentWaits:
        waits = self._waits.get(service)
        if waits is None:
            waits = self._waits[service] = RecentWaits(now_s)
        return waits
