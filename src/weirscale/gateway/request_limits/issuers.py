"""Selects the nodes that issue the permits for a back end that states a request limit."""

from collections.abc import Callable, Collection

from weirscale.domain.rendezvous import rendezvous_key, rendezvous_ranking
from weirscale.gateway.model.identifiers import RunId

NUM_ISSUERS = 2
"""Number of nodes that issue permits for a run of a back end. Each has an equal, fixed share of the
limit, so the sum holds even if they have no contact. The share of an issuer that is dead or cut off
is lost until that node is removed from the fleet."""

OWN_SHARE = 0.5
"""Share of a high limit that the nodes may use without permits."""


class PermitIssuers:
    """Selects issuers by rendezvous hashing, so nodes with the same list of nodes agree.

    Args:
        name: Name of this node.
        node_names: Returns the names of all nodes in the fleet, as the same object until they
            change. Must include nodes whose registration ended recently: an outage of the store
            ends all registrations, and each node would consider itself the only issuer.
    """

    def __init__(self, name: str, node_names: Callable[[], Collection[str]]) -> None:
        self._name = name
        self._node_names = node_names
        self._cached_names: Collection[str] = ()
        self._issuers_by_run: dict[RunId, list[str]] = {}
        """Issuers computed for `_cached_names`."""

    def issuers(self, run: RunId) -> list[str]:
        """Return the names of the nodes that issue permits for a run of a back end."""
        names = self._node_names()
        if names is not self._cached_names:
            self._cached_names = names
            self._issuers_by_run = {}
        if run not in self._issuers_by_run:
            ranked = rendezvous_ranking(names, rendezvous_key(run), NUM_ISSUERS)
            self._issuers_by_run[run] = ranked
        return self._issuers_by_run[run]

    def is_issuer(self, run: RunId) -> bool:
        """Return whether this node issues permits for a run."""
        return self._name in self.issuers(run)

    def rate_per_s(self, limit_per_s: float) -> float:
        """Return the permits per second that each issuer may issue under a limit."""
        issued_per_s = limit_per_s - self.num_nodes() * self.own_rate_per_s(limit_per_s)
        return issued_per_s / min(NUM_ISSUERS, self.num_nodes())

    def own_rate_per_s(self, limit_per_s: float) -> float:
        """Return the requests per second that each node may send without a permit.

        If the limit allows at least one request per second for each node, half of it is divided
        equally among the nodes, so no node needs permits while the limit is far above the
        traffic. Under a lower limit the result is 0: nodes that each send one request at the same
        moment would exceed it.
        """
        if limit_per_s < self.num_nodes():
            return 0.0
        return OWN_SHARE * limit_per_s / self.num_nodes()

    def num_nodes(self) -> int:
        """Return the number of nodes in the fleet."""
        return max(1, len(self._node_names()))
