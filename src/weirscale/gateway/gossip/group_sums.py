"""Sums that a head sends: of its group to the other heads, of the other groups to its own group.

Sums are absolute values, so a later one replaces an earlier one and makes up for its loss.
"""

from collections.abc import Callable

from weirscale.gateway.gossip.sources import is_group, is_member
from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.limits.usage import NO_USAGE
from weirscale.gateway.limits.usage_reporter import UsageReporter
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.gossip_entries import LoadGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.routing.load import NO_LOAD, FleetLoad, Load

AddSums = Callable[[GossipOutbox, GossipOutbox, bool], None]
"""Adds further sums to the messages of a head. Arguments: the message to the other heads, the
message to this group, and whether to add unchanged sums as well."""


def add_no_sums(_to_heads: GossipOutbox, _to_group: GossipOutbox, _must_refresh: bool) -> None:
    """Add nothing."""


class _LoadSumSender:
    """Adds sums of loads to the messages of one outbox, and keeps the values last sent."""

    def __init__(self) -> None:
        self._sent: dict[InstanceId, Load] = {}

    def add_to(
        self, outbox: GossipOutbox, sums: dict[InstanceId, Load], must_refresh: bool
    ) -> None:
        """Add the sums that have changed, or all if `must_refresh`.

        A back end that no longer has load is sent once with zero load.
        """
        for instance in self._sent.keys() | sums.keys():
            load = sums.get(instance, NO_LOAD)
            if must_refresh or load != self._sent.get(instance, NO_LOAD):
                outbox.add_load(
                    LoadGossip(instance, load.num_requests, load.waiting_tokens, load.held_tokens)
                )
        self._sent = sums


class GroupSums:
    """Adds the sums that a head sends to its outboxes.

    Args:
        load: Loads on back ends, own and received.
        quotas: Usage of tenants with a quota, own and received.
        add_sums: Adds further sums.
    """

    def __init__(
        self, load: FleetLoad, quotas: QuotaLedger, add_sums: AddSums = add_no_sums
    ) -> None:
        self._load = load
        self._quotas = quotas
        self._add_sums = add_sums
        self._loads_to_heads = _LoadSumSender()
        self._loads_to_group = _LoadSumSender()
        self._usage_to_heads = UsageReporter()
        self._usage_to_group = UsageReporter()

    def gather(
        self, to_heads: GossipOutbox, to_group: GossipOutbox, now_s: float, must_refresh: bool
    ) -> None:
        """Add the sums that have changed since the last call, or all if `must_refresh`.

        Args:
            to_heads: Message to the heads of the other groups.
            to_group: Message to the other members of this node's group.
            now_s: Current monotonic time in seconds.
            must_refresh: Whether to add unchanged sums as well.
        """
        self._gather_loads(to_heads, to_group, now_s, must_refresh)
        self._gather_usage(to_heads, to_group, must_refresh)
        self._add_sums(to_heads, to_group, must_refresh)

    def _gather_loads(
        self, to_heads: GossipOutbox, to_group: GossipOutbox, now_s: float, must_refresh: bool
    ) -> None:
        own_group = self._load.sum_of(is_member, now_s)
        for instance in self._load.own_instances():
            own_group[instance] = own_group.get(instance, NO_LOAD).plus(self._load.own(instance))
        others = self._load.sum_of(is_group, now_s)
        self._loads_to_heads.add_to(to_heads, own_group, must_refresh)
        self._loads_to_group.add_to(to_group, others, must_refresh)

    def _gather_usage(
        self, to_heads: GossipOutbox, to_group: GossipOutbox, must_refresh: bool
    ) -> None:
        fleet = self._quotas.fleet_usage
        since_s = self._quotas.contact_cutoff_s()
        num_members, own_group = fleet.sum_of(is_member, since_s)
        num_others, others = fleet.sum_of(is_group, since_s)
        for tenant, usage in self._quotas.own_usage():
            own_group[tenant] = own_group.get(tenant, NO_USAGE).plus(usage)
        to_heads.set_num_nodes(1 + num_members)
        to_group.set_num_nodes(num_others)
        self._usage_to_heads.add_to(to_heads, own_group, must_refresh)
        self._usage_to_group.add_to(to_group, others, must_refresh)
