"""What this node learns from its attempts: rates, recent waits, and which stores are slow."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.routing.cache_index import CacheIndex
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.choice_rules import ChoiceRules
from weirscale.gateway.routing.first_event_model import FirstEventModel, FirstEventRates
from weirscale.gateway.routing.overdue import OverdueAttempts
from weirscale.gateway.routing.recent_waits import RecentWaits

SLOW_SOURCE_S = 0.25
"""Seconds. A first event this much later than estimated, after a fetch from a store, makes the
store suspect: a dead one delays every request that names it."""

SLOW_SOURCE_PAUSE_S = 2.0
"""Seconds in which a suspect store is not fetched from; one request then tries it again."""


class AttemptLearning:
    """Learns from first events, and from first events that are overdue.

    Args:
        rules: Weights of the choice before anything is learnt.
        beliefs: Which sources are kept-KV stores.
    """

    def __init__(self, rules: ChoiceRules, cache_index: CacheIndex) -> None:
        self._rules = rules
        self._cache_index = cache_index
        self._models: dict[ServiceName, FirstEventModel] = {}
        self._waits: dict[ServiceName, RecentWaits] = {}
        self._slow_until_s: dict[Address, float] = {}
        self._overdue = OverdueAttempts()

    def rates(self, service: ServiceName) -> FirstEventRates:
        """Return the rates of a service's engines; those of the start if none were learnt."""
        model = self._models.get(service)
        return self._rules.rates if model is None else model.rates

    def longest_wait_s(self, service: ServiceName, now_s: float) -> float:
        """Return this node's longest recent wait for a first event of a service."""
        return self._waits_at(service, now_s).longest_s(now_s)

    def is_slow(self, address: Address, now_s: float) -> bool:
        """Whether a store is not to be fetched from now."""
        return self._slow_until_s.get(address, 0.0) > now_s

    def attempt_sent(self, choice: Choice, now_s: float) -> None:
        """An attempt begins to wait for its first event."""
        self._overdue.attempt_sent(choice, now_s)

    def event_received(self, instance: InstanceId, now_s: float) -> None:
        """An engine has made an event, so it lives."""
        self._overdue.engine_alive(instance, now_s)

    def has_worked_since(self, instance: InstanceId, since_s: float) -> bool:
        """Whether an engine has made an event after a time, as far as this node knows."""
        return self._overdue.is_alive_since(instance, since_s)

    def wait_ended(self, choice: Choice) -> None:
        """An attempt has had its first event, or has ended without one."""
        self._overdue.wait_ended(choice)

    def first_event_received(self, choice: Choice, took_s: float, now_s: float) -> None:
        """Learn how long a first event took."""
        self._learn_rates(choice, took_s, now_s)
        address = choice.fetch_from
        if address is None or took_s < choice.estimate_s + SLOW_SOURCE_S:
            return
        if self._cache_index.is_store(address):
            self._slow_until_s[address] = now_s + SLOW_SOURCE_PAUSE_S

    def learn_from_overdue(self, now_s: float) -> None:
        """Learn from first events that have not come when they were expected."""
        for choice, waited_s in self._overdue.take_due(now_s):
            self._learn_rates(choice, waited_s, now_s)

    def forget_engine(self, instance: InstanceId) -> None:
        """Forget an engine that is gone."""
        self._overdue.forget_engine(instance)

    def _learn_rates(self, choice: Choice, took_s: float, now_s: float) -> None:
        # An unproved version of the program may be slow by itself: nothing follows for the others.
        if choice.scope is None or choice.is_canary:
            return
        candidate = choice.candidate
        service = candidate.back_end.service
        self._waits_at(service, now_s).add(took_s, now_s)
        model = self._models.get(service)
        if model is None:
            model = self._models[service] = FirstEventModel(self._rules.rates)
        work = candidate.prefill_work(
            choice.read_tokens, choice.fetched_tokens, choice.is_from_store
        )
        setup_s = self._rules.fetch_setup_s if choice.fetched_tokens else 0.0
        model.observe(work, took_s - setup_s)

    def _waits_at(self, service: ServiceName, now_s: float) -> RecentWaits:
        waits = self._waits.get(service)
        if waits is None:
            waits = self._waits[service] = RecentWaits(now_s)
        return waits
