"""How a limit is parted between zones and nodes; the parts sum to the limit."""

import msgspec

from weirscale.domain.configuration.model import Tenant


def part_of(limit: int, index: int, num_parts: int) -> int:
    """Size of one of `num_parts` whole parts that sum to the limit."""
    return (index + 1) * limit // num_parts - index * limit // num_parts


class ZoneShare(msgspec.Struct, frozen=True):
    """Which part of every limit a zone owns: part `index` of `num_zones` declared zones.

    Attributes:
        index: The zone's place among the zones.
        num_zones: Declared zones.
        max_nodes: Bound on the nodes of the fleet, each of which may own a standing part.
    """

    index: int
    num_zones: int
    max_nodes: int = 1


def standing_requests(tenant: Tenant, share: ZoneShare) -> int:
    """Requests that each node may start before it has asked: 1 where the burst has room for it.

    Together they take at most half of the burst; the zones' pools have the rest.
    """
    return 1 if tenant.burst_requests >= 2 * max(share.max_nodes, share.num_zones) else 0


def standing_slots(tenant: Tenant, share: ZoneShare) -> int:
    """Slots that each node owns: 1 where the limit has room for it, at most half in all."""
    limit = tenant.max_concurrent_requests
    return 1 if limit is not None and limit >= 2 * share.max_nodes else 0
