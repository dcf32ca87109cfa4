"""The receiving side of fencing: refuses what an earlier holder of a duty sends."""

from weirscale.domain.duties.assignment import Duty

MAX_FENCED_DUTIES = 4096


class TokenFence:
    """Highest token seen for each duty."""

    def __init__(self) -> None:
        self._highest: dict[Duty, int] = {}

    def admit(self, duty: Duty, token: int) -> bool:
        """Whether to carry out what arrived with a token; False for a token of the past."""
        highest = self._highest.get(duty, 0)
        if token < highest:
            return False
        if duty not in self._highest and len(self._highest) >= MAX_FENCED_DUTIES:
            return False
        self._highest[duty] = token
        return True
