"""Which nodes issue the permits for a back end that states a request limit."""

import heapq
from collections.abc import Callable, Collection

from weirscale.domain.rendezvous import rendezvous_key, rendezvous_weight
from weirscale.gateway.model.identifiers import RunId

NUM_ISSUERS = 2
"""Nodes that issue permits for a run. Each has an equal, fixed share of the limit, so that the sum
holds whatever they know of one another; one that is dead or cut off costs its share until it has
lost its place."""

OWN_PART = 0.5
"""Part of a high limit that nodes may use without asking."""


class PermitIssuers:
    """Finds the issuers by rendezvous hashing: all nodes that know the same nodes agree.

    Args:
        name: This node.
        node_names: Returns the names of all nodes that have a place in the fleet, the same object
            until they change. Nodes that left the registrations of late have one: an outage of the
            store lets all registrations end, and each node would take itself for the only issuer.
    """

    def __init__(self, name: str, node_names: Callable[[], Collection[str]]) -> None:
        self._name = name
        self._node_names = node_names
        self._known_names: Collection[str] = ()
        self._found: dict[RunId, list[str]] = {}
        """Issuers that were worked out for the known names."""

    def issuers(self, run: RunId) -> list[str]:
        """Return the names of the nodes that issue permits for a run."""
        names = self._node_names()
        if names is not self._known_names:
            self._known_names = names
            self._found = {}
        if run not in self._found:
            key = rendezvous_key(run)
            ranked = heapq.nlargest(NUM_ISSUERS, names, lambda name: rendezvous_weight(name, key))
            self._found[run] = ranked
        return self._found[run]

    def issues(self, run: RunId) -> bool:
        """Whether this node is one of them."""
        return self._name in self.issuers(run)

    def rate_per_s(self, limit_per_s: float) -> float:
        """Return the permits that each issuer may issue in a second under a limit."""
        issued_per_s = limit_per_s - self.num_nodes() * self.own_rate_per_s(limit_per_s)
        return issued_per_s / min(NUM_ISSUERS, self.num_nodes())

    def own_rate_per_s(self, limit_per_s: float) -> float:
        """Return the requests a second that each node may send without a permit.

        Under a limit of a request a second for each node, half of it is divided equally: nobody
        has to ask there while the limit is far above the traffic. Under a lower one, nodes that
        each send one request at the same moment would exceed it.
        """
        if limit_per_s < self.num_nodes():
            return 0.0
        return OWN_PART * limit_per_s / self.num_nodes()

    def num_nodes(self) -> int:
        """Return how many nodes have a place in the fleet."""
        return max(1, len(self._node_names()))
