"""Collects the contents of a node's next gossip message."""

from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.limits.usage_reporter import UsageReporter
from weirscale.gateway.peers.gossip_entries import LoadGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.quarantine.quarantines import Quarantines
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic
from weirscale.gateway.rollouts.reporter import RolloutReporter
from weirscale.gateway.routing.load import FleetLoad


class GossipGatherer:
    """Fills a node's outbox before each message.

    Args:
        outbox: Message to this node's group.
        load: Loads on back ends.
        quotas: Usage of tenants with a quota.
        canaries: Requests during rollouts.
        rollouts: Tallies and moves of rollouts.
        quarantines: Requests and prompt blocks with which back ends crashed.
    """

    def __init__(
        self,
        outbox: GossipOutbox,
        load: FleetLoad,
        quotas: QuotaLedger,
        canaries: CanaryTraffic,
        rollouts: RolloutReporter,
        quarantines: Quarantines,
    ) -> None:
        self._outbox = outbox
        self._load = load
        self._quotas = quotas
        self._canaries = canaries
        self._rollouts = rollouts
        self._quarantines = quarantines
        self._usage = UsageReporter()

    def gather(self, must_refresh: bool) -> None:
        """Add the values that have changed since the last message, or all if `must_refresh`."""
        self._canaries.tick()
        self._rollouts.add_own(self._outbox, must_refresh)
        changed = self._load.take_changed()
        if must_refresh:
            changed.update(
                {instance: self._load.own(instance) for instance in self._load.own_instances()}
            )
        self._quarantines.add_to(self._outbox, must_refresh)
        self._quotas.tick()
        self._usage.add_to(self._outbox, dict(self._quotas.own_usage()), must_refresh)
        for instance, load in changed.items():
            self._outbox.add_load(
                LoadGossip(instance, load.num_requests, load.waiting_tokens, load.held_tokens)
            )
