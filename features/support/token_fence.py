"""The receiving side of fencing: refuse orders of an earlier holder of a duty."""

from weirscale.domain.duties.assignment import Duty

MAX_FENCED_DUTIES = 4096


class TokenFence:
    """Keep the highest token seen for each duty, for at most `MAX_FENCED_DUTIES` duties."""

    def __init__(self) -> None:
        self._highest: dict[Duty, int] = {}

    def admit(self, duty: Duty, token: int) -> bool:
        """Return whether to carry out an order with this token; False for an earlier holder's token."""
        highest = self._highest.get(duty, 0)
        if token < highest:
            return False
        if duty not in self._highest and len(self._highest) >= MAX_FENCED_DUTIES:
            return False
        self._highest[duty] = token
        return True
