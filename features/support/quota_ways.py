"""Compares methods that enforce a tenant's quota over all nodes, on the same schedules.

Usage: python -m features.support.quota_ways [SEEDS]. Time is simulated. "chance" is the product's
ledger, relay and messages; the other methods are variants of the ledger that exist only here.
Prints for each method: the maximum usage of a window divided by the allowed maximum, the share that
was refused before the load increased, the share of the rate that was used under the load, and
messages and bytes per node and second.
"""

import sys
import time
from collections.abc import Callable
from typing import Any

from features.support.quota_fleet import BOUNDS, QuotaFleet, max_usage, max_window_usage
from weirscale.gateway.limits.quota import QuotaDecision, QuotaLedger
from weirscale.gateway.model.configuration import Quota, QuotaUnit, Tenant

BUCKETS_FILLED_S, LOAD_AT_S, END_S = 5.0, 12.0, 40.0
FINAL_S = 15.0
MEAN_COST = 0.65 * 875 + 0.35 * 9200
USUAL_SHARE = 0.55
LOAD_FACTOR = 7.5
HOME_FAILOVER_S = 1.5
"""Seconds that nodes take to agree that a home node has failed."""
HOME_BYTES = 60
"""Size in bytes of a request to a home node, and of its answer."""

Disruption = Callable[[Any], None]


class LevelLedger(QuotaLedger):
    """Admits whatever the bucket has room for; nodes that see the same room all use it."""

    def _admission_probability(self, quota, bucket, name, cost, priority):
        return 1.0 if bucket.level >= cost else 0.0


class EqualShareLedger(QuotaLedger):
    """Gives each node an equal share, without gossip."""

    def tick(self) -> None:
        """Limit this node to its share."""
        self._share = 1.0 / self._num_nodes()
        for source in self.fleet_usage.sources():
            self.fleet_usage.forget_source(source, self._clock())


class HomeLedger(QuotaLedger):
    """Asks the tenant's home node about each request, which takes a round trip.

    A new home node begins with an empty bucket.
    """

    home_fleet: Any = None

    def admit(self, tenant: Tenant, num_tokens: int | None, priority: int) -> QuotaDecision:
        """Ask the home node of this node's partition."""
        fleet = self.home_fleet
        node = next(candidate for candidate in fleet.nodes.values() if candidate.quotas is self)
        home = fleet.home_of(node)
        cost = float(num_tokens or 0)
        fleet.num_messages += 2
        fleet.num_bytes += 2 * HOME_BYTES
        if home is None:
            return QuotaDecision(False, cost, retry_after_s=HOME_FAILOVER_S)
        return QuotaDecision(home.take(cost, tenant.quota), cost)

    def spend(self, tenant: Tenant, cost: float) -> None:
        """Do nothing, because the home node has already counted the request."""


class HomeBucket:
    """The bucket of a node that considers itself the home node."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._level = 0.0
        self._at_s = clock()

    def take(self, cost: float, quota: Quota | None) -> bool:
        """Take an amount if the level allows it, and return whether it did."""
        assert quota is not None
        now_s = self._clock()
        filled = self._level + quota.rate_per_s * (now_s - self._at_s)
        self._level, self._at_s = min(quota.burst, filled), now_s
        if self._level < cost:
            return False
        self._level -= cost
        return True


class HomeFleet(QuotaFleet):
    """A fleet whose nodes ask home nodes; each partition selects its own after a delay."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._homes: dict[str, HomeBucket] = {}
        self._home_names: dict[int, tuple[str, float]] = {}
        self._lost_at_s: dict[int, float] = {}

    def home_of(self, node: Any) -> HomeBucket | None:
        """Return the home bucket that a node reaches, or None while there is none."""
        partition = node.partition
        name = self._home_names.get(partition, ("", 0.0))[0]
        home = self.nodes.get(name)
        if home is not None and home.is_up() and home.partition == partition:
            return self._homes[name]
        lost_at_s = self._lost_at_s.setdefault(partition, self.now_s)
        if name and self.now_s - lost_at_s < HOME_FAILOVER_S:
            return None
        self._lost_at_s.pop(partition, None)
        first = next(
            candidate
            for candidate in self.nodes.values()
            if candidate.partition == partition and candidate.is_up()
        )
        self._home_names[partition] = (first.name, self.now_s)
        self._homes[first.name] = HomeBucket(lambda: self.now_s)
        return self._homes[first.name]


def draw_third(fleet: Any) -> list[str]:
    """Return the names of a random third of the nodes."""
    return list(fleet.random.sample(list(fleet.nodes), len(fleet.nodes) // 3))


def isolate_third(fleet: Any) -> None:
    """Isolate each node of a random third from all others."""
    fleet.schedule(
        11.0,
        lambda: [
            fleet.move_to_partition([name], number + 1)
            for number, name in enumerate(draw_third(fleet))
        ],
    )
    fleet.schedule(25.0, lambda: fleet.move_to_partition(list(fleet.nodes), 0))


def kill_all(fleet: Any) -> None:
    """Kill all nodes at once."""
    fleet.schedule(16.0, lambda: fleet.kill(list(fleet.nodes)))


def suspend_heads(fleet: Any) -> None:
    """Suspend the group heads, and the first home node, for 8 s."""
    fleet.schedule(14.0, lambda: fleet.suspend([*fleet.heads(), next(iter(fleet.nodes))], 8.0))


def no_disruption(fleet: Any) -> None:
    """Disrupt nothing."""


DISRUPTIONS: dict[str, Disruption] = {
    "none": no_disruption,
    "third alone": isolate_third,
    "all killed": kill_all,
    "heads frozen": suspend_heads,
}
LEDGERS = {
    "chance": QuotaLedger,
    "sum only": LevelLedger,
    "equal parts": EqualShareLedger,
    "homes": HomeLedger,
}
SIZES = ((8, 3), (79, 3), (300, 12))


def run_schedule(
    method: str, size: tuple[int, int], disruption: str, seed: int
) -> tuple[float, ...]:
    """Run one schedule and return the figures of a row."""
    tenant = Tenant("a", ("a",), quota=Quota(60_000.0, 69_000.0, QuotaUnit.TOKENS, 200))
    fleet_class = HomeFleet if method == "homes" else QuotaFleet
    fleet = fleet_class(size[0], size[1], [tenant], BOUNDS, seed, LEDGERS[method])
    HomeLedger.home_fleet = fleet
    if isinstance(fleet, HomeFleet):
        fleet.home_of(next(iter(fleet.nodes.values())))
    usual_per_s = 60_000.0 * USUAL_SHARE / MEAN_COST
    fleet.run_until(BUCKETS_FILLED_S)
    fleet.traffic["a"] = (usual_per_s, None)
    fleet.schedule(
        LOAD_AT_S, lambda: fleet.traffic.__setitem__("a", (LOAD_FACTOR * usual_per_s, None))
    )
    DISRUPTIONS[disruption](fleet)
    fleet.run_until(END_S)
    spent, refused = fleet.spent["a"], fleet.refused["a"]
    early_refused = sum(cost for at_s, cost, _ in refused if at_s < LOAD_AT_S)
    early_spent = sum(cost for at_s, cost, _ in spent if at_s < LOAD_AT_S)
    used = sum(cost for at_s, cost, _ in spent if at_s > END_S - FINAL_S) / (FINAL_S * 60_000.0)
    return (
        max_window_usage(spent, BOUNDS.window_s) / max_usage(tenant.quota, BOUNDS),
        early_refused / max(1.0, early_refused + early_spent),
        used,
        fleet.num_messages / size[0] / END_S,
        fleet.num_bytes / size[0] / END_S,
    )


def main() -> None:
    """Print the table of results."""
    num_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    print("method       nodes disruption     worst early refused  used  messages/s  bytes/s")
    for size in SIZES:
        for disruption in DISRUPTIONS:
            for method in LEDGERS:
                began_s = time.monotonic()
                rows = [
                    run_schedule(method, size, disruption, seed) for seed in range(1, num_seeds + 1)
                ]
                worst = max(row[0] for row in rows)
                means = [sum(row[column] for row in rows) / num_seeds for column in range(1, 5)]
                print(
                    f"{method:12s} {size[0]:5d} {disruption:12s} {worst:7.2f} {means[0]:13.3f}"
                    f" {means[1]:5.2f} {means[2]:11.1f} {means[3]:8.0f}"
                    f"   ({time.monotonic() - began_s:.0f} s)",
                    flush=True,
                )


if __name__ == "__main__":
    main()
