"""Ways of holding a tenant's quota over all nodes, compared on the same schedules.

Usage: python -m features.support.quota_ways [SEEDS]. Simulated time; the product's ledger, relay and messages
carry the way that is built, the others are variants of the ledger that stand only here. Printed for
each way: the most that any window held over what the rule allows, what was refused before the load
came, the share of the rate that was used under it, and messages and bytes a node and second.
"""

import sys
import time
from collections.abc import Callable
from typing import Any

from features.support.quota_fleet import BOUNDS, QuotaFleet, allowed, worst_window
from weirscale.gateway.limits.quota import QuotaDecision, QuotaLedger
from weirscale.gateway.model.configuration import Quota, QuotaUnit, Tenant

FILLED_S, HOT_AT_S, END_S = 5.0, 12.0, 40.0
LAST_S = 15.0
MEAN_COST = 0.65 * 875 + 0.35 * 9200
USUAL_SHARE = 0.55
HOT_TIMES = 7.5
VIEW_DELAY_S = 1.5
"""How long nodes take to agree that a home is gone."""
HOME_BYTES = 60
"""Of a request to a home, and of its answer."""

Trouble = Callable[[Any], None]


class SumOnly(QuotaLedger):
    """Lets in whatever the sum has room for; nodes that see the same room all use it."""

    def _admission_probability(self, quota, bucket, name, cost, priority):
        return 1.0 if bucket.level >= cost else 0.0


class EqualParts(QuotaLedger):
    """Each node has an equal part, and nobody talks."""

    def tick(self) -> None:
        """Keep to the part."""
        self._share = 1.0 / self._num_nodes()
        for source in self.fleet_usage.sources():
            self.fleet_usage.forget_source(source, self._clock())


class Homes(QuotaLedger):
    """One home a tenant grants each request, a round trip away; a new home begins with nothing."""

    fleet_of_nodes: Any = None

    def admit(self, tenant: Tenant, num_tokens: int | None, priority: int) -> QuotaDecision:
        """Ask the home, as this node's side of the fleet sees it."""
        fleet = self.fleet_of_nodes
        node = next(one for one in fleet.nodes.values() if one.quotas is self)
        home = fleet.home_of(node)
        cost = float(num_tokens or 0)
        fleet.num_messages += 2
        fleet.num_bytes += 2 * HOME_BYTES
        if home is None:
            return QuotaDecision(False, cost, retry_after_s=VIEW_DELAY_S)
        return QuotaDecision(home.take(cost, tenant.quota), cost)

    def spend(self, tenant: Tenant, cost: float) -> None:
        """The home has counted it."""


class Home:
    """The bucket of a node that takes itself for the home."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._level = 0.0
        self._at_s = clock()

    def take(self, cost: float, quota: Quota | None) -> bool:
        """Take an amount if it is there."""
        assert quota is not None
        now_s = self._clock()
        filled = self._level + quota.rate_per_s * (now_s - self._at_s)
        self._level, self._at_s = min(quota.burst, filled), now_s
        if self._level < cost:
            return False
        self._level -= cost
        return True


class HomeFleet(QuotaFleet):
    """A fleet whose nodes ask homes; each side of a cut has one after a while."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._homes: dict[str, Home] = {}
        self._seen: dict[int, tuple[str, float]] = {}
        self._lost_at_s: dict[int, float] = {}

    def home_of(self, node: Any) -> Home | None:
        """Return the home that a node reaches, or None while there is none."""
        side = node.side
        name = self._seen.get(side, ("", 0.0))[0]
        known = self.nodes.get(name)
        if known is not None and known.is_up() and known.side == side:
            return self._homes[name]
        lost_at_s = self._lost_at_s.setdefault(side, self.now_s)
        if name and self.now_s - lost_at_s < VIEW_DELAY_S:
            return None
        self._lost_at_s.pop(side, None)
        first = next(one for one in self.nodes.values() if one.side == side and one.is_up())
        self._seen[side] = (first.name, self.now_s)
        self._homes[first.name] = Home(lambda: self.now_s)
        return self._homes[first.name]


def third(fleet: Any) -> list[str]:
    """Return a third of the nodes."""
    return list(fleet.random.sample(list(fleet.nodes), len(fleet.nodes) // 3))


def cut_alone(fleet: Any) -> None:
    """Cut a third of the nodes off from all others, each alone."""
    fleet.at(11.0, lambda: [fleet.cut([name], n + 1) for n, name in enumerate(third(fleet))])
    fleet.at(25.0, lambda: fleet.cut(list(fleet.nodes), 0))


def kill_all(fleet: Any) -> None:
    """Kill all nodes at once."""
    fleet.at(16.0, lambda: fleet.kill(list(fleet.nodes)))


def freeze_first(fleet: Any) -> None:
    """Let the heads, and the node that is home first, stand still for 8 s."""
    fleet.at(14.0, lambda: fleet.freeze([*fleet.heads(), next(iter(fleet.nodes))], 8.0))


def nothing(fleet: Any) -> None:
    """Let nothing happen."""


TROUBLES: dict[str, Trouble] = {
    "none": nothing,
    "third alone": cut_alone,
    "all killed": kill_all,
    "heads frozen": freeze_first,
}
WAYS = {"chance": QuotaLedger, "sum only": SumOnly, "equal parts": EqualParts, "homes": Homes}
SIZES = ((8, 3), (79, 3), (300, 12))


def play(way: str, size: tuple[int, int], trouble: str, seed: int) -> tuple[float, ...]:
    """Play one schedule; returns the figures of a row."""
    tenant = Tenant("a", ("a",), quota=Quota(60_000.0, 69_000.0, QuotaUnit.TOKENS, 200))
    fleet_class = HomeFleet if way == "homes" else QuotaFleet
    fleet = fleet_class(size[0], size[1], [tenant], BOUNDS, seed, WAYS[way])
    Homes.fleet_of_nodes = fleet
    if isinstance(fleet, HomeFleet):
        fleet.home_of(next(iter(fleet.nodes.values())))
    usual_per_s = 60_000.0 * USUAL_SHARE / MEAN_COST
    fleet.run_until(FILLED_S)
    fleet.traffic["a"] = (usual_per_s, None)
    fleet.at(HOT_AT_S, lambda: fleet.traffic.__setitem__("a", (HOT_TIMES * usual_per_s, None)))
    TROUBLES[trouble](fleet)
    fleet.run_until(END_S)
    spent, refused = fleet.spent["a"], fleet.refused["a"]
    calm_refused = sum(cost for at_s, cost, _ in refused if at_s < HOT_AT_S)
    calm_spent = sum(cost for at_s, cost, _ in spent if at_s < HOT_AT_S)
    used = sum(cost for at_s, cost, _ in spent if at_s > END_S - LAST_S) / (LAST_S * 60_000.0)
    return (
        worst_window(spent, BOUNDS.window_s) / allowed(tenant.quota, BOUNDS),
        calm_refused / max(1.0, calm_refused + calm_spent),
        used,
        fleet.num_messages / size[0] / END_S,
        fleet.num_bytes / size[0] / END_S,
    )


def main() -> None:
    """Print the table."""
    num_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    print("way          nodes trouble        worst  calm refused  used  messages/s  bytes/s")
    for size in SIZES:
        for trouble in TROUBLES:
            for way in WAYS:
                began_s = time.monotonic()
                rows = [play(way, size, trouble, seed) for seed in range(1, num_seeds + 1)]
                worst = max(row[0] for row in rows)
                means = [sum(row[column] for row in rows) / num_seeds for column in range(1, 5)]
                print(
                    f"{way:12s} {size[0]:5d} {trouble:12s} {worst:7.2f} {means[0]:13.3f}"
                    f" {means[1]:5.2f} {means[2]:11.1f} {means[3]:8.0f}"
                    f"   ({time.monotonic() - began_s:.0f} s)",
                    flush=True,
                )


if __name__ == "__main__":
    main()
