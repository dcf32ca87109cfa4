"""What one node may start for one tenant now."""

from typing import Protocol

PROMPT_BURST_S = 10.0
"""Depth of the prompt token bucket in seconds of its rate: room for one long draft at once."""


class TenantAllowance(Protocol):
    """The node's allowance for a tenant."""

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Whether a request may start now."""
        ...

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Account for a request that starts; only after `can_start`."""
        ...

    def finish(self) -> None:
        """Account for the end of a request."""
        ...

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Time for the rates to admit this many requests, the asked one included."""
        ...

    def num_slots(self, now_s: float) -> int | None:
        """Requests that may run at once; None for no limit."""
        ...


class UnlimitedAllowance:
    """For tenants without limits."""

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Always."""
        return True

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Nothing to account for."""

    def finish(self) -> None:
        """Nothing to account for."""

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """No wait."""
        return 0.0

    def num_slots(self, now_s: float) -> int | None:
        """No limit."""
        return None
