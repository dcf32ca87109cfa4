"""Division of a limit between zones and nodes; the parts sum to the limit."""

import msgspec

from weirscale.domain.configuration.model import Tenant


def part_of(limit: int, index: int, num_parts: int) -> int:
    """Return the size of part `index` of `num_parts` integer parts that sum to the limit."""
    return (index + 1) * limit // num_parts - index * limit // num_parts


class ZoneShare(msgspec.Struct, frozen=True):
    """The part of every limit that a zone owns.

    Attributes:
        index: The zone's position among the declared zones.
        num_zones: Number of declared zones.
        max_nodes: Bound on the number of nodes in the fleet; each may own a standing part.
    """

    index: int
    num_zones: int
    max_nodes: int = 1


def standing_requests(tenant: Tenant, share: ZoneShare) -> int:
    """Return how many requests each node may start without a grant: 1 if the burst allows it.

    Together they take at most half of the burst; the zones' pools have the rest.
    """
    return 1 if tenant.burst_requests >= 2 * max(share.max_nodes, share.num_zones) else 0


def standing_slots(tenant: Tenant, share: ZoneShare) -> int:
    """Return how many slots each node owns: 1 if all together are at most half of the limit."""
    limit = tenant.max_concurrent_requests
    return 1 if limit is not None and limit >= 2 * share.max_nodes else 0
