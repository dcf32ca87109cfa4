"""What the ends of attempts say about the paths to back ends, and the other way round."""

from weirscale.gateway.model.identifiers import Address
from weirscale.gateway.paths.path_checks import PathChecks
from weirscale.gateway.paths.path_state import PathState


class PathVerdicts:
    """Tells failures of back ends from lost paths of this node.

    Args:
        state: State of this node's paths.
        checks: Checks paths on request.
    """

    def __init__(self, state: PathState, checks: PathChecks) -> None:
        self._state = state
        self._checks = checks

    def is_unreachable_for_all(self, address: Address) -> bool:
        """Return whether another node has just confirmed that a back end is unreachable."""
        return self._state.is_confirmed_unreachable(address)

    def may_be_lost(self, address: Address) -> bool:
        """Return whether the path to a back end is lost, so that its failures prove nothing."""
        return self._state.is_lost(address)

    def connection_failed(self, address: Address) -> None:
        """Request a check of the path after an open connection broke or was silent."""
        self._checks.request(address)
